package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
)

// The late answers of a relay that failed took long, as it failed. They say nothing
// of how long answers take now.
func TestLateAnswersOfARelayDoNotSlowTheOwner(t *testing.T) {
	c := New(Config{})
	now := time.Unix(1000, 0)
	c.SetWorker(now, bamboofall.Worker{WorkerRef: bamboofall.WorkerRef{ID: "i-1"}, Born: now})
	w := c.workers["i-1"]
	for range 50 {
		c.noteAnswer(now, Order{sent: now.Add(-5 * time.Millisecond)})
	}
	for range 3 {
		c.HeldLate(now, Order{Kind: OrderHold, sent: now.Add(-3 * time.Second), worker: w, born: w.born}, bamboofall.HoldReport{Sighting: bamboofall.Sighting{Clock: time.Second}})
	}
	now = now.Add(answersFor)
	c.SetOwnerDelay(now, 0)
	c.Step(now)
	assert.Assert(t, !c.ownerSlow(now), "3 late answers among 50 that took 5 ms")
}
