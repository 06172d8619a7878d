package router

import (
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/state/member"
)

// Counters counts requests and their outcomes since the router was created.
type Counters struct {
	// arrived counts the requests received, including those forwarded by peers.
	arrived int64
	// forwarded counts the requests forwarded to other entry VMs.
	forwarded int64
	// Outcomes counts replies by outcome.
	Outcomes map[bamboofall.Outcome]int64
	// Refusals counts NotRun replies by reason.
	Refusals map[Reason]int64
	// Unknowns counts Unknown replies by reason.
	Unknowns map[Reason]int64
	// Retries counts retries by reason.
	Retries map[Reason]int64
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

// Counters returns the counters. The caller must not modify the maps.
func (r *Router) Counters() Counters { return r.counters }

// Arrived returns the number of requests received.
func (c Counters) Arrived() int64 { return c.arrived }

// Forwarded returns the number of requests forwarded to other entry VMs.
func (c Counters) Forwarded() int64 { return c.forwarded }

// OfferedSlots returns the slots that this VM offers to peers for each service.
func (r *Router) OfferedSlots(now time.Time) []member.ServiceSlots {
	var slots []member.ServiceSlots
	if r.view.Leaving || !now.Before(r.view.FenceUntil) {
		return nil
	}
	for _, name := range r.serviceNames {
		s := r.services[name]
		free, owned := s.pool.CountSlots(now)
		if owned == 0 {
			continue
		}
		free = max(free-s.queue.Len(), 0)
		slots = append(slots, member.ServiceSlots{Service: name, Free: free, Owned: owned, Latency: s.pool.Latency()})
	}
	return slots
}

// Latency is the latency of one instance since the previous observation.
type Latency struct {
	Service string
	VM      bamboofall.VMID
	// Mean is the mean over Count answers.
	Mean  time.Duration
	Count int
	// Baseline is the estimated latency of an undisturbed instance of the service.
	Baseline time.Duration
	// Target is the configured target latency of the service.
	Target time.Duration
}

const (
	// With each observation the baseline moves towards the median of the instances
	// by these fractions of the difference. It falls quickly and rises slowly, so
	// that a disturbance hardly raises it.
	baselineFallRate = 0.2
	baselineRiseRate = 0.0005
)

// Observe returns the latencies of the owned instances since the previous call.
// It must be called once a second, because the baseline adapts per call.
func (r *Router) Observe() []Latency {
	var latencies []Latency
	for _, name := range r.serviceNames {
		s := r.services[name]
		observed := s.observe(name)
		s.updateBaseline(observed)
		for i := range observed {
			observed[i].Baseline = s.baseline
		}
		latencies = append(latencies, observed...)
	}
	return latencies
}

// observe returns the latency of each instance with answers since the previous
// call.
func (s *service) observe(name string) []Latency {
	var latencies []Latency
	for _, id := range s.pool.IDs() {
		i := s.pool.Get(id)
		window := i.TakeWindow()
		if window.Count > 0 {
			latencies = append(latencies, Latency{
				Service: name, VM: i.VM, Mean: window.Sum / time.Duration(window.Count), Count: window.Count,
				Target: s.spec.TargetLatency,
			})
		}
	}
	return latencies
}

// updateBaseline moves the baseline towards the median of the instances.
func (s *service) updateBaseline(observed []Latency) {
	if len(observed) == 0 {
		return
	}
	means := make([]time.Duration, len(observed))
	for i, l := range observed {
		means[i] = l.Mean
	}
	slices.Sort(means)
	median := means[len(means)/2]
	if s.baseline == 0 {
		s.baseline = median
	}
	rate := baselineRiseRate
	if median < s.baseline {
		rate = baselineFallRate
	}
	s.baseline += time.Duration(rate * float64(median-s.baseline))
}
