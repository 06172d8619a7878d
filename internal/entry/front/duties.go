package front

import "time"

// duty is a part of an owner's work that must make progress for the cell to be served.
type duty string

const (
	// dutyRestore is to read what former owners stored.
	dutyRestore duty = "restore"
	// dutyDecide is to run the loop that makes the decisions.
	dutyDecide duty = "decide"
	// dutyCall is to get answers from workers.
	dutyCall duty = "call"
)

// maxCallGap is the time without a call to a worker after which earlier failures no longer
// count. Workers that do not answer are called several times a second.
const maxCallGap = 1500 * time.Millisecond

// longestStall returns the duty that has made no progress for the longest time, and that
// time. Storing changes and following topics are no duties here: a successor needs the
// same topics to restore the cell, and this VM cannot tell whether others reach them.
func (p *ownerProgress) longestStall(now time.Time) (d duty, stalled time.Duration) {
	if p.restoredAt.age(now) == noAge {
		return dutyRestore, p.restoringAt.age(now)
	}
	d, stalled = dutyDecide, p.steppedAt.age(now)
	if p.callFailedAt.age(now) <= maxCallGap && p.mostWorkersSilent() {
		if unanswered := p.unansweredSince.age(now); unanswered > stalled {
			d, stalled = dutyCall, unanswered
		}
	}
	return d, stalled
}

// mostWorkersSilent reports whether half of the workers or more are silent. In an idle
// cell only the silent ones may have been called lately.
func (p *ownerProgress) mostWorkersSilent() bool {
	loop := p.loop.Load()
	return loop != nil && 2*loop.cell.Silent >= loop.cell.Known
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
