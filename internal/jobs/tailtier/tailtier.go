// Package tailtier holds the conditions under which a best-effort task is placed beside
// serving tasks, by how long its job has waited.
package tailtier

import "math"

// Tier selects the conditions.
type Tier uint8

// Values of Tier, the strictest conditions first. The first task of a job that has waited
// too long is tried with each from Starved on.
const (
	// Recent is for tasks that became ready a moment ago. Without a backlog such a task
	// finds a worker where it disturbs less, and the wait is short against its objective.
	Recent Tier = iota
	// Waiting is for other tasks.
	Waiting
	// Starved is for a task that starts at full pace. Pacing corrects what it disturbs
	// beyond the prediction.
	Starved
	// Throttled is for a task that starts throttled, where no target is missed at present
	// but higher tail latencies may be expected.
	Throttled
	// Crowded is like Throttled, but targets may be missed and the idle CPU may be shared with
	// other best-effort tasks. It is the last resort, so that each job gets a run.
	Crowded
	// Count is the number of tiers.
	Count
)

// MaxExpected is the expected tail latency, as a fraction of its target, up to which a task
// is placed that is not starved.
const MaxExpected = 0.95

// MaxTail returns the highest expected tail latency, as a fraction of its target, at which a
// task is placed.
func (t Tier) MaxTail() float64 {
	return [Count]float64{0.85, MaxExpected, 1, math.Inf(1), math.Inf(1)}[t]
}
