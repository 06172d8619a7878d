package sim

import (
	"container/heap"
	"time"
)

// event is a call of fn at a time. Events at the same time are ordered by seq.
type event struct {
	at  time.Time
	seq int
	fn  func()
}

// eventHeap is a heap of events, the earliest first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, k int) bool {
	if !h[i].at.Equal(h[k].at) {
		return h[i].at.Before(h[k].at)
	}
	return h[i].seq < h[k].seq
}
func (h eventHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// schedule calls fn after the duration d.
func (w *World) schedule(d time.Duration, fn func()) {
	w.lastSeq++
	heap.Push(&w.events, event{w.now.Add(d), w.lastSeq, fn})
}

// At calls fn at a time since the start of the simulation.
func (w *World) At(sinceStart time.Duration, fn func()) { w.schedule(sinceStart-w.Now(), fn) }
