package cell

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/evacuation"
)

// evacuatedRetryAfter is the Retry-After value while all workers of a service are in evacuated
// data centres: nobody knows when one is taken back.
const evacuatedRetryAfter = time.Second

// SetEvacuated replaces the set of evacuated data centres. Nothing is started at their workers,
// and starts that were not sent are withdrawn. What runs there runs on.
func (c *Cell) SetEvacuated(now time.Time, all []bamboofall.DataCentre) {
	before := c.countedRoom()
	c.evacuated = slices.Clone(all)
	changed := 0
	for _, w := range c.workerList {
		if c.updateEvacuated(w) {
			changed++
			c.withdrawUnsent(now, w)
		}
	}
	if changed == 0 {
		return
	}
	after := c.countedRoom()
	c.bestEffortCapacity = evacuation.Scale(c.bestEffortCapacity, before, after)
	c.placementDue = true
	c.note(Note{Event: "room changed", Detail: fmt.Sprintf("evacuated %v: %d workers changed, milliprocessors %d, before %d", all, changed, after, before)})
}

// updateEvacuated compares the data centre of a worker with the evacuated ones, and reports
// whether it matters now.
func (c *Cell) updateEvacuated(w *worker) (changed bool) {
	evacuated := slices.Contains(c.evacuated, w.info.Zone)
	if evacuated == w.evacuated {
		return false
	}
	w.evacuated = evacuated
	c.addGain(w)
	return true
}

// withdrawUnsent withdraws the starts at a worker of an evacuated data centre that were not
// ordered yet, and marks those that were as not to be sent any more.
func (c *Cell) withdrawUnsent(now time.Time, w *worker) {
	c.withdrawUnordered(now, w)
	if !w.evacuated {
		return
	}
	for _, a := range w.attempts {
		if a.state == attemptStarting {
			a.withdrawn.Store(true)
		}
	}
}

// withdrawGangOfWithheld stops the runs of a gang if the start of one of them was withheld: the
// others would wait for it in vain.
func (c *Cell) withdrawGangOfWithheld(now time.Time, a *attempt, err error) {
	var withheld *bamboofall.WithheldError
	if s := a.task.step; s.gang != nil && !a.stopping && errors.As(err, &withheld) {
		c.withdrawGang(now, s, fmt.Sprintf("the start of task %d of the gang was withheld (%s)", a.task.index, withheld.Cause))
	}
}

// countsAsRoom reports whether the worker's room can be reckoned with. A worker that has not
// answered this owner yet counts as announced.
func (w *worker) countsAsRoom() bool {
	return w.listed && !w.silent() && !w.info.Draining && !w.evacuated
}

// countedRoom returns the CPU in milliprocessors of the workers that count as room.
func (c *Cell) countedRoom() (room int64) {
	for _, w := range c.workerList {
		if w.countsAsRoom() {
			room += w.info.Room.MilliProcessors
		}
	}
	return room
}

// allEvacuated reports whether a service has workers, all in evacuated data centres.
func (c *Cell) allEvacuated(service string) bool {
	known := false
	for _, w := range c.workerList {
		if w.listed && w.info.Service == service {
			if !w.evacuated {
				return false
			}
			known = true
		}
	}
	return known
}
