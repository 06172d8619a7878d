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

// holdsUntilSilent starts a task, lets each hold after that time out, and returns how
// long they were to wait until the worker was taken for silent.
func holdsUntilSilent(t *testing.T, delay time.Duration) (waits []time.Duration) {
	t.Helper()
	c, start, step := oneTask(t)
	now := benchStart
	c.Started(now, start, bamboofall.Sighting{Clock: time.Second, Born: benchStart}, nil)
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		c.SetOwnerDelay(now, delay)
		for _, o := range step(now) {
			if o.Kind != cell.OrderHold {
				continue
			}
			if o.Hold.LeaseUntil == 0 {
				return waits // it gets no new lease
			}
			waits = append(waits, o.Hold.Wait)
			now = now.Add(o.Hold.Wait + 400*time.Millisecond)
			c.SetOwnerDelay(now, delay)
			c.Held(now, o, bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: "hold"})
		}
	}
	t.Fatal("never silent")
	return nil
}

// An answer that a slow owner does not hear in time says nothing of the worker, nor
// that answers get lost. With more and shorter calls it would be slower still.
func TestASlowOwnerTakesNoWorkerForSilentAtOnce(t *testing.T) {
	assert.DeepEqual(t, holdsUntilSilent(t, 0), []time.Duration{2 * time.Second})
	assert.DeepEqual(t, holdsUntilSilent(t, 200*time.Millisecond), []time.Duration{2 * time.Second, 2 * time.Second, 2 * time.Second})
}

// While an owner is slow, no time tells that a worker has nothing to list. One that
// is no longer listed itself is not waited for.
func TestASlowOwnerBeginsNothingAgainAtAListedWorker(t *testing.T) {
	for name, gone := range map[string]time.Duration{"listed": time.Hour, "unlisted": 10 * time.Second} {
		t.Run(name, func(t *testing.T) {
			c, start, step := oneTask(t)
			c.Started(benchStart, start, bamboofall.Sighting{Clock: time.Second, Born: benchStart}, nil)
			c.SetWorker(benchStart, testWorker(2))
			starts := 0
			for d := 50 * time.Millisecond; d < 24*time.Second; d += 50 * time.Millisecond {
				now := benchStart.Add(d)
				c.SetOwnerDelay(now, 200*time.Millisecond)
				if d == gone {
					c.RemoveWorker(now, "i-1")
				}
				for _, o := range step(now) {
					seen := bamboofall.Sighting{Clock: time.Second + d, Born: benchStart}
					switch {
					case o.Kind == cell.OrderStart:
						starts++
						c.Started(now, o, seen, nil)
					case o.Worker.ID == "i-1":
						c.Held(now, o, bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: "hold"})
					case starts == 0:
						c.Held(now, o, bamboofall.HoldReport{Sighting: seen}, nil)
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

// An owner that is behind would only be slower for more starts. What it started runs
// on, all workers are heard, and one that is told of no delay is not limited.
func TestASlowOwnerStartsLess(t *testing.T) {
	const workers = 300
	play := func(delay time.Duration, told bool) (starts int, unheard map[string]time.Duration) {
		c := cell.New(cell.Config{Token: 1, Lease: 5 * time.Second, KeepEnded: time.Minute, RemoteFactor: 2})
		c.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}})
		for n := range workers {
			c.SetWorker(benchStart, testWorker(n))
		}
		running := make(map[string][]bamboofall.Placed)
		heard := make(map[string]time.Duration)
		unheard = make(map[string]time.Duration)
		var waiting []cell.Order
		for d := time.Duration(0); d < 10*time.Second; d += 50 * time.Millisecond {
			now := benchStart.Add(d)
			seen := bamboofall.Sighting{Clock: time.Second + d, Born: benchStart}
			if d < 5*time.Second {
				submit(c, fmt.Sprintf("%016x", 1+int(d/time.Millisecond)), "q", bamboofall.Step{
					Count: 50, Size: bamboofall.Resources{MilliProcessors: 1000}, Standing: true,
				})
			}
			if told {
				c.SetOwnerDelay(now, delay)
			}
			waiting = slices.DeleteFunc(waiting, func(o cell.Order) bool {
				id := o.Worker.ID
				due := d >= heard[id]+o.Hold.Wait
				if due {
					c.Held(now, o, bamboofall.HoldReport{Sighting: seen, Running: running[id]}, nil)
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
						heard[id] = d
					}
					running[id] = append(running[id], bamboofall.Placed{Task: o.Start.Task, Run: o.Start.Run, Percent: 100})
					c.Started(now, o, seen, nil)
				case cell.OrderHold:
					if len(running[id]) > 0 {
						unheard[id] = max(unheard[id], d-heard[id])
					}
					heard[id] = d
					waiting = append(waiting, o)
				}
			}
			_, number, err := c.Flush()
			assert.NilError(t, err)
			c.Stored(now, number)
		}
		return starts, unheard
	}
	free, _ := play(0, false)
	quick, _ := play(10*time.Millisecond, true)
	slow, unheard := play(300*time.Millisecond, true)
	assert.Assert(t, free > 2*slow, "%d, %d", free, slow)
	assert.Assert(t, quick > 2*slow, "%d, %d", quick, slow)
	assert.Assert(t, slow > 100, "%d", slow)
	assert.Assert(t, len(unheard) > workers/6, "%d", len(unheard))
	for id, d := range unheard {
		assert.Assert(t, d < 5*time.Second, "%s was not called for %v, and its lease ended", id, d)
	}
}
