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

// The orders to a worker may fail on the way for ever, as with a relay that has no
// room. Its runs lapse with their leases, and must be begun again elsewhere.
func TestATaskBehindAWayThatAlwaysFailsIsBegunAgain(t *testing.T) {
	for name, err := range map[string]error{
		"not done": &bamboofall.NotDoneError{Call: "order", Reason: "it waited too long", Err: failedOnTheWay},
		"unknown":  &bamboofall.UnknownOutcomeError{Call: "order", Err: failedOnTheWay},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriven(t)
			d.noSilence = false
			start := d.next(cell.OrderStart)
			d.Started(d.now, start, d.seen(), nil)
			d.SetWorker(d.now, testWorker(2))
			began := d.now
			for d.now.Sub(began) < 30*time.Second {
				d.step()
				open := d.open
				d.open = nil
				for _, o := range open {
					switch {
					case o.Worker.ID == "i-1":
						if o.Kind == cell.OrderHold {
							d.Held(d.now, o, bamboofall.HoldReport{}, err)
						}
					case o.Kind == cell.OrderStart && o.Start.Task == start.Start.Task:
						return
					case o.Kind == cell.OrderHold:
						d.Held(d.now, o, bamboofall.HoldReport{Sighting: d.seen()}, nil)
					}
				}
			}
			t.Fatal("the task is not begun again 30 s after the last answer of its worker")
		})
	}
}
