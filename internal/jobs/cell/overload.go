package cell

import "time"

const (
	// SlowOwner is the delay above which an owner counts as slow: a quarter of the
	// time limit of an order, so that answers still come in time for most.
	SlowOwner = 100 * time.Millisecond
	// ownerDelayTTL is how long a delay that was told holds without a new one.
	ownerDelayTTL = 2 * time.Second
)

// ownerDelay is how late the owner itself carries out and takes in.
type ownerDelay struct {
	delay      time.Duration
	reportedAt time.Time
}

// SetOwnerDelay takes in how long orders and answers wait in the owner itself:
// from the decision until they are written, or from their arrival until they are
// handled, whichever is longer. From then on calls are limited to what the owner
// can carry.
func (c *Cell) SetOwnerDelay(now time.Time, d time.Duration) {
	c.owner.delay, c.owner.reportedAt = max(0, d), now
}

// ownerDelayAt returns the owner's own delay, or zero if none was told lately.
func (c *Cell) ownerDelayAt(now time.Time) time.Duration {
	if now.Sub(c.owner.reportedAt) > ownerDelayTTL {
		return 0
	}
	return c.owner.delay
}

// ownerSlow reports whether late answers may be the owner's own doing.
func (c *Cell) ownerSlow(now time.Time) bool { return c.ownerDelayAt(now) >= SlowOwner }

// slowOwnerFailures is how many calls in a row must fail before a worker counts as silent
// to an owner that is slow.
const slowOwnerFailures = 3

const (
	// initialRate is how many calls a second an owner makes at first, minRate and
	// maxRate bound it later. An owner with a fifth of a processor carries about a
	// thousand, one with a whole one some thousands.
	initialRate, minRate, maxRate = 2000, 200, 20_000
	// burstSeconds is how many calls may be made at once, in seconds of the rate: half
	// of SlowOwner.
	burstSeconds = 0.05
	// rateInterval is the time between changes of the rate. The delay is told about as
	// often.
	rateInterval = 250 * time.Millisecond
	// While the owner is slow the rate falls to rateHeadroom of what is answered, so
	// that what waits gets less, but by maxRateCut at most. It rises by rateGrowth while
	// calls wait and the owner is not slow, as in congestion control.
	rateHeadroom, maxRateCut, rateGrowth = 0.85, 0.5, 1.2
	// renewalWindow is the time before the end of the leases at which a worker is
	// called whatever the rate: some calls and their time limits.
	renewalWindow = 2 * time.Second
)

// callBudget is how many calls the owner may make. The rate follows its delay. Starts
// and other calls each have half of it, and what the others leave.
type callBudget struct {
	rate, starts, calls float64
	// refilledAt is when these were brought up to date, rateChangedAt when the rate was.
	refilledAt, rateChangedAt time.Time
	// limited is set when a call had to wait since then.
	limited bool
	// answered is how many calls were answered since then.
	answered float64
}

// refill adds to the budget what time brings.
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
			b.rate = max(minRate, maxRateCut*b.rate, min(b.rate, rateHeadroom*carried))
		case b.limited:
			b.rate = min(maxRate, rateGrowth*b.rate)
		}
		b.rateChangedAt, b.limited, b.answered = now, false, 0
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
	// What could not wait is made up for, within a second.
	b.starts, b.calls = max(-b.rate/2, b.starts), max(-b.rate/2, b.calls)
}

// allows reports whether a call may be made now.
func (b *callBudget) allows(left float64) bool {
	b.limited = b.limited || left < 1
	return left >= 1
}

// callsLimited reports whether calls are callsLimited: the owner's delay is known.
func (c *Cell) callsLimited() bool { return !c.owner.reportedAt.IsZero() }

// mayStart reports whether the owner can carry another start.
func (c *Cell) mayStart() bool { return !c.callsLimited() || c.budget.allows(c.budget.starts) }

// mayCall reports whether the owner can carry a call to a worker. Leases are
// renewed and tails watched in any case.
func (c *Cell) mayCall(now time.Time, w *worker) bool {
	return !c.callsLimited() || w.renewalDue(now) || c.tailsUnwatched(now, w) || c.budget.allows(c.budget.calls)
}

// renewalDue reports whether the leases of runs at a worker end soon.
func (w *worker) renewalDue(now time.Time) bool {
	return len(w.attempts) > 0 && !w.silent() && w.leasesEnd.Sub(now) < renewalWindow
}

// emit gives an order out. Starts were counted when they were placed.
func (c *Cell) emit(o Order) {
	if o.Kind != OrderStart {
		c.budget.calls--
	}
	c.out.Orders = append(c.out.Orders, o)
}
