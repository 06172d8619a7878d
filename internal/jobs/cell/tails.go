package cell

import (
	"slices"
	"strings"
	"time"

	"bamboofall.example/bamboofall/internal/jobs/pressure"
)

// imageCPU is the CPU in milliprocessors that the tasks of an image have at a worker.
type imageCPU struct {
	image string
	cpu   int64
}

// imageCPUs is sorted by image. It is small, as a worker runs few images.
type imageCPUs []imageCPU

// cpuOf returns the CPU of an image.
func (u imageCPUs) cpuOf(image string) int64 {
	for _, x := range u {
		if x.image == image {
			return x.cpu
		}
	}
	return 0
}

// add adds to the CPU of an image. Images with zero CPU are removed.
func (u *imageCPUs) add(image string, cpu int64) {
	at, found := slices.BinarySearchFunc(*u, image, func(x imageCPU, image string) int { return strings.Compare(x.image, image) })
	if !found {
		*u = slices.Insert(*u, at, imageCPU{image: image})
	}
	(*u)[at].cpu += cpu
	if (*u)[at].cpu == 0 {
		*u = slices.Delete(*u, at, at+1)
	}
}

// servesImage reports whether serving tasks of the image, and of other images, run at a
// worker.
func (w *worker) servesImage(image string) (same, other bool) {
	same = w.serving.cpuOf(image) > 0
	return same, len(w.serving) > 1 || len(w.serving) == 1 && !same
}

const (
	// maxExpectedTail is the predicted tail latency, as a fraction of its target, up to
	// which a best-effort task is placed.
	maxExpectedTail = 0.8
	// maxRecentTail is the stricter bound for tasks that became ready less than
	// recentWait ago. Without a backlog such a task finds a worker where it disturbs
	// less, and the wait is short against its objective.
	maxRecentTail = 0.65
	recentWait    = 400 * time.Millisecond
)

// worstTailWith returns the highest predicted tail latency at a worker with one more task
// of a step, as a fraction of its target.
func (c *Cell) worstTailWith(now time.Time, w *worker, s *step) float64 {
	own := w.share(s.Size.MilliProcessors)
	neighbour := pressure.Neighbour{Image: s.Image, Serving: !s.BestEffort}
	worst := 0.0
	for _, t := range c.expectedTails(now, w) {
		worst = max(worst, t.tail+own*c.pressure.Pressure(t.image, neighbour))
	}
	if s.TailTarget > 0 {
		worst = max(worst, c.predictTail(s.Image, w.reservedShares()))
	}
	return worst
}

// expectedTail is the predicted tail latency of an image at a worker, as a fraction of
// its target.
type expectedTail struct {
	image string
	tail  float64
}

// tailsTTL is how long predicted tail latencies are cached.
const tailsTTL = 300 * time.Millisecond

// expectedTails returns the predicted tail latencies of the serving images at a worker.
func (c *Cell) expectedTails(now time.Time, w *worker) []expectedTail {
	if len(w.serving) == 0 {
		return nil
	}
	if w.cachedTails != nil && now.Sub(w.tailsAt) < tailsTTL {
		return w.cachedTails
	}
	w.tailsAt = now
	w.cachedTails = w.cachedTails[:0]
	shares := w.reservedShares()
	for _, s := range w.serving {
		w.cachedTails = append(w.cachedTails, expectedTail{s.image, c.predictTail(s.image, shares)})
	}
	return w.cachedTails
}

// predictTail returns the predicted tail latency of an image alongside the given shares.
func (c *Cell) predictTail(image string, shares pressure.Shares) float64 {
	tail := c.pressure.TailAlone(image)
	for _, s := range shares {
		tail += s.Value * c.pressure.Pressure(image, s.Neighbour)
	}
	return tail
}

// reservedShares returns the fractions of a worker's CPU that are assigned to images.
func (w *worker) reservedShares() pressure.Shares {
	shares := w.servingShares()
	for _, f := range w.bestEffort {
		shares.Add(pressure.Neighbour{Image: f.image}, w.share(f.cpu))
	}
	return shares
}

// servingShares returns the fractions assigned to serving images.
func (w *worker) servingShares() pressure.Shares {
	shares := make(pressure.Shares, 0, len(w.bestEffort)+len(w.serving))
	for _, s := range w.serving {
		shares.Add(pressure.Neighbour{Image: s.image, Serving: true}, w.share(s.cpu))
	}
	return shares
}

// sizeKnown reports whether the worker's CPU is known. After a handover it is not until
// the platform announces the worker, which may answer before that.
func (w *worker) sizeKnown() bool { return w.info.Room.MilliProcessors > 0 }

// share returns CPU as a fraction of the worker's, whose size must be known.
func (w *worker) share(milliProcessors int64) float64 {
	return float64(milliProcessors) / float64(w.info.Room.MilliProcessors)
}

// usedShares returns the fractions assigned to serving images and those that best-effort
// images were last reported to use.
func (w *worker) usedShares() pressure.Shares {
	shares := w.servingShares()
	for _, a := range w.attempts {
		if a.task.step.BestEffort && a.gauge > 0 {
			shares.Add(pressure.Neighbour{Image: a.task.step.Image}, w.share(a.gauge))
		}
	}
	return shares
}
