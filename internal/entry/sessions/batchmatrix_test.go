package sessions

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/standin/bed"
	"bamboofall.example/bamboofall/internal/state/ledger"
)

var batchSteps = []bed.Step{"append", "appended", "run", "report", "forget"}

var batchFaults = []fault{
	entryDies, peerDies, entryPauses, entryStops, peersCut, entryCutOff, workerDies, workerRestarts, workerSilent,
	workerPauses, workerFailsAll, vmLeaves, logDown, logSlow, logAnswersLost, runCancelled, configChanges,
	combine(entryPauses, workerSilent), combine(entryDies, logDown), combine(entryDies, logAnswersLost),
	combine(logDown, workerDies), combine(workerPauses, entryPauses), combine(entryCutOff, workerSilent), combine(runCancelled, logDown),
}

// TestRunEndsAfterFaultAtEachStep injects each fault when a run reaches each step.
// The run must end with every task finished once, unless it was cancelled. Each cell
// of the golden table holds the time that the run took, and the numbers of finished
// tasks and attempts. A dash means that the run didn't reach the step.
func TestRunEndsAfterFaultAtEachStep(t *testing.T) {
	if testing.Short() {
		t.Skip("single-threaded and long")
	}
	t.Parallel()
	var table strings.Builder
	fmt.Fprintf(&table, "%-28s", "")
	for _, step := range batchSteps {
		fmt.Fprintf(&table, "%-18s", step)
	}
	table.WriteByte('\n')
	for _, f := range batchFaults {
		fmt.Fprintf(&table, "%-28s", f.name)
		for _, step := range batchSteps {
			fmt.Fprintf(&table, "%-18s", batchCell(t, step, f))
		}
		table.WriteByte('\n')
	}
	golden.Assert(t, trimTrailingSpaces(table.String()), "batchmatrix.golden")
}

func batchCell(t *testing.T, step bed.Step, f fault) string {
	t.Helper()
	where := fmt.Sprintf("%s at %s", f.name, step)
	s := newScenario(t, bed.Options{Seed: 11})
	s.start()
	assert.Equal(t, s.submit("north-e2", "helium", "r1").Status.String(), "inForce", where)
	submittedAt := s.Now()
	injected := false
	s.OnStep = func(at bed.Step, subject string) {
		stream := subject == ledger.Stream("north") && s.Now() > submittedAt
		if injected || at != step || !stream && !strings.HasPrefix(subject, "r1/") {
			return
		}
		injected = true
		p := target{entry: "north-e1", peer: "north-e2", worker: workerOfFirstTask(s)}
		// Inject the fault only after the step's event has been processed
		// completely, as a real fault would.
		s.At(s.Now(), func() { f.inject(s, p) })
		s.At(s.Now()+faultDuration, func() { f.clear(s, p) })
	}
	ended := s.RunUntil(submittedAt+180*time.Second, func() bool {
		return s.runDone("north-e2", "r1") || s.runDone("north-e1", "r1")
	})
	assert.Assert(t, ended, "%s: run has not ended after 180 s", where)
	elapsed := s.Now() - submittedAt
	s.Run(s.Now() + 30*time.Second)
	assert.NilError(t, invariantError(s.Bed), where)
	finished, attempts := countTasks(s, "r1")
	if f.name != "cancelled" && f.name != "cancelled+logDown" {
		assert.Equal(t, finished, 8, where)
	}
	assert.NilError(t, watchRunError(s), where)
	if !injected {
		return "-"
	}
	return fmt.Sprintf("%.0fs %d/%d", elapsed.Seconds(), finished, attempts)
}

// workerOfFirstTask returns the worker of the run's first task that has one, or the
// first worker.
func workerOfFirstTask(s *scenario) bamboofall.VMID {
	for _, vm := range s.Entries() {
		if r := s.Entry(vm).Node.Ledger().Run("r1"); r != nil {
			for _, t := range r.Tasks {
				if t.Worker != "" {
					return t.Worker
				}
			}
		}
	}
	return s.Workers()[0]
}

// countTasks returns the number of tasks that the workers finished, and the number
// of attempts by the ledger.
func countTasks(s *scenario, run string) (finished, attempts int) {
	r := s.Entry("north-e2").Node.Ledger().Run(run)
	for _, t := range r.Tasks {
		attempts += int(t.Attempt)
		if s.Audit.TaskEnded(t.ID) {
			finished++
		}
	}
	return finished, attempts
}

// watchRunError returns an error unless the run of the standing watch is open.
func watchRunError(s *scenario) error {
	for _, vm := range s.Entries() {
		for _, r := range s.Entry(vm).Node.Ledger().Runs() {
			if r.Submit.GetStanding() && r.Tasks[0].Status == ledger.TaskOpen {
				return nil
			}
		}
	}
	return fmt.Errorf("the standing watch has no open task at %v", s.Now())
}
