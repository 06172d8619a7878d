// Package obstacle names the reasons why a task cannot start at a worker.
package obstacle

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Reason is a reason why a task cannot start at a worker now.
type Reason string

// The reasons, in the order in which they are checked.
const (
	None         Reason = "fits"
	Evacuated    Reason = "evacuated"
	Unusable     Reason = "unusable"
	Service      Reason = "otherService"
	Room         Reason = "noRoom"
	Memory       Reason = "noMemory"
	Outdated     Reason = "outdated"
	Health       Reason = "suspect"
	Label        Reason = "otherLabel"
	AlreadyHere  Reason = "runsThere"
	MaxPerWorker Reason = "apart"
	Tail         Reason = "tail"
	// LastRun means that runs fail at the worker, and that the task may fail only once more.
	LastRun Reason = "lastRun"
)

// Counts is the number of workers by reason.
type Counts map[Reason]int

// String lists the numbers, ordered by reason, for log entries.
func (c Counts) String() string {
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(c)) {
		parts = append(parts, fmt.Sprintf("%s %d", reason, c[reason]))
	}
	return strings.Join(parts, ", ")
}
