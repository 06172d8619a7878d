// Package collector configures the garbage collector for processes with little
// processor time and much memory: collections are rare until the heap nears its limit.
package collector

import (
	"math"
	"runtime/debug"
)

const (
	// gcPercent is the heap growth since the last collection, in percent, at which the
	// next one begins. Twice Go's default, it halves the number of collections.
	gcPercent = 200
	// heapShare is the share of the process's memory above which collections become
	// more frequent. The rest is left for the program itself, the kernel's buffers of
	// connections, and what is allocated during a collection.
	heapShare = 0.4
)

// Configure sets up the collector of this process, which may use the given number of
// bytes. Zero means no limit.
func Configure(memoryBytes int64) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(heapLimit(memoryBytes))
}

// heapLimit returns the soft memory limit in bytes.
func heapLimit(memoryBytes int64) int64 {
	if memoryBytes <= 0 {
		return math.MaxInt64
	}
	return int64(heapShare * float64(memoryBytes))
}
