package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// A worker restarts while calls wait at its former process. Their failure must not make the new
// process count as silent, as it would get no tasks for a while.
func TestFailedCallToFormerProcessLeavesNewOneUsable(t *testing.T) {
	for name, kind := range map[string]cell.OrderKind{"hold": cell.OrderHold, "start": cell.OrderStart} {
		t.Run(name, func(t *testing.T) {
			w := testWorker(1)
			c, u := newTestCell(w), newUnnamedWorkers()
			u.born[w.ID] = w.Born
			now := testStart
			var waiting []cell.Order
			run := func(d time.Duration, wait bool) {
				for until := now.Add(d); now.Before(until); now = now.Add(20 * time.Millisecond) {
					c.SetClaimConfirmed(now)
					for _, o := range c.Step(now).Orders {
						if wait && o.Kind == kind && o.Kind == cell.OrderStart || wait && o.Hold.Wait > 0 && kind == cell.OrderHold {
							waiting = append(waiting, o)
							continue
						}
						u.answer(c, now, o)
					}
					_, number, err := c.Flush()
					assert.NilError(t, err)
					c.Stored(now, number)
				}
			}
			run(100*time.Millisecond, false)
			submit(c, "0000000000000001", "q", standingStep)
			run(200*time.Millisecond, true)
			assert.Equal(t, len(waiting), 1)
			w.Born, u.born[w.ID], u.running = now, now, make(map[string][]bamboofall.RunningTask)
			c.SetWorker(now, w)
			run(100*time.Millisecond, false)
			failure := &bamboofall.NotDoneError{Call: kind.String(), NoListener: true}
			if kind == cell.OrderHold {
				c.HoldAnswered(now, waiting[0], bamboofall.HoldReport{}, failure)
			} else {
				c.StartAnswered(now, waiting[0], bamboofall.ResponseMeta{}, failure)
			}
			_, silent := c.Workers()
			assert.Equal(t, silent, 0)
		})
	}
}
