package cell_test

import (
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
