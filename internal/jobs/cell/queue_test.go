package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// An owner may read a job from the inbox before the configuration that has its queue.
func TestJobFromInboxRunsOnceItsQueueIsConfigured(t *testing.T) {
	c := cell.New(cell.Config{Epoch: 1, Lease: 5 * time.Second, EndedJobRetention: time.Minute, RemoteFactor: 2})
	c.SetConfiguration(&bamboofall.Configuration{Version: 1})
	c.SetWorker(testStart, testWorker(1))
	submit(c, "0000000000000001", "q", finiteStep)
	started := false
	for d := time.Duration(0); d < 5*time.Second; d += 50 * time.Millisecond {
		now := testStart.Add(d)
		if d == time.Second {
			c.SetConfiguration(&bamboofall.Configuration{Version: 2, Queues: []bamboofall.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}})
		}
		out := c.Step(now)
		for _, o := range out.Orders {
			started = started || o.Kind == cell.OrderStart
		}
		answer(c, out, now)
		_, number, err := c.Flush()
		assert.NilError(t, err)
		c.Stored(now, number)
	}
	assert.Assert(t, started)
}
