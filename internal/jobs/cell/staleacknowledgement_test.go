package cell_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// A hold call that acknowledges run ends is sent again by another relay, after the worker has
// restarted and completed a task. The start of that task must have fenced it, or the worker forgets
// the end. If the first call was lost and the worker has not restarted, the end is acknowledged by
// the second one.
func TestRepeatedHoldKeepsEndsOfNewProcess(t *testing.T) {
	d := newManualCell(t)
	start := d.next(cell.OrderStart)
	d.StartAnswered(d.now, start, d.meta(), nil)
	d.HoldAnswered(d.now, d.next(cell.OrderHold), bamboofall.HoldReport{ResponseMeta: d.meta(), Ends: []bamboofall.End{doneEnd(1, start)}}, nil)
	repeated := d.next(cell.OrderHold)
	assert.Equal(t, repeated.Hold.AcknowledgedEnd, uint64(1))
	d.submit("0000000000000002")
	started := d.next(cell.OrderStart)
	assert.Assert(t, tokenOf(repeated) < tokenOf(started))
	d.StartAnswered(d.now, started, d.meta(), nil)
	d.HoldAnswered(d.now, repeated, bamboofall.HoldReport{}, fenced)
	assert.Equal(t, d.next(cell.OrderHold).Hold.AcknowledgedEnd, uint64(1), "the end is not acknowledged again")
}

// A worker restarts without the owner's notice and completes a task. The next hold call must
// not make it forget that end, for which the task was started again.
func TestHoldKeepsEndsOfUnnoticedRestart(t *testing.T) {
	w := testWorker(1)
	c := newTestCell(w)
	now := testStart
	var ends []bamboofall.End
	listed := uint64(0)
	started := make(map[bamboofall.JobID]int)
	run := func(d time.Duration) {
		for until := now.Add(d); now.Before(until); now = now.Add(20 * time.Millisecond) {
			c.SetClaimConfirmed(now)
			for _, o := range c.Step(now).Orders {
				meta := bamboofall.ResponseMeta{Clock: now.Sub(w.Born) + time.Second}
				switch o.Kind {
				case cell.OrderStart:
					if started[o.Start.Task.Job]++; o.Start.Task.Job == "0000000000000002" && w.Born.Equal(testStart) {
						w.Born, ends, listed = now, nil, 0
						meta.Clock = time.Second
					}
					listed++
					ends = append(ends, bamboofall.End{Number: listed, Task: o.Start.Task, Run: o.Start.Run, Cause: bamboofall.EndDone})
					c.StartAnswered(now, o, meta, nil)
				case cell.OrderHold:
					ends = slices.DeleteFunc(ends, func(e bamboofall.End) bool { return e.Number <= o.Hold.AcknowledgedEnd })
					meta.Born = w.Born
					c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta, Ends: ends}, nil)
					c.SetWorker(now, w)
				}
			}
			_, number, err := c.Flush()
			assert.NilError(t, err)
			c.Stored(now, number)
		}
	}
	run(100 * time.Millisecond)
	step := finiteStep
	step.Count = 3
	submit(c, "0000000000000001", "q", step)
	run(time.Second)
	assert.Equal(t, started["0000000000000001"], 3)
	assert.Equal(t, len(ends), 0, "ends were not acknowledged")

	submit(c, "0000000000000002", "q", finiteStep)
	run(3 * time.Second)
	assert.Equal(t, started["0000000000000002"], 1)
	assert.Equal(t, len(ends), 0, "ends were not acknowledged")
}
