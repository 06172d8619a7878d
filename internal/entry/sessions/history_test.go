package sessions

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/entry/node"
	"bamboofall.example/bamboofall/internal/standin/bed"
)

var historyFaults = []fault{
	entryDies, peerDies, entryPauses, peerPauses, entryStops, peersCut, entryCutOff, logDown, logSlow, logAnswersLost,
	instancesDie, instancesSilent, instancesSlow, instancesTruncate, instancesRefuse, vmLeaves, configChanges,
	workerDies, workerRestarts, workerSilent, workerPauses, workerFailsAll,
}

// TestRandomFaultsKeepInvariants injects random faults at random times; they may
// overlap and repeat. The subtest's name holds the seed, so that -run repeats one
// history.
func TestRandomFaultsKeepInvariants(t *testing.T) {
	if testing.Short() {
		t.Skip("single-threaded and long")
	}
	for seed := range uint64(*historyCount) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			t.Parallel()
			runHistory(t, seed)
		})
	}
}

func runHistory(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 5))
	s := newScenario(t, bed.Options{
		Seed: seed, DataCentres: []bamboofall.DataCentre{"north", "south"}, Entries: 3, Workers: 6, Instances: 6,
	})
	s.start()
	s.Load(bed.Stream{Call: ledgerCall("plan"), Rate: 60, To: s.Now() + 100*time.Second})
	s.Load(bed.Stream{Call: ledgerCall("tally"), Once: true, Rate: 60, To: s.Now() + 100*time.Second})
	start := s.Now()
	for i := range 6 {
		s.At(start+time.Duration(i)*8*time.Second, func() { submitUntilAccepted(s, fmt.Sprintf("r%d", i)) })
	}
	for range 8 {
		scheduleFault(s, r, start)
	}
	revisions := make(map[string]uint64)
	for s.Now() < start+110*time.Second {
		s.Run(s.Now() + 100*time.Millisecond)
		assert.NilError(t, invariantError(s.Bed), "seed %d", seed)
		assert.NilError(t, checkRevisionsIncrease(s, revisions), "seed %d", seed)
	}
	ended := s.RunUntil(start+400*time.Second, func() bool { return allRunsDone(s) })
	assert.NilError(t, invariantError(s.Bed), "seed %d", seed)
	assert.Assert(t, ended, "seed %d: runs have not ended by %v", seed, s.Now())
	assertServing(t, s, fmt.Sprintf("seed %d", seed))
}

func scheduleFault(s *scenario, r *rand.Rand, start time.Duration) {
	f := historyFaults[r.IntN(len(historyFaults))]
	dc := s.Options.DataCentres[r.IntN(2)]
	index := r.IntN(3)
	vm := func(i int) bamboofall.VMID { return bamboofall.VMID(fmt.Sprintf("%s-e%d", dc, i%3+1)) }
	p := target{entry: vm(index), peer: vm(index + 1), worker: s.Workers()[r.IntN(len(s.Workers()))]}
	at := start + time.Duration(r.Int64N(int64(60*time.Second)))
	duration := time.Duration(r.Int64N(int64(25 * time.Second)))
	s.At(at, func() { f.inject(s, p) })
	s.At(at+duration, func() { f.clear(s, p) })
	// A fault may have been injected twice and overlap its own clearing, so all
	// faults are cleared at the end.
	s.At(start+90*time.Second, func() {
		for _, f := range historyFaults {
			f.clear(s, p)
		}
	})
}

// submitUntilAccepted submits a run through the first live entry VM of north, and
// again every 12 s until an entry VM knows the run.
func submitUntilAccepted(s *scenario, run string) {
	for _, vm := range s.Entries() {
		if e := s.Entry(vm); e.Alive() && vm[0] == 'n' {
			id := fmt.Sprintf("submit-%s-%v", run, s.Now())
			e.Step(node.Submit{ID: id, Run: run, Job: "helium"})
			break
		}
	}
	s.At(s.Now()+12*time.Second, func() {
		if !runKnown(s, run) {
			submitUntilAccepted(s, run)
		}
	})
}

func runKnown(s *scenario, run string) bool {
	for _, vm := range s.Entries() {
		if s.Entry(vm).Alive() && s.Entry(vm).Node.Ledger().Run(run) != nil {
			return true
		}
	}
	return false
}

func allRunsDone(s *scenario) bool {
	for i := range 6 {
		done := false
		for _, vm := range s.Entries() {
			done = done || s.Entry(vm).Alive() && s.runDone(vm, fmt.Sprintf("r%d", i))
		}
		if !done {
			return false
		}
	}
	return true
}

// checkRevisionsIncrease returns an error if a process went back to a smaller
// configuration revision.
func checkRevisionsIncrease(s *scenario, last map[string]uint64) error {
	for _, vm := range s.Entries() {
		self := s.Entry(vm).Node.Self()
		process := string(vm) + self.Incarnation
		if self.Revision < last[process] {
			return fmt.Errorf("%s went back from revision %d to %d", vm, last[process], self.Revision)
		}
		last[process] = self.Revision
	}
	return nil
}
