// Package fairqueue shares one resource between classes, kinds and trades.
//
// The queue is a tree: urgency class, then kind of request, then trade. At
// each level the backlogged children share what their parent gets in
// proportion to their weights, by start-time fair queueing. What a child does
// not use goes to the others, so the result is weighted max-min: a child that
// asks for less than its share gets all it asks for, however much the others
// ask. The weights of the classes are finite, so each class has a floor.
//
// An item costs the time for which it will hold the resource.
package fairqueue

import (
	"container/heap"
	"time"

	"bamboofall.example/bamboofall"
)

// classWeights are the shares of the classes while all are backlogged.
var classWeights = map[bamboofall.Class]float64{
	bamboofall.ClassUrgent:     8,
	bamboofall.ClassNormal:     3,
	bamboofall.ClassBackground: 1,
}

const (
	// waitShare is the part of the remaining time that an item may be expected
	// to wait. The rest is for running and for a retry.
	waitShare = 0.5
	// minQueued items of a leaf are always let in if their time allows.
	minQueued = 4
	// rateSpan is the time constant of the measured service rate.
	rateSpan = time.Second
	// maxGapGrowth bounds what one sample may add to the measured time.
	maxGapGrowth = 4
	minStall     = 20 * time.Millisecond
)

// Item is something that waits.
type Item struct {
	ID       uint64
	Class    bamboofall.Class
	Kind     string
	Trade    string
	Weight   float64
	Deadline time.Time
	// index is the item's place in the heap of deadlines.
	index int
	// gone is set once the item is no longer queued.
	gone bool
}

// leaf is the queue of one trade's requests of one kind.
type leaf struct {
	items []*Item
	// live is the number of items that have not been removed.
	live int
	// gap is the smoothed time between items that leave while others wait.
	gap  time.Duration
	last time.Time
}

// node is a place in the tree. The zero value is idle.
type node struct {
	weight float64
	// start is the virtual time at which the node's next item starts.
	start float64
	// virtual is the virtual time of the node's children.
	virtual  float64
	queued   int
	children map[string]*node
	active   []*node
	leaf     *leaf
}

// Queue is a fair queue. Use New.
type Queue struct {
	root      node
	deadlines deadlineHeap
	cost      map[string]float64
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{root: node{weight: 1}, cost: make(map[string]float64)}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.root.queued }

// LearnCost records how long an item of a kind held the resource.
func (q *Queue) LearnCost(kind string, held time.Duration) {
	old, ok := q.cost[kind]
	if !ok {
		old = held.Seconds()
	}
	q.cost[kind] = old + (held.Seconds()-old)/32
}

// child returns a child by name. It makes the child if it is missing.
func (n *node) child(name string, weight float64) *node {
	if n.children == nil {
		n.children = make(map[string]*node)
	}
	c := n.children[name]
	if c == nil {
		c = &node{}
		n.children[name] = c
	}
	c.weight = weight
	return c
}

// path returns the nodes from the root to an item's leaf.
func (q *Queue) path(it *Item) [4]*node {
	class := q.root.child(it.Class.String(), classWeights[it.Class])
	kind := class.child(it.Kind, 1)
	trade := kind.child(it.Trade, max(it.Weight, 1))
	if trade.leaf == nil {
		trade.leaf = &leaf{}
	}
	return [4]*node{&q.root, class, kind, trade}
}

// Wait returns how long an item would wait behind those of its leaf.
func (q *Queue) Wait(it *Item) time.Duration {
	l := q.path(it)[3].leaf
	return time.Duration(l.live+1) * l.gap
}

