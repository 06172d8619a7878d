package cell

import (
	"time"

	"bamboofall.example/bamboofall"
)

// clockSetBack reports whether an answer cannot come from the process whose clock was read
// before the order was sent, as its clock is behind.
func (w *worker) clockSetBack(o Order, s bamboofall.ResponseMeta) bool {
	return s.Clock > 0 && s.Clock < w.clock && !o.sentAt.Before(w.clockAt)
}

// unnamedRestart handles an answer whose clock shows a restart, though it does not name the
// process. A hold call that is due at once does.
func (c *Cell) unnamedRestart(now time.Time, w *worker) {
	c.leasedByFormerClock(now, w)
	if !w.restartUnnamed {
		w.restartUnnamed = true
		c.note(Note{Event: "worker clock set back", Worker: w.info.ID})
	}
	w.holdNow(now)
	c.queueHold(w)
	c.probe(now, w)
}
