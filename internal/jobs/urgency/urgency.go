// Package urgency orders the steps of jobs that wait for workers to become free.
//
// It is meant for backlogs that are longer than some jobs can wait. First come,
// first served would make every job late. Instead, within each priority, jobs that
// can still meet their objective go first, then jobs that will be late, then jobs
// whose results are no longer of value; within each of these groups the earliest
// objective goes first. If the jobs that could be in time cannot all be, those with
// the lowest value per remaining work are shed: they go behind the others, and are
// promoted again when there is capacity. Late jobs run when there is capacity; none
// is dropped.
package urgency

import (
	"cmp"
	"strings"
	"time"

	"bamboofall.example/bamboofall/internal/jobs/callercost"
)

// Tier classifies a job by what it can still achieve.
type Tier uint8

// Values of Tier, most urgent first.
const (
	// InTime jobs can meet their objective.
	InTime Tier = iota
	// Shed jobs could meet their objective, but not together with all the others.
	Shed
	// Late jobs miss their objective but end within LateFactor times its length.
	Late
	// Expired jobs end so late that their result has no value.
	Expired
)

// TierOf returns the tier of a job whose work would take the remaining time if it
// started now. The job was accepted at accepted and its objective is due.
func TierOf(now, accepted, due time.Time, remaining time.Duration) Tier {
	completion := now.Add(remaining)
	switch {
	case !completion.After(due):
		return InTime
	case !completion.After(accepted.Add(callercost.LateFactor * due.Sub(accepted))):
		return Late
	}
	return Expired
}

// Key is the sort key of a step.
type Key struct {
	// Priority is the priority of the queue; 0 is the most urgent.
	Priority int
	Tier     Tier
	// Due is when the job should be done.
	Due time.Time
	// Name breaks ties, so that the order is total.
	Name string
}

// Compare orders keys by urgency; the more urgent key is less.
func (k Key) Compare(other Key) int {
	return cmp.Or(
		cmp.Compare(k.Priority, other.Priority),
		cmp.Compare(k.Tier, other.Tier),
		k.Due.Compare(other.Due),
		strings.Compare(k.Name, other.Name),
	)
}
