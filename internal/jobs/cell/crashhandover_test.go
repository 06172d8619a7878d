package cell_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
)

// The owner is replaced after each crash, so that no owner sees two of them.
func TestCrashesOfTaskOutlastHandovers(t *testing.T) {
	f := newCrashFleet(t, 6, deadlyTask)
	submit(f.cell, deadlyJob, "q", longStep(1))
	for crashes := 1; crashes <= 5 && jobState(f.cell, deadlyJob) != "failed"; crashes++ {
		for range 30 {
			if f.run(time.Second); f.crashes[deadlyTask] >= crashes {
				break
			}
		}
		f.run(unlistDelay)
		f.replaceOwner()
	}
	f.run(60 * time.Second)
	assert.Equal(t, jobState(f.cell, deadlyJob), "failed")
	assert.Assert(t, f.starts[deadlyTask] <= 3, "starts: %v", f.starts)
}

// The owner is replaced as soon as a deadly task has crashed its worker, before it has
// seen the crash. The successor counts it for the runs in the worker's record.
func TestCrashDuringHandoverCounts(t *testing.T) {
	f := newCrashFleet(t, 6, deadlyTask)
	submit(f.cell, deadlyJob, "q", longStep(1))
	for crashes := 1; crashes <= 5 && jobState(f.cell, deadlyJob) != "failed"; crashes++ {
		for range 3000 {
			if f.run(10 * time.Millisecond); f.crashes[deadlyTask] >= crashes {
				break
			}
		}
		f.run(500 * time.Millisecond)
		f.replaceOwner()
	}
	f.run(60 * time.Second)
	assert.Equal(t, jobState(f.cell, deadlyJob), "failed")
	assert.Assert(t, f.starts[deadlyTask] <= 5, "starts: %v", f.starts)
}

// The crash under a start that was not answered is not counted.
func TestSuspectWithoutCountedCrashOutlastsHandover(t *testing.T) {
	f := newCrashFleet(t, 1, deadlyTask)
	f.unanswered, f.reuseAddresses = true, true
	submit(f.cell, deadlyJob, "q", longStep(1))
	f.run(unlistDelay - 100*time.Millisecond)
	assert.Equal(t, f.crashes[deadlyTask], 1)
	f.replaceOwner()
	delete(f.deadly, deadlyTask)
	for range 2000 {
		if f.run(10 * time.Millisecond); len(f.runningAt(deadlyTask)) > 0 {
			break
		}
	}
	submit(f.cell, soundJob, "q", longStep(1))
	f.run(400 * time.Millisecond)
	assert.Equal(t, f.starts[soundJob+".0.0.0"], 0)
	f.run(400 * time.Millisecond)
	assert.Equal(t, f.starts[soundJob+".0.0.0"], 1)
}

// A start may be stored and never ordered, as the owner is lost between the two.
func TestCrashAfterStoredStartThatWasNotOrderedDoesNotDecide(t *testing.T) {
	for lost := 1; lost <= 2; lost++ {
		f := newCrashFleet(t, 1)
		f.run(time.Second)
		f.losesOwner = func(records []bamboofall.StoreRecord) bool {
			starts := len(storedStarts(t, records, soundJob))
			if starts == 0 || int(f.epoch) > lost {
				return false
			}
			for _, w := range f.workers {
				if w.crashedAt.IsZero() {
					f.crash(w)
				}
			}
			return true
		}
		submit(f.cell, soundJob, "q", longStep(1))
		f.run(60 * time.Second)
		assert.Equal(t, int(f.epoch), lost+1)
		assert.Equal(t, f.cell.Counters().WorkersCrashed, int64(1))
		assert.Equal(t, f.cell.Counters().TasksSuspected, int64(1))
		assert.Equal(t, jobState(f.cell, soundJob), "running")
		assert.Equal(t, f.starts[soundJob+".0.0.0"], 1)
		assert.Equal(t, len(storedStarts(t, []bamboofall.StoreRecord{{Key: "p" + soundJob, Value: f.stored["p"+soundJob]}}, soundJob)), 0)
	}
}

// storedStarts returns the starts of the tasks of the first step of a job in records.
func storedStarts(t *testing.T, records []bamboofall.StoreRecord, job string) (starts []*jobpb.Start) {
	t.Helper()
	for _, r := range records {
		if r.Key != "p"+job {
			continue
		}
		progress := &jobpb.Progress{}
		assert.NilError(t, proto.Unmarshal(r.Value, progress))
		for _, task := range progress.GetOpen()[0].GetSteps()[0].GetTasks() {
			starts = append(starts, task.GetStarts()...)
		}
	}
	return starts
}

