// Package interference learns which kinds of batch tasks slow which services.
//
// The inflation of a service on a VM, its latency over the service's usual
// latency less one, is taken as a sum: each running task of a job adds the
// score of the pair of service and job, times the share of its processors that
// it may use. The scores are learned by normalized least mean squares, so a
// pair that meets on several VMs is told apart from its company.
package interference

import (
	"maps"
	"slices"
)

const (
	// rate is the learning rate.
	rate = 0.3
	// maxScore bounds the inflation that is ascribed to one task.
	maxScore = 20
	// fade makes a score shrink by this part each second, so that an avoided
	// pair gets a new trial in the end.
	fade = 0.0005
	// maxPairs bounds the number of pairs.
	maxPairs = 20_000
	// knownAfter is the number of samples after which a pair is known.
	knownAfter = 4
)

// Pair is a service and a job that share a VM.
type Pair struct {
	Service string
	Job     string
}

type score struct {
	value   float64
	samples int
}

// Scores holds the learned scores. Use New.
type Scores struct {
	pairs map[Pair]*score
}

// New returns scores that know nothing.
func New() *Scores { return &Scores{pairs: make(map[Pair]*score)} }

// Score returns the inflation that one task of a job adds to a service. Zero if
// unknown.
func (s *Scores) Score(service, job string) float64 {
	if p := s.pairs[Pair{service, job}]; p != nil {
		return p.value
	}
	return 0
}

// Known reports whether a pair was seen often enough to rely on its score.
func (s *Scores) Known(service, job string) bool {
	p := s.pairs[Pair{service, job}]
	return p != nil && p.samples >= knownAfter
}

// Learn records the inflation of a service beside tasks: for each job the sum
// of the shares of its tasks.
func (s *Scores) Learn(service string, tasks map[string]float64, inflation float64) {
	norm := 0.0
	for _, job := range slices.Sorted(maps.Keys(tasks)) {
		norm += tasks[job] * tasks[job]
	}
	if norm == 0 {
		return
	}
	err := inflation - s.Predict(service, tasks)
	for job, share := range tasks {
		s.adjust(Pair{service, job}, rate*err*share/norm)
	}
}

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

// Predict returns the inflation to expect of a service beside tasks.
func (s *Scores) Predict(service string, tasks map[string]float64) float64 {
	sum := 0.0
	for _, job := range slices.Sorted(maps.Keys(tasks)) {
		sum += s.Score(service, job) * tasks[job]
	}
	return sum
}

// Fade lets all scores shrink a little. It is called once a second.
func (s *Scores) Fade() {
	for _, p := range s.pairs {
		p.value *= 1 - fade
	}
}

// Worst returns the job that adds most to a service. It reports false if there
// is no job.
func (s *Scores) Worst(service string, tasks map[string]float64) (string, bool) {
	worst, most := "", -1.0
	for _, job := range slices.Sorted(maps.Keys(tasks)) {
		if adds := s.Score(service, job) * tasks[job]; adds > most {
			worst, most = job, adds
		}
	}
	return worst, worst != ""
}
