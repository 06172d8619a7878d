package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

func withheldError(cause bamboofall.WithholdCause) error {
	return &bamboofall.NotDoneError{Call: "order", Reason: string(cause), Err: &bamboofall.WithheldError{Cause: cause}}
}

// countStarts returns the number of start orders within a time.
func (d *manualCell) countStarts(within time.Duration) int {
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

// While the owner may not act, it withholds each start. Ordering them again immediately
// would use all its CPU.
func TestWithheldStartIsNotReorderedImmediately(t *testing.T) {
	for _, cause := range []bamboofall.WithholdCause{bamboofall.WithheldUnconfirmed, bamboofall.WithheldStale} {
		d := newManualCell(t)
		d.StartAnswered(d.now, d.next(cell.OrderStart), bamboofall.ResponseMeta{}, withheldError(cause))
		assert.Equal(t, d.countStarts(80*time.Millisecond), 0)
		assert.Equal(t, d.countStarts(100*time.Millisecond), 1, "not ordered again after the pause")
	}
}

func TestWithheldHoldIsRepeated(t *testing.T) {
	d := newManualCell(t)
	d.StartAnswered(d.now, d.next(cell.OrderStart), d.meta(), nil)
	before := d.Counters().HoldFailures
	d.HoldAnswered(d.now, d.next(cell.OrderHold), bamboofall.HoldReport{}, withheldError(bamboofall.WithheldStale))
	again := d.next(cell.OrderHold)
	assert.Assert(t, again.Hold.LeaseUntil > 0)
	assert.Equal(t, again.Hold.Wait, 2*time.Second, "a withheld order counted as a lost answer")
	assert.Equal(t, d.Counters().HoldFailures, before)
}
