// Package sessions tests whole sessions of a few entry VMs against simulated
// platform services, workers and upstreams in virtual time: transcripts compared
// with golden files, matrices of faults, and random histories of faults.
package sessions

import (
	"flag"
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/entry/node"
	"bamboofall.example/bamboofall/internal/standin/bed"
)

// historyCount is the number of random histories to run.
var historyCount = flag.Int("seeds", 6, "number of random histories to run, with seeds from 0")

// defaultObjects are the configuration objects of all scenarios.
const defaultObjects = `
[trade "pier"]
dataCentre = north
weight = 1

[trade "sands"]
dataCentre = north

[service "ledger"]
class = normal
once = tally
idempotent = plan, float
urgent = tally
background = float
targetLatency = 250ms
maxDeadline = 2s
maxWork = 6s

[job "helium"]
trade = pier
tasks = 8
processors = 2
memory = 4GB
runTime = 5s

[job "urgent-fill"]
trade = sands
class = urgent
tasks = 2
processors = 8
memory = 8GB
runTime = 2s

[job "sweep"]
trade = sands
class = background
tasks = 30
processors = 4
memory = 8GB
runTime = 30s

[job "never"]
trade = sands
tasks = 1
processors = 500

[watch "licence"]
trade = pier
service = ledger
dataCentre = north
`

// defaultWork is the time that an instance works on a request, by kind.
var defaultWork = map[string]time.Duration{
	"tally": 20 * time.Millisecond, "plan": 20 * time.Millisecond, "float": 20 * time.Millisecond,
}

// scenario is a simulated cluster with a transcript.
type scenario struct {
	*bed.Bed
	t          *testing.T
	transcript strings.Builder
}

// newScenario returns a scenario whose transcript includes the decisions of the
// given kinds.
func newScenario(t *testing.T, o bed.Options, kinds ...string) *scenario {
	t.Helper()
	if o.Work == nil {
		o.Work = defaultWork
	}
	s := &scenario{Bed: bed.New(o), t: t}
	s.Trace = func(at time.Duration, vm bamboofall.VMID, kind, name, message string) {
		for _, k := range kinds {
			if k == kind {
				s.logf("%s: %s %s: %s", vm, kind, name, message)
			}
		}
	}
	return s
}

// logf adds a line with the virtual time to the transcript.
func (s *scenario) logf(format string, args ...any) {
	fmt.Fprintf(&s.transcript, "%8.3fs  %s\n", s.Now().Seconds(), fmt.Sprintf(format, args...))
}

// publish starts to put objects in force through an entry VM.
func (s *scenario) publish(vm bamboofall.VMID, id, text string) {
	s.Entry(vm).Step(node.Publish{ID: id, Author: "operator", Puts: bed.Objects(text)})
}

// waitResult waits up to 15 s for the result of an operation and logs it.
func (s *scenario) waitResult(vm bamboofall.VMID, id string) node.Result {
	s.t.Helper()
	s.RunUntil(s.Now()+15*time.Second, func() bool { _, ok := s.Entry(vm).Answers[id]; return ok })
	r, ok := s.Entry(vm).Answers[id]
	if !ok {
		s.logf("%s: operation %s has no result", vm, id)
		return r
	}
	s.logf("%s: operation %s: %s revision %d %s", vm, id, r.Status, r.Revision, r.Reason)
	return r
}

// start publishes the default objects and waits until all shards have an owner.
func (s *scenario) start() {
	s.t.Helper()
	first := s.Entries()[0]
	ready := s.RunUntil(10*time.Second, func() bool { return s.Entry(first).Node.Ready() })
	assert.Assert(s.t, ready, "state not loaded after 10 s")
	s.publish(first, "begin", defaultObjects)
	settled := s.RunUntil(20*time.Second, func() bool {
		owned := 0
		for _, id := range s.Entries() {
			if s.Entry(id).Node.Catalog().Revision() != 1 {
				return false
			}
			owned += len(s.Entry(id).Node.ActiveShards())
		}
		return owned == s.Options.Shards*len(s.Options.DataCentres)
	})
	assert.Assert(s.t, settled, "objects not in force, or shards without an owner, after 20 s")
	s.Run(s.Now() + 3*time.Second)
}

// submit submits a run and waits for the result.
func (s *scenario) submit(vm bamboofall.VMID, job, run string) node.Result {
	s.t.Helper()
	s.Entry(vm).Step(node.Submit{ID: "submit-" + run, Run: run, Job: job})
	return s.waitResult(vm, "submit-"+run)
}

// runDone reports whether all tasks of a run have ended, by an entry VM's ledger.
func (s *scenario) runDone(vm bamboofall.VMID, run string) bool {
	r := s.Entry(vm).Node.Ledger().Run(run)
	return r != nil && r.Done()
}

// logTasks logs the number of a run's tasks by status.
func (s *scenario) logTasks(vm bamboofall.VMID, run string) {
	r := s.Entry(vm).Node.Ledger().Run(run)
	if r == nil {
		s.logf("%s: run %s is unknown", vm, run)
		return
	}
	counts := make(map[string]int)
	for _, t := range r.Tasks {
		counts[t.Status.String()]++
	}
	s.logf("%s: run %s: %s", vm, run, formatCounts(counts))
}

func formatCounts[K ~string, V int | int64](counts map[K]V) string {
	var parts []string
	for name, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// logStats logs the outcomes and latencies that the callers of a stream saw.
func (s *scenario) logStats(name string, st *bed.Stats) {
	outcomes := make(map[string]int64)
	for o, n := range st.Outcomes {
		outcomes[o.String()] = n
	}
	s.logf("%s: sent %d, %s; p50 %.0f ms, p99 %.0f ms; %s", name, st.Sent, formatCounts(outcomes),
		st.Latency(50).Seconds()*1000, st.Latency(99).Seconds()*1000, formatCounts(st.Reasons))
}

// assertInvariants fails the test if the simulated services saw a violation.
func (s *scenario) assertInvariants() {
	s.t.Helper()
	assert.NilError(s.t, invariantError(s.Bed))
}

// invariantError returns an error if the simulated services saw a task that ran
// twice or on an overcommitted worker, a once-only request that ran twice, a
// request that ran though reported as not run, or a wrong answer.
func invariantError(b *bed.Bed) error {
	f := b.Audit.Figures()
	if f.TasksRanTwice+f.Overcommitted+f.OnceRanTwice+f.NotRunRan+f.Wrong == 0 {
		return nil
	}
	return fmt.Errorf("at %v: %s", b.Now(), strings.Join(f.Faults, "; "))
}
