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

const bestEffortJob = "0000000000000002"

// unannouncedCell is a cell after a handover. Workers i-1 and i-2 run a serving task each
// and answer, but the platform has announced only i-1 to the new owner.
type unannouncedCell struct {
	*cell.Cell
	t       *testing.T
	elapsed time.Duration
	running map[string][]bamboofall.RunningTask
	// started is the number of best-effort tasks that were started.
	started int
	// paces holds the ordered paces and when they were ordered.
	paces map[int]time.Duration
	// startedAt holds when a task was first started at each worker.
	startedAt map[string]time.Duration
}

// newUnannouncedCell returns a cell whose serving tasks report the given tail latency. The
// target is 50 ms.
func newUnannouncedCell(t *testing.T, tail time.Duration) *unannouncedCell {
	t.Helper()
	next, _ := cellAfterHandover(t, bamboofall.Step{
		Count: 2, Size: bamboofall.Resources{MilliProcessors: 1000}, Standing: true, MaxPerWorker: 1, Image: "serving", TailTarget: 50 * time.Millisecond,
	}, testWorker(1), testWorker(2))
	next.SetWorker(testStart, testWorker(1))
	u := &unannouncedCell{Cell: next, t: t, running: make(map[string][]bamboofall.RunningTask), paces: make(map[int]time.Duration), startedAt: make(map[string]time.Duration)}
	for i := range 2 {
		id := fmt.Sprintf("i-%d", i+1)
		u.running[id] = []bamboofall.RunningTask{{Task: bamboofall.TaskName{Job: "0000000000000001", Index: i}, Run: 1, ProgressPercent: 100, Gauge: tail.Milliseconds()}}
	}
	return u
}

func (u *unannouncedCell) submitBestEffort() {
	u.SubmitAccepted(testStart.Add(u.elapsed), &bamboofall.Job{ID: bestEffortJob, Queue: "q", Steps: []bamboofall.Step{{
		Count: 1, Size: bamboofall.Resources{MilliProcessors: 1000}, Estimate: time.Minute, BestEffort: true, Image: "work",
	}}}, nil)
}

// runBestEffort makes a worker run the best-effort task.
func (u *unannouncedCell) runBestEffort(worker string, run uint32) {
	u.running[worker] = append(u.running[worker], bamboofall.RunningTask{Task: bamboofall.TaskName{Job: bestEffortJob}, Run: run, Gauge: 500})
}

// report returns what a worker runs. Best-effort tasks make progress all the time.
func (u *unannouncedCell) report(worker string) []bamboofall.RunningTask {
	running := slices.Clone(u.running[worker])
	for i := range running {
		if running[i].Task.Job == bestEffortJob {
			running[i].ProgressPercent = 1 + int(u.elapsed/(100*time.Millisecond))
		}
	}
	return running
}

func (u *unannouncedCell) runUntil(until time.Duration) {
	u.t.Helper()
	for ; u.elapsed < until; u.elapsed += 100 * time.Millisecond {
		now := testStart.Add(u.elapsed)
		meta := bamboofall.ResponseMeta{Clock: u.elapsed + time.Second, Born: testStart}
		for _, o := range u.Step(now).Orders {
			switch o.Kind {
			case cell.OrderHold:
				u.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta, Running: u.report(o.Worker.ID)}, nil)
			case cell.OrderStart:
				u.started++
				if _, before := u.startedAt[o.Worker.ID]; !before {
					u.startedAt[o.Worker.ID] = u.elapsed
				}
				u.runBestEffort(o.Worker.ID, o.Start.Run)
				u.StartAnswered(now, o, meta, nil)
			case cell.OrderStop:
				u.StopAnswered(now, o, meta, nil)
			case cell.OrderPace:
				if _, before := u.paces[o.Percent]; !before {
					u.paces[o.Percent] = u.elapsed
				}
				u.PaceAnswered(now, o, meta, nil)
			}
		}
		_, number, err := u.Flush()
		assert.NilError(u.t, err)
		u.Stored(now, number)
	}
}

// What an unannounced worker reports must not make the predictions for others useless:
// best-effort tasks were started beside serving tasks that missed their targets.
func TestUnannouncedWorkerLeavesPredictedTailsUsable(t *testing.T) {
	for _, c := range []struct {
		tail    time.Duration
		started int
	}{{20 * time.Millisecond, 1}, {60 * time.Millisecond, 0}} {
		t.Run(c.tail.String(), func(t *testing.T) {
			u := newUnannouncedCell(t, c.tail)
			u.runUntil(4 * time.Second)
			u.submitBestEffort()
			u.runUntil(6 * time.Second) // before the job counts as starved
			assert.Equal(t, u.started, c.started)
		})
	}
}

// Best-effort tasks at an unannounced worker must be slowed like others, not only once the
// tail has been above its target for half of MaxTailViolation.
func TestBestEffortTaskAtUnannouncedWorkerIsPaused(t *testing.T) {
	u := newUnannouncedCell(t, 60*time.Millisecond)
	u.submitBestEffort()
	u.runBestEffort("i-2", 1)
	u.runUntil(5 * time.Second)
	at, paused := u.paces[0]
	// A serving task is judged 1.5 s after it was adopted.
	assert.Assert(t, paused && at < 2500*time.Millisecond, "paused: %v, at %v", paused, at)
}

// A worker that the platform does not list after a cut reports a run of a job that has
// ended. Its size is not known then, and what the run takes never is. Nothing may be started
// there before the run is gone, or the worker would hold more than its room.
func TestNothingIsStartedBesideOrphanOfUnannouncedWorker(t *testing.T) {
	u := newUnannouncedCell(t, 20*time.Millisecond)
	const gone = 4 * time.Second
	orphan := bamboofall.RunningTask{Task: bamboofall.TaskName{Job: "00000000000000ff"}, Run: 1}
	serving := u.running["i-2"]
	u.running["i-2"] = append(slices.Clone(serving), orphan)
	u.runUntil(time.Second)
	u.SetWorker(testStart.Add(u.elapsed), testWorker(2))
	submit(u.Cell, bestEffortJob, "q", bamboofall.Step{Count: 2, Size: bamboofall.Resources{MilliProcessors: 1000}, Estimate: time.Minute, MaxPerWorker: 1})
	u.runUntil(gone)
	_, started := u.startedAt["i-1"]
	assert.Assert(t, started)
	_, started = u.startedAt["i-2"]
	assert.Assert(t, !started, "started at %v beside the orphan", u.startedAt["i-2"])
	u.running["i-2"] = serving
	u.runUntil(gone + 2*time.Second)
	_, started = u.startedAt["i-2"]
	assert.Assert(t, started, "not started after the orphan was gone")
}
