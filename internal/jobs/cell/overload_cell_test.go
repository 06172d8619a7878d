package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// holdsUntilSilent starts a task, lets each later hold call time out, and returns the
// wait times of these calls until the worker counts as silent.
func holdsUntilSilent(t *testing.T, delay time.Duration) (waits []time.Duration) {
	t.Helper()
	c, start, step := cellWithStart(t)
	now := testStart
	c.StartAnswered(now, start, bamboofall.ResponseMeta{Clock: time.Second, Born: testStart}, nil)
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		c.SetOwnerDelay(now, delay)
		for _, o := range step(now) {
			if o.Kind != cell.OrderHold {
				continue
			}
			if o.Hold.LeaseUntil == 0 {
				return waits // a silent worker gets no new lease
			}
			waits = append(waits, o.Hold.Wait)
			now = now.Add(o.Hold.Wait + 400*time.Millisecond)
			c.SetOwnerDelay(now, delay)
			c.HoldAnswered(now, o, bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: "hold"})
		}
	}
	t.Fatal("the worker did not become silent within 100 steps")
	return nil
}

// An answer that a slow owner handles too late shows neither that the worker is silent
// nor that answers get lost. More and shorter calls would slow the owner down further, so
// they are shortened only as far as the leases require.
func TestSlowOwnerToleratesMissedAnswers(t *testing.T) {
	assert.DeepEqual(t, holdsUntilSilent(t, 0), []time.Duration{2 * time.Second})
	assert.DeepEqual(t, holdsUntilSilent(t, 200*time.Millisecond), []time.Duration{2 * time.Second, 1400 * time.Millisecond, 0})
}

// While the owner is slow, no amount of time shows that a listed worker has no completed
// run to report. For an unlisted worker the wait ends.
func TestSlowOwnerRestartsTasksOfUnlistedWorkersOnly(t *testing.T) {
	for name, gone := range map[string]time.Duration{"listed": time.Hour, "unlisted": 10 * time.Second} {
		t.Run(name, func(t *testing.T) {
			c, start, step := cellWithStart(t)
			c.StartAnswered(testStart, start, bamboofall.ResponseMeta{Clock: time.Second, Born: testStart}, nil)
			c.SetWorker(testStart, testWorker(2))
			starts := 0
			for d := 50 * time.Millisecond; d < 24*time.Second; d += 50 * time.Millisecond {
				now := testStart.Add(d)
				c.SetOwnerDelay(now, 200*time.Millisecond)
				if d == gone {
					c.RemoveWorker(now, "i-1")
				}
				for _, o := range step(now) {
					meta := bamboofall.ResponseMeta{Clock: time.Second + d, Born: testStart}
					switch {
					case o.Kind == cell.OrderStart:
						starts++
						c.StartAnswered(now, o, meta, nil)
					case o.Worker.ID == "i-1":
						c.HoldAnswered(now, o, bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: "hold"})
					case starts == 0:
						c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta}, nil)
					}
				}
			}
			want := 0
			if gone < time.Hour {
				want = 1
			}
			assert.Equal(t, starts, want)
		})
	}
}

// More starts would slow down an owner that is behind. Its runs must continue and all its
// workers must be called in time. Without a reported delay nothing is limited.
func TestSlowOwnerLimitsStarts(t *testing.T) {
	const workers = 300
	run := func(delay time.Duration, reported bool) (starts int, longestGap map[string]time.Duration) {
		c := cell.New(cell.Config{Epoch: 1, Lease: 5 * time.Second, EndedJobRetention: time.Minute, RemoteFactor: 2})
		c.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}})
		for n := range workers {
			c.SetWorker(testStart, testWorker(n))
		}
		running := make(map[string][]bamboofall.RunningTask)
		calledAt := make(map[string]time.Duration)
		longestGap = make(map[string]time.Duration)
		var waiting []cell.Order
		for d := time.Duration(0); d < 10*time.Second; d += 50 * time.Millisecond {
			now := testStart.Add(d)
			meta := bamboofall.ResponseMeta{Clock: time.Second + d, Born: testStart}
			if d < 5*time.Second {
				submit(c, fmt.Sprintf("%016x", 1+int(d/time.Millisecond)), "q", bamboofall.Step{
					Count: 50, Size: bamboofall.Resources{MilliProcessors: 1000}, Standing: true,
				})
			}
			if reported {
				c.SetOwnerDelay(now, delay)
			}
			waiting = slices.DeleteFunc(waiting, func(o cell.Order) bool {
				id := o.Worker.ID
				due := d >= calledAt[id]+o.Hold.Wait
				if due {
					c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta, Running: running[id]}, nil)
				}
				return due
			})
			for _, o := range c.Step(now).Orders {
				id := o.Worker.ID
				switch o.Kind {
				case cell.OrderStart:
					if d >= 2*time.Second {
						starts++
					}
					if len(running[id]) == 0 {
						calledAt[id] = d
					}
					running[id] = append(running[id], bamboofall.RunningTask{Task: o.Start.Task, Run: o.Start.Run, ProgressPercent: 100})
					c.StartAnswered(now, o, meta, nil)
				case cell.OrderHold:
					if len(running[id]) > 0 {
						longestGap[id] = max(longestGap[id], d-calledAt[id])
					}
					calledAt[id] = d
					waiting = append(waiting, o)
				}
			}
			_, number, err := c.Flush()
			assert.NilError(t, err)
			c.Stored(now, number)
		}
		return starts, longestGap
	}
	unlimited, _ := run(0, false)
	fast, _ := run(10*time.Millisecond, true)
	slow, longestGap := run(300*time.Millisecond, true)
	assert.Assert(t, unlimited > 2*slow, "%d starts without a reported delay, %d with 300 ms", unlimited, slow)
	assert.Assert(t, fast > 2*slow, "%d starts with a delay of 10 ms, %d with 300 ms", fast, slow)
	assert.Assert(t, slow > 100, "%d starts", slow)
	assert.Assert(t, len(longestGap) > workers/6, "%d workers with runs", len(longestGap))
	for id, d := range longestGap {
		assert.Assert(t, d < 5*time.Second, "%s was not called for %v, so its lease expired", id, d)
	}
}
