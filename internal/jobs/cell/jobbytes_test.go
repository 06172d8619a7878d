package cell_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/jobs/taskroom"
)

// Jobs are refused once the memory for them is taken, and accepted again once others have
// ended. What was accepted before is never refused, and a job that never fits is not told to
// come back.
func TestJobsBeyondRoomAreRefused(t *testing.T) {
	const retention = time.Minute
	now, n := testStart, 0
	c := cell.New(cell.Config{Epoch: 1, Lease: 5 * time.Second, EndedJobRetention: retention, RemoteFactor: 2, Room: taskroom.For(1 << 20)})
	c.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}})
	spec := func(count int) *bamboofall.Job {
		n++
		return &bamboofall.Job{ID: bamboofall.JobID(fmt.Sprintf("%016x", n)), Queue: "q", Repetitions: 1, FirstRun: testStart.Add(30 * time.Second),
			Interval: time.Second, Steps: []bamboofall.Step{{Count: count, Size: bamboofall.Resources{MilliProcessors: 1}, Estimate: time.Millisecond}}}
	}
	fill := func() (accepted []bamboofall.JobID) {
		for {
			job := spec(1)
			if _, refusal := c.Submit(now, job); refusal != nil {
				assert.Equal(t, refusal.Reason, cell.ReasonTooManyTasks)
				assert.Assert(t, refusal.RetryAfter > 0)
				return accepted
			}
			accepted = append(accepted, job.ID)
		}
	}
	first := fill()
	assert.Assert(t, len(first) > 10)
	_, refusal := c.Submit(now, &bamboofall.Job{ID: first[0], Queue: "q"})
	assert.Assert(t, refusal == nil, "a job that is known is not refused: %v", refusal)
	_, refusal = c.Submit(now, spec(1000))
	assert.DeepEqual(t, refusal, &cell.Refusal{Reason: cell.ReasonJobTooLarge})
	extra := spec(1000)
	c.SubmitAccepted(now, extra, nil)
	first = append(first, extra.ID)

	// Their occurrences open, and take as much as before.
	now = now.Add(30 * time.Second)
	c.Step(now)
	assert.Equal(t, len(fill()), 0)
	for _, id := range first {
		c.Cancel(now, id)
	}
	some := fill()
	assert.Assert(t, len(some) > 0 && len(some) < len(first))
	for _, id := range some {
		c.Cancel(now, id)
	}
	now = now.Add(retention)
	c.Step(now)
	assert.Equal(t, len(fill()), len(first)-1)
}
