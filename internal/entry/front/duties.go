package front

import "time"

// duty is a part of an owner's work that must make progress for the cell to be served.
type duty string

const (
	// dutyRestore is to read what former owners stored.
	dutyRestore duty = "restore"
	// dutyDecide is to run the loop that makes the decisions.
	dutyDecide duty = "decide"
	// dutyStore is to store the cell's changes.
	dutyStore duty = "store"
	// dutyInbox and dutyWorkers are to follow the inbox and the list of workers.
	dutyInbox   duty = "inbox"
	dutyWorkers duty = "workers"
	// dutyCall is to get answers from workers.
	dutyCall duty = "call"
)

// maxCallGap is the time without a call to a worker after which earlier failures no longer
// count. Workers that do not answer are called several times a second.
const maxCallGap = 1500 * time.Millisecond

// longestStall returns the duty that has made no progress for the longest time, and that
// time. It is zero if no duty is pending.
func (p *ownerProgress) longestStall(now time.Time) (d duty, stalled time.Duration) {
	if p.restoredAt.age(now) == noAge {
		return dutyRestore, now.Sub(p.claimedAt)
	}
	ages := map[duty]time.Duration{
		dutyDecide: p.steppedAt.age(now), dutyStore: p.storingSince.age(now),
		dutyInbox: p.inboxReadAt.age(now), dutyWorkers: p.workersReadAt.age(now),
	}
	if p.callFailedAt.age(now) <= maxCallGap {
		ages[dutyCall] = p.unansweredSince.age(now)
	}
	for candidate, age := range ages {
		if age > stalled {
			d, stalled = candidate, age
		}
	}
	return d, stalled
}

// workerAnswered records that a worker answered an order.
func (p *ownerProgress) workerAnswered() { p.unansweredSince.set(time.Time{}) }

// callFailed records that a worker did not answer an order. It is called by the owner's
// loop only.
func (p *ownerProgress) callFailed(now time.Time) {
	if p.unansweredSince.age(now) == noAge || p.callFailedAt.age(now) > maxCallGap {
		p.unansweredSince.set(now)
	}
	p.callFailedAt.set(now)
}
