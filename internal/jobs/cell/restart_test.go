package cell_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// runUntilSilent runs a cell with two workers. The first stops answering one second after
// the start and answers again from back on, when it reports that the task of the last
// job, a finite one, completed. It returns the start times of the tasks of each job.
func runUntilSilent(t *testing.T, back time.Duration, steps ...bamboofall.Step) (starts map[bamboofall.JobID][]time.Duration, c *cell.Cell) {
	t.Helper()
	starts = make(map[bamboofall.JobID][]time.Duration)
	c = cell.New(cell.Config{Epoch: 1, Lease: 5 * time.Second, EndedJobRetention: time.Minute, RemoteFactor: 2})
	c.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}})
	c.SetWorker(testStart, testWorker(1))
	for i, s := range steps {
		submit(c, fmt.Sprintf("%016x", i+1), "q", s)
	}
	last := bamboofall.JobID(fmt.Sprintf("%016x", len(steps)))
	running := make(map[string][]bamboofall.RunningTask)
	for d := time.Duration(0); d < 20*time.Second; d += 50 * time.Millisecond {
		now := testStart.Add(d)
		if d == 500*time.Millisecond {
			c.SetWorker(now, testWorker(2))
		}
		for _, o := range c.Step(now).Orders {
			id := o.Worker.ID
			meta := bamboofall.ResponseMeta{Clock: d + time.Second, Born: testStart}
			unreachable := id == "i-1" && d > time.Second && d < back
			switch {
			case o.Kind == cell.OrderStart:
				starts[o.Start.Task.Job] = append(starts[o.Start.Task.Job], d)
				percent := 10
				if o.Start.Task.Job != last {
					percent = 100
				}
				running[id] = append(running[id], bamboofall.RunningTask{Task: o.Start.Task, Run: o.Start.Run, ProgressPercent: percent})
				c.StartAnswered(now, o, meta, nil)
			case o.Kind == cell.OrderHold && unreachable:
				c.HoldAnswered(now, o, bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: "hold"})
			case o.Kind == cell.OrderHold && id == "i-1" && d >= back:
				// Its finite task completed while it was unreachable; the others lapsed.
				c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta, Ends: []bamboofall.End{
					{Number: 1, Task: bamboofall.TaskName{Job: last}, Run: 1, Cause: bamboofall.EndDone},
				}}, nil)
			case o.Kind == cell.OrderHold:
				c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta, Running: running[id]}, nil)
			}
		}
		_, number, err := c.Flush()
		assert.NilError(t, err)
		c.Stored(now, number)
	}
	return starts, c
}

var (
	finiteStep   = bamboofall.Step{Count: 1, Size: bamboofall.Resources{MilliProcessors: 1000}, Estimate: 2 * time.Second}
	standingStep = bamboofall.Step{Count: 1, Size: bamboofall.Resources{MilliProcessors: 1000}, Standing: true}
)

// A worker that is cut off may complete its task and report it only when it is reachable
// again. Until then the task must not be started elsewhere.
func TestTaskThatMayHaveCompletedWaitsForSilentWorker(t *testing.T) {
	starts, c := runUntilSilent(t, 9*time.Second, finiteStep)
	assert.Equal(t, len(starts["0000000000000001"]), 1, "%v", starts)
	state, _ := c.Lookup("0000000000000001")
	assert.Equal(t, state, bamboofall.JobCompleted)
}

// The same alongside a standing task, which is started elsewhere after the lease expired.
func TestTaskBesideStandingTaskWaitsForSilentWorker(t *testing.T) {
	starts, c := runUntilSilent(t, 9*time.Second, standingStep, finiteStep)
	assert.Equal(t, len(starts["0000000000000002"]), 1, "%v", starts)
	state, _ := c.Lookup("0000000000000002")
	assert.Equal(t, state, bamboofall.JobCompleted)
	standingStarts := starts["0000000000000001"]
	assert.Equal(t, len(standingStarts), 2, "%v", starts)
	assert.Assert(t, standingStarts[1] > 5*time.Second && standingStarts[1] < 8*time.Second, "%v", starts)
}

// The wait ends LateEndGrace after the leases expired.
func TestTaskIsRestartedWhenWorkerStaysSilent(t *testing.T) {
	starts, _ := runUntilSilent(t, time.Hour, standingStep, finiteStep)
	taskStarts := starts["0000000000000002"]
	assert.Equal(t, len(taskStarts), 2, "%v", starts)
	bound := time.Second + cell.MaxLeaseDuration(5*time.Second) + cell.LateEndGrace
	assert.Assert(t, taskStarts[1] >= bound-time.Second && taskStarts[1] <= bound+time.Second, "%v", starts)
}

