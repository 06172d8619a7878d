package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// A worker restarts without the owner's notice and gets a lease by the clock of its former
// process, which it shortens to its longest one. The worker is then cut off. Its tasks must not
// be started elsewhere before that lease has ended.
func TestTasksStartElsewhereAfterLeaseByFormerClock(t *testing.T) {
	const lease, longest = 5 * time.Second, 10 * time.Second
	for name, r := range map[string]struct {
		announced bool
		reports   time.Duration
	}{
		"announced, no report":            {announced: true},
		"announced, reports for a second": {announced: true, reports: time.Second},
		"shown by its clock only":         {},
	} {
		t.Run(name, func(t *testing.T) {
			w, other := testWorker(1), testWorker(2)
			c := cell.New(cell.Config{Epoch: 1, Lease: lease, MaxLease: longest, EndedJobRetention: time.Minute, RemoteFactor: 2})
			c.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}})
			c.SetWorker(testStart, w)
			now, up := testStart, time.Minute
			var restartedAt, cutAt, leaseEnd, startedElsewhere time.Time
			var running []bamboofall.RunningTask
			extend := func(until time.Duration) {
				clock := up + now.Sub(w.Born)
				if end := now.Add(min(until-clock, longest)); until > clock && end.After(leaseEnd) {
					leaseEnd = end
				}
			}
			for ; now.Sub(testStart) < 20*time.Second && startedElsewhere.IsZero(); now = now.Add(20 * time.Millisecond) {
				c.SetClaimConfirmed(now)
				if now.Equal(testStart.Add(time.Second)) {
					submit(c, "0000000000000001", "q", standingStep)
				}
				for _, o := range c.Step(now).Orders {
					meta := bamboofall.ResponseMeta{Clock: up + now.Sub(w.Born)}
					cut := o.Worker.ID == w.ID && !cutAt.IsZero() && !now.Before(cutAt)
					switch o.Kind {
					case cell.OrderStart:
						if o.Worker.ID == other.ID {
							startedElsewhere = now
							continue
						}
						assert.Assert(t, !cut)
						if restartedAt.IsZero() {
							restartedAt, cutAt = now, now.Add(r.reports)
							w.Born, up, leaseEnd = now, 0, time.Time{}
							meta.Clock = time.Millisecond
						}
						extend(o.Start.LeaseUntil)
						running = append(running, bamboofall.RunningTask{Task: o.Start.Task, Run: o.Start.Run, ProgressPercent: 100})
						c.StartAnswered(now, o, meta, nil)
						if r.announced {
							c.SetWorker(now, w)
						}
					case cell.OrderHold:
						if cut {
							c.HoldAnswered(now, o, bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: "hold"})
							continue
						}
						report := bamboofall.HoldReport{ResponseMeta: meta}
						report.Born = testStart
						if o.Worker.ID == w.ID {
							extend(o.Hold.LeaseUntil)
							report.Born, report.Running = w.Born, running
						}
						c.HoldAnswered(now, o, report, nil)
					}
				}
				if !restartedAt.IsZero() {
					c.SetWorker(now, other)
				}
				_, number, err := c.Flush()
				assert.NilError(t, err)
				c.Stored(now, number)
			}
			assert.Assert(t, !startedElsewhere.IsZero())
			early := leaseEnd.Sub(startedElsewhere)
			assert.Assert(t, early <= 0, "started elsewhere %v before the lease ended", early)
			assert.Assert(t, early >= -time.Second, "started elsewhere %v after the lease ended", -early)
		})
	}
}
