// Package collector sets how much memory garbage may take.
//
// A process that has little of a processor and much memory collects seldom, and
// as often as it takes once it nears its limit.
package collector

import (
	"math"
	"runtime/debug"
)

const (
	// percent is the garbage at which a collection begins, in percent of what was
	// in use after the last: half of the collections that are usual in Go.
	percent = 200
	// share is the part of the process's memory above which collections come more
	// often. The rest is for the program itself, what the kernel holds of
	// connections, and what comes in during a collection.
	share = 0.4
)

// Set sets the collector for a process that has a number of bytes. Zero is no
// limit.
func Set(memory int64) {
	debug.SetGCPercent(percent)
	debug.SetMemoryLimit(limit(memory))
}

func limit(memory int64) int64 {
	if memory <= 0 {
		return math.MaxInt64
	}
	return int64(share * float64(memory))
}
