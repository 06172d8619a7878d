package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// A job with a single task that fails at every worker must not make sound workers
// suspect.
func TestTaskThatFailsAtSeveralWorkersDoesNotMakeThemSuspect(t *testing.T) {
	c := cell.New(cell.Config{Epoch: 1, Lease: 5 * time.Second, EndedJobRetention: time.Minute, RemoteFactor: 2})
	c.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}})
	c.SetWorker(testStart, testWorker(1))
	c.SetWorker(testStart, testWorker(2))
	submit(c, "0000000000000001", "q", standingStep)
	ends := make(map[string][]bamboofall.End)
	starts := 0
	for d := time.Duration(0); d < 5*time.Second; d += 20 * time.Millisecond {
		now := testStart.Add(d)
		for _, o := range c.Step(now).Orders {
			meta := bamboofall.ResponseMeta{Clock: d + time.Second, Born: testStart}
			at := o.Worker.ID
			switch o.Kind {
			case cell.OrderStart:
				starts++
				ends[at] = append(ends[at], bamboofall.End{
					Number: uint64(len(ends[at]) + 1), Task: o.Start.Task, Run: o.Start.Run, Cause: bamboofall.EndFailed,
				})
				c.StartAnswered(now, o, meta, nil)
			case cell.OrderHold:
				c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta, Ends: ends[at]}, nil)
			}
		}
		_, number, err := c.Flush()
		assert.NilError(t, err)
		c.Stored(now, number)
	}
	assert.Equal(t, c.Counters().Quarantines, int64(0))
	assert.Assert(t, starts > 10, "%d starts", starts)
}
