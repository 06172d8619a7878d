package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// Once a restart is known, the clock of the former process must not be compared with answers of
// the new one, or the worker would count as restarted once more.
func TestKnownRestartIsNotShownByClockAgain(t *testing.T) {
	w := testWorker(1)
	w.Born = testStart.Add(-time.Minute)
	c, u := newTestCell(w), newUnnamedWorkers()
	u.born[w.ID] = w.Born
	now, stops := testStart, 0
	step := func(answers func(o cell.Order) bool) {
		now = now.Add(20 * time.Millisecond)
		c.SetClaimConfirmed(now)
		out := c.Step(now)
		for _, n := range out.Notes {
			assert.Assert(t, n.Event != "worker clock set back")
		}
		for _, o := range out.Orders {
			if answers(o) {
				u.answer(c, now, o)
			}
		}
		_, number, err := c.Flush()
		assert.NilError(t, err)
		c.Stored(now, number)
	}
	all := func(cell.Order) bool { return true }
	for range 5 {
		step(all)
	}
	submit(c, "0000000000000001", "q", standingStep)
	for range 5 {
		step(func(o cell.Order) bool { return false }) // the start stays unanswered
	}
	w.Born, u.born[w.ID] = now, now
	c.SetWorker(now, w)
	c.Cancel(now, "0000000000000001")
	for range 5 {
		step(func(o cell.Order) bool {
			if o.Kind == cell.OrderStop {
				stops++
			}
			return o.Kind == cell.OrderStop
		})
	}
	assert.Equal(t, stops, 1)
	step(all)
}
