package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// A late answer carries the clock of the worker as it was when the answer was given.
// Leases computed from it would end too early, and the worker would reject the starts as
// late.
func TestLateAnswerDoesNotSetClockBack(t *testing.T) {
	d := newManualCell(t)
	start := d.next(cell.OrderStart)
	d.StartAnswered(d.now, start, d.meta(), nil)
	givenUp := d.next(cell.OrderHold)
	running := []bamboofall.RunningTask{{Task: start.Start.Task, Run: start.Start.Run, ProgressPercent: 100}}
	late := bamboofall.HoldReport{ResponseMeta: d.meta(), Running: running}
	d.HoldAnswered(d.now, givenUp, bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: "order", Err: relayFailed})
	again := d.next(cell.OrderHold)
	for range 200 {
		d.step()
	}
	d.HoldAnswered(d.now, again, bamboofall.HoldReport{ResponseMeta: d.meta(), Running: running}, nil)
	d.LateHoldAnswered(d.now, givenUp, late)
	d.submit("0000000000000002")
	next := d.next(cell.OrderStart)
	left := next.Start.LeaseUntil - d.meta().Clock
	assert.Assert(t, left > 4*time.Second, "the lease of the start has only %v left", left)
}

// Calls to a worker may keep failing at a relay, for example one without capacity. The
// runs lapse with their leases and must be started elsewhere.
func TestTaskIsRestartedWhenRelayKeepsFailing(t *testing.T) {
	for name, err := range map[string]error{
		"not done": &bamboofall.NotDoneError{Call: "order", Reason: "it waited too long", Err: relayFailed},
		"unknown":  &bamboofall.UnknownOutcomeError{Call: "order", Err: relayFailed},
	} {
		t.Run(name, func(t *testing.T) {
			d := newManualCell(t)
			d.failOnSilence = false
			start := d.next(cell.OrderStart)
			d.StartAnswered(d.now, start, d.meta(), nil)
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
							d.HoldAnswered(d.now, o, bamboofall.HoldReport{}, err)
						}
					case o.Kind == cell.OrderStart && o.Start.Task == start.Start.Task:
						return
					case o.Kind == cell.OrderHold:
						d.HoldAnswered(d.now, o, bamboofall.HoldReport{ResponseMeta: d.meta()}, nil)
					}
				}
			}
			t.Fatal("the task was not restarted within 30 s of the last answer of its worker")
		})
	}
}
