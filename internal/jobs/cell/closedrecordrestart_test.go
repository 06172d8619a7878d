package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/state/lease"
)

// A worker restarts as an order arrives, whose answer is lost, so the owner closes its record. The
// successor gets a report of the new process, which is cut off then, and must wait for the
// lease by the clock of the former process.
func TestSuccessorOfClosedRecordWaitsForLeaseByFormerClock(t *testing.T) {
	const usual, longest = 5 * time.Second, 10 * time.Second
	const up = time.Minute
	for name, r := range map[string]struct{ byHold bool }{"start": {}, "hold": {true}} {
		t.Run(name, func(t *testing.T) {
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
			failure := &bamboofall.UnknownOutcomeError{Call: "order"}
			var leaseEnd, again, restartedAt, cutAt time.Time
			var running []bamboofall.RunningTask
			boot := testStart.Add(-up)
			extend := func(now time.Time, until time.Duration) {
				clock := now.Sub(boot)
				if end := now.Add(min(until-clock, longest)); until > clock && end.After(leaseEnd) {
					leaseEnd = end
				}
			}
			restart := func(now time.Time) {
				restartedAt, w.Born, boot, leaseEnd, running = now, now, now, time.Time{}, nil
			}
			run := func(c *cell.Cell, first bool, now, until time.Time) {
				for ; now.Before(until) && again.IsZero(); now = now.Add(20 * time.Millisecond) {
					c.SetClaimConfirmed(now)
					for _, o := range c.Step(now).Orders {
						meta := bamboofall.ResponseMeta{Clock: now.Sub(boot)}
						mine := o.Worker.ID == w.ID
						cut := mine && (first && !restartedAt.IsZero() || !cutAt.IsZero() && now.After(cutAt))
						switch o.Kind {
						case cell.OrderStart:
							switch {
							case !mine:
								again = now
							case cut:
								c.StartAnswered(now, o, bamboofall.ResponseMeta{}, failure)
							default:
								lost := first && !r.byHold
								if lost {
									restart(now)
								}
								extend(now, o.Start.LeaseUntil)
								running = append(running, bamboofall.RunningTask{Task: o.Start.Task, Run: o.Start.Run, ProgressPercent: 100})
								if lost {
									c.StartAnswered(now, o, bamboofall.ResponseMeta{}, failure)
								} else {
									c.StartAnswered(now, o, bamboofall.ResponseMeta{Clock: now.Sub(boot)}, nil)
								}
							}
						case cell.OrderHold:
							if cut {
								c.HoldAnswered(now, o, bamboofall.HoldReport{}, failure)
								continue
							}
							if first && mine && r.byHold && now.Sub(testStart) > 500*time.Millisecond && o.Hold.LeaseUntil > 0 {
								restart(now)
								extend(now, o.Hold.LeaseUntil)
								c.HoldAnswered(now, o, bamboofall.HoldReport{}, failure)
								continue
							}
							report := bamboofall.HoldReport{ResponseMeta: meta}
							report.Born = testStart
							if mine {
								extend(now, o.Hold.LeaseUntil)
								report.Born, report.Running = w.Born, running
							}
							c.HoldAnswered(now, o, report, nil)
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
			handover := testStart.Add(time.Second)
			first := newOwner(1, testStart, time.Time{})
			first.SetWorker(testStart, w)
			submit(first, "0000000000000001", "q", standingStep)
			run(first, true, testStart, handover)
			assert.Assert(t, !restartedAt.IsZero())
			second := newOwner(2, handover, handover.Add(3500*time.Millisecond+cell.MaxLeaseDuration(usual)))
			second.SetWorker(handover, w)
			run(second, false, handover, handover.Add(time.Second))
			assert.Assert(t, len(running) == 1, "%d", len(running))
			cutAt = handover.Add(time.Second)
			second.SetWorker(cutAt, other)
			run(second, false, cutAt, cutAt.Add(20*time.Second))
			assert.Assert(t, !again.IsZero())
			assert.Assert(t, !again.Before(leaseEnd), "started elsewhere %v before the lease ended", leaseEnd.Sub(again))
		})
	}
}
