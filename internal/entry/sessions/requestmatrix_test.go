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

var requestSteps = []bed.Step{
	bed.StepAccept, bed.StepForward, bed.StepConnect, bed.StepWrite, bed.StepRun, bed.StepAnswer, bed.StepRelay, bed.StepReply,
}

var requestFaults = []fault{
	entryDies, peerDies, entryPauses, peerPauses, entryStops, peersCut, entryCutOff, instancesDie, instancesSilent, instancesSlow,
	instancesTruncate, instancesRefuse, vmLeaves, logDown, logAnswersLost, configChanges,
	combine(peerPauses, peersCut), combine(peerDies, logDown), combine(entryPauses, logDown), combine(instancesSilent, vmLeaves),
	combine(peerPauses, instancesSlow), combine(entryDies, peerPauses),
}

// maxCallTries bounds how often a caller tries a request whose outcome is unknown.
const maxCallTries = 3

// TestRequestInvariantsAfterFaultAtEachStep injects each fault when a request reaches
// each step. The invariants must hold, and afterwards all entry VMs must serve
// again. Each cell of the golden table holds the outcomes of the caller's tries: a
// for answered, n for not run, u for unknown, - for a failed connection. A dot
// means that the request didn't reach the step.
func TestRequestInvariantsAfterFaultAtEachStep(t *testing.T) {
	if testing.Short() {
		t.Skip("single-threaded and long")
	}
	for _, kind := range []string{"tally", "plan"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			var table strings.Builder
			fmt.Fprintf(&table, "%-24s", kind)
			for _, step := range requestSteps {
				fmt.Fprintf(&table, "%-9s", step)
			}
			table.WriteByte('\n')
			for _, f := range requestFaults {
				fmt.Fprintf(&table, "%-24s", f.name)
				for _, step := range requestSteps {
					fmt.Fprintf(&table, "%-9s", requestCell(t, kind, step, f))
				}
				table.WriteByte('\n')
			}
			golden.Assert(t, trimTrailingSpaces(table.String()), "requestmatrix-"+kind+".golden")
		})
	}
}

func trimTrailingSpaces(text string) string {
	lines := strings.Split(text, "\n")
	for i := range lines {
		lines[i] = strings.TrimRight(lines[i], " ")
	}
	return strings.Join(lines, "\n")
}

// requestCell runs the scenario of one cell and returns the cell's text.
func requestCell(t *testing.T, kind string, step bed.Step, f fault) string {
	t.Helper()
	s := newScenario(t, bed.Options{Seed: 7})
	s.start()
	s.Load(bed.Stream{Call: ledgerCall("plan"), Rate: 40, To: s.Now() + 40*time.Second})
	s.Load(bed.Stream{Call: ledgerCall("tally"), Once: true, Rate: 40, To: s.Now() + 40*time.Second})
	s.Run(s.Now() + time.Second)

	p := target{entry: "north-e1", peer: "north-e2", worker: s.Workers()[0]}
	c := ledgerCall(kind)
	if kind == "tally" {
		c.Key = keyOwnedBy(s, p.peer)
		c.First = true
	}
	injected := false
	tracked := fmt.Sprintf("call-%d", s.Callers()+1)
	s.OnStep = func(at bed.Step, subject string) {
		if injected || at != step || subject != tracked {
			return
		}
		injected = true
		f.inject(s, p)
		s.At(s.Now()+faultDuration, func() { f.clear(s, p) })
	}
	var outcomes []string
	callUntilOutcomeKnown(s, c, []bamboofall.VMID{p.entry, p.peer}, &outcomes)
	s.Run(s.Now() + 45*time.Second)
	where := fmt.Sprintf("%s when %s at %s", kind, f.name, step)
	assert.NilError(t, invariantError(s.Bed), where)
	assertServing(t, s, where)
	if !injected {
		return "."
	}
	return strings.Join(outcomes, ">")
}

func ledgerCall(kind string) bed.Call {
	return bed.Call{Service: "ledger", Kind: kind, Trade: "pier", Deadline: 1500 * time.Millisecond}
}

// keyOwnedBy returns an idempotency key whose shard an entry VM owns.
func keyOwnedBy(s *scenario, home bamboofall.VMID) string {
	for i := 0; ; i++ {
		key := fmt.Sprintf("tracked-%d", i)
		l := s.Entry(home).Node.Ledger()
		if l.Shard(ledger.ShardOf("pier/"+key, l.Shards())).Owner == home {
			return key
		}
	}
}

// callUntilOutcomeKnown repeats a request through the entry VMs in turn until its
// outcome is known or maxCallTries is reached.
func callUntilOutcomeKnown(s *scenario, c bed.Call, through []bamboofall.VMID, outcomes *[]string) {
	s.Call(through[0], c, func(end bed.Told) {
		known := end.Outcome != bamboofall.OutcomeUnknown
		symbol := end.Outcome.String()[:1]
		if end.Reason == bed.ReasonNoConnection {
			known, symbol = false, "-"
		}
		*outcomes = append(*outcomes, symbol)
		if known || len(*outcomes) >= maxCallTries {
			return
		}
		c.First = c.First && symbol == "-"
		s.At(s.Now()+time.Second, func() {
			callUntilOutcomeKnown(s, c, []bamboofall.VMID{through[1], through[0]}, outcomes)
		})
	})
}

// assertServing checks that every entry VM answers a new request of each kind.
func assertServing(t *testing.T, s *scenario, where string) {
	t.Helper()
	s.Run(s.Now() + 10*time.Second)
	for _, vm := range s.Entries() {
		for _, kind := range []string{"plan", "tally"} {
			c := ledgerCall(kind)
			if kind == "tally" {
				c.Key, c.First = "after-"+string(vm), true
			}
			var end bed.Told
			s.Call(vm, c, func(told bed.Told) { end = told })
			s.Run(s.Now() + 3*time.Second)
			assert.Equal(t, end.Outcome, bamboofall.OutcomeAnswered, "%s: %s after the fault at %s: %s", where, kind, vm, end.Reason)
		}
	}
}
