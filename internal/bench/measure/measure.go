// Package measure reruns the measurements of the decisions against baselines.
//
// They run in virtual time over the stand-ins, so a machine's noise has no part
// in them and a seed gives the same figures everywhere. What a decision costs in
// processor time is measured by the Go benchmarks beside the packages.
package measure

import (
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/entry/node"
	"bamboofall.example/bamboofall/internal/standin/bed"
	"bamboofall.example/bamboofall/internal/standin/worker"
)

const (
	instances = 16
	slots     = 8
	work      = 20 * time.Millisecond
	// Capacity of the instances in requests per second.
	Capacity = instances * slots * float64(time.Second/work)
	span     = 20 * time.Second
	warmUp   = 5 * time.Second
	deadline = 1500 * time.Millisecond
)

const objects = `
[trade "pier"]
dataCentre = north

[service "ledger"]
class = normal
idempotent = plan, float, tally
urgent = tally
background = float
targetLatency = 250ms
maxDeadline = 2s
maxWork = 6s

[job "noisy"]
trade = pier
tasks = 100
processors = 4
memory = 8GB
runTime = 30s

[job "calm"]
trade = pier
tasks = 100
processors = 4
memory = 8GB
runTime = 30s
`

// mix is the share of each kind in the usual load.
var mix = map[string]float64{"tally": 0.55, "plan": 0.33, "float": 0.12}

// Kinds lists the kinds of requests, most urgent first.
var Kinds = []string{"tally", "plan", "float"}

// Figures are what the callers of a kind, or of all kinds, were told.
type Figures struct {
	Sent, Answered int64
	P50, P99, P999 time.Duration
}

// Goodput returns the answered share of the capacity.
func (f Figures) Goodput() float64 { return float64(f.Answered) / (Capacity * span.Seconds()) }

func newBed(seed uint64, o bed.Options) *bed.Bed {
	o.Seed = seed
	o.Instances, o.Slots = instances, slots
	o.Work = map[string]time.Duration{"tally": work, "plan": work, "float": work}
	if o.Workers == 0 {
		o.Workers = instances
	}
	b := bed.New(o)
	b.RunUntil(5*time.Second, func() bool { return b.Entry(b.Entries()[0]).Node.Ready() })
	b.Entry(b.Entries()[0]).Step(node.Publish{ID: "begin", Puts: bed.Objects(objects)})
	b.Run(b.Now() + warmUp)
	return b
}

// Load is one point of latency against load.
type Load struct {
	// Of is the offered load as a multiple of the capacity.
	Of             float64
	Ours, Baseline Figures
}

// Loads measures the usual mix at multiples of the capacity.
func Loads(seed uint64, multiples []float64) []Load {
	var out []Load
	for _, of := range multiples {
		rates := make(map[string]float64)
		for kind, share := range mix {
			rates[kind] = share * of * Capacity
		}
		out = append(out, Load{of, all(run(seed, rates, false)), all(run(seed, rates, true))})
	}
	return out
}

// run makes load for a while and returns the figures of each kind.
func run(seed uint64, rates map[string]float64, baseline bool) map[string]*bed.Stats {
	b := newBed(seed, bed.Options{})
	var through *bed.Baseline
	if baseline {
		through = bed.NewBaseline(b)
	}
	out := make(map[string]*bed.Stats)
	begin := b.Now()
	for _, kind := range Kinds {
		out[kind] = b.Load(bed.Stream{
			Call: bed.Call{Service: "ledger", Kind: kind, Trade: "pier", Deadline: deadline},
			Rate: rates[kind], From: begin, To: begin + span, Through: through,
		})
	}
	b.Run(begin + span + 2*time.Second)
	return out
}

func figures(s *bed.Stats) Figures {
	return Figures{s.Sent, s.Answered(), s.Latency(50), s.Latency(99), s.Latency(99.9)}
}

