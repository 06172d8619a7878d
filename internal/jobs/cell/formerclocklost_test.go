package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/state/lease"
)

// A worker crashes, returns after some seconds and is lost again soon. Its process has taken no
// order by the clock of the former one, so its tasks must not wait for the longest lease.
func TestTasksOfWorkerLostAfterItsReturnWaitForUsualLease(t *testing.T) {
	const usual, longest = 5 * time.Second, 10 * time.Second
	const crashedAt, returnedAt, lostAt = 2 * time.Second, 10 * time.Second, 11 * time.Second
	w := testWorker(1)
	c := cell.New(cell.Config{Epoch: 1, Lease: usual, MaxLease: longest, EndedJobRetention: time.Minute, RemoteFactor: 2})
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
	bound := lostAt + cell.MaxLeaseDuration(usual) + 500*time.Millisecond
	assert.Assert(t, restarted > lostAt && restarted <= bound, "lost after %v, restarted after %v, bound %v", lostAt, restarted, bound)
}

// A worker that restarted unnoticed may have a run with the longest lease, and is cut off. A
// successor must wait for that lease, though all usual ones of the former owner end earlier.
func TestSuccessorWaitsForLeaseByFormerClock(t *testing.T) {
	const usual, longest = 5 * time.Second, 10 * time.Second
	w, other := testWorker(1), testWorker(2)
	values := make(map[string][]byte)
	newOwner := func(epoch uint64, now, formerLeasesEnd time.Time) *cell.Cell {
		c := cell.New(cell.Config{
			Epoch: epoch, Lease: usual, MaxLease: longest, FormerLeasesEnd: formerLeasesEnd, EndedJobRetention: time.Minute, RemoteFactor: 2,
			Clock: lease.NewCellClock(now.Sub(testStart), now),
		})
		c.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}})
		assert.Equal(t, len(c.Restore(now, storedRecords(values))), 0)
		return c
	}
	u := newUnnamedWorkers()
	u.born[w.ID], u.born[other.ID] = w.Born, other.Born
	failure := &bamboofall.UnknownOutcomeError{Call: "order"}
	var startedAt, again time.Time
	run := func(c *cell.Cell, now, until time.Time) {
		for ; now.Before(until) && again.IsZero(); now = now.Add(20 * time.Millisecond) {
			c.SetClaimConfirmed(now)
			for _, o := range c.Step(now).Orders {
				switch {
				case o.Kind == cell.OrderStart && startedAt.IsZero():
					startedAt = now
					w.Born, u.born[w.ID] = now, now
					u.answer(c, now, o)
					c.SetWorker(now, w)
				case o.Kind == cell.OrderStart:
					again = now
				case o.Worker.ID == w.ID && !startedAt.IsZero():
					c.HoldAnswered(now, o, bamboofall.HoldReport{}, failure)
				default:
					u.answer(c, now, o)
				}
			}
			flushed, number, err := c.Flush()
			assert.NilError(t, err)
			c.Stored(now, number)
			for _, r := range flushed {
				values[r.Key] = r.Value
				if r.Value == nil {
					delete(values, r.Key)
				}
			}
		}
	}
	handover := testStart.Add(2 * time.Second)
	first := newOwner(1, testStart, time.Time{})
	first.SetWorker(testStart, w)
	submit(first, "0000000000000001", "q", standingStep)
	run(first, testStart, handover)
	assert.Assert(t, !startedAt.IsZero())
	second := newOwner(2, handover, handover.Add(cell.MaxLeaseDuration(usual)))
	second.SetWorker(handover, other)
	run(second, handover, handover.Add(20*time.Second))
	assert.Assert(t, !again.IsZero(), "not started again")
	assert.Assert(t, again.Sub(startedAt) >= longest, "started again after %v", again.Sub(startedAt))
}
