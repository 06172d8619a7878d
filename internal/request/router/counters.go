package router

import (
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/state/member"
)

// Counters counts what a router did since its start.
type Counters struct {
	arrived   int64
	forwarded int64
	Outcomes  map[bamboofall.Outcome]int64
	Refusals  map[Reason]int64
	Unknowns  map[Reason]int64
	Retries   map[Reason]int64
}

func newCounters() Counters {
	return Counters{
		Outcomes: make(map[bamboofall.Outcome]int64),
		Refusals: make(map[Reason]int64),
		Unknowns: make(map[Reason]int64),
		Retries:  make(map[Reason]int64),
	}
}

func (c *Counters) refused(reason Reason) {
	c.Outcomes[bamboofall.OutcomeNotRun]++
	c.Refusals[reason]++
}

func (c *Counters) replied(o bamboofall.Outcome, reason Reason) {
	switch o {
	case bamboofall.OutcomeNotRun:
		c.refused(reason)
		return
	case bamboofall.OutcomeUnknown:
		c.Unknowns[reason]++
	}
	c.Outcomes[o]++
}

func (c *Counters) retried(reason Reason) { c.Retries[reason]++ }

// Counters returns the counters. The caller must not change the maps.
func (r *Router) Counters() Counters { return r.counters }

// Arrived returns the number of requests that arrived.
func (c Counters) Arrived() int64 { return c.arrived }

// Forwarded returns the number of requests sent on to other entry VMs.
func (c Counters) Forwarded() int64 { return c.forwarded }

// Rooms returns what this VM can take for each service.
func (r *Router) Rooms(now time.Time) []member.Room {
	var out []member.Room
	if r.view.Leaving || !now.Before(r.view.FenceUntil) {
		return nil
	}
	for _, name := range r.names {
		s := r.services[name]
		free, owned := s.pool.Room(now)
		if owned == 0 {
			continue
		}
		free = max(free-s.queue.Len(), 0)
		out = append(out, member.Room{Service: name, Free: free, Owned: owned, Latency: s.pool.Latency()})
	}
	return out
}

// Latency is the latency that an instance showed since the last observation.
type Latency struct {
	Service string
	VM      bamboofall.VMID
	Mean    time.Duration
	Count   int
	// Usual is the latency of the service when nothing disturbs it.
	Usual time.Duration
	// Target is the published target.
	Target time.Duration
}

const (
	// The baseline follows the median of the instances down fast and up slowly,
	// by these parts of the difference with each observation.
	baselineDown = 0.2
	baselineUp   = 0.0005
)

// Observe returns the latencies of the owned instances since the last call. It
// is called once a second.
func (r *Router) Observe() []Latency {
	var out []Latency
	for _, name := range r.names {
		s := r.services[name]
		seen := s.observe(name)
		s.learnBaseline(seen)
		for i := range seen {
			seen[i].Usual = s.baseline
		}
		out = append(out, seen...)
	}
	return out
}

func (s *service) observe(name string) []Latency {
	var out []Latency
	for _, id := range s.pool.IDs() {
		i := s.pool.Get(id)
		w := i.TakeWindow()
		if w.Count > 0 {
			out = append(out, Latency{
				Service: name, VM: i.VM, Mean: w.Sum / time.Duration(w.Count), Count: w.Count,
				Target: s.spec.TargetLatency,
			})
		}
	}
	return out
}

// learnBaseline moves the baseline towards the median of the instances.
func (s *service) learnBaseline(seen []Latency) {
	if len(seen) == 0 {
		return
	}
	means := make([]time.Duration, len(seen))
	for i, l := range seen {
		means[i] = l.Mean
	}
	slices.Sort(means)
	median := means[len(means)/2]
	if s.baseline == 0 {
		s.baseline = median
	}
	part := baselineUp
	if median < s.baseline {
		part = baselineDown
	}
	s.baseline += time.Duration(part * float64(median-s.baseline))
}