// Push lets an item in, unless it would wait too long to be of use.
func (q *Queue) Push(now time.Time, it *Item) bool {
	path := q.path(it)
	l := path[3].leaf
	left := it.Deadline.Sub(now)
	wait := time.Duration(l.live+1) * l.gap
	if left <= 0 || l.live >= minQueued && float64(wait) > float64(left)*waitShare {
		return false
	}
	it.gone = false
	l.items = append(l.items, it)
	l.live++
	if l.live == 1 {
		l.last = now
	}
	for i, n := range path {
		n.queued++
		if i > 0 && n.queued == 1 {
			path[i-1].activate(n)
		}
	}
	heap.Push(&q.deadlines, it)
	return true
}

func (n *node) activate(c *node) {
	c.start = max(c.start, n.virtual)
	n.active = append(n.active, c)
}

func (n *node) deactivate(c *node) {
	for i, a := range n.active {
		if a == c {
			n.active[i] = n.active[len(n.active)-1]
			n.active = n.active[:len(n.active)-1]
			return
		}
	}
}

// first returns the active child with the earliest virtual start.
func (n *node) first() *node {
	best := n.active[0]
	for _, c := range n.active[1:] {
		if c.start < best.start {
			best = c
		}
	}
	return best
}

// Pop takes the item out whose turn it is, or returns nil.
func (q *Queue) Pop(now time.Time) *Item {
	if q.root.queued == 0 {
		return nil
	}
	path := [4]*node{&q.root}
	for i := 1; i < len(path); i++ {
		path[i] = path[i-1].first()
	}
	it := path[3].leaf.pop()
	q.charge(path, it)
	path[3].leaf.learnGap(now)
	q.leave(path, it)
	heap.Remove(&q.deadlines, it.index)
	return it
}

// charge moves the virtual times on for an item that is served.
func (q *Queue) charge(path [4]*node, it *Item) {
	cost := max(q.cost[it.Kind], 1e-6)
	for i := 1; i < len(path); i++ {
		parent, c := path[i-1], path[i]
		parent.virtual = max(parent.virtual, c.start)
		c.start += cost / c.weight
	}
}

// leave updates the counts along a path for an item that is no longer queued.
func (q *Queue) leave(path [4]*node, it *Item) {
	it.gone = true
	path[3].leaf.live--
	for i, n := range path {
		n.queued--
		if i > 0 && n.queued == 0 {
			path[i-1].deactivate(n)
		}
	}
	if path[3].queued == 0 && len(path[2].children) > maxIdleTrades {
		path[2].dropIdle()
	}
}

// maxIdleTrades is how many trades a kind remembers while they have no items.
const maxIdleTrades = 4096

// dropIdle forgets the children whose virtual time has passed.
func (n *node) dropIdle() {
	for name, c := range n.children {
		if c.queued == 0 && c.start <= n.virtual {
			delete(n.children, name)
		}
	}
}

func (l *leaf) pop() *Item {
	for {
		it := l.items[0]
		l.items[0] = nil
		l.items = l.items[1:]
		if !it.gone {
			return it
		}
	}
}

// learnGap measures the time between services while items wait.
func (l *leaf) learnGap(now time.Time) {
	gap := now.Sub(l.last)
	l.last = now
	if l.gap > 0 {
		// A stall says nothing about how fast the queue moves after it.
		gap = min(gap, max(maxGapGrowth*l.gap, minStall))
	}
	share := min(float64(gap+time.Millisecond)/float64(rateSpan), 1)
	l.gap += time.Duration(float64(gap-l.gap) * share)
}

// Expire takes all items out whose deadline has passed.
func (q *Queue) Expire(now time.Time) []*Item {
	var out []*Item
	for len(q.deadlines) > 0 && !now.Before(q.deadlines[0].Deadline) {
		it := heap.Pop(&q.deadlines).(*Item)
		path := q.path(it)
		q.leave(path, it)
		path[3].leaf.compact()
		out = append(out, it)
	}
	return out
}

// compact drops removed items from the front.
func (l *leaf) compact() {
	for len(l.items) > 0 && l.items[0].gone {
		l.items[0] = nil
		l.items = l.items[1:]
	}
}

type deadlineHeap []*Item

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	it := x.(*Item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}
