// Package interference learns how much batch tasks slow the services on their VM.
//
// The inflation of a service on a VM is its latency divided by its usual latency,
// minus 1. It is modelled as a sum over the batch tasks on the VM: each adds the score
// of its pair of service and job, multiplied by the fraction of its processors that the
// task may use. The scores are learned by normalized least mean squares, which separates
// the effects of jobs that share several VMs in different combinations.
package interference

import (
	"maps"
	"slices"
)

const (
	// learningRate is the step size of the least mean squares update.
	learningRate = 0.3
	// maxScore bounds the inflation that is attributed to one task.
	maxScore = 20
	// decayPerSecond is the part by which a score shrinks each second, so that a pair
	// that is avoided because of its score is eventually tried again.
	decayPerSecond = 0.0005
	// maxPairs bounds the memory for scores. Further pairs are not learned.
	maxPairs = 20_000
	// minKnownSamples is the number of samples from which on a score is reliable.
	minKnownSamples = 4
)

// Pair is a service and a job whose tasks may run on the same VM.
type Pair struct {
	Service string
	Job     string
}

// score is the learned effect of a pair.
type score struct {
	value   float64
	samples int
}

// Scores holds the learned scores. Use New.
type Scores struct {
	pairs map[Pair]*score
}

// New returns scores that are all zero.
func New() *Scores { return &Scores{pairs: make(map[Pair]*score)} }

// Score returns the inflation that one unthrottled task of a job adds to a service. It is
// zero for an unknown pair.
func (s *Scores) Score(service, job string) float64 {
	if p := s.pairs[Pair{service, job}]; p != nil {
		return p.value
	}
	return 0
}

// Known reports whether the score of a pair has enough samples to be reliable.
func (s *Scores) Known(service, job string) bool {
	p := s.pairs[Pair{service, job}]
	return p != nil && p.samples >= minKnownSamples
}

// Learn updates the scores by an observed inflation of a service. shares holds, by job,
// the sum of the processor shares of its tasks on the VM.
func (s *Scores) Learn(service string, shares map[string]float64, inflation float64) {
	norm := 0.0
	for _, job := range slices.Sorted(maps.Keys(shares)) {
		norm += shares[job] * shares[job]
	}
	if norm == 0 {
		return
	}
	err := inflation - s.Predict(service, shares)
	for job, share := range shares {
		s.adjust(Pair{service, job}, learningRate*err*share/norm)
	}
}

// adjust adds delta to the score of a pair.
func (s *Scores) adjust(key Pair, delta float64) {
	p := s.pairs[key]
	if p == nil {
		if len(s.pairs) >= maxPairs {
			return
		}
		p = &score{}
		s.pairs[key] = p
	}
	p.value = min(max(p.value+delta, 0), maxScore)
	p.samples++
}

// Predict returns the inflation of a service on a VM with the given shares.
func (s *Scores) Predict(service string, shares map[string]float64) float64 {
	sum := 0.0
	for _, job := range slices.Sorted(maps.Keys(shares)) {
		sum += s.Score(service, job) * shares[job]
	}
	return sum
}

// Decay reduces all scores by one second of decay. It must be called once a second.
func (s *Scores) Decay() {
	for _, p := range s.pairs {
		p.value *= 1 - decayPerSecond
	}
}

// Worst returns the job that adds the most inflation to a service, and false if shares
// is empty.
func (s *Scores) Worst(service string, shares map[string]float64) (string, bool) {
	worstJob, maxAdded := "", -1.0
	for _, job := range slices.Sorted(maps.Keys(shares)) {
		if added := s.Score(service, job) * shares[job]; added > maxAdded {
			worstJob, maxAdded = job, added
		}
	}
	return worstJob, worstJob != ""
}
