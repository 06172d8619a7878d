package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// A worker restarts twice while a hold call is under way, and the second new process takes a lease
// by the clock of the first one. The process between had answered, so the owner reckoned with
// leases of its own only, and started the task elsewhere while it still ran after a cut.
func TestTasksStartElsewhereAfterLeaseByEarlierClock(t *testing.T) {
	const lease, longest = 5 * time.Second, 10 * time.Second
	w, other := testWorker(1), testWorker(2)
	c := cell.New(cell.Config{Epoch: 1, Lease: lease, MaxLease: longest, EndedJobRetention: time.Minute, RemoteFactor: 2})
	c.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}})
	c.SetWorker(testStart, w)
	now, up := testStart, time.Minute
	var running []bamboofall.RunningTask
	var stray *cell.Order
	restart := func() {
		w.Born, up, running = now, 0, nil
		c.SetWorker(now, w)
	}
	var leaseEnd, cutAt time.Time
	for ; now.Sub(testStart) < 20*time.Second; now = now.Add(20 * time.Millisecond) {
		c.SetClaimConfirmed(now)
		switch now.Sub(testStart) {
		case 200 * time.Millisecond:
			submit(c, "0000000000000001", "q", standingStep)
		case time.Second:
			assert.Assert(t, stray != nil, "no hold call under way")
			restart()
		case 1200 * time.Millisecond:
			restart()
			leaseEnd = now.Add(min(stray.Hold.LeaseUntil, longest)) // the stray call arrives
		case 1600 * time.Millisecond:
			cutAt = now
			c.SetWorker(now, other)
		}
		for _, o := range c.Step(now).Orders {
			meta := bamboofall.ResponseMeta{Clock: up + now.Sub(w.Born)}
			switch {
			case o.Kind == cell.OrderStart && o.Worker.ID == other.ID:
				assert.Assert(t, !now.Before(leaseEnd), "started elsewhere %v before the lease ended", leaseEnd.Sub(now))
				assert.Assert(t, now.Sub(leaseEnd) < time.Second, "started elsewhere %v after the lease ended", now.Sub(leaseEnd))
				return
			case o.Worker.ID == other.ID:
				meta.Born = other.Born
				c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta}, nil)
			case !cutAt.IsZero():
				c.HoldAnswered(now, o, bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: "hold"})
			case o.Kind == cell.OrderStart:
				running = append(running, bamboofall.RunningTask{Task: o.Start.Task, Run: o.Start.Run, ProgressPercent: 100})
				c.StartAnswered(now, o, meta, nil)
			case len(running) > 0 && stray == nil:
				stray = &o
			default:
				meta.Born = w.Born
				c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta, Running: running}, nil)
			}
		}
		_, number, err := c.Flush()
		assert.NilError(t, err)
		c.Stored(now, number)
	}
	t.Fatal("not started elsewhere")
}
