package cell

import (
	"slices"
	"strings"
	"time"

	"bamboofall.example/bamboofall/internal/jobs/pressure"
)

// imageCPU is what the tasks of an image have of a worker, in thousandths of a
// processor.
type imageCPU struct {
	image string
	cpu   int64
}

// imageCPUs are the images at a worker, in their order. There are few of them.
type imageCPUs []imageCPU

// cpuOf returns what the tasks cpuOf an image have.
func (u imageCPUs) cpuOf(image string) int64 {
	for _, x := range u {
		if x.image == image {
			return x.cpu
		}
	}
	return 0
}

// add adds to what the tasks of an image have. An image that has nothing is left out.
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

// servesImage reports whether tasks of an image serve at a worker, and tasks of
// other images.
func (w *worker) servesImage(image string) (same, other bool) {
	same = w.serving.cpuOf(image) > 0
	return same, len(w.serving) > 1 || len(w.serving) == 1 && !same
}

const (
	// maxExpectedTail is the expected tail, as a share of its target, up to which
	// a task that fills is placed.
	maxExpectedTail = 0.8
	// maxRecentTail is the same for a task that has waited for less than gentleWait,
	// which is little against its objective: without a backlog it finds a worker
	// where it disturbs less.
	maxRecentTail = 0.65
	recentWait    = 400 * time.Millisecond
)

// worstTailWith returns the largest tail that is expected at a worker with one
// more task of a step, as a share of its target.
func (c *Cell) worstTailWith(now time.Time, w *worker, s *step) float64 {
	own := w.share(s.Size.MilliProcessors)
	neighbour := pressure.Neighbour{Image: s.Image, Serves: !s.Fills}
	worst := 0.0
	for _, t := range c.expectedTails(now, w) {
		worst = max(worst, t.tail+own*c.pressure.Pressure(t.image, neighbour))
	}
	if s.TailTarget > 0 {
		worst = max(worst, c.predictTail(s.Image, w.reservedShares()))
	}
	return worst
}

// expectedTail is the tail that is expected of an image at a worker.
type expectedTail struct {
	image string
	tail  float64
}

// tailsTTL is how long expected tails are used before they are worked out again.
const tailsTTL = 300 * time.Millisecond

// expectedTails returns the tails that are expected at a worker.
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

// predictTail returns the tail of an image beside what uses a worker.
func (c *Cell) predictTail(image string, shares pressure.Shares) float64 {
	tail := c.pressure.Alone(image)
	for _, s := range shares {
		tail += s.Value * c.pressure.Pressure(image, s.Neighbour)
	}
	return tail
}

// reservedShares returns the reservedShares of a worker's processors that are given to images.
func (w *worker) reservedShares() pressure.Shares {
	shares := w.servingShares()
	for _, f := range w.bestEffort {
		shares.Add(pressure.Neighbour{Image: f.image}, w.share(f.cpu))
	}
	return shares
}

// servingShares returns the shares that are given to images that serve.
func (w *worker) servingShares() pressure.Shares {
	shares := make(pressure.Shares, 0, len(w.bestEffort)+len(w.serving))
	for _, s := range w.serving {
		shares.Add(pressure.Neighbour{Image: s.image, Serves: true}, w.share(s.cpu))
	}
	return shares
}

// share returns processors as a share of the worker's.
func (w *worker) share(milliProcessors int64) float64 {
	return float64(milliProcessors) / float64(w.info.Room.MilliProcessors)
}

// usedShares returns the shares that images use now, as far as that is known.
func (w *worker) usedShares() pressure.Shares {
	shares := w.servingShares()
	for _, a := range w.attempts {
		if a.task.step.Fills && a.gauge > 0 {
			shares.Add(pressure.Neighbour{Image: a.task.step.Image}, w.share(a.gauge))
		}
	}
	return shares
}
