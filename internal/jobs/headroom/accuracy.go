// Package headroom accounts for how well the tail latencies of serving tasks are expected when
// best-effort tasks (Step.BestEffort) are placed beside them.
//
// It is meant for fleets in which the load of serving tasks swings within seconds, and the
// limits for placing are weighed against what they cost the tasks that wait. Targets that are
// missed far below the expected limit are due to the load, others to the limit.
package headroom

import (
	"fmt"
	"strings"
)

// bounds are the upper bounds of the expected tails that are told apart, as fractions of the
// target.
var bounds = [...]float64{0.5, 0.65, 0.75, 0.85, 0.95}

// Accuracy compares the tail latencies that are expected beside new best-effort tasks with the
// first ones reported. The zero value is empty.
type Accuracy struct {
	judged, over [len(bounds) + 1]int64
}

// Judge adds a placement: the highest tail latency expected at the worker and the one reported
// after the start, as fractions of the target.
func (a *Accuracy) Judge(expected, reported float64) {
	i := 0
	for i < len(bounds) && expected > bounds[i] {
		i++
	}
	a.judged[i]++
	if reported >= 1 {
		a.over[i]++
	}
}

// Totals returns how many placements were judged and how many were followed by a missed target.
func (a *Accuracy) Totals() (judged, over int64) {
	for i := range a.judged {
		judged += a.judged[i]
		over += a.over[i]
	}
	return judged, over
}

// String lists the missed targets by the expected tail.
func (a *Accuracy) String() string {
	var b strings.Builder
	for i, judged := range a.judged {
		limit := "above"
		if i < len(bounds) {
			limit = fmt.Sprintf("up to %v", bounds[i])
		}
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%s: %d of %d", limit, a.over[i], judged)
	}
	return b.String()
}
