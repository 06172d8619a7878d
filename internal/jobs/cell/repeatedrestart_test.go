package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// A worker is announced anew every 2 s and refuses all calls. A standing task whose start it had
// answered must not wait for ever longer leases of its processes.
func TestStandingTaskDoesNotWaitForRepeatedRestarts(t *testing.T) {
	w, other := testWorker(1), testWorker(2)
	c, u := newTestCell(w), newUnnamedWorkers()
	u.born[w.ID], u.born[other.ID] = testStart, testStart
	now := testStart
	step := func(restarted bool) {
		now = now.Add(20 * time.Millisecond)
		c.SetClaimConfirmed(now)
		for _, o := range c.Step(now).Orders {
			switch {
			case restarted && o.Worker.ID == w.ID && o.Kind == cell.OrderHold:
				c.HoldAnswered(now, o, bamboofall.HoldReport{}, &bamboofall.NotDoneError{Call: "hold", NoListener: true})
			case o.Kind == cell.OrderHold && o.Hold.Wait > 0: // waits until the worker restarts
			default:
				u.answer(c, now, o)
			}
		}
		_, number, err := c.Flush()
		assert.NilError(t, err)
		c.Stored(now, number)
	}
	submit(c, soundJob, "q", standingStep)
	for range 25 {
		step(false)
	}
	assert.Equal(t, len(u.running[w.ID]), 1)
	c.SetWorker(now, other)
	for range 5 {
		step(false)
	}
	restartedAt := now
	delete(u.running, w.ID)
	for announceAt := now; len(u.running[other.ID]) == 0 && now.Sub(restartedAt) < 30*time.Second; step(true) {
		if !now.Before(announceAt) {
			w.Born, announceAt = now, now.Add(2*time.Second)
			c.SetWorker(now, w)
		}
	}
	away := now.Sub(restartedAt)
	assert.Assert(t, away <= 6*time.Second, "away for %v", away)
}
