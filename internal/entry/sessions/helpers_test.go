// Package sessions tests whole sessions of a few entry VMs against the
// stand-ins in virtual time: golden files, fault matrices and random histories.
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

// seeds is the number of seeds that the random histories try.
var seeds = flag.Int("seeds", 6, "number of random histories")

// objects are the objects of all sessions.
const objects = `
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

var work = map[string]time.Duration{
	"tally": 20 * time.Millisecond, "plan": 20 * time.Millisecond, "float": 20 * time.Millisecond,
}

// script is a session with a transcript.
type script struct {
	*bed.Bed
	t    *testing.T
	text strings.Builder
}

func newScript(t *testing.T, o bed.Options, kinds ...string) *script {
	t.Helper()
	if o.Work == nil {
		o.Work = work
	}
	s := &script{Bed: bed.New(o), t: t}
	s.Trace = func(at time.Duration, vm bamboofall.VMID, kind, name, message string) {
		for _, k := range kinds {
			if k == kind {
				s.line("%s: %s %s: %s", vm, kind, name, message)
			}
		}
	}
	return s
}

// line writes a line of the transcript.
func (s *script) line(format string, args ...any) {
	fmt.Fprintf(&s.text, "%8.3fs  %s\n", s.Now().Seconds(), fmt.Sprintf(format, args...))
}

// publish puts objects in force through an entry VM and writes the result.
func (s *script) publish(vm bamboofall.VMID, id, text string) {
	s.Entry(vm).Step(node.Publish{ID: id, Author: "operator", Puts: bed.Objects(text)})
}

// result waits for the end of a question and writes it.
func (s *script) result(vm bamboofall.VMID, id string) node.Result {
	s.t.Helper()
	s.RunUntil(s.Now()+15*time.Second, func() bool { _, ok := s.Entry(vm).Answers[id]; return ok })
	r, ok := s.Entry(vm).Answers[id]
	if !ok {
		s.line("%s: question %s has no end", vm, id)
		return r
	}
	s.line("%s: question %s: %s revision %d %s", vm, id, r.Status, r.Revision, r.Reason)
	return r
}

// begin publishes the usual objects and waits until all shards are owned.
func (s *script) begin() {
	s.t.Helper()
	first := s.Entries()[0]
	ready := s.RunUntil(10*time.Second, func() bool { return s.Entry(first).Node.Ready() })
	assert.Assert(s.t, ready, "no state after 10 s")
	s.publish(first, "begin", objects)
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
	assert.Assert(s.t, settled, "objects are not in force and shards not owned after 20 s")
	s.Run(s.Now() + 3*time.Second)
}

// submit starts a run and waits for the answer.
func (s *script) submit(vm bamboofall.VMID, job, run string) node.Result {
	s.t.Helper()
	s.Entry(vm).Step(node.Submit{ID: "submit-" + run, Run: run, Job: job})
	return s.result(vm, "submit-"+run)
}

// done reports whether all tasks of a run have ended, as an entry VM sees it.
func (s *script) done(vm bamboofall.VMID, run string) bool {
	r := s.Entry(vm).Node.Ledger().Run(run)
	return r != nil && r.Done()
}

// tasks writes the states of a run's tasks.
func (s *script) tasks(vm bamboofall.VMID, run string) {
	r := s.Entry(vm).Node.Ledger().Run(run)
	if r == nil {
		s.line("%s: run %s is not known", vm, run)
		return
	}
	counts := make(map[string]int)
	for _, t := range r.Tasks {
		counts[t.Status.String()]++
	}
	s.line("%s: run %s: %s", vm, run, formatCounts(counts))
}

func formatCounts[K ~string, V int | int64](counts map[K]V) string {
	var parts []string
	for name, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// stats writes what the callers of a stream were told.
func (s *script) stats(name string, st *bed.Stats) {
	outcomes := make(map[string]int64)
	for o, n := range st.Outcomes {
		outcomes[o.String()] = n
	}
	s.line("%s: sent %d, %s; p50 %.0f ms, p99 %.0f ms; %s", name, st.Sent, formatCounts(outcomes),
		st.Latency(50).Seconds()*1000, st.Latency(99).Seconds()*1000, formatCounts(st.Reasons))
}

// promises fails the test if the stand-ins saw a promise broken.
func (s *script) promises() {
	s.t.Helper()
	assert.NilError(s.t, broken(s.Bed))
}

// broken returns what the stand-ins saw of broken promises.
func broken(b *bed.Bed) error {
	f := b.Audit.Figures()
	if f.TasksRanTwice+f.Overcommitted+f.OnceRanTwice+f.NotRunRan+f.Wrong == 0 {
		return nil
	}
	return fmt.Errorf("at %v: %s", b.Now(), strings.Join(f.Faults, "; "))
}
