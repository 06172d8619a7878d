// Package interference learns which kinds of batch tasks slow which services.
//
// The inflation of a service on a VM, its latency over the service's usual
// latency less one, is taken as the sum of what each kind of task on the VM
// adds. The addends are learned by normalized least mean squares, one number
// for each pair of service and job, so a pair that meets on several VMs is
// told apart from its company.
package interference

import (
	"maps"
	"slices"
)

const (
	// rate is the learning rate.
	rate = 0.3
	// maxScore bounds the inflation that is ascribed to one pair.
	maxScore = 20
	// fade makes a score shrink by this part with each sample of another
	// company, so that an avoided pair gets a new trial in the end.
	fade = 0.0005
	// maxPairs bounds the number of pairs.
	maxPairs = 20_000
)

// Pair is a service and a job that share a VM.
type Pair struct {
	Service string
	Job     string
}

// Scores holds the learned addends. Use New.
type Scores struct {
	pairs map[Pair]float64
}

// New returns scores that know nothing.
func New() *Scores { return &Scores{pairs: make(map[Pair]float64)} }

// Score returns the inflation that a job adds to a service. Zero if unknown.
func (s *Scores) Score(service, job string) float64 { return s.pairs[Pair{service, job}] }

// Learn records the inflation of a service beside the tasks of some jobs. The
// counts say how many tasks of each job ran.
func (s *Scores) Learn(service string, jobs map[string]int, inflation float64) {
	if len(jobs) == 0 {
		return
	}
	predicted := s.Predict(service, jobs)
	delta := rate * (inflation - predicted) / float64(len(jobs))
	for job := range jobs {
		s.adjust(Pair{service, job}, delta)
	}
}

func (s *Scores) adjust(p Pair, delta float64) {
	old, known := s.pairs[p]
	if !known && len(s.pairs) >= maxPairs {
		return
	}
	s.pairs[p] = min(max(old+delta, 0), maxScore)
}

// Predict returns the inflation to expect of a service beside some jobs.
func (s *Scores) Predict(service string, jobs map[string]int) float64 {
	sum := 0.0
	for _, job := range slices.Sorted(maps.Keys(jobs)) {
		sum += s.Score(service, job)
	}
	return sum
}

// Fade lets all scores shrink a little. It is called once a second.
func (s *Scores) Fade() {
	for p, v := range s.pairs {
		v *= 1 - fade
		if v < 0.001 {
			delete(s.pairs, p)
			continue
		}
		s.pairs[p] = v
	}
}

// Worst returns the job with the largest score beside a service, of those that
// satisfy a condition.
func (s *Scores) Worst(service string, jobs map[string]int, ok func(job string) bool) (string, bool) {
	worst := ""
	for job := range jobs {
		if !ok(job) {
			continue
		}
		a, b := s.Score(service, job), s.Score(service, worst)
		if worst == "" || a > b || a == b && job < worst {
			worst = job
		}
	}
	return worst, worst != ""
}
