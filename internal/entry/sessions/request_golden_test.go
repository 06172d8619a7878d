package sessions

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/standin/bed"
	"bamboofall.example/bamboofall/internal/standin/upstream"
)

// capacity of four instances with 8 slots and 20 ms of work, in requests per
// second.
const capacity = 4 * 8 * 50

// flood sends the usual mix, then a flood of one kind on top, and returns the
// stats of each kind before and during the flood.
func flood(s *script, kind string, begin time.Duration) (before, during map[string]*bed.Stats) {
	before, during = make(map[string]*bed.Stats), make(map[string]*bed.Stats)
	rates := map[string]float64{"tally": 0.25, "plan": 0.15, "float": 0.05}
	for _, k := range []string{"tally", "plan", "float"} {
		st := bed.Stream{Call: ledgerCall(k), Once: k == "tally", Rate: rates[k] * capacity, From: begin, To: begin + 10*time.Second}
		before[k] = s.Load(st)
		st.From, st.To = begin+10*time.Second, begin+20*time.Second
		if k == kind {
			st.Rate = 10 * capacity
		}
		during[k] = s.Load(st)
	}
	s.Run(begin + 22*time.Second)
	return before, during
}

// TestSessionFlood floods with ten times the capacity: first with the least
// urgent kind, then with the most urgent one. The other kinds must keep 95% of
// what they had.
func TestSessionFlood(t *testing.T) {
	if testing.Short() {
		t.Skip("long")
	}
	s := newScript(t, bed.Options{Seed: 3})
	s.begin()
	for i, kind := range []string{"float", "tally"} {
		before, during := flood(s, kind, s.Now()+time.Duration(i)*time.Second)
		s.line("flood of %s", kind)
		for _, k := range []string{"tally", "plan", "float"} {
			s.stats(k+" before", before[k])
			s.stats(k+" during", during[k])
			if k != kind {
				kept := float64(during[k].Answered()) / float64(during[k].Sent)
				assert.Check(t, kept >= 0.95, "%s kept %.2f in a flood of %s", k, kept, kind)
			}
		}
	}
	s.finish("flood")
}

// TestSessionSilentConnections lets all open connections go silent while new
// ones work.
func TestSessionSilentConnections(t *testing.T) {
	s := newScript(t, bed.Options{Seed: 3})
	s.begin()
	usual := s.Load(bed.Stream{Call: ledgerCall("plan"), Rate: 300, From: s.Now(), To: s.Now() + 5*time.Second})
	s.Run(s.Now() + 5*time.Second)
	s.stats("before", usual)
	for _, id := range s.Instances() {
		s.Instance(id).SetFaults(s.Clock(), upstream.Faults{Silent: true})
	}
	s.line("all open connections go silent")
	first := s.Load(bed.Stream{Call: ledgerCall("plan"), Rate: 300, To: s.Now() + 3*time.Second})
	s.Run(s.Now() + 3*time.Second)
	later := s.Load(bed.Stream{Call: ledgerCall("plan"), Rate: 300, To: s.Now() + 5*time.Second})
	s.Run(s.Now() + 8*time.Second)
	s.stats("first two deadlines", first)
	s.stats("later", later)
	assert.Equal(t, later.Answered(), later.Sent, "silent connections still cost answers after two deadlines")
	s.finish("silent-connections")
}

// TestSessionRollingRestart restarts all entry VMs one by one under load.
func TestSessionRollingRestart(t *testing.T) {
	s := newScript(t, bed.Options{Seed: 3, Entries: 3}, "vm")
	s.begin()
	span := 60 * time.Second
	plans := s.Load(bed.Stream{Call: ledgerCall("plan"), Rate: 200, To: s.Now() + span})
	tallies := s.Load(bed.Stream{Call: ledgerCall("tally"), Once: true, Rate: 200, To: s.Now() + span})
	for _, vm := range s.Entries() {
		s.Stop(vm)
		s.RunUntil(s.Now()+20*time.Second, func() bool { return !s.Entry(vm).Alive() })
		s.line("%s has stopped: %v", vm, !s.Entry(vm).Alive())
		s.StartEntry(vm)
		s.Run(s.Now() + 8*time.Second)
	}
	s.Run(s.Now() + span)
	s.stats("plan", plans)
	s.stats("tally", tallies)
	assert.Equal(t, plans.Answered(), plans.Sent, "a rolling restart lost a plan")
	assert.Equal(t, tallies.Answered(), tallies.Sent, "a rolling restart lost a tally")
	s.finish("rolling-restart")
}

// TestSessionPartition cuts two data centres off from each other and one of
// them from the platform as well.
func TestSessionPartition(t *testing.T) {
	s := newScript(t, bed.Options{Seed: 3, DataCentres: []bamboofall.DataCentre{"north", "south"}}, "log")
	s.begin()
	north := []bamboofall.VMID{"north-e1", "north-e2"}
	south := []bamboofall.VMID{"south-e1", "south-e2"}
	load := func(name string) func() {
		stream := func(kind string, at []bamboofall.VMID) *bed.Stats {
			return s.Load(bed.Stream{
				Call: ledgerCall(kind), Once: kind == "tally", Rate: 100, Entries: at, To: s.Now() + 20*time.Second,
			})
		}
		np, nt, sp, st := stream("plan", north), stream("tally", north), stream("plan", south), stream("tally", south)
		return func() {
			s.stats(name+": plan in north", np)
			s.stats(name+": tally in north, its home", nt)
			s.stats(name+": plan in south", sp)
			s.stats(name+": tally in south", st)
		}
	}
	whole := load("whole")
	s.Run(s.Now() + 23*time.Second)
	whole()
	s.Cut("north", "south", true)
	s.Cut("south", "platform", true)
	s.line("south is cut off from north and the platform")
	cut := load("cut")
	s.Run(s.Now() + 23*time.Second)
	cut()
	s.Cut("north", "south", false)
	s.Cut("south", "platform", false)
	s.line("the cut is mended")
	s.Run(s.Now() + 5*time.Second)
	mended := load("mended")
	s.Run(s.Now() + 23*time.Second)
	mended()
	s.finish("partition")
}
