package cell

import "time"

const (
	// SlowOwner is the delay above which an owner counts as slow: a quarter of the
	// time limit of an order, so that answers still come in time for most.
	SlowOwner = 100 * time.Millisecond
	// ownerDelayFor is how long a delay that was told holds without a new one.
	ownerDelayFor = 2 * time.Second
)

// ownerDelay is how late the owner itself carries out and takes in.
type ownerDelay struct {
	told time.Duration
	at   time.Time
}

// SetOwnerDelay takes in how long orders and answers wait in the owner itself:
// from the decision until they are written, or from their arrival until they are
// handled, whichever is longer. From then on calls are limited to what the owner
// can carry.
func (c *Cell) SetOwnerDelay(now time.Time, d time.Duration) {
	c.owner.told, c.owner.at = max(0, d), now
}

// ownerDelayAt returns the owner's own delay, or zero if none was told lately.
func (c *Cell) ownerDelayAt(now time.Time) time.Duration {
	if now.Sub(c.owner.at) > ownerDelayFor {
		return 0
	}
	return c.owner.told
}

// ownerSlow reports whether late answers may be the owner's own doing.
func (c *Cell) ownerSlow(now time.Time) bool { return c.ownerDelayAt(now) >= SlowOwner }

// slowFailures is how many calls in a row must fail before a worker counts as silent
// to an owner that is slow.
const slowFailures = 3

const (
	// firstRate is how many calls a second an owner makes at first, leastRate and
	// mostRate bound it later. An owner with a fifth of a processor carries about a
	// thousand, one with a whole one some thousands.
	firstRate, leastRate, mostRate = 2000, 200, 20_000
	// callBurst is how many calls may be made at once, in seconds of the rate: half
	// of SlowOwner.
	callBurst = 0.05
	// rateEvery is the time between changes of the rate. The delay is told about as
	// often.
	rateEvery = 250 * time.Millisecond
	// While the owner is slow the rate falls to rateSpare of what is answered, so
	// that what waits gets less, but by rateDown at most. It rises by rateUp while
	// calls wait and the owner is not slow, as in congestion control.
	rateSpare, rateDown, rateUp = 0.85, 0.5, 1.2
	// renewBefore is the time before the end of the leases at which a worker is
	// called whatever the rate: some calls and their time limits.
	renewBefore = 2 * time.Second
)

// budget is how many calls the owner may make. The rate follows its delay. Starts
// and other calls each have half of it, and what the others leave.
type budget struct {
	rate, starts, calls float64
	// at is when these were brought up to date, changed when the rate was.
	at, changed time.Time
	// short is set when a call had to wait since then.
	short bool
	// done is how many calls were answered since then.
	done float64
}

// refill adds to the budget what time brings.
func (c *Cell) refill(now time.Time) {
	b := &c.budget
	if b.rate == 0 {
		b.rate, b.at, b.changed = firstRate, now, now
		b.starts, b.calls = firstRate*callBurst/2, firstRate*callBurst/2
	}
	if now.Sub(b.changed) >= rateEvery {
		switch {
		case c.ownerSlow(now):
			carried := b.done / now.Sub(b.changed).Seconds()
			b.rate = max(leastRate, rateDown*b.rate, min(b.rate, rateSpare*carried))
		case b.short:
			b.rate = min(mostRate, rateUp*b.rate)
		}
		b.changed, b.short, b.done = now, false, 0
	}
	most := max(1, b.rate*callBurst/2)
	gain := b.rate * now.Sub(b.at).Seconds() / 2
	b.at = now
	b.starts += gain
	b.calls += gain
	spill := max(0, b.starts-most)
	b.starts += max(0, b.calls-most) - spill
	b.calls = min(most, b.calls+spill)
	b.starts = min(most, b.starts)
	// What could not wait is made up for, within a second.
	b.starts, b.calls = max(-b.rate/2, b.starts), max(-b.rate/2, b.calls)
}

// has reports whether a call may be made now.
func (b *budget) has(left float64) bool {
	b.short = b.short || left < 1
	return left >= 1
}

// limited reports whether calls are limited: the owner's delay is known.
func (c *Cell) limited() bool { return !c.owner.at.IsZero() }

// mayStart reports whether the owner can carry another start.
func (c *Cell) mayStart() bool { return !c.limited() || c.budget.has(c.budget.starts) }

// mayCall reports whether the owner can carry a call to a worker. Leases are
// renewed and tails watched in any case.
func (c *Cell) mayCall(now time.Time, w *worker) bool {
	return !c.limited() || w.renews(now) || c.unwatched(now, w) || c.budget.has(c.budget.calls)
}

// renews reports whether the leases of runs at a worker end soon.
func (w *worker) renews(now time.Time) bool {
	return len(w.attempts) > 0 && !w.silent() && w.leasesEnd.Sub(now) < renewBefore
}

// give gives an order out. Starts were counted when they were placed.
func (c *Cell) give(o Order) {
	if o.Kind != OrderStart {
		c.budget.calls--
	}
	c.out.Orders = append(c.out.Orders, o)
}
