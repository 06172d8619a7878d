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

// finish checks the promises and compares the transcript.
func (s *script) finish(name string) {
	s.t.Helper()
	s.promises()
	golden.Assert(s.t, s.text.String(), name+".golden")
}

// revisions writes the revision in force at each living entry VM.
func (s *script) revisions() {
	for _, vm := range s.Entries() {
		if e := s.Entry(vm); e.Alive() {
			s.line("%s: revision %d in force, ready %v", vm, e.Node.Catalog().Revision(), e.Node.Ready())
		}
	}
}

const weightOf5 = "[trade \"pier\"]\ndataCentre = north\nweight = 5\n"

func TestSessionPublish(t *testing.T) {
	s := newScript(t, bed.Options{Seed: 1}, "change", "shard")
	s.begin()
	s.result("north-e1", "begin")
	s.publish("north-e2", "dangling", "[job \"lost\"]\ntrade = nobody\nafter = nothing\n")
	s.result("north-e2", "dangling")
	s.publish("north-e2", "second", weightOf5)
	s.result("north-e2", "second")
	s.publish("north-e2", "second", weightOf5)
	s.Run(s.Now() + 100*time.Millisecond)
	s.line("asked again with the same id:")
	s.result("north-e2", "second")
	s.Run(s.Now() + time.Second)
	s.revisions()
	s.finish("publish")
}

func TestSessionPublishRace(t *testing.T) {
	s := newScript(t, bed.Options{Seed: 1}, "change")
	s.begin()
	s.publish("north-e1", "one", weightOf5)
	s.publish("north-e2", "two", "[trade \"pier\"]\ndataCentre = north\nweight = 9\n")
	s.publish("north-e2", "apart", "[trade \"sands\"]\ndataCentre = north\nweight = 2\n")
	s.result("north-e1", "one")
	s.result("north-e2", "two")
	s.result("north-e2", "apart")
	s.Run(s.Now() + time.Second)
	s.revisions()
	s.finish("publish-race")
}

func TestSessionAnswerLost(t *testing.T) {
	s := newScript(t, bed.Options{Seed: 1}, "change")
	s.begin()
	s.Store.SetFaults(logstore.Faults{LoseAnswers: 1})
	s.publish("north-e1", "lost", weightOf5)
	s.result("north-e1", "lost")
	s.Run(s.Now() + 5*time.Second)
	s.Store.SetFaults(logstore.Faults{})
	s.line("the log's answers come again")
	s.Run(s.Now() + 10*time.Second)
	s.revisions()
	s.finish("publish-answer-lost")
}

func TestSessionOutageOverPublish(t *testing.T) {
	s := newScript(t, bed.Options{Seed: 1}, "change", "log")
	s.begin()
	s.publish("north-e1", "during", weightOf5)
	s.Store.SetFaults(logstore.Faults{Down: true})
	s.line("the log goes down")
	r := s.result("north-e1", "during")
	assert.Equal(t, r.Status, node.ResultUnknown)
	s.publish("north-e1", "refused", weightOf5)
	s.result("north-e1", "refused")
	s.Run(s.Now() + 30*time.Second)
	s.revisions()
	s.Store.SetFaults(logstore.Faults{})
	s.line("the log comes back")
	s.Run(s.Now() + 10*time.Second)
	s.publish("north-e1", "during", weightOf5)
	s.line("asked again with the same id:")
	s.Run(s.Now() + time.Second)
	s.result("north-e1", "during")
	s.revisions()
	s.finish("publish-outage")
}

func TestSessionRetention(t *testing.T) {
	s := newScript(t, bed.Options{Seed: 1, Retention: time.Minute}, "change", "log")
	s.begin()
	s.publish("north-e1", "second", weightOf5)
	s.Run(s.Now() + 4*time.Minute)
	s.line("retention has passed four times in quiet; all entry VMs are replaced at once")
	for _, vm := range s.Entries() {
		s.Kill(vm)
		s.StartEntry(vm)
	}
	s.Run(s.Now() + 20*time.Second)
	s.revisions()
	for _, vm := range s.Entries() {
		assert.Equal(t, s.Entry(vm).Node.Catalog().Revision(), uint64(2), "%s lost the configuration", vm)
	}
	s.line("an entry VM starts anew")
	s.Kill("north-e2")
	s.StartEntry("north-e2")
	s.Run(s.Now() + 20*time.Second)
	s.revisions()
	s.finish("retention")
}

func TestSessionFreshWhileLogDown(t *testing.T) {
	s := newScript(t, bed.Options{Seed: 1}, "change", "log")
	s.begin()
	s.Store.SetFaults(logstore.Faults{Down: true})
	s.line("the log goes down; an entry VM starts anew")
	s.Kill("north-e2")
	s.StartEntry("north-e2")
	s.Run(s.Now() + 10*time.Second)
	s.revisions()
	told := "nothing"
	s.Call("north-e2", ledgerCall("plan"), func(end bed.Told) { told = end.Outcome.String() })
	s.Run(s.Now() + 3*time.Second)
	s.line("a caller of north-e2 is told: %s", told)
	s.Store.SetFaults(logstore.Faults{})
	s.line("the log comes back")
	s.Run(s.Now() + 10*time.Second)
	s.revisions()
	s.finish("fresh-while-log-down")
}

func TestSessionLeaveAndDie(t *testing.T) {
	s := newScript(t, bed.Options{Seed: 1, Entries: 3}, "shard", "vm")
	s.begin()
	st := s.Load(bed.Stream{Call: ledgerCall("plan"), Rate: 100, To: s.Now() + 40*time.Second})
	s.line("north-e2 is told to stop")
	s.Stop("north-e2")
	s.RunUntil(s.Now()+20*time.Second, func() bool { return !s.Entry("north-e2").Alive() })
	s.line("north-e2 has stopped: %v", !s.Entry("north-e2").Alive())
	assert.Equal(t, st.Outcomes[2]+st.Outcomes[3], int64(0), "a planned stop cut off a request")
	s.SetGone("north-e2", true)
	s.Run(s.Now() + 5*time.Second)
	s.line("north-e3 dies")
	s.Kill("north-e3")
	s.Run(s.Now() + 20*time.Second)
	s.stats("plan", st)
	s.finish("leave-and-die")
}
