package cell_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/state/lease"
)

// handovers simulates owners that follow each other. Two workers run a task each, and one
// of them is lost at the first handover. A third one has room.
type handovers struct {
	// at holds the times of the handovers.
	at []time.Duration
	// back and gone are when the lost worker can be reached again, and no longer. It can at
	// no time if they are equal.
	back, gone time.Duration
	// gap is the time without an owner at each handover after the first one.
	gap time.Duration
	// done is set if the lost worker's task completed when the worker was lost.
	done bool
	// unstored is when the store begins to fail until the next handover, or zero.
	unstored time.Duration
}

const (
	// formerGrants is the time from the last record of an owner to the end of the leases that
	// it may have granted: it acts for 3.5 s longer.
	formerGrants = 3500*time.Millisecond + 5402*time.Millisecond
)

// run returns the time from the first handover to the next start of the lost worker's task,
// or zero without one, and that to the end of the last lease granted to the worker after it.
func (h handovers) run(t *testing.T, step bamboofall.Step) (restarted, granted time.Duration) {
	t.Helper()
	step.Count, step.MaxPerWorker = 2, 1
	lost, other := testWorker(1), testWorker(2)
	lostAt := h.at[0]
	values := make(map[string][]byte)
	running := make(map[string][]bamboofall.RunningTask)
	var lostTask bamboofall.TaskName
	begin, formerEnd := time.Duration(0), time.Duration(0)
	for owner, end := range append(slices.Clone(h.at), h.at[len(h.at)-1]+40*time.Second) {
		c := cell.New(cell.Config{
			Epoch: uint64(owner + 1), Lease: 5 * time.Second, FormerLeasesEnd: testStart.Add(formerEnd + formerGrants), EndedJobRetention: time.Minute, RemoteFactor: 2,
			Clock: lease.NewCellClock(begin, testStart.Add(begin)),
		})
		c.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}})
		records := storedRecords(values)
		assert.Equal(t, len(c.Restore(testStart.Add(begin), records)), 0)
		c.SetWorker(testStart.Add(begin), other)
		if owner == 0 {
			c.SetWorker(testStart, lost)
			submit(c, "0000000000000001", "q", step)
		} else {
			c.SetWorker(testStart.Add(begin), testWorker(3))
		}
		for d := begin; d < end; d += 20 * time.Millisecond {
			now := testStart.Add(d)
			c.SetClaimConfirmed(now)
			for _, o := range c.Step(now).Orders {
				id := o.Worker.ID
				meta := bamboofall.ResponseMeta{Clock: d + time.Second, Born: testStart}
				var err error
				if id == lost.ID && d >= lostAt && (d < h.back || d >= h.gone) {
					err = &bamboofall.UnknownOutcomeError{Call: "order"}
				} else if id == lost.ID && d >= lostAt {
					granted = max(granted, o.Hold.LeaseUntil-time.Second-lostAt, o.Start.LeaseUntil-time.Second-lostAt)
				}
				switch o.Kind {
				case cell.OrderStart:
					if lostTask == o.Start.Task {
						return d - lostAt, granted
					}
					if id == lost.ID {
						lostTask = o.Start.Task
					}
					running[id] = append(running[id], bamboofall.RunningTask{Task: o.Start.Task, Run: o.Start.Run, ProgressPercent: 100})
					c.StartAnswered(now, o, meta, err)
				case cell.OrderStop:
					c.StopAnswered(now, o, meta, err)
				case cell.OrderHold:
					report := bamboofall.HoldReport{ResponseMeta: meta, Running: slices.Clone(running[id])}
					if h.done && id == lost.ID && d >= lostAt {
						report.Running, report.Ends = nil, []bamboofall.End{{Number: 1, Task: lostTask, Run: 1, Cause: bamboofall.EndDone}}
					}
					c.HoldAnswered(now, o, report, err)
				}
			}
			flushed, number, err := c.Flush()
			assert.NilError(t, err)
			if h.unstored > begin && d >= h.unstored {
				continue
			}
			c.Stored(now, number)
			for _, r := range flushed {
				values[r.Key] = r.Value
				if r.Value == nil {
					delete(values, r.Key)
				}
			}
		}
		begin, formerEnd = end, end
		if owner > 0 {
			begin += h.gap
		}
	}
	return 0, granted
}

// Tasks of a worker that is lost at a handover must not wait anew with each handover after it.
func TestTasksOfLostWorkerRestartDespiteFurtherHandovers(t *testing.T) {
	const slack = 500 * time.Millisecond
	for name, c := range map[string]struct {
		step bamboofall.Step
		// bound is the longest time from the first handover, and sinceLast that from the last.
		bound, sinceLast time.Duration
	}{
		"standing": {standingStep, formerGrants + slack, -time.Hour},
		"finite":   {finiteStep, formerGrants + cell.LateEndGrace + slack, cell.LateEndGrace + slack},
	} {
		t.Run(name, func(t *testing.T) {
			first := 2 * time.Second
			for _, interval := range []time.Duration{3 * time.Second, 5 * time.Second, 8 * time.Second} {
				at, _ := handovers{at: []time.Duration{first, first + interval, first + 2*interval, first + 3*interval}}.run(t, c.step)
				assert.Check(t, at > 0 && at <= max(c.bound, 3*interval+c.sinceLast), "a handover every %v: restarted after %v", interval, at)
			}
		})
	}
}

// If the worker can be reached for a while, it must get no lease before the store has a record
// that does not tell their end, and a successor must wait for that lease.
func TestTasksOfLostWorkerRestartOnlyAfterLeasesOfAnyOwner(t *testing.T) {
	const first, second = 2 * time.Second, 7 * time.Second
	leases := 0
	for back := first; back < second; back += 500 * time.Millisecond {
		for gone := back + 100*time.Millisecond; gone < second+3*time.Second; gone += 700 * time.Millisecond {
			for _, unstored := range []time.Duration{0, first + 20*time.Millisecond, first + time.Second, back, back + 60*time.Millisecond, back + time.Second} {
				if unstored >= second {
					continue
				}
				at, granted := handovers{at: []time.Duration{first, second}, back: back, gone: gone, unstored: unstored}.run(t, standingStep)
				assert.Assert(t, at > 0 && at >= granted, "back from %v to %v, unstored from %v: restarted after %v, last lease ends after %v", back, gone, unstored, at, granted)
				if granted > 0 {
					leases++
				}
			}
		}
	}
	assert.Assert(t, leases > 0)
}

// What an owner stored of the leases before it does not hold for those that its successor
// grants, which leaves the record as it is.
func TestTasksOfLostWorkerRestartOnlyAfterLeasesOfLaterOwner(t *testing.T) {
	const first, second, third = 2 * time.Second, 5 * time.Second, 9 * time.Second
	for back := second; back < third; back += 500 * time.Millisecond {
		at, granted := handovers{at: []time.Duration{first, second, third}, back: back, gone: third}.run(t, standingStep)
		assert.Assert(t, granted > 0 && at >= granted, "back from %v: restarted after %v, last lease ends after %v", back, at, granted)
	}
}

// Leases that have ended before an owner takes over say nothing about ends that it could not
// hear of yet: a worker that only the former owner did not reach reports its completed tasks.
func TestHandoverAfterEndOfLeasesWaitsForReport(t *testing.T) {
	const first, second, gap = 2 * time.Second, 14 * time.Second, 4 * time.Second
	at, _ := handovers{at: []time.Duration{first, second}, gap: gap, back: second + gap, gone: time.Hour, done: true}.run(t, finiteStep)
	assert.Equal(t, at, time.Duration(0), "started again")
}
