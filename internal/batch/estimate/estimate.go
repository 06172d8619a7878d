// Package estimate corrects the declared sizes of tasks by what their workers
// measured.
//
// Declared sizes are a prior. Each task that ran gives one sample, its peak. A
// job whose tasks take more than declared is corrected at once. One whose tasks
// take less is corrected step by step as samples come in, and never below the
// largest sample with a margin: too little room harms the neighbours, too much
// only costs throughput. Accelerators are never corrected, for they cannot be
// shared.
package estimate

import "bamboofall.example/bamboofall"

const (
	// fullConfidence is the number of samples at which the declared size no
	// longer counts.
	fullConfidence = 16
	// margin over the largest sample, in percent.
	margin = 15
	// decay makes old peaks fade, in thousandths a sample.
	decay = 10
	// leastShare of the declared size is always kept, in percent.
	leastShare = 10
)

type job struct {
	samples int64
	peak    bamboofall.Resources
}

// Estimates holds what was learned of each job. Use New.
type Estimates struct {
	jobs map[string]*job
}

// New returns estimates that know nothing.
func New() *Estimates { return &Estimates{jobs: make(map[string]*job)} }

// Learn records the largest usage of a task that ran long enough to show it.
// Nonsense is passed over.
func (e *Estimates) Learn(name string, peak bamboofall.Resources) {
	if !peak.Valid() {
		return
	}
	j := e.jobs[name]
	if j == nil {
		j = &job{}
		e.jobs[name] = j
	}
	j.samples++
	fade := func(v int64) int64 { return v - v*decay/1000 }
	faded := bamboofall.Resources{
		MilliProcessors: fade(j.peak.MilliProcessors), MemoryBytes: fade(j.peak.MemoryBytes),
	}
	j.peak = faded.Max(peak)
}

// Size returns the room to keep for a task of a job.
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

func blend(declared, peak, samples int64) int64 {
	measured := peak + peak*margin/100
	if measured >= declared {
		return measured
	}
	measured = max(measured, declared*leastShare/100)
	n := min(samples, fullConfidence)
	return (declared*(fullConfidence-n) + measured*n) / fullConfidence
}
