// Package fairqueue queues items for one shared resource and divides it fairly
// between classes, kinds and trades.
//
// The queue is a tree: urgency class, then kind of request, then trade. At each
// level the backlogged children share the capacity of their parent in proportion
// to their weights, by start-time fair queueing. Capacity that a child does not
// use goes to its siblings. The result is weighted max-min fairness: a child that
// needs less than its share gets all it needs, whatever the load of the others.
// The weights of the classes are finite, so no class starves.
//
// The cost of an item is the time for which it holds the resource.
package fairqueue

import (
	"container/heap"
	"time"

	"bamboofall.example/bamboofall"
)

// classWeights holds the weight of each class.
var classWeights = map[bamboofall.Class]float64{
	bamboofall.ClassUrgent:     8,
	bamboofall.ClassNormal:     3,
	bamboofall.ClassBackground: 1,
}

const (
	// An item is refused if its expected wait exceeds maxWaitFraction of the time
	// until its deadline. The rest is for running it and for a retry.
	maxWaitFraction = 0.5
	// minLeafCapacity is the queue length up to which a leaf accepts items
	// whatever their expected wait.
	minLeafCapacity = 4
	// intervalTimeConstant is the time constant of the moving average of a leaf's
	// service interval.
	intervalTimeConstant = time.Second
	// A sample of the service interval is limited to maxIntervalGrowth times the
	// average, and not below minIntervalBound.
	maxIntervalGrowth = 4
	minIntervalBound  = 20 * time.Millisecond
)

// Item is an entry of the queue.
type Item struct {
	ID    uint64
	Class bamboofall.Class
	Kind  string
	Trade string
	// Weight is the trade's weight. Values below 1 count as 1.
	Weight   float64
	Deadline time.Time
	// heapIndex is the index in the heap of deadlines.
	heapIndex int
	// removed is set once the item has left the queue.
	removed bool
}

// leaf is the queue of one trade's requests of one kind.
type leaf struct {
	// items holds the items in order of arrival, including removed ones.
	items []*Item
	// length is the number of items that have not been removed.
	length int
	// interval is the moving average of the time between services while items
	// wait.
	interval time.Duration
	// lastServed is when an item was last served or the leaf last became
	// non-empty.
	lastServed time.Time
}

// node is a node of the tree. The zero value is idle.
type node struct {
	weight float64
	// virtualStart is the time at which the node's next item starts, in the
	// virtual time of its parent.
	virtualStart float64
	// virtualTime is the virtual time of the node's children.
	virtualTime float64
	// queued is the number of items in the subtree.
	queued   int
	children map[string]*node
	// active holds the children with queued items.
	active []*node
	// leaf is set for the nodes of trades.
	leaf *leaf
}

// Queue is a fair queue. Use New. It is not safe for concurrent use.
type Queue struct {
	root node
	// deadlines orders the queued items by deadline.
	deadlines deadlineHeap
	// cost is the mean time for which items hold the resource, by kind, in
	// seconds.
	cost map[string]float64
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{root: node{weight: 1}, cost: make(map[string]float64)}
}

// Len returns the number of queued items.
func (q *Queue) Len() int { return q.root.queued }

// RecordCost records how long an item of a kind held the resource.
func (q *Queue) RecordCost(kind string, held time.Duration) {
	mean, ok := q.cost[kind]
	if !ok {
		mean = held.Seconds()
	}
	q.cost[kind] = mean + (held.Seconds()-mean)/32
}

// child returns the child with a name. It creates the child if necessary.
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

// path returns the nodes from the root to the leaf of an item.
func (q *Queue) path(it *Item) [4]*node {
	class := q.root.child(it.Class.String(), classWeights[it.Class])
	kind := class.child(it.Kind, 1)
	trade := kind.child(it.Trade, max(it.Weight, 1))
	if trade.leaf == nil {
		trade.leaf = &leaf{}
	}
	return [4]*node{&q.root, class, kind, trade}
}

// ExpectedWait returns the time for which an item would wait in its leaf.
func (q *Queue) ExpectedWait(it *Item) time.Duration {
	l := q.path(it)[3].leaf
	return time.Duration(l.length+1) * l.interval
}

// Push queues an item. It reports false if the item would wait too long to meet
// its deadline.
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

// activate adds a child that has received its first item. A child that was idle
// starts at the current virtual time and gains no credit for the idle time.
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

// Pop removes and returns the next item to serve, or nil.
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

// advanceVirtualTime charges the nodes of a path for an item that is served.
func (q *Queue) advanceVirtualTime(path [4]*node, it *Item) {
	cost := max(q.cost[it.Kind], 1e-6)
	for i := 1; i < len(path); i++ {
		parent, c := path[i-1], path[i]
		parent.virtualTime = max(parent.virtualTime, c.virtualStart)
		c.virtualStart += cost / c.weight
	}
}

// removeFromPath updates the nodes of a path for an item that leaves the queue.
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

// maxIdleChildren is the number of trades per kind above which idle ones are
// pruned.
const maxIdleChildren = 4096

// pruneIdleChildren removes the idle children whose virtual start has passed.
// They would start at the current virtual time anyway.
func (n *node) pruneIdleChildren() {
	for name, c := range n.children {
		if c.queued == 0 && c.virtualStart <= n.virtualTime {
			delete(n.children, name)
		}
	}
}

// pop removes and returns the first item that was not removed before.
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

// updateServiceInterval updates the average time between services.
func (l *leaf) updateServiceInterval(now time.Time) {
	interval := now.Sub(l.lastServed)
	l.lastServed = now
	if l.interval > 0 {
		// A stall says nothing about the rate at which the queue moves afterwards.
		interval = min(interval, max(maxIntervalGrowth*l.interval, minIntervalBound))
	}
	weight := min(float64(interval+time.Millisecond)/float64(intervalTimeConstant), 1)
	l.interval += time.Duration(float64(interval-l.interval) * weight)
}

// Expire removes and returns the items whose deadline has passed.
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

// compact deletes removed items at the front.
func (l *leaf) compact() {
	for len(l.items) > 0 && l.items[0].removed {
		l.items[0] = nil
		l.items = l.items[1:]
	}
}

// deadlineHeap is a heap of items with the earliest deadline first.
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
