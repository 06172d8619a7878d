package sessions

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/entry/node"
	"bamboofall.example/bamboofall/internal/standin/bed"
	"bamboofall.example/bamboofall/internal/standin/logstore"
	"bamboofall.example/bamboofall/internal/standin/worker"
	"bamboofall.example/bamboofall/internal/state/ledger"
)

// submitRuns submits n runs of a job one after the other.
func (s *scenario) submitRuns(vm bamboofall.VMID, job string, n int) {
	s.t.Helper()
	for i := range n {
		s.submit(vm, job, fmt.Sprintf("%s-%d", job, i))
	}
}

// logFigures logs totals of the workers and of north-e1's scheduler.
func (s *scenario) logFigures() {
	f := s.Audit.Figures()
	c := s.Entry("north-e1").Node.BatchCounters()
	s.logf("tasks started %d, finished %d; work done %v, lost %v; north-e1: evicted %d, lapsed %d, throttled %d",
		f.TasksStarted, f.TasksFinished, f.WorkDone.Round(time.Second), f.WorkLost.Round(time.Second), c.Evicted, c.Lapsed, c.Throttled)
}

func (s *scenario) runsDone(vm bamboofall.VMID, job string, n int) bool {
	for i := range n {
		if !s.runDone(vm, fmt.Sprintf("%s-%d", job, i)) {
			return false
		}
	}
	return true
}

// TestUrgentRunStartsWhileBackgroundWorkFillsWorkers requires an urgent run to start
// within 2.2 s on workers that are full of background work.
func TestUrgentRunStartsWhileBackgroundWorkFillsWorkers(t *testing.T) {
	s := newScenario(t, bed.Options{Seed: 5, Shards: 1, Workers: 4})
	s.start()
	live := s.Load(bed.Stream{Call: ledgerCall("tally"), Once: true, Rate: 300, To: s.Now() + 60*time.Second})
	s.submitRuns("north-e1", "sweep", 2)
	s.Run(s.Now() + 6*time.Second)
	s.logf("the workers are full of background work")
	s.logFigures()
	submittedAt := s.Now()
	s.submit("north-e1", "urgent-fill", "now")
	ok := s.RunUntil(submittedAt+10*time.Second, func() bool { return allTasksStarted(s, "now") })
	s.logf("urgent run started after %v", s.Now()-submittedAt)
	assert.Assert(t, ok && s.Now()-submittedAt <= 2200*time.Millisecond, "urgent run started after %v", s.Now()-submittedAt)
	s.RunUntil(s.Now()+300*time.Second, func() bool { return s.runsDone("north-e1", "sweep", 2) })
	s.logTasks("north-e1", "sweep-0")
	s.logTasks("north-e1", "sweep-1")
	s.logTasks("north-e1", "now")
	s.logFigures()
	s.logStats("tally", live)
	assert.Equal(t, s.Audit.Figures().TasksFinished, int64(62))
	s.assertTranscript("overnight")
}

// allTasksStarted reports whether every task of a run runs or has ended on a worker.
func allTasksStarted(s *scenario, run string) bool {
	r := s.Entry("north-e1").Node.Ledger().Run(run)
	if r == nil {
		return false
	}
	for _, t := range r.Tasks {
		if !s.Audit.Runs(t.ID) && !s.Audit.TaskEnded(t.ID) {
			return false
		}
	}
	return true
}

// TestManyRunsEndWhenHalfAreCancelled submits 40 runs at once and cancels half of
// them together.
func TestManyRunsEndWhenHalfAreCancelled(t *testing.T) {
	s := newScenario(t, bed.Options{Seed: 5})
	s.start()
	s.submitRuns("north-e1", "helium", 40)
	s.logTasks("north-e1", "helium-39")
	s.logf("the second half is cancelled")
	for i := 20; i < 40; i++ {
		s.Entry("north-e2").Step(node.Cancel{ID: fmt.Sprintf("cancel-%d", i), Run: fmt.Sprintf("helium-%d", i)})
	}
	s.submit("north-e2", "never", "too-large")
	ended := s.RunUntil(s.Now()+300*time.Second, func() bool { return s.runsDone("north-e1", "helium", 40) })
	s.logTasks("north-e1", "helium-0")
	s.logTasks("north-e1", "helium-19")
	s.logTasks("north-e1", "helium-39")
	s.logf("too-large: %s%s", s.Entry("north-e1").Node.PendingReason(bamboofall.TaskID{Run: "too-large"}),
		s.Entry("north-e2").Node.PendingReason(bamboofall.TaskID{Run: "too-large"}))
	s.logFigures()
	assert.Assert(t, ended, "not all runs have ended after 300 s")
	s.assertTranscript("panel-flood")
}

// TestNoisyJobIsThrottled submits a job that slows a service down on the same
// workers, in three waves.
func TestNoisyJobIsThrottled(t *testing.T) {
	s := newScenario(t, bed.Options{Seed: 5, TailWeight: 0.7, Noise: map[string]float64{"sweep": 0.8}}, "vm")
	s.start()
	quiet := s.Load(bed.Stream{Call: ledgerCall("plan"), Rate: 300, To: s.Now() + 20*time.Second})
	s.Run(s.Now() + 20*time.Second)
	s.logStats("quiet", quiet)
	for wave := range 3 {
		s.submit("north-e1", "sweep", fmt.Sprintf("wave-%d", wave))
		st := s.Load(bed.Stream{Call: ledgerCall("plan"), Rate: 300, To: s.Now() + 60*time.Second})
		s.Run(s.Now() + 60*time.Second)
		s.logStats(fmt.Sprintf("wave %d", wave), st)
		s.logFigures()
	}
	s.assertTranscript("noisy-waves")
}

