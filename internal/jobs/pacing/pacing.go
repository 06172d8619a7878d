// Package pacing slows tasks that fill beside tasks that serve.
//
// It answers interference that differs by image and changes within seconds,
// seen through rough and late figures: the share of work of what disturbs is
// halved as soon as a tail nears its target, taken away when it is over it, and
// given back step by step while all tails are well below. What does not disturb
// is left alone unless the tail stays high without it.
package pacing

import "time"

const (
	// Full is the share at which a task starts, in percent.
	Full = 100
	// near and well are shares of the target: figures are rough by some tens
	// of percent.
	near = 0.8
	well = 0.6
	// backoff and raise change the share, in percent.
	backoff = 2
	raise   = 25
	// least is the share below which work is stopped.
	least = 20
	// blameShare is the part of the time that a tail may be over its target after
	// which all that fills is slowed, disturbing or not.
	blameShare = 2
	// Every is the least time between changes: figures cover half a second.
	Every = 400 * time.Millisecond
)

// Disturbing is the part of a target that a task must be expected to take for
// it to be slowed.
const Disturbing = 0.03

// Next returns the share for a task that fills, given the largest tail at its
// worker as a share of its target, and whether the task is held to disturb.
// Over is how long the tail has been over its target, allowed how long it may be.
func Next(percent int, load float64, disturbs bool, over, allowed time.Duration) int {
	switch {
	case load >= 1 && (disturbs || over >= allowed/blameShare):
		return 0
	case load >= near && disturbs:
		percent /= backoff
		if percent < least {
			percent = 0
		}
		return percent
	case load < well:
		return min(Full, percent+raise)
	}
	return percent
}
