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
	// ValueDensity is the value of the job per unit of remaining work, as returned by the
	// function ValueDensity.
	ValueDensity float64
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
	slices.SortFunc(candidates, func(a, b *Candidate) int {
		return cmp.Or(a.Due.Compare(b.Due), cmp.Compare(a.Name, b.Name))
	})
	accepted := make(minDensityHeap, 0, len(candidates))
	totalWork := 0.0
	for _, c := range candidates {
		c.Shed = false
		heap.Push(&accepted, c)
		totalWork += float64(c.RemainingWork)
		for !c.Shed && missesDue(now, c, totalWork, processors, free) {
			lowest := heap.Pop(&accepted).(*Candidate)
			lowest.Shed = true
			totalWork -= float64(lowest.RemainingWork)
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

// minDensityHeap is a heap of candidates with the lowest value density at the top.
type minDensityHeap []*Candidate

func (h minDensityHeap) Len() int { return len(h) }
func (h minDensityHeap) Less(i, k int) bool {
	if h[i].ValueDensity != h[k].ValueDensity {
		return h[i].ValueDensity < h[k].ValueDensity
	}
	return h[i].Name > h[k].Name
}
func (h minDensityHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *minDensityHeap) Push(x any)   { *h = append(*h, x.(*Candidate)) }
func (h *minDensityHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	*h = old[:len(old)-1]
	return c
}
