package cell_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// An order to start a task is carried out late, by a worker that has restarted after the owner
// gave the run up. One of the two runs must be stopped, and not both.
func TestSecondRunOfTaskIsStopped(t *testing.T) {
	for name, step := range map[string]bamboofall.Step{"finite": finiteStep, "standing": standingStep} {
		for _, adopted := range []int{0, 100} {
			t.Run(fmt.Sprintf("%s, %d%% done", name, adopted), func(t *testing.T) {
				late, other := testWorker(1), testWorker(2)
				c, u := newTestCell(late), newUnnamedWorkers()
				u.born[late.ID], u.born[other.ID] = testStart, testStart
				var first cell.Order
				now := testStart
				run := func(d time.Duration) {
					for until := now.Add(d); now.Before(until); now = now.Add(20 * time.Millisecond) {
						c.SetClaimConfirmed(now)
						for _, o := range c.Step(now).Orders {
							if o.Kind == cell.OrderStart && first.Kind != cell.OrderStart {
								first = o
								c.StartAnswered(now, o, bamboofall.ResponseMeta{}, &bamboofall.UnknownOutcomeError{Call: "start"})
								continue
							}
							u.answer(c, now, o)
						}
						_, number, err := c.Flush()
						assert.NilError(t, err)
						c.Stored(now, number)
					}
				}
				run(100 * time.Millisecond)
				submit(c, "0000000000000001", "q", step)
				run(40 * time.Millisecond)
				assert.Equal(t, first.Kind, cell.OrderStart)
				late.Draining = true
				c.SetWorker(now, late)
				c.SetWorker(now, other)
				run(time.Second)
				assert.Equal(t, len(u.running[other.ID]), 1, "the task was not started elsewhere")
				u.running[other.ID][0].ProgressPercent = 50
				run(100 * time.Millisecond)

				late.Draining, late.Born = false, now
				u.born[late.ID] = now
				u.running[late.ID] = []bamboofall.RunningTask{{Task: first.Start.Task, Run: first.Start.Run, ProgressPercent: adopted}}
				c.SetWorker(now, late)
				run(time.Second)
				kept := other.ID
				if adopted == 100 {
					kept = late.ID
				}
				assert.Equal(t, len(u.running[kept]), 1, "the run with more progress was stopped: %v", u.running)
				assert.Equal(t, u.runsOf(first.Start.Task), 1)
			})
		}
	}
}
