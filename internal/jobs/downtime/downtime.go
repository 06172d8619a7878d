// Package downtime measures for how long tasks and jobs that should run do not run.
//
// Downtimes are counted from the first check that found an item down, so they are too
// short by up to the time between two checks.
package downtime

import (
	"cmp"
	"slices"
	"time"
)

// Clock measures the downtime of an item. The zero value is that of an item that runs.
type Clock struct{ downSince time.Time }

// Observe records whether the item runs.
func (c *Clock) Observe(now time.Time, running bool) {
	switch {
	case running:
		c.downSince = time.Time{}
	case c.downSince.IsZero():
		c.downSince = now
	}
}

// Downtime returns for how long the item has been down.
func (c *Clock) Downtime(now time.Time) time.Duration {
	if c.downSince.IsZero() {
		return 0
	}
	return now.Sub(c.downSince)
}

// Item is an item that is down.
type Item[T any] struct {
	Value    T
	Downtime time.Duration
}

// maxRoomChecks bounds the items for which Longest looks for room.
const maxRoomChecks = 32

// Longest returns the longest downtime, and the item with the longest downtime among those
// for which there is room. It reports false if there is no such item among the first
// maxRoomChecks. Items with equal downtimes are ordered by compare.
func Longest[T any](items []Item[T], compare func(a, b T) int, hasRoom func(T) bool) (longest time.Duration, withRoom Item[T], found bool) {
	if len(items) == 0 {
		return 0, withRoom, false
	}
	slices.SortFunc(items, func(a, b Item[T]) int {
		return cmp.Or(cmp.Compare(b.Downtime, a.Downtime), compare(a.Value, b.Value))
	})
	for _, x := range items[:min(len(items), maxRoomChecks)] {
		if hasRoom(x.Value) {
			return items[0].Downtime, x, true
		}
	}
	return items[0].Downtime, withRoom, false
}
