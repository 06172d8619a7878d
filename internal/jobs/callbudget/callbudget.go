// Package callbudget limits the calls that the owner of a cell makes to workers to the
// rate that its VM can handle.
//
// It is meant for an owner with too little of a processor or of a link for its fleet.
// Without a limit its orders and their answers wait in queues of its own until they are
// late, and are made again. The rate falls to what is answered while the owner is slow
// and rises while calls have to wait and it is not, as in congestion control.
package callbudget

import "time"

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
	// answered counts the calls answered since rateChangedAt.
	answered float64
}

// Refill fills the buckets for the elapsed time and adjusts the rate. Slow says whether
// the owner is slow at present.
func (b *Budget) Refill(now time.Time, slow bool) {
	if b.rate == 0 {
		b.rate, b.refilledAt, b.rateChangedAt = initialRate, now, now
		b.starts, b.calls = initialRate*burstSeconds/2, initialRate*burstSeconds/2
	}
	if now.Sub(b.rateChangedAt) >= rateInterval {
		switch {
		case slow:
			carried := b.answered / now.Sub(b.rateChangedAt).Seconds()
			b.rate = max(minRate, minRateFactor*b.rate, min(b.rate, rateHeadroom*carried))
		case b.limited:
			b.rate = min(maxRate, rateGrowth*b.rate)
		}
		b.rateChangedAt, b.wasLimited, b.limited, b.answered = now, b.limited, false, 0
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

// Start takes a token for a start, also if there is none.
func (b *Budget) Start() { b.starts-- }

// Call takes a token for another call, also if there is none.
func (b *Budget) Call() { b.calls-- }

// Answered counts an answered call.
func (b *Budget) Answered() { b.answered++ }

// Limited reports whether calls have had to wait lately.
func (b *Budget) Limited() bool { return b.limited || b.wasLimited }
