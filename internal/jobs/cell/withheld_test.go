package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

func withheld(cause bamboofall.WithholdCause) error {
	return &bamboofall.NotDoneError{Call: "order", Reason: string(cause), Err: &bamboofall.WithheldError{Cause: cause}}
}

// starts returns the number of starts that are ordered within a time.
func (d *driven) starts(within time.Duration) int {
	n := len(d.open)
	for until := d.now.Add(within); d.now.Before(until); {
		d.step()
	}
	starts := 0
	for _, o := range d.open[n:] {
		if o.Kind == cell.OrderStart {
			starts++
		}
	}
	return starts
}

// While the owner may not act, each start is held back. Starts that are ordered
// again at once would take all its processor.
func TestStartsThatAreWithheldAreNotOrderedOverAndOver(t *testing.T) {
	for _, cause := range []bamboofall.WithholdCause{bamboofall.WithheldUnconfirmed, bamboofall.WithheldStale} {
		d := newDriven(t)
		d.Started(d.now, d.next(cell.OrderStart), bamboofall.Sighting{}, withheld(cause))
		assert.Equal(t, d.starts(80*time.Millisecond), 0)
		assert.Equal(t, d.starts(100*time.Millisecond), 1, "the worker is not to blame")
	}
}

func TestHoldsThatAreWithheldAreAskedAgain(t *testing.T) {
	d := newDriven(t)
	d.Started(d.now, d.next(cell.OrderStart), d.seen(), nil)
	before := d.Counters().HoldFailures
	d.Held(d.now, d.next(cell.OrderHold), bamboofall.HoldReport{}, withheld(bamboofall.WithheldStale))
	again := d.next(cell.OrderHold)
	assert.Assert(t, again.Hold.LeaseUntil > 0)
	assert.Equal(t, again.Hold.Wait, 2*time.Second, "no answer was lost")
	assert.Equal(t, d.Counters().HoldFailures, before)
}
