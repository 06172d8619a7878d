// Package callercost weighs what a delay, a refusal or a failed run costs the caller of a job,
// so that what waits or is turned away is what costs callers least.
//
// It is meant for fleets in which room is short: many tasks wait for the few workers that
// have any. There the workers with the most room are often those at which all runs fail, as
// they are empty again at once. Whoever starts each task as soon as it fits spends the last
// permitted runs of tasks at them, and each of these costs its caller the whole job, the work
// of its other tasks included. A short wait for another worker costs less.
//
// The measure goes by what callers state: how much work a job is, when it should be done, and
// how often its tasks may run.
package callercost

import (
	"math"
	"time"
)

const (
	// LateFactor is the multiple of its objective up to which the result of a job has some
	// value to its caller.
	LateFactor = 3
	// lateValue is the value of such a late result, as a part of that of one in time: most
	// callers have gone on without it, but need not have the work done again.
	lateValue = 0.25
	// minError is the least standard deviation of the logarithm of actual over expected
	// duration that is assumed, as no estimate is exact.
	minError = 0.05
)

// Stake is what the caller of a job has at stake.
type Stake struct {
	// Accepted is when the job was accepted and Due when it should be done.
	Accepted, Due time.Time
	// CriticalPath is how long the rest of the job takes with unlimited capacity, as
	// expected, and Error the standard deviation of the logarithm of actual over expected
	// duration.
	CriticalPath time.Duration
	Error        float64
}

// Value returns the expected value of the job's result if the rest of it starts at a time, as a
// part of that of one that is certain to be in time.
func (s Stake) Value(start time.Time) float64 {
	inTime := s.chance(s.Due.Sub(start))
	notTooLate := s.chance(s.Accepted.Add(LateFactor * s.Due.Sub(s.Accepted)).Sub(start))
	return inTime + lateValue*(notTooLate-inTime)
}

// chance returns the probability that the rest of the job takes no longer than a duration.
func (s Stake) chance(d time.Duration) float64 {
	switch {
	case d <= 0:
		return 0
	case s.CriticalPath <= 0:
		return 1
	}
	z := math.Log(float64(d)/float64(s.CriticalPath)) / max(minError, s.Error)
	return 0.5 * math.Erfc(-z/math.Sqrt2)
}

// DelayCost returns the value that the job loses if it waits for a duration.
func (s Stake) DelayCost(now time.Time, wait time.Duration) float64 {
	return s.Value(now) - s.Value(now.Add(wait))
}

// headShare is the part of a caller's loss that is the same for small and large jobs, for a job
// of the mean size of its queue. By heads alone large jobs would wait for ever, by work alone
// the many callers of small jobs would.
const headShare = 0.5

// Density returns what the caller of a job loses without its result, per unit of remaining
// work: work is the total work of the job and mean that of the mean job of its queue, all in
// processor time. Work that is done already makes a job worth finishing.
func Density(work, remaining, mean time.Duration) float64 {
	if remaining <= 0 || mean <= 0 {
		return 0
	}
	return (headShare*float64(mean) + (1-headShare)*float64(work)) / float64(remaining)
}

// FailureChance returns the probability that a run fails at a worker, from the number of runs
// that failed there since the last success. A single one is as likely to be chance as the first
// of many; each further one makes it less likely that the next run ends well.
func FailureChance(consecutiveFailures int) float64 {
	if consecutiveFailures <= 0 {
		return usualFailureChance
	}
	return float64(consecutiveFailures) / float64(consecutiveFailures+1)
}

// usualFailureChance is the probability that a run fails at a worker that works, as jobs fail by
// themselves now and then. What matters is only that it is far below that of a worker with a
// failure.
const usualFailureChance = 0.02

const (
	// expectedWait is how long it takes until another worker has room. Runs take seconds and
	// end at other times at each of many workers; half of maxWait is the mean if nothing else
	// is known of it.
	expectedWait = maxWait / 2
	// maxWait bounds the wait for a better worker. A caller whose job has nothing running for
	// 3 s although there is room for it takes it for lost; the rest of that time is left for
	// the start and its answer.
	maxWait = time.Second
)

// Worthwhile reports whether to start the last permitted run of a task now at a worker with a
// number of consecutive failures, rather than to wait for another worker. The task has waited
// for a duration already. A failure loses the whole job.
func (s Stake) Worthwhile(now time.Time, waited time.Duration, consecutiveFailures int) bool {
	risk := FailureChance(consecutiveFailures) - usualFailureChance
	return risk <= 0 || waited >= maxWait || risk*s.Value(now) <= s.DelayCost(now, expectedWait)
}
