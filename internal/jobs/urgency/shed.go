package urgency

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Candidate is a job with tasks that wait for capacity and that can meet its objective
// if it gets capacity at once.
type Candidate struct {
	// Due is when the job should be done.
	Due time.Time
	// RemainingWork is the processor time of the tasks that are not at a worker,
	// StartableWork the part of RemainingWork that belongs to tasks which could start
	// now, and Processors the number of processors these tasks need together.
	RemainingWork, StartableWork time.Duration
	Processors                   float64
	// CriticalPath is the length of the remaining critical path of the job: how long it
	// takes with unlimited capacity.
	CriticalPath time.Duration
	// ValueDensity is what the caller loses without the result, per unit of
	// remaining work, see callercost.Density.
	ValueDensity float64
	// RemainingStarts is the number of tasks that have to be started, WaitingStarts that of
	// those which could start now.
	RemainingStarts, WaitingStarts int
	// Name breaks ties, so that the order is total.
	Name string
	// Shed is set by ShedExcess on jobs that are not to be kept in time.
	Shed bool
}

// ShedExcess selects candidates that can all be completed in time and marks the others as
// shed. Processors is the capacity for them, free the idle part of it.
//
// If there is more work than capacity, ordering by objective alone makes every job
// a little late. So ShedExcess accepts candidates in the order of their objectives, and
// whenever a candidate would miss its objective it sheds the accepted candidates with the
// lowest value density until the candidate is in time or shed itself. This is the
// algorithm of Moore and Hodgson with value densities in place of processing times.
// Without a backlog nothing is shed.
func ShedExcess(now time.Time, processors, free float64, candidates []*Candidate) {
	if processors <= 0 {
		return
	}
	for _, c := range candidates {
		c.Shed = false
	}
	shedExcess(candidates, lowerDensity, func(c *Candidate) float64 { return float64(c.RemainingWork) }, func(c *Candidate, total float64) bool {
		return missesDue(now, c, total, processors, free)
	})
}

// shedExcess accepts candidates in the order of their objectives. While one of them misses its
// objective, given the total size of those accepted, it sheds the lowest of them.
func shedExcess(candidates []*Candidate, lower func(a, b *Candidate) bool, size func(*Candidate) float64, misses func(c *Candidate, total float64) bool) {
	slices.SortFunc(candidates, func(a, b *Candidate) int {
		return cmp.Or(a.Due.Compare(b.Due), cmp.Compare(a.Name, b.Name))
	})
	accepted := minDensityHeap{candidates: make([]*Candidate, 0, len(candidates)), lower: lower}
	total := 0.0
	for _, c := range candidates {
		heap.Push(&accepted, c)
		total += size(c)
		for !c.Shed && misses(c, total) {
			lowest := heap.Pop(&accepted).(*Candidate)
			lowest.Shed = true
			total -= size(lowest)
		}
	}
}

// missesDue reports whether a candidate misses its objective when it comes last in
// totalWork. Its last task starts once the free processors are used up and enough
// other processors have been released by running tasks.
func missesDue(now time.Time, c *Candidate, totalWork, processors, free float64) bool {
	startableNow := 0.0
	if c.Processors > 0 {
		startableNow = free * float64(c.StartableWork) / c.Processors
	}
	workAhead := totalWork - float64(c.RemainingWork-c.StartableWork)
	lastStart := time.Duration(max(0, workAhead-startableNow) / processors)
	return now.Add(lastStart + c.CriticalPath).After(c.Due)
}

// ShedExcessStarts is ShedExcess for an owner that can start only so many tasks per second for
// candidates of one priority: it marks those for which it cannot make all starts in time as
// shed. Those that are shed already are left out.
func ShedExcessStarts(now time.Time, perSecond float64, candidates []*Candidate) {
	// Tasks that become ready meanwhile, and retries, take a part of the starts.
	perSecond *= usableStarts
	kept := slices.DeleteFunc(slices.Clone(candidates), func(c *Candidate) bool { return c.Shed })
	shedExcess(kept, lowerStartDensity, func(c *Candidate) float64 { return float64(c.RemainingStarts) }, func(c *Candidate, starts float64) bool {
		ahead := starts - float64(c.RemainingStarts-c.WaitingStarts)
		lastStart := time.Duration(ahead / perSecond * float64(time.Second))
		return now.Add(lastStart + c.CriticalPath).After(c.Due)
	})
}

// usableStarts is the part of an owner's starts that waiting tasks get.
const usableStarts = 0.85

// lowerDensity reports whether a is worth less per unit of work than b.
func lowerDensity(a, b *Candidate) bool { return a.ValueDensity < b.ValueDensity }

// lowerStartDensity reports whether a is worth less per start than b.
func lowerStartDensity(a, b *Candidate) bool {
	return a.value()*float64(b.RemainingStarts) < b.value()*float64(a.RemainingStarts)
}

// value returns the value of a candidate, in units that are the same within a queue.
func (c *Candidate) value() float64 { return c.ValueDensity * float64(c.RemainingWork) }

// minDensityHeap is a heap of candidates with the lowest density at the top.
type minDensityHeap struct {
	candidates []*Candidate
	lower      func(a, b *Candidate) bool
}

func (h *minDensityHeap) Len() int { return len(h.candidates) }

func (h *minDensityHeap) Less(i, k int) bool {
	a, b := h.candidates[i], h.candidates[k]
	if h.lower(a, b) || h.lower(b, a) {
		return h.lower(a, b)
	}
	return a.Name > b.Name
}

func (h *minDensityHeap) Swap(i, k int) {
	h.candidates[i], h.candidates[k] = h.candidates[k], h.candidates[i]
}

func (h *minDensityHeap) Push(x any) { h.candidates = append(h.candidates, x.(*Candidate)) }

func (h *minDensityHeap) Pop() any {
	last := len(h.candidates) - 1
	c := h.candidates[last]
	h.candidates = h.candidates[:last]
	return c
}