// cellWithStart returns a cell with a worker at which the only task of a job has been
// ordered, the start order, and a function that steps the cell, stores its flush and
// returns its orders.
func cellWithStart(t *testing.T) (c *cell.Cell, start cell.Order, step func(now time.Time) []cell.Order) {
	t.Helper()
	c = cell.New(cell.Config{Epoch: 1, Lease: 5 * time.Second, EndedJobRetention: time.Minute, RemoteFactor: 2})
	c.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}})
	c.SetWorker(testStart, testWorker(1))
	submit(c, "0000000000000001", "q", finiteStep)
	step = func(now time.Time) []cell.Order {
		out := c.Step(now)
		_, number, err := c.Flush()
		assert.NilError(t, err)
		c.Stored(now, number)
		return out.Orders
	}
	for i := 0; i < 5 && start.Kind == 0; i++ {
		for _, o := range step(testStart) {
			if o.Kind == cell.OrderStart {
				start = o
				continue
			}
			c.HoldAnswered(testStart, o, bamboofall.HoldReport{ResponseMeta: bamboofall.ResponseMeta{Clock: time.Second, Born: testStart}}, nil)
		}
	}
	assert.Equal(t, start.Kind, cell.OrderStart)
	return c, start, step
}

// fullPageOfEnds returns a full page of run ends of an unknown job.
func fullPageOfEnds(first uint64) (ends []bamboofall.End) {
	for n := range uint64(cell.MaxEndsPerReport) {
		ends = append(ends, bamboofall.End{Number: first + n, Task: bamboofall.TaskName{Job: "00000000000000ff", Index: int(n)}, Run: 1, Cause: bamboofall.EndStopped})
	}
	return ends
}

// Workers list at most MaxEndsPerReport run ends at a time. A run that is neither running
// nor on a full page may have completed, with its end on a later page.
func TestRunWithEndOnLaterPageIsNotLost(t *testing.T) {
	c, start, step := cellWithStart(t)
	now := testStart
	meta := bamboofall.ResponseMeta{Clock: time.Second, Born: testStart}
	c.StartAnswered(now, start, meta, nil)
	done := bamboofall.End{Number: cell.MaxEndsPerReport + 1, Task: start.Start.Task, Run: start.Start.Run, Cause: bamboofall.EndDone}
	starts := 0
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		for _, o := range step(now) {
			switch {
			case o.Kind == cell.OrderStart:
				starts++
			case o.Hold.AcknowledgedEnd == 0:
				c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta, Ends: fullPageOfEnds(1)}, nil)
			default:
				c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta, Ends: []bamboofall.End{done}}, nil)
			}
		}
	}
	assert.Equal(t, starts, 0)
	state, _ := c.Lookup("0000000000000001")
	assert.Equal(t, state, bamboofall.JobCompleted)
}

// The same after a handover.
func TestHandoverWaitsForEndsOnLaterPages(t *testing.T) {
	next, announce := cellAfterHandover(t, finiteStep, testWorker(1))
	announce(next)
	starts := 0
	for d := time.Duration(0); d < 3*time.Second; d += 100 * time.Millisecond {
		now := testStart.Add(d)
		meta := bamboofall.ResponseMeta{Clock: time.Second + d, Born: testStart}
		for _, o := range next.Step(now).Orders {
			switch {
			case o.Kind == cell.OrderStart:
				starts++
			case o.Hold.AcknowledgedEnd == 0:
				next.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta, Ends: fullPageOfEnds(1)}, nil)
			default:
				next.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta, Ends: []bamboofall.End{
					{Number: cell.MaxEndsPerReport + 1, Task: bamboofall.TaskName{Job: "0000000000000001"}, Run: 1, Cause: bamboofall.EndDone},
				}}, nil)
			}
		}
		_, number, err := next.Flush()
		assert.NilError(t, err)
		next.Stored(now, number)
	}
	assert.Equal(t, starts, 0)
	state, _ := next.Lookup("0000000000000001")
	assert.Equal(t, state, bamboofall.JobCompleted)
}

// A duplicate start order is rejected as old if the run has already ended. The worker's
// list of run ends shows how.
func TestStartRejectedAsOldMayHaveCompleted(t *testing.T) {
	c, start, step := cellWithStart(t)
	now := testStart.Add(300 * time.Millisecond)
	meta := bamboofall.ResponseMeta{Clock: time.Second, Born: testStart}
	c.StartAnswered(now, start, bamboofall.ResponseMeta{}, &bamboofall.RejectedError{Call: "start", Cause: bamboofall.RejectEndedRun, ResponseMeta: meta})
	starts := 0
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		for _, o := range step(now) {
			switch o.Kind {
			case cell.OrderStart:
				starts++
			case cell.OrderHold:
				c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta, Ends: []bamboofall.End{
					{Number: 1, Task: start.Start.Task, Run: start.Start.Run, Cause: bamboofall.EndDone},
				}}, nil)
			}
		}
	}
	assert.Equal(t, starts, 0)
	state, _ := c.Lookup("0000000000000001")
	assert.Equal(t, state, bamboofall.JobCompleted)
}

