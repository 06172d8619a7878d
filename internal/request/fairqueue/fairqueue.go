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
	// maxWaitFraction is the part of the remaining time that an item may be expected
	// to wait. The rest is for running and for a retry.
	maxWaitFraction = 0.5
	// minLeafCapacity items of a leaf are always let in if their time allows.
	minLeafCapacity = 4
	// intervalTimeConstant is the time constant of the measured service rate.
	intervalTimeConstant = time.Second
	// maxIntervalGrowth bounds what one sample may add to the measured time.
	maxIntervalGrowth = 4
	minIntervalBound  = 20 * time.Millisecond
)

// Item is something that waits.
type Item struct {
	ID       uint64
	Class    bamboofall.Class
	Kind     string
	Trade    string
	Weight   float64
	Deadline time.Time
	// heapIndex is the item's place in the heap of deadlines.
	heapIndex int
	// removed is set once the item is no longer queued.
	removed bool
}

// leaf is the queue of one trade's requests of one kind.
type leaf struct {
	items []*Item
	// length is the number of items that have not been removed.
	length int
	// interval is the smoothed time between items that leave while others wait.
	interval   time.Duration
	lastServed time.Time
}

// node is a place in the tree. The zero value is idle.
type node struct {
	weight float64
	// virtualStart is the virtual time at which the node's next item starts.
	virtualStart float64
	// virtualTime is the virtualTime time of the node's children.
	virtualTime float64
	queued      int
	children    map[string]*node
	active      []*node
	leaf        *leaf
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

// RecordCost records how long an item of a kind held the resource.
func (q *Queue) RecordCost(kind string, held time.Duration) {
	mean, ok := q.cost[kind]
	if !ok {
		mean = held.Seconds()
	}
	q.cost[kind] = mean + (held.Seconds()-mean)/32
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

// ExpectedWait returns how long an item would wait behind those of its leaf.
func (q *Queue) ExpectedWait(it *Item) time.Duration {
	l := q.path(it)[3].leaf
	return time.Duration(l.length+1) * l.interval
}

// Push lets an item in, unless it would wait too long to be of use.
func (q *Queue) Push(now time.Time, it *Item) bool {
	path := q.path(it)
	l := path[3].leaf
	timeLeft := it.Deadline.Sub(now)
	wait := time.Duration(l.length+1) * l.interval
	if timeLeft <= 0 || l.length >= minLeafCapacity && float64(wait) > float64(timeLeft)*maxWaitFraction {
		return false
	}
	it.removed = false
	l.items = append(l.items, it)
	l.length++
	if l.length == 1 {
		l.lastServed = now
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
	c.virtualStart = max(c.virtualStart, n.virtualTime)
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

// earliestChild returns the active child with the earliest virtual start.
func (n *node) earliestChild() *node {
	best := n.active[0]
	for _, c := range n.active[1:] {
		if c.virtualStart < best.virtualStart {
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
		path[i] = path[i-1].earliestChild()
	}
	it := path[3].leaf.pop()
	q.advanceVirtualTime(path, it)
	path[3].leaf.updateServiceInterval(now)
	q.removeFromPath(path, it)
	heap.Remove(&q.deadlines, it.heapIndex)
	return it
}

// advanceVirtualTime moves the virtual times on for an item that is served.
func (q *Queue) advanceVirtualTime(path [4]*node, it *Item) {
	cost := max(q.cost[it.Kind], 1e-6)
	for i := 1; i < len(path); i++ {
		parent, c := path[i-1], path[i]
		parent.virtualTime = max(parent.virtualTime, c.virtualStart)
		c.virtualStart += cost / c.weight
	}
}

// removeFromPath updates the counts along a path for an item that is no longer queued.
func (q *Queue) removeFromPath(path [4]*node, it *Item) {
	it.removed = true
	path[3].leaf.length--
	for i, n := range path {
		n.queued--
		if i > 0 && n.queued == 0 {
			path[i-1].deactivate(n)
		}
	}
	if path[3].queued == 0 && len(path[2].children) > maxIdleChildren {
		path[2].pruneIdleChildren()
	}
}

// maxIdleChildren is how many trades a kind remembers while they have no items.
const maxIdleChildren = 4096

// pruneIdleChildren forgets the children whose virtual time has passed.
func (n *node) pruneIdleChildren() {
	for name, c := range n.children {
		if c.queued == 0 && c.virtualStart <= n.virtualTime {
			delete(n.children, name)
		}
	}
}

func (l *leaf) pop() *Item {
	for {
		it := l.items[0]
		l.items[0] = nil
		l.items = l.items[1:]
		if !it.removed {
			return it
		}
	}
}

// updateServiceInterval measures the time between services while items wait.
func (l *leaf) updateServiceInterval(now time.Time) {
	interval := now.Sub(l.lastServed)
	l.lastServed = now
	if l.interval > 0 {
		// A stall says nothing about how fast the queue moves after it.
		interval = min(interval, max(maxIntervalGrowth*l.interval, minIntervalBound))
	}
	weight := min(float64(interval+time.Millisecond)/float64(intervalTimeConstant), 1)
	l.interval += time.Duration(float64(interval-l.interval) * weight)
}

// Expire takes all items out whose deadline has passed.
func (q *Queue) Expire(now time.Time) []*Item {
	var expired []*Item
	for len(q.deadlines) > 0 && !now.Before(q.deadlines[0].Deadline) {
		it := heap.Pop(&q.deadlines).(*Item)
		path := q.path(it)
		q.removeFromPath(path, it)
		path[3].leaf.compact()
		expired = append(expired, it)
	}
	return expired
}

// compact drops removed items from the front.
func (l *leaf) compact() {
	for len(l.items) > 0 && l.items[0].removed {
		l.items[0] = nil
		l.items = l.items[1:]
	}
}

type deadlineHeap []*Item

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	it := x.(*Item)
	it.heapIndex = len(*h)
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