// A run that was a trial under a former owner is one under the next.
func TestTrialContinuesAfterHandover(t *testing.T) {
	f := newCrashFleet(t, 1)
	submit(f.cell, soundJob, "q", longStep(1))
	f.run(100 * time.Millisecond)
	f.crash(f.workers["i-1"])
	for range 2000 {
		if f.run(10 * time.Millisecond); f.starts[soundJob+".0.0.0"] == 2 {
			break
		}
	}
	f.replaceOwner()
	submit(f.cell, "0000000000000002", "q", longStep(1))
	f.run(400 * time.Millisecond)
	assert.Equal(t, f.starts["0000000000000002.0.0.0"], 0)
	f.run(400 * time.Millisecond)
	assert.Equal(t, f.starts["0000000000000002.0.0.0"], 1)
	assert.Equal(t, f.starts[soundJob+".0.0.0"], 2)
}

// The record of a silent worker tells how long it had survived its runs.
func TestOnlyYoungRunsAreSuspectsAfterHandover(t *testing.T) {
	f := newCrashFleet(t, 1, deadlyTask)
	submit(f.cell, soundJob, "q", longStep(4))
	f.run(time.Second)
	submit(f.cell, deadlyJob, "q", longStep(1))
	for f.crashes[deadlyTask] == 0 {
		f.run(10 * time.Millisecond)
	}
	f.run(time.Second)
	f.replaceOwner()
	f.run(unlistDelay)
	assert.Equal(t, f.cell.Counters().WorkersCrashed, int64(1))
	assert.Equal(t, f.cell.Counters().TasksSuspected, int64(1))
	assert.Equal(t, storedCrashes(t, f.stored["p"+soundJob]), 0)
	assert.Equal(t, storedCrashes(t, f.stored["p"+deadlyJob]), 1)
}

// The new owner learns of the worker from its record only.
func TestWorkerThatHasLeftDuringHandoverHasNotCrashed(t *testing.T) {
	f := newCrashFleet(t, 1)
	submit(f.cell, soundJob, "q", longStep(4))
	f.run(time.Second)
	w := f.workers["i-1"]
	leaving := w.Worker
	leaving.Draining, leaving.Remaining = true, time.Second
	f.cell.SetWorker(f.now, leaving)
	f.run(time.Second)
	f.crash(w)
	f.run(300 * time.Millisecond)
	f.cell.RemoveWorker(f.now, "i-1")
	f.replaceOwner()
	f.run(20 * time.Second)
	assert.Equal(t, f.cell.Counters().WorkersCrashed, int64(0))
	assert.Equal(t, f.cell.Counters().TasksSuspected, int64(0))
	assert.Equal(t, f.starts[soundJob+".0.0.0"], 2)
}

// The worker lists the end of the run to the next owner.
func TestCrashIsTakenBackAfterHandover(t *testing.T) {
	f := newCrashFleet(t, 1)
	w := f.workers["i-1"]
	submit(f.cell, soundJob, "q", bamboofall.Step{Count: 1, Size: bamboofall.Resources{MilliProcessors: 1000}, Standing: true})
	f.run(200 * time.Millisecond)
	w.cut = true
	f.run(time.Second)
	f.cell.RemoveWorker(f.now, "i-1")
	f.run(time.Second)
	assert.Equal(t, f.cell.Counters().WorkersCrashed, int64(1))
	assert.Equal(t, storedCrashes(t, f.stored["p"+soundJob]), 1)
	run := w.running[0]
	w.running, w.ends = nil, []bamboofall.End{{Number: 1, Task: run.Task, Run: run.Run, Cause: bamboofall.EndLapsed}}
	w.cut = false
	f.replaceOwner()
	f.run(200 * time.Millisecond)
	assert.Equal(t, storedCrashes(t, f.stored["p"+soundJob]), 0)
	assert.Equal(t, f.starts[soundJob+".0.0.0"], 2)
}

// storedCrashes returns the number of counted crashes in the progress of a job with a task.
func storedCrashes(t *testing.T, value []byte) (crashes int) {
	t.Helper()
	progress := &jobpb.Progress{}
	assert.NilError(t, proto.Unmarshal(value, progress))
	for _, task := range progress.GetOpen()[0].GetSteps()[0].GetTasks() {
		crashes += len(task.GetCrashedRuns())
	}
	return crashes
}
