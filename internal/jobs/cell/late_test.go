package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// A late answer tells what the clock of its worker was when it was given, not what
// it is now. Starts with leases after an old clock are rejected as late.
func TestALateAnswerSetsNoClockBack(t *testing.T) {
	d := newDriven(t)
	start := d.next(cell.OrderStart)
	d.Started(d.now, start, d.seen(), nil)
	given := d.next(cell.OrderHold)
	running := []bamboofall.Placed{{Task: start.Start.Task, Run: start.Start.Run, Percent: 100}}
	late := bamboofall.HoldReport{Sighting: d.seen(), Running: running}
	d.Held(d.now, given, bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: "order", Err: failedOnTheWay})
	again := d.next(cell.OrderHold)
	for range 200 {
		d.step()
	}
	d.Held(d.now, again, bamboofall.HoldReport{Sighting: d.seen(), Running: running}, nil)
	d.HeldLate(d.now, given, late)
	d.submit("0000000000000002")
	next := d.next(cell.OrderStart)
	left := next.Start.LeaseUntil - d.seen().Clock
	assert.Assert(t, left > 4*time.Second, "%v of the lease are left as the start is ordered", left)
}
