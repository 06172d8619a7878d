// Package pacing slows tasks that fill beside tasks that serve.
//
// It answers interference that differs by image and changes within seconds,
// seen through rough and late figures: the share of work is halved as soon as
// a tail nears its target, taken away when it is over it, and given back step by
// step while all tails are well below.
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
	raise   = 15
	// least is the share below which work is stopped.
	least = 20
	// Every is the least time between changes: figures cover half a second.
	Every = 400 * time.Millisecond
)

// Next returns the share for the tasks that fill at a worker, given the largest
// tail there as a share of its target.
func Next(percent int, load float64) int {
	switch {
	case load >= 1:
		return 0
	case load >= near:
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
