// Package stage accounts for the time that jobs spend on their way through the owner, by
// queue and stage.
//
// An owner that is late delays each stage a little, and a job of several short steps passes
// many stages. The account tells this delay from a lack of capacity, which shows in
// Placement alone.
package stage

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Stage is a part of the way of a job.
type Stage uint8

// The stages.
const (
	// Acceptance is from the decision to accept a job until it is stored.
	Acceptance Stage = iota
	// Placement is from the time when a task could start until it is placed.
	Placement
	// Release is from placement until the start is ordered: what a successor must know
	// of it is stored first.
	Release
	// Confirmation is from the order of a start until the worker confirms it.
	Confirmation
	numStages
)

func (s Stage) String() string {
	return [numStages]string{"acceptance", "placement", "release", "confirmation"}[s]
}

// Figure sums up the times that jobs of a queue have spent in a stage.
type Figure struct {
	Count          int64
	Total, Longest time.Duration
}

// Mean returns the mean time, or zero if there is none.
func (f Figure) Mean() time.Duration { return f.Total / time.Duration(max(1, f.Count)) }

// Account holds a Figure for each queue and stage. The zero value is empty.
type Account struct {
	queues map[string]*[numStages]Figure
}

// Add adds the time that a job or a task of a queue has spent in a stage.
func (a *Account) Add(queue string, s Stage, d time.Duration) {
	if a.queues == nil {
		a.queues = make(map[string]*[numStages]Figure)
	}
	q := a.queues[queue]
	if q == nil {
		q = new([numStages]Figure)
		a.queues[queue] = q
	}
	q[s].Count++
	q[s].Total += d
	q[s].Longest = max(q[s].Longest, d)
}

// Each calls a function for each queue and stage that has been passed, sorted by queue.
func (a *Account) Each(visit func(queue string, s Stage, f Figure)) {
	for _, name := range slices.Sorted(maps.Keys(a.queues)) {
		for s, f := range a.queues[name] {
			if f.Count > 0 {
				visit(name, Stage(s), f)
			}
		}
	}
}

// Reset empties the account.
func (a *Account) Reset() { clear(a.queues) }

// String formats the count, the mean and the longest time of each stage, by queue.
func (a *Account) String() string {
	var b strings.Builder
	last := ""
	a.Each(func(queue string, s Stage, f Figure) {
		if queue != last {
			if b.Len() > 0 {
				b.WriteString("; ")
			}
			fmt.Fprintf(&b, "queue %s:", queue)
			last = queue
		}
		fmt.Fprintf(&b, " %v %d mean %v longest %v", s, f.Count, f.Mean().Round(time.Millisecond), f.Longest.Round(time.Millisecond))
	})
	return b.String()
}
