package cell

import "time"

const (
	// SlowOwnerDelay is the delay from which an owner counts as slow. It is a quarter of
	// the order timeout, so that most answers still arrive in time.
	SlowOwnerDelay = 100 * time.Millisecond
	// ownerDelayTTL is how long a reported delay is used without a newer one.
	ownerDelayTTL = 2 * time.Second
)

// ownerDelay is the delay that the owner itself adds to orders and answers.
type ownerDelay struct {
	delay      time.Duration
	reportedAt time.Time
}

// SetOwnerDelay reports how long orders and answers wait in the owner itself: from the
// decision until they are written, or from their arrival until they are handled,
// whichever is longer. After the first call, calls to workers are limited to the rate
// that the owner can handle.
func (c *Cell) SetOwnerDelay(now time.Time, d time.Duration) {
	c.owner.delay, c.owner.reportedAt = max(0, d), now
}

// ownerDelayAt returns the owner's own delay, or zero without a recent report.
func (c *Cell) ownerDelayAt(now time.Time) time.Duration {
	if now.Sub(c.owner.reportedAt) > ownerDelayTTL {
		return 0
	}
	return c.owner.delay
}

// ownerSlow reports whether the owner itself may be the reason for late answers.
func (c *Cell) ownerSlow(now time.Time) bool { return c.ownerDelayAt(now) >= SlowOwnerDelay }

// slowOwnerFailures is the number of consecutive failed calls after which a slow owner
// considers a worker silent.
const slowOwnerFailures = 3

const (
	// initialRate, minRate and maxRate are in calls per second. An owner handles about a
	// thousand with a fifth of a processor, and a few thousand with a whole one.
	initialRate, minRate, maxRate = 2000, 200, 20_000
	// burstSeconds is the size of the token buckets in seconds of the rate, half of
	// SlowOwnerDelay.
	burstSeconds = 0.05
	// rateInterval is the time between rate adjustments, about that between reports of
	// the delay.
	rateInterval = 250 * time.Millisecond
	// While the owner is slow, the rate falls to rateHeadroom of the answers per second,
	// so that the backlog shrinks, but to no less than minRateFactor of itself. While
	// calls wait and the owner is not slow, it grows by rateGrowth, as in congestion
	// control.
	rateHeadroom, minRateFactor, rateGrowth = 0.85, 0.5, 1.2
	// renewalWindow is the time before the end of the leases in which a worker is called
	// regardless of the rate. It allows for a few calls with their timeouts.
	renewalWindow = 2 * time.Second
)

// callBudget limits the calls of the owner with two token buckets, one for starts and one
// for other calls. Each is filled at half of the rate and with the overflow of the other.
type callBudget struct {
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

// refill fills the buckets for the elapsed time and adjusts the rate.
func (c *Cell) refill(now time.Time) {
	b := &c.budget
	if b.rate == 0 {
		b.rate, b.refilledAt, b.rateChangedAt = initialRate, now, now
		b.starts, b.calls = initialRate*burstSeconds/2, initialRate*burstSeconds/2
	}
	if now.Sub(b.rateChangedAt) >= rateInterval {
		switch {
		case c.ownerSlow(now):
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

// allows reports whether a bucket has a token, and records if not.
func (b *callBudget) allows(left float64) bool {
	b.limited = b.limited || left < 1
	return left >= 1
}

// Overloaded reports whether the owner is slow or holds back calls so as not to become
// slow. The limit on calls keeps the delay of an overloaded owner below SlowOwnerDelay
// most of the time, so the delay alone does not show the overload.
func (c *Cell) Overloaded(now time.Time) bool {
	return c.ownerSlow(now) || c.budget.limited || c.budget.wasLimited
}

// callsLimited reports whether calls are limited: the owner's delay is reported.
func (c *Cell) callsLimited() bool { return !c.owner.reportedAt.IsZero() }

// mayStart reports whether the budget allows another start.
func (c *Cell) mayStart() bool { return !c.callsLimited() || c.budget.allows(c.budget.starts) }

// mayCall reports whether a worker may be called. Calls that renew leases or monitor tail
// latencies are always allowed.
func (c *Cell) mayCall(now time.Time, w *worker) bool {
	return !c.callsLimited() || w.renewalDue(now) || c.tailsUnwatched(now, w) || c.budget.allows(c.budget.calls)
}

// renewalDue reports whether the leases of runs at a worker expire soon.
func (w *worker) renewalDue(now time.Time) bool {
	return len(w.attempts) > 0 && !w.silent() && w.leasesEnd.Sub(now) < renewalWindow
}

// emit outputs an order. Starts are charged to the budget when they are placed.
func (c *Cell) emit(o Order) {
	if o.Kind != OrderStart {
		c.budget.calls--
	}
	c.out.Orders = append(c.out.Orders, o)
}