// The same, but the worker lists no end of the run.
func TestStartRejectedAsOldIsRestartedWithoutReportedEnd(t *testing.T) {
	c, start, step := cellWithStart(t)
	now := testStart
	meta := bamboofall.ResponseMeta{Clock: time.Second, Born: testStart}
	c.StartAnswered(now, start, bamboofall.ResponseMeta{}, &bamboofall.RejectedError{Call: "start", Cause: bamboofall.RejectEndedRun, ResponseMeta: meta})
	starts := 0
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		for _, o := range step(now) {
			switch o.Kind {
			case cell.OrderStart:
				starts++
				assert.Assert(t, o.Start.Run > start.Start.Run)
			case cell.OrderStop:
				c.StopAnswered(now, o, meta, nil)
			case cell.OrderHold:
				c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta}, nil)
			}
		}
	}
	assert.Equal(t, starts, 1)
}

// Workers keep their IDs when they restart. An order sent to the previous incarnation can
// start a run in the new one, which must be kept.
func TestStartCarriedOutByNewIncarnationIsKept(t *testing.T) {
	for _, answered := range []bool{true, false} {
		t.Run(fmt.Sprintf("answered=%v", answered), func(t *testing.T) {
			c, start, step := cellWithStart(t)
			c.SetWorker(testStart, testWorker(2))
			now := testStart.Add(100 * time.Millisecond)
			for _, o := range step(now) {
				c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: bamboofall.ResponseMeta{Clock: time.Second, Born: testStart}}, nil)
			}
			reborn := testWorker(1)
			reborn.Born = now
			meta := bamboofall.ResponseMeta{Clock: time.Millisecond, Born: now}
			if answered {
				c.StartAnswered(now, start, meta, nil)
			} else {
				c.SetWorker(now, reborn)
			}
			starts, stops := 0, 0
			for range 20 {
				now = now.Add(50 * time.Millisecond)
				for _, o := range step(now) {
					here := bamboofall.HoldReport{ResponseMeta: bamboofall.ResponseMeta{Clock: now.Sub(reborn.Born), Born: reborn.Born}}
					switch {
					case o.Kind == cell.OrderStart:
						starts++
					case o.Kind == cell.OrderStop:
						stops++
					case o.Worker.ID == "i-2":
						c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: bamboofall.ResponseMeta{Clock: time.Second, Born: testStart}}, nil)
					default:
						here.Running = []bamboofall.RunningTask{{Task: start.Start.Task, Run: start.Start.Run, ProgressPercent: 50}}
						c.HoldAnswered(now, o, here, nil)
					}
				}
			}
			assert.Equal(t, starts, 0)
			assert.Equal(t, stops, 0)
		})
	}
}

// The answer to a call can arrive after the call was given up. If the worker then
// restarts, the run ends in this answer are not reported again.
func TestEndsInLateAnswerSurviveWorkerRestart(t *testing.T) {
	c, start, step := cellWithStart(t)
	now := testStart
	meta := bamboofall.ResponseMeta{Clock: time.Second, Born: testStart}
	c.StartAnswered(now, start, meta, nil)
	var hold cell.Order
	for hold.Kind == 0 {
		now = now.Add(50 * time.Millisecond)
		for _, o := range step(now) {
			hold = o
		}
	}
	c.HoldAnswered(now, hold, bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: "hold"})
	c.LateHoldAnswered(now, hold, bamboofall.HoldReport{ResponseMeta: meta, Ends: []bamboofall.End{
		{Number: 1, Task: start.Start.Task, Run: start.Start.Run, Cause: bamboofall.EndDone},
	}})
	reborn := testWorker(1)
	reborn.Born = now
	c.SetWorker(now, reborn)
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		for _, o := range step(now) {
			assert.Assert(t, o.Kind != cell.OrderStart)
		}
	}
	state, _ := c.Lookup("0000000000000001")
	assert.Equal(t, state, bamboofall.JobCompleted)
}

// A copy may run alongside a run that may have completed.
func TestSpeculativeTaskIsRestartedAfterLeaseExpiry(t *testing.T) {
	step := finiteStep
	step.Speculative = true
	starts, _ := runUntilSilent(t, 9*time.Second, step)
	assert.Equal(t, len(starts["0000000000000001"]), 2, "%v", starts)
	assert.Assert(t, starts["0000000000000001"][1] < 8*time.Second, "%v", starts)
}
