// Package estimate corrects the declared resource sizes of tasks by their measured
// usage.
//
// Each ended task gives one sample, its peak usage. If a job's tasks use more than
// declared, the estimate rises at once. If they use less, it falls gradually with the
// number of samples, and never below the largest sample plus a margin: an estimate
// that is too low slows other tasks on the worker, one that is too high only costs
// throughput. Accelerators are never corrected, because they cannot be shared.
package estimate

import "bamboofall.example/bamboofall"

const (
	// fullConfidenceSamples is the number of samples from which on the declared size
	// is ignored.
	fullConfidenceSamples = 16
	// marginPercent is added to the largest sample.
	marginPercent = 15
	// decayPerMille is the part by which the recorded peak shrinks with each sample, so
	// that old peaks lose their influence.
	decayPerMille = 10
	// minDeclaredPercent is the lower bound of an estimate, as a part of the declared
	// size.
	minDeclaredPercent = 10
)

// jobUsage is the measured usage of a job's tasks.
type jobUsage struct {
	samples int64
	// peak is the largest sample, with decay, in each dimension.
	peak bamboofall.Resources
}

// Estimates holds the measured usage of all jobs. Use New.
type Estimates struct {
	jobs map[string]*jobUsage
}

// New returns an empty Estimates, which takes all sizes as declared.
func New() *Estimates { return &Estimates{jobs: make(map[string]*jobUsage)} }

// Learn records the peak usage of a task. The task must have run long enough to show
// its peak, so the scheduler calls Learn only for tasks that finished or were evicted.
// Values below zero are ignored.
func (e *Estimates) Learn(name string, peak bamboofall.Resources) {
	if !peak.Valid() {
		return
	}
	j := e.jobs[name]
	if j == nil {
		j = &jobUsage{}
		e.jobs[name] = j
	}
	j.samples++
	decayed := func(v int64) int64 { return v - v*decayPerMille/1000 }
	previous := bamboofall.Resources{
		MilliProcessors: decayed(j.peak.MilliProcessors), MemoryBytes: decayed(j.peak.MemoryBytes),
	}
	j.peak = previous.Max(peak)
}

// Size returns the estimated amount of resources that a task of a job needs.
func (e *Estimates) Size(name string, declared bamboofall.Resources) bamboofall.Resources {
	j := e.jobs[name]
	if j == nil {
		return declared
	}
	return bamboofall.Resources{
		MilliProcessors: blend(declared.MilliProcessors, j.peak.MilliProcessors, j.samples),
		MemoryBytes:     blend(declared.MemoryBytes, j.peak.MemoryBytes, j.samples),
		Accelerators:    declared.Accelerators,
	}
}

// blend returns the estimate in one dimension: between the declared value and the peak
// plus margin, weighted by the number of samples.
func blend(declared, peak, samples int64) int64 {
	needed := peak + peak*marginPercent/100
	if needed >= declared {
		return needed
	}
	needed = max(needed, declared*minDeclaredPercent/100)
	weight := min(samples, fullConfidenceSamples)
	return (declared*(fullConfidenceSamples-weight) + needed*weight) / fullConfidenceSamples
}
