package cell_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// A worker that became silent long before a handover can run only what its closed record
// lists. Tasks at other workers must not wait until its report is overdue.
func TestHandoverDelaysOnlyTasksOfSilentWorker(t *testing.T) {
	testHandoverDelaysOnlyTasksOf(t, func(_ *cell.Cell, _ bamboofall.Worker) (silent bool) { return true })
}

// A worker that drained and left at a handover never reports to the new owner. All waiting
// tasks of all begun jobs waited for it, and waited anew after each further handover.
func TestHandoverDelaysOnlyTasksOfWorkerThatLeft(t *testing.T) {
	testHandoverDelaysOnlyTasksOf(t, func(c *cell.Cell, w bamboofall.Worker) (silent bool) {
		w.Draining, w.Remaining = true, 4*time.Second
		c.SetWorker(testStart.Add(time.Second), w)
		return false
	})
}

// testHandoverDelaysOnlyTasksOf runs a task at each of two workers, of which the new owner
// does not reach the second. Disrupt tells the former owner why and reports whether that
// does not reach it either.
func testHandoverDelaysOnlyTasksOf(t *testing.T, disrupt func(*cell.Cell, bamboofall.Worker) (silent bool)) {
	t.Helper()
	queues := &bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}}
	leases := 20 * time.Second
	stored := make(map[string][]byte)
	flush := func(c *cell.Cell, now time.Time) {
		records, number, err := c.Flush()
		assert.NilError(t, err)
		c.Stored(now, number)
		for _, r := range records {
			stored[r.Key] = r.Value
			if r.Value == nil {
				delete(stored, r.Key)
			}
		}
	}
	unanswered := &bamboofall.UnknownOutcomeError{Call: "hold"}

	first := cell.New(cell.Config{Epoch: 1, Lease: 5 * time.Second, EndedJobRetention: time.Minute, RemoteFactor: 2})
	first.SetConfiguration(queues)
	first.SetWorker(testStart, testWorker(1))
	first.SetWorker(testStart, testWorker(2))
	apart := finiteStep
	apart.Count, apart.MaxPerWorker = 2, 1
	submit(first, "0000000000000001", "q", apart)
	silent, taskAt := false, make(map[string]bamboofall.TaskName)
	for d := time.Duration(0); d < 3*time.Second; d += 50 * time.Millisecond {
		now := testStart.Add(d)
		for _, o := range first.Step(now).Orders {
			meta := bamboofall.ResponseMeta{Clock: d + time.Second, Born: testStart}
			switch {
			case o.Kind == cell.OrderStart:
				taskAt[o.Worker.ID] = o.Start.Task
				first.StartAnswered(now, o, meta, nil)
				if len(taskAt) == 2 {
					silent = disrupt(first, testWorker(2))
				}
			case o.Kind == cell.OrderHold && silent && o.Worker.ID == "i-2":
				first.HoldAnswered(now, o, bamboofall.HoldReport{}, unanswered)
			case o.Kind == cell.OrderHold:
				report := bamboofall.HoldReport{ResponseMeta: meta}
				if name, runs := taskAt[o.Worker.ID]; runs {
					report.Running = []bamboofall.RunningTask{{Task: name, Run: 1, ProgressPercent: 10}}
				}
				first.HoldAnswered(now, o, report, nil)
			}
		}
		flush(first, now)
	}
	assert.Equal(t, len(taskAt), 2)

	next := cell.New(cell.Config{Epoch: 2, Lease: 5 * time.Second, FormerLeasesEnd: testStart.Add(leases), EndedJobRetention: time.Minute, RemoteFactor: 2})
	next.SetConfiguration(queues)
	records := storedRecords(stored)
	assert.Equal(t, len(next.Restore(testStart, records)), 0)
	next.SetWorker(testStart, testWorker(1))
	starts := make(map[bamboofall.TaskName]time.Duration)
	for d := time.Duration(0); d < leases+cell.LateEndGrace+time.Second; d += 100 * time.Millisecond {
		now := testStart.Add(d)
		for _, o := range next.Step(now).Orders {
			meta := bamboofall.ResponseMeta{Clock: d + time.Second, Born: testStart}
			switch {
			case o.Kind == cell.OrderStart:
				if _, again := starts[o.Start.Task]; !again {
					starts[o.Start.Task] = d
				}
				next.StartAnswered(now, o, meta, nil)
			case o.Worker.ID == "i-2":
				next.HoldAnswered(now, o, bamboofall.HoldReport{}, unanswered)
			case o.Kind == cell.OrderHold:
				// The other worker no longer runs its task.
				next.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta}, nil)
			}
		}
		flush(next, now)
	}
	assert.Assert(t, starts[taskAt["i-1"]] < time.Second, "%v", starts)
	assert.Assert(t, starts[taskAt["i-2"]] >= leases+cell.LateEndGrace, "%v", starts)
}

