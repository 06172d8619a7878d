package urgency

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Claim is a job with tasks that wait for capacity and that can meet its objective
// if it gets capacity at once.
type Claim struct {
	// Due is when the job should be done.
	Due time.Time
	// Work is the processor time of the tasks that are not at a worker, Open the
	// part of Work that belongs to tasks which could start now, and Processors the
	// number of processors these tasks need together.
	Work, Open time.Duration
	Processors float64
	// Chain is the length of the remaining critical path of the job: how long it
	// takes with unlimited capacity.
	Chain time.Duration
	// Yield is the value of the job per unit of remaining work, as returned by the
	// function Yield.
	Yield float64
	// Name breaks ties, so that the order is total.
	Name string
	// Shed is set by Keep on jobs that are not to be kept in time.
	Shed bool
}

// Keep selects claims that can all be completed in time and marks the others as
// shed. Processors is the capacity for them, free the idle part of it.
//
// If there is more work than capacity, ordering by objective alone makes every job
// a little late. So Keep accepts claims in the order of their objectives, and
// whenever a claim would miss its objective it sheds the accepted claims with the
// lowest yield until the claim is in time or shed itself. This is the algorithm of
// Moore and Hodgson with yields in place of processing times. Without a backlog
// nothing is shed.
func Keep(now time.Time, processors, free float64, claims []*Claim) {
	if processors <= 0 {
		return
	}
	slices.SortFunc(claims, func(a, b *Claim) int {
		return cmp.Or(a.Due.Compare(b.Due), cmp.Compare(a.Name, b.Name))
	})
	accepted := make(minYieldHeap, 0, len(claims))
	totalWork := 0.0
	for _, c := range claims {
		c.Shed = false
		heap.Push(&accepted, c)
		totalWork += float64(c.Work)
		for !c.Shed && missesDue(now, c, totalWork, processors, free) {
			lowest := heap.Pop(&accepted).(*Claim)
			lowest.Shed = true
			totalWork -= float64(lowest.Work)
		}
	}
}

// missesDue reports whether a claim misses its objective when it comes last in
// totalWork. Its last task starts once the free processors are used up and enough
// other processors have been released by running tasks.
func missesDue(now time.Time, c *Claim, totalWork, processors, free float64) bool {
	startableNow := 0.0
	if c.Processors > 0 {
		startableNow = free * float64(c.Open) / c.Processors
	}
	workAhead := totalWork - float64(c.Work-c.Open)
	lastStart := time.Duration(max(0, workAhead-startableNow) / processors)
	return now.Add(lastStart + c.Chain).After(c.Due)
}

// minYieldHeap is a heap of claims with the lowest yield at the top.
type minYieldHeap []*Claim

func (h minYieldHeap) Len() int { return len(h) }
func (h minYieldHeap) Less(i, k int) bool {
	if h[i].Yield != h[k].Yield {
		return h[i].Yield < h[k].Yield
	}
	return h[i].Name > h[k].Name
}
func (h minYieldHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *minYieldHeap) Push(x any)   { *h = append(*h, x.(*Claim)) }
func (h *minYieldHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	*h = old[:len(old)-1]
	return c
}
