package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// A worker restarts without its owner's notice and begins a task. Its successor learns of the
// restart before the worker reports, and must not start the task elsewhere.
func TestTaskOfRestartUnnoticedByFormerOwnerRunsOnce(t *testing.T) {
	for name, step := range map[string]bamboofall.Step{"finite": finiteStep, "standing": standingStep} {
		t.Run(name, func(t *testing.T) {
			const reportsAt = 2 * time.Second
			restarted := testWorker(1)
			restarted.Born = testStart.Add(time.Second)
			next, _ := cellAfterHandover(t, step, testWorker(1))
			next.SetWorker(testStart, restarted)
			next.SetWorker(testStart, testWorker(2))
			task := bamboofall.TaskName{Job: "0000000000000001"}
			for d := time.Duration(0); d < 3*time.Second; d += 20 * time.Millisecond {
				now := testStart.Add(d)
				next.SetClaimConfirmed(now)
				for _, o := range next.Step(now).Orders {
					meta := bamboofall.ResponseMeta{Clock: d + time.Second, Born: testStart}
					switch {
					case o.Kind == cell.OrderHold && o.Worker.ID == restarted.ID && d < reportsAt:
						next.HoldAnswered(now, o, bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: "hold"})
					case o.Kind == cell.OrderHold && o.Worker.ID == restarted.ID:
						meta.Born = restarted.Born
						next.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta, Running: []bamboofall.RunningTask{{Task: task, Run: 1, ProgressPercent: 100}}}, nil)
					case o.Kind == cell.OrderHold:
						next.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta}, nil)
					default:
						t.Fatalf("%v of run %d at %s after %v", o.Kind, o.Start.Run, o.Worker.ID, d)
					}
				}
				_, number, err := next.Flush()
				assert.NilError(t, err)
				next.Stored(now, number)
			}
		})
	}
}
