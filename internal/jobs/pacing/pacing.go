// Package pacing throttles best-effort tasks (Step.BestEffort) that run beside serving
// tasks, which have a tail-latency target.
//
// Interference differs by image (program) and changes within seconds, and its
// measurements are noisy and delayed. The pace of a best-effort task that
// interferes is halved as soon as a tail latency of its worker approaches the
// target, set to zero when the tail exceeds the target, and raised step by step
// while all tails are well below their targets. A task that does not interfere is
// not slowed, unless the tail stays above the target for long.
package pacing

import "time"

const (
	// Full is the pace at which a task starts. Paces are in percent.
	Full = 100
	// Cautious is the pace for a task that is expected to raise a tail above its target. It
	// is raised like others once the tail proves to be low.
	Cautious = raisePercent
	// highTail and lowTail are tails relative to the target: above highTail the
	// pace of interfering tasks is reduced, below lowTail all paces are raised.
	// Single measurements are off by some tens of percent.
	highTail = 0.8
	lowTail  = 0.6
	// backoffDivisor divides a pace that is reduced; raisePercent is added to one
	// that is raised.
	backoffDivisor = 2
	raisePercent   = 25
	// minPercent is the pace below which a task is stopped altogether.
	minPercent = 20
	// overDivisor divides the time for which a tail may be above its target. After
	// the resulting time all best-effort tasks of the worker are stopped, whether
	// they are known to interfere or not.
	overDivisor = 2
	// MinInterval is the minimum time between two changes, as measurements cover half a
	// second.
	MinInterval = 400 * time.Millisecond
)

// MinInterference is the minimum headroom (target divided by tail latency) that a task
// must be expected to take to count as interfering.
const MinInterference = 0.1

// Next returns the next pace of a best-effort task, in percent, given its present
// pace. Tail is the highest tail at its worker relative to the target, and
// interferes says whether the task counts as interfering. Over is how long the tail
// has been above its target, and allowed how long it may be.
func Next(percent int, tail float64, interferes bool, over, allowed time.Duration) int {
	switch {
	case tail >= 1 && (interferes || over >= allowed/overDivisor):
		return 0
	case tail >= highTail && interferes:
		percent /= backoffDivisor
		if percent < minPercent {
			percent = 0
		}
		return percent
	case tail < lowTail:
		return min(Full, percent+raisePercent)
	}
	return percent
}
