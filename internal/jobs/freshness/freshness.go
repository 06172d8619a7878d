// Package freshness tells whether the announced capacity of a worker is recent enough to
// start tasks by it.
//
// Workers announce themselves regularly in the platform's list. While the list can be
// read, the platform removes a worker from it that has become silent. While it can be
// neither written nor read, a worker may shrink unnoticed.
package freshness

import (
	"math"
	"time"
)

const (
	// MaxAge is the age up to which an announcement may be relied on. A former capacity
	// counts for at least 4.1 s after a change, the 3 s after which a worker is out of
	// contact and an interval of announcements; orders spend a part of that time in queues.
	MaxAge = 3300 * time.Millisecond
	// MaxReadAge is the age up to which a read of the list may be relied on, which lists
	// announcements that are an interval older.
	MaxReadAge = 2500 * time.Millisecond
	// unlistedAfter is the longest time after which a silent worker is no longer listed.
	unlistedAfter = 5 * time.Second
)

// UnknownAge is the age of an announcement whose time is not known.
const UnknownAge time.Duration = math.MaxInt64

// List follows the reads of the list. The zero value is that of a list that is always up
// to date.
type List struct {
	readAt time.Time
	// readableSince is when the list was read for the first time since it was out of date.
	readableSince time.Time
}

// Read records a complete read of the list.
func (l *List) Read(now time.Time) {
	if l.readAt.IsZero() || l.outOfDate(now) {
		l.readableSince = now
	}
	l.readAt = now
}

// Reliable reports whether the listed capacity of a worker may be relied on. The age is
// that of the worker's announcement.
func (l *List) Reliable(now time.Time, age time.Duration) bool {
	return l.readAt.IsZero() || age <= MaxAge || !l.outOfDate(now) && now.Sub(l.readableSince) >= unlistedAfter
}

func (l *List) outOfDate(now time.Time) bool { return now.Sub(l.readAt) > MaxReadAge }
