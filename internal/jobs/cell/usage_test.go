package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// Processor time counts for the outcome of its job, and as discarded if the run ended
// without a result.
func TestUsageAccountsForProcessorTimeByOutcome(t *testing.T) {
	c := newTestCell(testWorker(1))
	var running []bamboofall.RunningTask
	var ends []bamboofall.End
	step := func(now time.Time) {
		for _, o := range c.Step(now).Orders {
			meta := bamboofall.ResponseMeta{Clock: now.Sub(testStart) + time.Second, Born: testStart}
			switch o.Kind {
			case cell.OrderStart:
				running = append(running, bamboofall.RunningTask{Task: o.Start.Task, Run: o.Start.Run})
				c.StartAnswered(now, o, meta, nil)
			case cell.OrderHold:
				c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta, Running: running, Ends: ends}, nil)
			}
		}
		_, number, err := c.Flush()
		assert.NilError(t, err)
		c.Stored(now, number)
	}
	end := func(task bamboofall.TaskName, cause bamboofall.EndCause) {
		for i, r := range running {
			if r.Task == task {
				running = append(running[:i:i], running[i+1:]...)
				ends = append(ends, bamboofall.End{Number: uint64(len(ends) + 1), Task: task, Run: r.Run, Cause: cause})
				return
			}
		}
		t.Fatalf("task %v does not run", task)
	}
	// The first task fails after a second. Both tasks are done a second later, so that
	// the job is late: its objective is 2 x 0.5 s + 1 s.
	submit(c, "0000000000000001", "q", bamboofall.Step{Count: 1, Size: bamboofall.Resources{MilliProcessors: 2000}, Estimate: 500 * time.Millisecond})
	submit(c, "0000000000000002", "q", bamboofall.Step{Count: 1, Size: bamboofall.Resources{MilliProcessors: 1000}, Estimate: 500 * time.Millisecond})
	late, cancelled := bamboofall.TaskName{Job: "0000000000000001"}, bamboofall.TaskName{Job: "0000000000000002"}
	for d := time.Duration(0); d <= 3*time.Second; d += 20 * time.Millisecond {
		switch d {
		case time.Second:
			end(late, bamboofall.EndFailed)
			c.Cancel(testStart.Add(d), cancelled.Job)
			end(cancelled, bamboofall.EndStopped)
		case 2500 * time.Millisecond:
			end(late, bamboofall.EndDone)
		}
		step(testStart.Add(d))
	}
	account := c.Usage()
	assert.Equal(t, account.String(), "reserved inTime 0 late 3 expired 0 unfinished 0 discarded 3")
}
