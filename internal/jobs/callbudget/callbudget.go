// Package callbudget limits the calls that the owner of a cell makes to workers to the
// rate that its VM can handle.
//
// It is meant for an owner with too little of a processor or of a link for its fleet.
// Without a limit its orders and their answers wait in queues of its own until they are
// late, and are made again. The rate falls to what is answered while the owner is slow
// and rises while calls have to wait and it is not, as in congestion control.
//
// An owner that is merely not slow can still be too late for short tasks: each job waits for
// it several times. So the rate also falls, more gently, while work waits in the owner for
// longer than QueueingTarget, and does not rise then.
package callbudget

import (
	"cmp"
	"slices"
	"time"
)

const (
	// initialRate, minRate and maxRate are in calls per second. An owner handles about a
	// thousand with a fifth of a processor, and a few thousand with a whole one.
	initialRate, minRate, maxRate = 2000, 200, 20_000
	// burstSeconds is the size of the token buckets in seconds of the rate, half of the
	// delay from which an owner counts as slow.
	burstSeconds = 0.05
	// rateInterval is the time between rate adjustments, about that between reports of
	// the owner's delay.
	rateInterval = 250 * time.Millisecond
	// While the owner is slow, the rate falls to rateHeadroom of the answers per second,
	// so that the backlog shrinks, but to no less than minRateFactor of itself. While
	// calls wait and the owner is not slow, it grows by rateGrowth.
	rateHeadroom, minRateFactor, rateGrowth = 0.85, 0.5, 1.2
	// While the owner is full, the rate falls to fullHeadroom of the calls made, but to no
	// less than minFullFactor of itself.
	fullHeadroom, minFullFactor = 0.95, 0.85
	// startRateWeight is the weight of an interval in the moving average of starts.
	startRateWeight = 0.3
	// minStartRate is the least that is reckoned with, so that a rate is measured again.
	minStartRate = 20
	// busyMemory is for how long an owner that was busy is taken to be at its limit. Its load
	// swings around QueueingTarget.
	busyMemory = time.Second
)

// QueueingTarget is how long work may wait in the owner while calls are limited.
const QueueingTarget = 25 * time.Millisecond

// Level tells how busy the owner is.
type Level uint8

// Values of Level.
const (
	// Light means that nothing waits in the owner for long.
	Light Level = iota
	// Full means that work waits for longer than QueueingTarget.
	Full
	// Slow means that answers may be late by the owner's own fault.
	Slow
)

// Budget holds two token buckets, one for starts of tasks and one for other calls. Each is
// filled at half of the rate and with the overflow of the other. The zero value has no
// tokens before the first call of Refill.
type Budget struct {
	rate, starts, calls float64
	// refilledAt is when the buckets were last filled, rateChangedAt when the rate was
	// last adjusted.
	refilledAt, rateChangedAt time.Time
	// limited is set when a call had to wait since rateChangedAt, wasLimited if one had
	// to in the interval before.
	limited, wasLimited bool
	// busyAt is when the owner was last found full or slow.
	busyAt time.Time
	// answered and made count the calls answered and made since rateChangedAt.
	answered, made float64
	// starters counts the starts of each priority, the most urgent first.
	starters []starter
}

// starter counts the starts of a priority.
type starter struct {
	priority int
	// started counts the starts since the rate was last adjusted, and rate is the moving
	// average of starts per second.
	started, rate float64
}

// Refill fills the buckets for the elapsed time and adjusts the rate.
func (b *Budget) Refill(now time.Time, level Level) {
	if b.rate == 0 {
		b.rate, b.refilledAt, b.rateChangedAt = initialRate, now, now
		b.starts, b.calls = initialRate*burstSeconds/2, initialRate*burstSeconds/2
	}
	if now.Sub(b.rateChangedAt) >= rateInterval {
		elapsed := now.Sub(b.rateChangedAt).Seconds()
		switch {
		case level == Slow:
			b.rate = max(minRate, minRateFactor*b.rate, min(b.rate, rateHeadroom*b.answered/elapsed))
		case level == Full:
			b.rate = max(minRate, minFullFactor*b.rate, min(b.rate, fullHeadroom*b.made/elapsed))
		case b.limited:
			b.rate = min(maxRate, rateGrowth*b.rate)
		}
		if level != Light {
			b.busyAt = now
		}
		for i := range b.starters {
			s := &b.starters[i]
			s.rate += startRateWeight * (s.started/elapsed - s.rate)
			s.started = 0
		}
		b.rateChangedAt, b.wasLimited, b.limited = now, b.limited, false
		b.answered, b.made = 0, 0
	}
	burst := max(1, b.rate*burstSeconds/2)
	gain := b.rate * now.Sub(b.refilledAt).Seconds() / 2
	b.refilledAt = now
	b.starts += gain
	b.calls += gain
	unused := max(0, b.starts-burst)
	b.starts += max(0, b.calls-burst) - unused
	b.calls = min(burst, b.calls+unused)
	b.starts = min(burst, b.starts)
	// Calls made regardless of the rate are paid back, up to those of a second.
	b.starts, b.calls = max(-b.rate/2, b.starts), max(-b.rate/2, b.calls)
}

// MayStart reports whether a task may be started.
func (b *Budget) MayStart() bool { return b.allows(b.starts) }

// MayCall reports whether a call that starts nothing may be made.
func (b *Budget) MayCall() bool { return b.allows(b.calls) }

// allows reports whether a bucket has a token, and records if not.
func (b *Budget) allows(left float64) bool {
	b.limited = b.limited || left < 1
	return left >= 1
}

// Start takes a token for a start of a task of a priority, also if there is none.
func (b *Budget) Start(priority int) {
	b.starts--
	b.made++
	at, known := slices.BinarySearchFunc(b.starters, priority, func(s starter, priority int) int { return cmp.Compare(s.priority, priority) })
	if !known {
		b.starters = slices.Insert(b.starters, at, starter{priority: priority})
	}
	b.starters[at].started++
}

// Call takes a token for another call, also if there is none.
func (b *Budget) Call() {
	b.calls--
	b.made++
}

// Answered counts an answered call.
func (b *Budget) Answered() { b.answered++ }

// Rate returns the calls per second that are allowed.
func (b *Budget) Rate() float64 { return b.rate }

// Limited reports whether calls have had to wait lately.
func (b *Budget) Limited() bool { return b.limited || b.wasLimited }

// StartRate returns the starts per second that are left for a priority once more urgent ones
// have got theirs. It returns false if the owner could make more: calls have not had to wait
// lately, or the rate rises as the owner has not been busy.
func (b *Budget) StartRate(priority int) (perSecond float64, limited bool) {
	for _, s := range b.starters {
		if s.priority >= priority {
			perSecond += s.rate
		}
	}
	return max(perSecond, minStartRate), b.Limited() && b.rateChangedAt.Sub(b.busyAt) < busyMemory
}
