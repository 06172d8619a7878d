package urgency

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Claim is a job with tasks that wait for room, and that can be in time if it
// gets room at once.
type Claim struct {
	// Due is when the job has to be done.
	Due time.Time
	// Work is the processor time of the tasks that are not at a worker, Open the
	// part of those that could start, and Processors what they take at once.
	Work, Open time.Duration
	Processors float64
	// Chain is how long the job takes with all the room it wants.
	Chain time.Duration
	// Yield is what the job is worth against that work.
	Yield float64
	// Name makes the order total.
	Name string
	// Shed is set by Keep on claims that are left out.
	Shed bool
}

// Keep picks claims that can all be done in time and marks the others as shed.
// Processors is the room for them, free the part of it that is idle.
//
// With more work than room, the nearest objective first makes every job late by
// a little. So claims are gone through in that order, and whenever one could not
// be in time those that yield least are shed until it can (Moore and Hodgson,
// with yields in place of lengths). Without a backlog nothing is shed.
func Keep(now time.Time, processors, free float64, claims []*Claim) {
	if processors <= 0 {
		return
	}
	slices.SortFunc(claims, func(a, b *Claim) int {
		return cmp.Or(a.Due.Compare(b.Due), cmp.Compare(a.Name, b.Name))
	})
	kept := make(leastYield, 0, len(claims))
	total := 0.0
	for _, c := range claims {
		c.Shed = false
		heap.Push(&kept, c)
		total += float64(c.Work)
		for !c.Shed && late(now, c, total, processors, free) {
			least := heap.Pop(&kept).(*Claim)
			least.Shed = true
			total -= float64(least.Work)
		}
	}
}

// late reports whether a claim that is last in some work is not done in time. Its
// last task starts once the free processors are taken and, as running tasks end,
// enough others.
func late(now time.Time, c *Claim, total, processors, free float64) bool {
	atOnce := 0.0
	if c.Processors > 0 {
		atOnce = free * float64(c.Open) / c.Processors
	}
	ahead := total - float64(c.Work-c.Open)
	lastStart := time.Duration(max(0, ahead-atOnce) / processors)
	return now.Add(lastStart + c.Chain).After(c.Due)
}

// leastYield is a heap of claims, the least yield first.
type leastYield []*Claim

func (h leastYield) Len() int { return len(h) }
func (h leastYield) Less(i, k int) bool {
	if h[i].Yield != h[k].Yield {
		return h[i].Yield < h[k].Yield
	}
	return h[i].Name > h[k].Name
}
func (h leastYield) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *leastYield) Push(x any)   { *h = append(*h, x.(*Claim)) }
func (h *leastYield) Pop() any {
	old := *h
	c := old[len(old)-1]
	*h = old[:len(old)-1]
	return c
}