// TestRunsEndAfterRackLoss loses the four workers of a rack at once.
func TestRunsEndAfterRackLoss(t *testing.T) {
	s := newScenario(t, bed.Options{Seed: 5, Workers: 8, Instances: 8})
	s.start()
	st := s.Load(bed.Stream{Call: ledgerCall("plan"), Rate: 200, To: s.Now() + 60*time.Second})
	s.submitRuns("north-e1", "helium", 10)
	s.Run(s.Now() + 3*time.Second)
	s.logf("a rack of four workers is lost")
	for _, id := range s.Workers()[:4] {
		workerDies.inject(s, target{worker: id})
	}
	ended := s.RunUntil(s.Now()+120*time.Second, func() bool { return s.runsDone("north-e1", "helium", 10) })
	s.logf("all runs have ended: %v", ended)
	s.logFigures()
	s.Run(s.Now() + 30*time.Second)
	s.logStats("plan", st)
	assert.Assert(t, ended)
	s.assertTranscript("rack-loss")
}

// TestRunsEndAfterLogOutageBeyondRetention makes the log unavailable for an hour,
// twice its retention time.
func TestRunsEndAfterLogOutageBeyondRetention(t *testing.T) {
	if testing.Short() {
		t.Skip("long")
	}
	s := newScenario(t, bed.Options{Seed: 5, Retention: 30 * time.Minute}, "log")
	s.start()
	s.submitRuns("north-e1", "sweep", 1)
	s.submitRuns("north-e1", "helium", 3)
	s.Run(s.Now() + 2*time.Second)
	s.Store.SetFaults(logstore.Faults{Down: true})
	s.logf("the log goes down for an hour")
	s.logFigures()
	s.Run(s.Now() + time.Minute)
	s.submit("north-e1", "helium", "during")
	st := s.Load(bed.Stream{Call: ledgerCall("tally"), Once: true, Rate: 50, To: s.Now() + 20*time.Second})
	s.Run(s.Now() + 59*time.Minute)
	s.logStats("tally", st)
	s.logFigures()
	appends, _ := s.Store.Appends()
	s.Store.SetFaults(logstore.Faults{})
	s.logf("the log comes back")
	s.Run(s.Now() + 10*time.Second)
	after, _ := s.Store.Appends()
	s.logf("appends in the first 10 s: %d", after-appends)
	ended := s.RunUntil(s.Now()+300*time.Second, func() bool {
		return s.runsDone("north-e1", "helium", 3) && s.runsDone("north-e1", "sweep", 1)
	})
	s.logf("all runs have ended: %v", ended)
	s.logFigures()
	assert.Assert(t, ended)
	s.assertTranscript("hour-outage")
}

// TestRunsEndAfterAllEntryVMsRestart kills and restarts the entry VMs one by one,
// then all at once.
func TestRunsEndAfterAllEntryVMsRestart(t *testing.T) {
	s := newScenario(t, bed.Options{Seed: 5, Entries: 3})
	s.start()
	s.submitRuns("north-e1", "sweep", 2)
	for _, vm := range s.Entries() {
		s.Kill(vm)
		s.StartEntry(vm)
		s.Run(s.Now() + 10*time.Second)
	}
	s.logf("replaced one by one")
	s.logFigures()
	for _, vm := range s.Entries() {
		s.Kill(vm)
	}
	s.Run(s.Now() + 3*time.Second)
	for _, vm := range s.Entries() {
		s.StartEntry(vm)
	}
	s.logf("replaced all at once")
	ended := s.RunUntil(s.Now()+300*time.Second, func() bool { return s.runsDone("north-e1", "sweep", 2) })
	s.logTasks("north-e1", "sweep-0")
	s.logTasks("north-e1", "sweep-1")
	s.logFigures()
	assert.Assert(t, ended)
	assert.Equal(t, s.Audit.Figures().TasksFinished, int64(60))
	s.assertTranscript("replace-all")
}

// TestFailingWorkerIsAvoidedUntilItRecovers makes a worker fail every task that it
// starts. No task may fail for good, and the worker must get tasks again after it
// has recovered.
func TestFailingWorkerIsAvoidedUntilItRecovers(t *testing.T) {
	s := newScenario(t, bed.Options{Seed: 5}, "vm")
	s.start()
	faulty := s.Workers()[0]
	s.Worker(faulty).SetFaults(s.Clock(), worker.Faults{FailsAll: true})
	s.submitRuns("north-e1", "helium", 6)
	s.RunUntil(s.Now()+200*time.Second, func() bool { return s.runsDone("north-e1", "helium", 6) })
	for i := range 6 {
		s.logTasks("north-e1", fmt.Sprintf("helium-%d", i))
	}
	s.Worker(faulty).SetFaults(s.Clock(), worker.Faults{})
	s.logf("the worker has recovered")
	s.Run(s.Now() + 60*time.Second)
	s.submitRuns("north-e2", "sweep", 1)
	s.Run(s.Now() + 10*time.Second)
	s.logf("tasks on the worker: %d", s.Worker(faulty).Running())
	assert.Assert(t, s.Worker(faulty).Running() > 0, "the recovered worker gets no tasks")
	for i := range 6 {
		assert.Equal(t, failedTasks(s, fmt.Sprintf("helium-%d", i)), 0)
	}
	s.assertTranscript("sick-worker")
}

func failedTasks(s *scenario, run string) int {
	n := 0
	for _, t := range s.Entry("north-e1").Node.Ledger().Run(run).Tasks {
		if t.Status == ledger.TaskFailed {
			n++
		}
	}
	return n
}
