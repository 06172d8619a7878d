package sessions

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"bamboofall.example/bamboofall/internal/entry/node"
	"bamboofall.example/bamboofall/internal/standin/bed"
	"bamboofall.example/bamboofall/internal/standin/logstore"
)

// assertTranscript checks the invariants and compares the transcript with a golden
// file.
func (s *scenario) assertTranscript(name string) {
	s.t.Helper()
	s.assertInvariants()
	golden.Assert(s.t, s.transcript.String(), name+".golden")
}

// logRevisions logs the revision in force on each live entry VM.
func (s *scenario) logRevisions() {
	for _, vm := range s.Entries() {
		if e := s.Entry(vm); e.Alive() {
			s.logf("%s: revision %d in force, ready %v", vm, e.Node.Catalog().Revision(), e.Node.Ready())
		}
	}
}

const pierWeight5 = "[trade \"pier\"]\ndataCentre = north\nweight = 5\n"

// TestPublishWithRepeatedIDReturnsFirstOutcome also checks that a change that refers
// to missing objects is refused.
func TestPublishWithRepeatedIDReturnsFirstOutcome(t *testing.T) {
	s := newScenario(t, bed.Options{Seed: 1}, "change", "shard")
	s.start()
	s.waitResult("north-e1", "begin")
	s.publish("north-e2", "dangling", "[job \"lost\"]\ntrade = nobody\nafter = nothing\n")
	s.waitResult("north-e2", "dangling")
	s.publish("north-e2", "second", pierWeight5)
	s.waitResult("north-e2", "second")
	s.publish("north-e2", "second", pierWeight5)
	s.Run(s.Now() + 100*time.Millisecond)
	s.logf("repeated with the same id:")
	s.waitResult("north-e2", "second")
	s.Run(s.Now() + time.Second)
	s.logRevisions()
	s.assertTranscript("publish")
}

func TestConcurrentChangeOfSameObjectIsVoid(t *testing.T) {
	s := newScenario(t, bed.Options{Seed: 1}, "change")
	s.start()
	s.publish("north-e1", "one", pierWeight5)
	s.publish("north-e2", "two", "[trade \"pier\"]\ndataCentre = north\nweight = 9\n")
	s.publish("north-e2", "apart", "[trade \"sands\"]\ndataCentre = north\nweight = 2\n")
	s.waitResult("north-e1", "one")
	s.waitResult("north-e2", "two")
	s.waitResult("north-e2", "apart")
	s.Run(s.Now() + time.Second)
	s.logRevisions()
	s.assertTranscript("publish-race")
}

func TestPublishTakesEffectOnceWhenLogAnswersAreLost(t *testing.T) {
	s := newScenario(t, bed.Options{Seed: 1}, "change")
	s.start()
	s.Store.SetFaults(logstore.Faults{LoseAnswers: 1})
	s.publish("north-e1", "lost", pierWeight5)
	s.waitResult("north-e1", "lost")
	s.Run(s.Now() + 5*time.Second)
	s.Store.SetFaults(logstore.Faults{})
	s.logf("the log's answers arrive again")
	s.Run(s.Now() + 10*time.Second)
	s.logRevisions()
	s.assertTranscript("publish-answer-lost")
}

func TestPublishDuringLogOutageTakesEffectAfterwards(t *testing.T) {
	s := newScenario(t, bed.Options{Seed: 1}, "change", "log")
	s.start()
	s.publish("north-e1", "during", pierWeight5)
	s.Store.SetFaults(logstore.Faults{Down: true})
	s.logf("the log goes down")
	r := s.waitResult("north-e1", "during")
	assert.Equal(t, r.Status, node.ResultUnknown)
	s.publish("north-e1", "refused", pierWeight5)
	s.waitResult("north-e1", "refused")
	s.Run(s.Now() + 30*time.Second)
	s.logRevisions()
	s.Store.SetFaults(logstore.Faults{})
	s.logf("the log comes back")
	s.Run(s.Now() + 10*time.Second)
	s.publish("north-e1", "during", pierWeight5)
	s.logf("repeated with the same id:")
	s.Run(s.Now() + time.Second)
	s.waitResult("north-e1", "during")
	s.logRevisions()
	s.assertTranscript("publish-outage")
}

// TestConfigurationSurvivesRetention guards against checkpoints that are not
// repeated while nothing changes: the log would drop the last one, and restarted
// VMs would find no configuration.
func TestConfigurationSurvivesRetention(t *testing.T) {
	s := newScenario(t, bed.Options{Seed: 1, Retention: time.Minute}, "change", "log")
	s.start()
	s.publish("north-e1", "second", pierWeight5)
	s.Run(s.Now() + 4*time.Minute)
	s.logf("four retention times have passed without changes; all entry VMs restart at once")
	for _, vm := range s.Entries() {
		s.Kill(vm)
		s.StartEntry(vm)
	}
	s.Run(s.Now() + 20*time.Second)
	s.logRevisions()
	for _, vm := range s.Entries() {
		assert.Equal(t, s.Entry(vm).Node.Catalog().Revision(), uint64(2), "%s lost the configuration", vm)
	}
	s.logf("an entry VM restarts")
	s.Kill("north-e2")
	s.StartEntry("north-e2")
	s.Run(s.Now() + 20*time.Second)
	s.logRevisions()
	s.assertTranscript("retention")
}

// TestEntryVMStartedDuringLogOutageServes requires a restarted VM to get its state
// from a peer while the log is unavailable.
func TestEntryVMStartedDuringLogOutageServes(t *testing.T) {
	s := newScenario(t, bed.Options{Seed: 1}, "change", "log")
	s.start()
	s.Store.SetFaults(logstore.Faults{Down: true})
	s.logf("the log goes down; an entry VM restarts")
	s.Kill("north-e2")
	s.StartEntry("north-e2")
	s.Run(s.Now() + 10*time.Second)
	s.logRevisions()
	outcome := "nothing"
	s.Call("north-e2", ledgerCall("plan"), func(end bed.Told) { outcome = end.Outcome.String() })
	s.Run(s.Now() + 3*time.Second)
	s.logf("outcome of a call to north-e2: %s", outcome)
	s.Store.SetFaults(logstore.Faults{})
	s.logf("the log comes back")
	s.Run(s.Now() + 10*time.Second)
	s.logRevisions()
	s.assertTranscript("fresh-while-log-down")
}

// TestShardsMoveAfterStopAndAfterCrash stops one of three entry VMs gracefully, which
// must abort no request, and then kills another.
func TestShardsMoveAfterStopAndAfterCrash(t *testing.T) {
	s := newScenario(t, bed.Options{Seed: 1, Entries: 3}, "shard", "vm")
	s.start()
	st := s.Load(bed.Stream{Call: ledgerCall("plan"), Rate: 100, To: s.Now() + 40*time.Second})
	s.logf("north-e2 is told to stop")
	s.Stop("north-e2")
	s.RunUntil(s.Now()+20*time.Second, func() bool { return !s.Entry("north-e2").Alive() })
	s.logf("north-e2 has stopped: %v", !s.Entry("north-e2").Alive())
	assert.Equal(t, st.Outcomes[2]+st.Outcomes[3], int64(0), "a graceful shutdown aborted a request")
	s.SetGone("north-e2", true)
	s.Run(s.Now() + 5*time.Second)
	s.logf("north-e3 dies")
	s.Kill("north-e3")
	s.Run(s.Now() + 20*time.Second)
	s.logStats("plan", st)
	s.assertTranscript("leave-and-die")
}
