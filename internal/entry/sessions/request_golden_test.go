package sessions

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/standin/bed"
	"bamboofall.example/bamboofall/internal/standin/upstream"
)

// capacityPerSecond is the number of requests per second that four instances with 8
// slots and 20 ms of work per request can serve.
const capacityPerSecond = 4 * 8 * 50

// runFlood sends the usual mix of kinds for 10 s, then for 10 s the same mix with
// one kind at ten times the capacity. It returns the stats of each kind before and
// during the flood.
func runFlood(s *scenario, kind string, begin time.Duration) (before, during map[string]*bed.Stats) {
	before, during = make(map[string]*bed.Stats), make(map[string]*bed.Stats)
	rates := map[string]float64{"tally": 0.25, "plan": 0.15, "float": 0.05}
	for _, k := range []string{"tally", "plan", "float"} {
		st := bed.Stream{Call: ledgerCall(k), Once: k == "tally", Rate: rates[k] * capacityPerSecond, From: begin, To: begin + 10*time.Second}
		before[k] = s.Load(st)
		st.From, st.To = begin+10*time.Second, begin+20*time.Second
		if k == kind {
			st.Rate = 10 * capacityPerSecond
		}
		during[k] = s.Load(st)
	}
	s.Run(begin + 22*time.Second)
	return before, during
}

// TestFloodOfOneKindLeavesOthersServed floods with the least urgent kind, then with
// the most urgent one. The other kinds must get at least 95% answers.
func TestFloodOfOneKindLeavesOthersServed(t *testing.T) {
	if testing.Short() {
		t.Skip("long")
	}
	s := newScenario(t, bed.Options{Seed: 3})
	s.start()
	for i, kind := range []string{"float", "tally"} {
		before, during := runFlood(s, kind, s.Now()+time.Duration(i)*time.Second)
		s.logf("flood of %s", kind)
		for _, k := range []string{"tally", "plan", "float"} {
			s.logStats(k+" before", before[k])
			s.logStats(k+" during", during[k])
			if k != kind {
				kept := float64(during[k].Answered()) / float64(during[k].Sent)
				assert.Check(t, kept >= 0.95, "%s: ratio of answers %.2f in a flood of %s", k, kept, kind)
			}
		}
	}
	s.assertTranscript("flood")
}

// TestSilentConnectionsAreReplaced makes all open connections go silent while new
// ones work.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	s := newScenario(t, bed.Options{Seed: 3})
	s.start()
	usual := s.Load(bed.Stream{Call: ledgerCall("plan"), Rate: 300, From: s.Now(), To: s.Now() + 5*time.Second})
	s.Run(s.Now() + 5*time.Second)
	s.logStats("before", usual)
	for _, id := range s.Instances() {
		s.Instance(id).SetFaults(s.Clock(), upstream.Faults{Silent: true})
	}
	s.logf("all open connections go silent")
	first := s.Load(bed.Stream{Call: ledgerCall("plan"), Rate: 300, To: s.Now() + 3*time.Second})
	s.Run(s.Now() + 3*time.Second)
	later := s.Load(bed.Stream{Call: ledgerCall("plan"), Rate: 300, To: s.Now() + 5*time.Second})
	s.Run(s.Now() + 8*time.Second)
	s.logStats("first two deadlines", first)
	s.logStats("later", later)
	assert.Equal(t, later.Answered(), later.Sent, "requests fail on silent connections after two deadlines")
	s.assertTranscript("silent-connections")
}

// TestRollingRestartLosesNoRequests restarts the entry VMs one by one under load.
func TestRollingRestartLosesNoRequests(t *testing.T) {
	s := newScenario(t, bed.Options{Seed: 3, Entries: 3}, "vm")
	s.start()
	span := 60 * time.Second
	plans := s.Load(bed.Stream{Call: ledgerCall("plan"), Rate: 200, To: s.Now() + span})
	tallies := s.Load(bed.Stream{Call: ledgerCall("tally"), Once: true, Rate: 200, To: s.Now() + span})
	for _, vm := range s.Entries() {
		s.Stop(vm)
		s.RunUntil(s.Now()+20*time.Second, func() bool { return !s.Entry(vm).Alive() })
		s.logf("%s has stopped: %v", vm, !s.Entry(vm).Alive())
		s.StartEntry(vm)
		s.Run(s.Now() + 8*time.Second)
	}
	s.Run(s.Now() + span)
	s.logStats("plan", plans)
	s.logStats("tally", tallies)
	assert.Equal(t, plans.Answered(), plans.Sent, "a rolling restart lost a plan")
	assert.Equal(t, tallies.Answered(), tallies.Sent, "a rolling restart lost a tally")
	s.assertTranscript("rolling-restart")
}

// TestPartitionedDataCentreRefusesOnlyRequestsOfOtherHome partitions a data centre
// from the other one and from the platform.
func TestPartitionedDataCentreRefusesOnlyRequestsOfOtherHome(t *testing.T) {
	s := newScenario(t, bed.Options{Seed: 3, DataCentres: []bamboofall.DataCentre{"north", "south"}}, "log")
	s.start()
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
			s.logStats(name+": plan in north", np)
			s.logStats(name+": tally in north, its home", nt)
			s.logStats(name+": plan in south", sp)
			s.logStats(name+": tally in south", st)
		}
	}
	whole := load("whole")
	s.Run(s.Now() + 23*time.Second)
	whole()
	s.Cut("north", "south", true)
	s.Cut("south", "platform", true)
	s.logf("south is cut off from north and the platform")
	cut := load("cut")
	s.Run(s.Now() + 23*time.Second)
	cut()
	s.Cut("north", "south", false)
	s.Cut("south", "platform", false)
	s.logf("the partition has healed")
	s.Run(s.Now() + 5*time.Second)
	mended := load("mended")
	s.Run(s.Now() + 23*time.Second)
	mended()
	s.assertTranscript("partition")
}
