// Package measure measures the request and batch policies against baselines.
//
// The measurements run in virtual time over the stand-ins, so a seed gives the
// same figures on every machine. Go benchmarks in the packages themselves
// measure the processor time of decisions.
package measure

import (
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/entry/node"
	"bamboofall.example/bamboofall/internal/standin/bed"
	"bamboofall.example/bamboofall/internal/standin/worker"
)

const (
	// instances and slots are the number of instances and the slots of each;
	// work is the mean processing time of a request.
	instances = 16
	slots     = 8
	work      = 20 * time.Millisecond
	// Capacity is the maximum throughput of the instances in requests per
	// second.
	Capacity = instances * slots * float64(time.Second/work)
	// loadDuration is how long each load is generated.
	loadDuration = 20 * time.Second
	// warmUp is the virtual time before a measurement, for the policies to
	// settle.
	warmUp = 5 * time.Second
	// deadline is the time that callers allow for an answer.
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

// kindShares is the fraction of each kind of request in the usual load.
var kindShares = map[string]float64{"tally": 0.55, "plan": 0.33, "float": 0.12}

// Kinds lists the kinds of requests, most urgent first.
var Kinds = []string{"tally", "plan", "float"}

// Figures are the results of the requests of one kind or of all kinds.
type Figures struct {
	Sent, Answered int64
	P50, P99, P999 time.Duration
}

// Goodput returns the rate of answered requests as a fraction of Capacity.
func (f Figures) Goodput() float64 { return float64(f.Answered) / (Capacity * loadDuration.Seconds()) }

// newBed returns a bed with the objects published and the warm-up over.
func newBed(seed uint64, options bed.Options) *bed.Bed {
	options.Seed = seed
	options.Instances, options.Slots = instances, slots
	options.Work = map[string]time.Duration{"tally": work, "plan": work, "float": work}
	if options.Workers == 0 {
		options.Workers = instances
	}
	b := bed.New(options)
	b.RunUntil(5*time.Second, func() bool { return b.Entry(b.Entries()[0]).Node.Ready() })
	b.Entry(b.Entries()[0]).Step(node.Publish{ID: "begin", Puts: bed.Objects(objects)})
	b.Run(b.Now() + warmUp)
	return b
}

// Load is a measurement of the usual load at one offered rate.
type Load struct {
	// Multiple is the offered rate as a multiple of Capacity.
	Multiple             float64
	Bamboofall, Baseline Figures
}

// Loads measures the usual load at multiples of Capacity.
func Loads(seed uint64, multiples []float64) []Load {
	var out []Load
	for _, multiple := range multiples {
		rates := make(map[string]float64)
		for kind, share := range kindShares {
			rates[kind] = share * multiple * Capacity
		}
		out = append(out, Load{multiple, worstOfKinds(measureKinds(seed, rates, false)), worstOfKinds(measureKinds(seed, rates, true))})
	}
	return out
}

// measureKinds generates load at the given rates and returns the counts of each
// kind. With baseline, requests go through a bed.Baseline.
func measureKinds(seed uint64, rates map[string]float64, baseline bool) map[string]*bed.Stats {
	b := newBed(seed, bed.Options{})
	var balancer *bed.Baseline
	if baseline {
		balancer = bed.NewBaseline(b)
	}
	out := make(map[string]*bed.Stats)
	begin := b.Now()
	for _, kind := range Kinds {
		out[kind] = b.Load(bed.Stream{
			Call: bed.Call{Service: "ledger", Kind: kind, Trade: "pier", Deadline: deadline},
			Rate: rates[kind], From: begin, To: begin + loadDuration, Baseline: balancer,
		})
	}
	b.Run(begin + loadDuration + 2*time.Second)
	return out
}

// figuresOf returns the figures of a stream.
func figuresOf(s *bed.Stats) Figures {
	return Figures{s.Sent, s.Answered(), s.Latency(50), s.Latency(99), s.Latency(99.9)}
}

// worstOfKinds adds up the counts of all kinds and takes the largest of each
// percentile.
func worstOfKinds(byKind map[string]*bed.Stats) Figures {
	var f Figures
	for _, kind := range Kinds {
		k := figuresOf(byKind[kind])
		f.Sent += k.Sent
		f.Answered += k.Answered
		f.P50, f.P99, f.P999 = max(f.P50, k.P50), max(f.P99, k.P99), max(f.P999, k.P999)
	}
	return f
}

// Flood is a measurement of how a kind is served while another kind floods.
type Flood struct {
	// FloodKind is the kind that floods, Kind the one that is measured.
	FloodKind, Kind string
	// Before is without a flood.
	Before               Figures
	Bamboofall, Baseline Figures
}

// Floods measures the usual load at half of Capacity, with a flood of one kind
// at ten times Capacity on top.
func Floods(seed uint64) []Flood {
	baseRates := make(map[string]float64)
	for kind, share := range kindShares {
		baseRates[kind] = share * Capacity / 2
	}
	before := measureKinds(seed, baseRates, false)
	var out []Flood
	for _, floodKind := range []string{"float", "tally"} {
		rates := make(map[string]float64)
		for kind, rate := range baseRates {
			rates[kind] = rate
		}
		rates[floodKind] = 10 * Capacity
		measured, baseline := measureKinds(seed, rates, false), measureKinds(seed, rates, true)
		for _, kind := range Kinds {
			if kind != floodKind {
				out = append(out, Flood{floodKind, kind, figuresOf(before[kind]), figuresOf(measured[kind]), figuresOf(baseline[kind])})
			}
		}
	}
	return out
}

// Batch is a measurement of batch tasks and a service on the same VMs under one
// policy.
type Batch struct {
	Policy     string
	P50, P99   time.Duration
	WorkDone   time.Duration
	WorkLost   time.Duration
	Finished   int64
	Evictions  int64
	Overcommit int64
}

// batchDuration is how long each policy is measured.
const batchDuration = 2 * time.Minute

// noInterferenceControl is a tail weight at which the scheduler tolerates any
// latency inflation.
const noInterferenceControl = -1e3

// Batches measures a noisy and a quiet job on the VMs of a service at a third
// of Capacity: without interference control, and with different weights of tail
// latency against batch throughput.
func Batches(seed uint64) []Batch {
	policies := []struct {
		name   string
		weight float64
	}{{"no interference control", noInterferenceControl}, {"weight 0 (throughput)", 0}, {"weight 0.5", 0.5}, {"weight 1 (tail latency)", 1}}
	var out []Batch
	for _, p := range policies {
		out = append(out, measureBatch(seed, p.name, p.weight))
	}
	return out
}

// measureBatch measures one policy, given by the weight of tail latency.
func measureBatch(seed uint64, name string, weight float64) Batch {
	b := newBed(seed, bed.Options{
		TailWeight: weight, Noise: map[string]float64{"noisy": 0.6, "calm": 0.02},
		Model: func(c bamboofall.Command) worker.TaskBehaviour {
			half := bamboofall.Resources{MilliProcessors: c.Size.MilliProcessors / 2, MemoryBytes: c.Size.MemoryBytes / 2}
			return worker.TaskBehaviour{RunTime: c.RunTime, Size: half}
		},
	})
	begin := b.Now()
	stats := b.Load(bed.Stream{
		Call: bed.Call{Service: "ledger", Kind: "plan", Trade: "pier", Deadline: deadline},
		Rate: Capacity / 3, From: begin, To: begin + batchDuration,
	})
	for i := range 40 {
		run := string(rune('a'+i/26)) + string(rune('a'+i%26))
		job := []string{"noisy", "calm"}[i%2]
		b.At(begin+time.Duration(i)*5*time.Second, func() {
			b.Entry(b.Entries()[0]).Step(node.Submit{ID: "submit-" + run, Run: run, Job: job})
		})
	}
	b.Run(begin + batchDuration)
	f := b.Audit.Figures()
	result := Batch{
		Policy: name, P50: stats.Latency(50), P99: stats.Latency(99), WorkDone: f.WorkDone, WorkLost: f.WorkLost,
		Finished: f.TasksFinished, Overcommit: f.Overcommitted,
	}
	for _, vm := range b.Entries() {
		result.Evictions += b.Entry(vm).Node.BatchCounters().Evicted
	}
	return result
}
