// Package urgency orders steps that wait for room.
//
// It answers a backlog that is longer than some jobs can wait. Serving the
// oldest first makes every job late. Here a job that can still be done in time
// goes before one that cannot, and that before one whose time is over, within
// each priority; among equals the nearer objective goes first. If not all can be
// in time, those that yield least for the work that is left of them are shed:
// they go behind the others, and come back when there is room. A job that is late
// is done when there is room, so none is lost.
package urgency

import (
	"cmp"
	"strings"
	"time"
)

// LateFactor is how many times its objective a late job may take to be worth
// something to its caller.
const LateFactor = 3

// Tier tells what a job can still reach.
type Tier uint8

// The tiers, most urgent first.
const (
	InTime Tier = iota
	// Shed jobs could be in time, but not with all the others.
	Shed
	Late
	Over
)

// TierOf returns the tier of work that takes a time from now on. Accepted and
// due are the job's.
func TierOf(now, accepted, due time.Time, takes time.Duration) Tier {
	done := now.Add(takes)
	switch {
	case !done.After(due):
		return InTime
	case !done.After(accepted.Add(LateFactor * due.Sub(accepted))):
		return Late
	}
	return Over
}

// fixedWorth is the part of a job's worth that does not depend on its work, for a
// job of the mean size of its queue.
const fixedWorth = 0.3

// Yield returns what a job is worth against the work that is left of it. Work is
// all of its work, and mean that of the mean job of its queue.
func Yield(work, left, mean time.Duration) float64 {
	if left <= 0 || mean <= 0 {
		return 0
	}
	return (fixedWorth*float64(mean) + (1-fixedWorth)*float64(work)) / float64(left)
}

// Key orders steps.
type Key struct {
	// Priority is the priority of the queue; 0 is the most urgent.
	Priority int
	Tier     Tier
	Due      time.Time
	// Name makes the order total.
	Name string
}

// Compare compares two keys. The more urgent one is less.
func (k Key) Compare(o Key) int {
	return cmp.Or(
		cmp.Compare(k.Priority, o.Priority),
		cmp.Compare(k.Tier, o.Tier),
		k.Due.Compare(o.Due),
		strings.Compare(k.Name, o.Name),
	)
}
