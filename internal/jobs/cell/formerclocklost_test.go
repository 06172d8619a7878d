package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// A worker crashes, returns after some seconds and is lost again soon. Its process has taken no
// order by the clock of the former one, so its tasks must not wait for the longest lease.
func TestTasksOfWorkerLostAfterItsReturnWaitForUsualLease(t *testing.T) {
	const lease, longest = 5 * time.Second, 10 * time.Second
	const crashedAt, returnedAt, lostAt = 2 * time.Second, 10 * time.Second, 11 * time.Second
	w := testWorker(1)
	c := cell.New(cell.Config{Token: 1, Lease: lease, MaxLease: longest, EndedJobRetention: time.Minute, RemoteFactor: 2})
	c.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}})
	c.SetWorker(testStart, w)
	submit(c, "0000000000000001", "q", standingStep)
	u := newUnnamedWorkers()
	u.born[w.ID] = w.Born
	failure := &bamboofall.UnknownOutcomeError{Call: "order"}
	startedAt, restarted := time.Duration(0), time.Duration(0)
	for d := time.Duration(0); d < 30*time.Second && restarted == 0; d += 20 * time.Millisecond {
		now := testStart.Add(d)
		c.SetClaimConfirmed(now)
		switch d {
		case returnedAt:
			w.Born, u.born[w.ID] = now, now
			delete(u.running, w.ID)
			c.SetWorker(now, w)
		case lostAt:
			other := testWorker(2)
			u.born[other.ID] = other.Born
			c.SetWorker(now, other)
		}
		for _, o := range c.Step(now).Orders {
			lost := o.Worker.ID == w.ID && (d >= crashedAt && d < returnedAt || d >= lostAt)
			switch {
			case lost && o.Kind == cell.OrderStart:
				c.StartAnswered(now, o, bamboofall.ResponseMeta{}, failure)
			case lost && o.Kind == cell.OrderHold:
				c.HoldAnswered(now, o, bamboofall.HoldReport{}, failure)
			case o.Kind == cell.OrderStart && o.Worker.ID != w.ID:
				restarted = d
			default:
				if o.Kind == cell.OrderStart && d >= returnedAt {
					startedAt = d
				}
				u.answer(c, now, o)
			}
		}
		_, number, err := c.Flush()
		assert.NilError(t, err)
		c.Stored(now, number)
	}
	assert.Assert(t, startedAt >= returnedAt, "not started after the return")
	bound := lostAt + cell.MaxLeaseDuration(lease) + 500*time.Millisecond
	assert.Assert(t, restarted > lostAt && restarted <= bound, "lost after %v, restarted after %v, bound %v", lostAt, restarted, bound)
}
