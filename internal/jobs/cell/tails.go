package cell

import (
	"math"
	"time"

	"bamboofall.example/bamboofall/internal/jobs/pressure"
)

// servesImage reports whether serving tasks of the image, and of other images, run at a
// worker.
func (w *worker) servesImage(image string) (same, other bool) {
	same = w.serving.Of(image) > 0
	return same, len(w.serving) > 1 || len(w.serving) == 1 && !same
}

const (
	// recentWait is the time for which a task is in tailtier.Recent.
	recentWait = 400 * time.Millisecond
	// minHeadroom is the lowest headroom that is told apart: a tail of five targets.
	minHeadroom = 0.2
)

// worstTailWith returns the highest tail latency expected at a worker with one more task
// of a step, as a fraction of its target.
func (c *Cell) worstTailWith(now time.Time, w *worker, s *step) float64 {
	own := w.share(s.Size.MilliProcessors)
	neighbour := pressure.Neighbour{Image: s.Image, Serving: !s.BestEffort}
	lowest := math.Inf(1)
	for _, h := range c.expectedHeadrooms(now, w) {
		lowest = min(lowest, h.headroom-own*c.pressure.PressureCached(h.image, neighbour))
	}
	if s.TailTarget > 0 {
		lowest = min(lowest, c.pressure.LowHeadroom(s.Image, w.reservedShares()))
	}
	return 1 / max(minHeadroom, lowest)
}

// tailTooHigh reports whether the highest tail latency expected at a worker exceeds a limit
// whatever best-effort task is added: no neighbour adds headroom.
func (c *Cell) tailTooHigh(now time.Time, w *worker, limit float64) bool {
	for _, h := range c.expectedHeadrooms(now, w) {
		if 1/max(minHeadroom, h.headroom) > limit {
			return true
		}
	}
	return false
}

// expectedHeadroom is the lowest headroom expected of the tasks of an image at a worker.
type expectedHeadroom struct {
	image    string
	headroom float64
}

// headroomsTTL is how long expected headrooms are cached.
const headroomsTTL = 300 * time.Millisecond

// expectedHeadrooms returns the expected headrooms of the serving images at a worker.
func (c *Cell) expectedHeadrooms(now time.Time, w *worker) []expectedHeadroom {
	if len(w.serving) == 0 {
		return nil
	}
	if w.cachedHeadrooms != nil && now.Sub(w.headroomsAt) < headroomsTTL {
		return w.cachedHeadrooms
	}
	w.headroomsAt = now
	w.cachedHeadrooms = w.cachedHeadrooms[:0]
	servingShares := w.servingShares()
	for _, s := range w.serving {
		headroom := min(c.pressure.LowHeadroom(s.Image, servingShares), w.ownHeadroom(now, s.Image))
		for _, f := range w.bestEffort {
			headroom -= w.share(f.CPU) * c.pressure.Pressure(s.Image, pressure.Neighbour{Image: f.Image})
		}
		w.cachedHeadrooms = append(w.cachedHeadrooms, expectedHeadroom{s.Image, headroom})
	}
	return w.cachedHeadrooms
}

// ownHeadroom returns the lowest headroom without best-effort neighbours that tasks of an
// image had at a worker lately.
func (w *worker) ownHeadroom(now time.Time, image string) float64 {
	lowest := math.Inf(1)
	for _, a := range w.attempts {
		if a.task.step.TailTarget <= 0 || a.task.step.Image != image {
			continue
		}
		if own, known := a.track.OwnHeadroom(now); known {
			lowest = min(lowest, own)
		}
	}
	return lowest
}

// missesTarget reports whether a tail latency was above its target when tail latencies were
// last evaluated.
func (w *worker) missesTarget() bool { return w.tailsWithinTargetAt.Before(w.tailsObservedAt) }

// reservedShares returns the fractions of a worker's CPU that are assigned to images.
func (w *worker) reservedShares() pressure.Shares {
	shares := w.servingShares()
	for _, f := range w.bestEffort {
		shares.Add(pressure.Neighbour{Image: f.Image}, w.share(f.CPU))
	}
	return shares
}

// servingShares returns the fractions assigned to serving images.
func (w *worker) servingShares() pressure.Shares {
	shares := make(pressure.Shares, 0, len(w.bestEffort)+len(w.serving))
	for _, s := range w.serving {
		shares.Add(pressure.Neighbour{Image: s.Image, Serving: true}, w.share(s.CPU))
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