// all joins the kinds by the worst of their quantiles, each weighed by nothing:
// the slowest kind counts.
func all(byKind map[string]*bed.Stats) Figures {
	var f Figures
	for _, kind := range Kinds {
		k := figures(byKind[kind])
		f.Sent += k.Sent
		f.Answered += k.Answered
		f.P50, f.P99, f.P999 = max(f.P50, k.P50), max(f.P99, k.P99), max(f.P999, k.P999)
	}
	return f
}

// Flood is what a kind keeps while another kind floods.
type Flood struct {
	Of, Kind       string
	Before         Figures
	Ours, Baseline Figures
}

// Floods measures a usual load at half of the capacity with a flood of ten
// times the capacity on top.
func Floods(seed uint64) []Flood {
	usual := make(map[string]float64)
	for kind, share := range mix {
		usual[kind] = share * Capacity / 2
	}
	before := run(seed, usual, false)
	var out []Flood
	for _, of := range []string{"float", "tally"} {
		rates := make(map[string]float64)
		for kind, rate := range usual {
			rates[kind] = rate
		}
		rates[of] = 10 * Capacity
		ours, base := run(seed, rates, false), run(seed, rates, true)
		for _, kind := range Kinds {
			if kind != of {
				out = append(out, Flood{of, kind, figures(before[kind]), figures(ours[kind]), figures(base[kind])})
			}
		}
	}
	return out
}

// Batch is batch work beside a service under one policy.
type Batch struct {
	Policy     string
	P50, P99   time.Duration
	WorkDone   time.Duration
	WorkLost   time.Duration
	Finished   int64
	Evictions  int64
	Overcommit int64
}

// batchSpan is how long batch work runs beside the service.
const batchSpan = 2 * time.Minute

// noInterferenceControl is a weight at which no inflation is too much.
const noInterferenceControl = -1e3

// Batches measures a noisy and a calm job beside a service at a third of its
// capacity: without interference control, and with the operators' weight from
// throughput to tail latency.
func Batches(seed uint64) []Batch {
	policies := []struct {
		name   string
		weight float64
	}{{"no interference control", noInterferenceControl}, {"weight 0 (throughput)", 0}, {"weight 0.5", 0.5}, {"weight 1 (tail latency)", 1}}
	var out []Batch
	for _, p := range policies {
		out = append(out, batch(seed, p.name, p.weight))
	}
	return out
}

func batch(seed uint64, name string, weight float64) Batch {
	b := newBed(seed, bed.Options{
		TailWeight: weight, Noise: map[string]float64{"noisy": 0.6, "calm": 0.02},
		Model: func(c bamboofall.Command) worker.Truth {
			half := bamboofall.Resources{MilliProcessors: c.Size.MilliProcessors / 2, MemoryBytes: c.Size.MemoryBytes / 2}
			return worker.Truth{RunTime: c.RunTime, Size: half}
		},
	})
	begin := b.Now()
	st := b.Load(bed.Stream{
		Call: bed.Call{Service: "ledger", Kind: "plan", Trade: "pier", Deadline: deadline},
		Rate: Capacity / 3, From: begin, To: begin + batchSpan,
	})
	for i := range 40 {
		run := string(rune('a'+i/26)) + string(rune('a'+i%26))
		job := []string{"noisy", "calm"}[i%2]
		b.At(begin+time.Duration(i)*5*time.Second, func() {
			b.Entry(b.Entries()[0]).Step(node.Submit{ID: "submit-" + run, Run: run, Job: job})
		})
	}
	b.Run(begin + batchSpan)
	f := b.Audit.Figures()
	out := Batch{
		Policy: name, P50: st.Latency(50), P99: st.Latency(99), WorkDone: f.WorkDone, WorkLost: f.WorkLost,
		Finished: f.TasksFinished, Overcommit: f.Overcommitted,
	}
	for _, vm := range b.Entries() {
		out.Evictions += b.Entry(vm).Node.BatchCounters().Evicted
	}
	return out
}
