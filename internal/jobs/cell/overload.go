package cell

import (
	"time"

	"bamboofall.example/bamboofall/internal/jobs/callbudget"
)

// SlowOwnerDelay is the delay from which an owner counts as slow. It is a quarter of the
// order timeout, so that most answers still arrive in time.
const SlowOwnerDelay = 100 * time.Millisecond

// SetOwnerDelay reports how long orders and answers wait in the owner itself: from the
// decision until they are written, or from their arrival until they are handled,
// whichever is longer. After the first call, calls to workers are limited to the rate
// that the owner can handle.
func (c *Cell) SetOwnerDelay(now time.Time, d time.Duration) {
	c.owner.Report(now, d)
}

// SetOwnerQueueing reports how long work waits in the owner's own queues. Unlike the delay,
// it does not include the network.
func (c *Cell) SetOwnerQueueing(now time.Time, d time.Duration) { c.ownerQueueing.Report(now, d) }

// ownerLevel returns how busy the owner is.
func (c *Cell) ownerLevel(now time.Time) callbudget.Level {
	switch {
	case c.ownerSlow(now):
		return callbudget.Slow
	case c.ownerQueueing.At(now) >= callbudget.QueueingTarget:
		return callbudget.Full
	}
	return callbudget.Light
}

// maxBusyPause bounds busyPause, so that a slow owner still decides.
const maxBusyPause = 100 * time.Millisecond

// busyPause returns the shortest time between two runs of a decision that looks at all waiting
// tasks or all workers. What changes while a busy owner waits is decided on together, so that
// the cost of these decisions does not grow with its backlog.
func (c *Cell) busyPause(now time.Time) time.Duration {
	return min(c.ownerQueueing.At(now), maxBusyPause)
}

// ownerSlow reports whether the owner itself may be the reason for late answers.
func (c *Cell) ownerSlow(now time.Time) bool { return c.owner.At(now) >= SlowOwnerDelay }

// slowOwnerFailures is the number of consecutive failed calls after which a slow owner
// considers a worker silent.
const slowOwnerFailures = 3

// renewalWindow is the time before the end of the leases in which a worker is called
// regardless of the call budget. It allows for a few calls with their timeouts.
const renewalWindow = 2 * time.Second

// Overloaded reports whether the owner is slow or holds back calls so as not to become
// slow. The limit on calls keeps the delay of an overloaded owner below SlowOwnerDelay
// most of the time, so the delay alone does not show the overload.
func (c *Cell) Overloaded(now time.Time) bool {
	return c.ownerSlow(now) || c.budget.Limited()
}

// CallLimit returns the calls per second that the owner may make, and whether calls have had
// to wait lately.
func (c *Cell) CallLimit() (perSecond float64, limited bool) {
	return c.budget.Rate(), c.budget.Limited()
}

// callsLimited reports whether calls are limited: the owner's delay is reported.
func (c *Cell) callsLimited() bool { return c.owner.Reported() }

// mayStart reports whether the budget allows another start.
func (c *Cell) mayStart() bool { return !c.callsLimited() || c.budget.MayStart() }

// startRate returns the starts per second that the owner has for a priority. It returns false
// if it could make more.
func (c *Cell) startRate(priority int) (perSecond float64, limited bool) {
	if !c.callsLimited() {
		return 0, false
	}
	return c.budget.StartRate(priority)
}

// mayCall reports whether a worker may be called. Calls that renew leases or monitor tail
// latencies are always allowed.
func (c *Cell) mayCall(now time.Time, w *worker) bool {
	return !c.callsLimited() || w.renewalDue(now) || c.tailsUnwatched(now, w) || c.budget.MayCall()
}

// renewalDue reports whether the leases of runs at a worker expire soon.
func (w *worker) renewalDue(now time.Time) bool {
	return len(w.attempts) > 0 && !w.silent() && w.leasesEnd.Sub(now) < renewalWindow
}

// emit outputs an order. Starts are charged to the budget when they are placed.
func (c *Cell) emit(o Order) {
	if o.Kind != OrderStart {
		c.budget.Call()
	}
	c.out.Orders = append(c.out.Orders, o)
}
