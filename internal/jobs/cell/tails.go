package cell

import (
	"time"

	"bamboofall.example/bamboofall/internal/jobs/pressure"
)

// servesImage reports whether tasks of an image serve at a worker, and tasks of
// other images.
func (w *worker) servesImage(image string) (same, other bool) {
	same = w.serving[image] > 0
	return same, len(w.serving) > 1 || len(w.serving) == 1 && !same
}

const (
	// maxExpectedTail is the expected tail, as a share of its target, up to which
	// a task that fills is placed.
	maxExpectedTail = 0.8
	// gentleTail is the same for a task that has waited for less than gentleWait,
	// which is little against its objective: without a backlog it finds a worker
	// where it disturbs less.
	gentleTail = 0.65
	gentleWait = 400 * time.Millisecond
)

// tailLimit returns the expected tail up to which a task of a step is placed.
func tailLimit(now time.Time, s *step) float64 {
	if now.Sub(s.readyAt) < gentleWait {
		return gentleTail
	}
	return maxExpectedTail
}

// expectedTail returns the largest tail that is expected at a worker with one
// more task of a step, as a share of its target.
func (c *Cell) expectedTail(now time.Time, w *worker, s *step) float64 {
	own := w.share(s.Size.MilliProcessors)
	neighbour := pressure.Neighbour{Image: s.Image, Serves: !s.Fills}
	worst := 0.0
	for _, t := range c.expectedTails(now, w) {
		worst = max(worst, t.tail+own*c.pressure.Pressure(t.image, neighbour))
	}
	if s.TailTarget > 0 {
		worst = max(worst, c.expect(s.Image, w.shares()))
	}
	return worst
}

// expectedTail is the tail that is expected of an image at a worker.
type expectedTail struct {
	image string
	tail  float64
}

// tailsFor is how long expected tails are used before they are worked out again.
const tailsFor = 300 * time.Millisecond

// expectedTails returns the tails that are expected at a worker.
func (c *Cell) expectedTails(now time.Time, w *worker) []expectedTail {
	if len(w.serving) == 0 {
		return nil
	}
	if w.tails != nil && now.Sub(w.tailsAt) < tailsFor {
		return w.tails
	}
	w.tailsAt = now
	w.tails = w.tails[:0]
	shares := w.shares()
	for image := range w.serving {
		w.tails = append(w.tails, expectedTail{image, c.expect(image, shares)})
	}
	return w.tails
}

// expect returns the tail of an image beside what uses a worker.
func (c *Cell) expect(image string, shares pressure.Shares) float64 {
	tail := c.pressure.Alone(image)
	for n, share := range shares {
		tail += share * c.pressure.Pressure(image, n)
	}
	return tail
}

// shares returns the shares of a worker's processors that are given to images.
func (w *worker) shares() pressure.Shares {
	shares := w.servingShares()
	for image, cpu := range w.filling {
		shares[pressure.Neighbour{Image: image}] = w.share(cpu)
	}
	return shares
}

// servingShares returns the shares that are given to images that serve.
func (w *worker) servingShares() pressure.Shares {
	shares := make(pressure.Shares, len(w.filling)+len(w.serving))
	for image, cpu := range w.serving {
		shares[pressure.Neighbour{Image: image, Serves: true}] = w.share(cpu)
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
			shares[pressure.Neighbour{Image: a.task.step.Image}] += w.share(a.gauge)
		}
	}
	return shares
}