// Only tasks of steps that a former owner began may run at a worker that has not reported.
// All other steps waited for it, too, once their first task had been started.
func TestHandoverDoesNotDelayStepsThatNewOwnerBegan(t *testing.T) {
	next, announce := cellAfterHandover(t, wideStep, testWorker(1), testWorker(2))
	announce(next)
	const count = 80 // more than fit at the worker that answers
	submit(next, "0000000000000002", "q", bamboofall.Step{Count: count, Size: bamboofall.Resources{MilliProcessors: 1000}, Estimate: time.Second})
	started := make(map[bamboofall.TaskName]time.Duration)
	var running []bamboofall.RunningTask
	var ends []bamboofall.End
	for d := time.Duration(0); d < 8*time.Second; d += 100 * time.Millisecond {
		now := testStart.Add(d)
		meta := bamboofall.ResponseMeta{Clock: d + time.Second, Born: testStart}
		for _, o := range next.Step(now).Orders {
			switch {
			case o.Worker.ID == "i-2":
				if o.Kind == cell.OrderHold {
					next.HoldAnswered(now, o, bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: "hold"})
				}
			case o.Kind == cell.OrderStart:
				assert.Equal(t, o.Start.Task.Job, bamboofall.JobID("0000000000000002"), "a task that may run at the other worker is started after %v", d)
				started[o.Start.Task] = d
				running = append(running, bamboofall.RunningTask{Task: o.Start.Task, Run: o.Start.Run, ProgressPercent: 50})
				next.StartAnswered(now, o, meta, nil)
			case o.Kind == cell.OrderHold:
				for len(running) > 0 && started[running[0].Task] <= d-time.Second {
					ends = append(ends, bamboofall.End{Number: uint64(len(ends) + 1), Task: running[0].Task, Run: running[0].Run, Cause: bamboofall.EndDone})
					running = running[1:]
				}
				next.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta, Running: slices.Clone(running), Ends: ends}, nil)
			}
		}
		_, number, err := next.Flush()
		assert.NilError(t, err)
		next.Stored(now, number)
	}
	assert.Equal(t, len(started), count)
}

// A new owner stopped tasks to move them from draining workers, and then did not start them
// until all other workers had reported. It can once a worker has reported the run at a time at
// which no former owner acts, and must not stop the run before.
func TestTaskMovedAfterHandoverIsStartedAtOnce(t *testing.T) {
	workers := []bamboofall.Worker{testWorker(1), testWorker(2), testWorker(3)}
	step := standingStep
	step.Count, step.MaxPerWorker = 2, 1
	next, announce := cellAfterHandover(t, step, workers...)
	announce(next)
	workers[0].Draining, workers[0].Remaining = true, 4*time.Second
	next.SetWorker(testStart, workers[0])
	moved := bamboofall.TaskName{Job: "0000000000000001"}
	running := []bamboofall.RunningTask{{Task: moved, Run: 1, ProgressPercent: 100}}
	var ends []bamboofall.End
	const formerActsUntil = 9*time.Second - 5402*time.Millisecond // as in cellAfterHandover
	stoppedAt, startedAt := time.Duration(0), time.Duration(0)
	for d := time.Duration(0); d < 20*time.Second && startedAt == 0; d += 50 * time.Millisecond {
		now := testStart.Add(d)
		meta := bamboofall.ResponseMeta{Clock: d + time.Second, Born: testStart}
		for _, o := range next.Step(now).Orders {
			switch {
			case o.Worker.ID == "i-2":
				if o.Kind == cell.OrderHold {
					next.HoldAnswered(now, o, bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: "hold"})
				}
			case o.Kind == cell.OrderStart:
				assert.Equal(t, o.Start.Task, moved, "the other task may run at the worker that has not reported")
				startedAt = d
			case o.Kind == cell.OrderStop:
				stoppedAt = d
				running, ends = nil, []bamboofall.End{{Number: 1, Task: moved, Run: 1, Cause: bamboofall.EndStopped}}
				next.StopAnswered(now, o, meta, nil)
			case o.Kind == cell.OrderHold && o.Worker.ID == "i-1":
				next.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta, Running: running, Ends: ends}, nil)
			case o.Kind == cell.OrderHold:
				next.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta}, nil)
			}
		}
		_, number, err := next.Flush()
		assert.NilError(t, err)
		next.Stored(now, number)
	}
	assert.Assert(t, stoppedAt >= formerActsUntil && stoppedAt < formerActsUntil+time.Second, "stopped after %v", stoppedAt)
	assert.Assert(t, startedAt >= stoppedAt && startedAt < stoppedAt+500*time.Millisecond, "stopped after %v, started after %v", stoppedAt, startedAt)
}
