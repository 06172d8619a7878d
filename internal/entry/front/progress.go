package front

import (
	"sync"
	"time"
)

// duty is a part of an owner's work that must make progress for the cell to be served.
type duty int

const (
	// dutyRestore is to read what former owners stored.
	dutyRestore duty = iota
	// dutyDecide is to run the loop that makes the decisions.
	dutyDecide
	// dutyStore is to store the cell's changes.
	dutyStore
	// dutyInbox and dutyWorkers are to follow the inbox and the list of workers.
	dutyInbox
	dutyWorkers
	// dutyCall is to get answers from workers.
	dutyCall
	dutyCount
)

// String returns the name of the duty in log lines.
func (d duty) String() string {
	return [dutyCount]string{
		dutyRestore: "restore", dutyDecide: "decide", dutyStore: "store", dutyInbox: "inbox", dutyWorkers: "workers", dutyCall: "call",
	}[d]
}

// maxCallGap is the time without a call to a worker after which earlier failures no longer
// count. Workers that do not answer are called several times a second.
const maxCallGap = 1500 * time.Millisecond

// progress tracks since when the owner's duties have been pending without progress. Its
// times are of Go's monotonic clock, so a suspension of the VM does not count. It is safe
// for concurrent use. Use newProgress.
type progress struct {
	mu sync.Mutex
	// pendingSince is zero for a duty with nothing to do.
	pendingSince [dutyCount]time.Time
	// callFailedAt is when a call to a worker last failed.
	callFailedAt time.Time
}

// newProgress returns the progress of an owner that begins to restore the cell.
func newProgress(now time.Time) *progress {
	p := &progress{}
	p.restart(dutyRestore, now)
	return p
}

// restart records that a duty has made progress and is pending.
func (p *progress) restart(d duty, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingSince[d] = now
}

// callFailed records that a worker did not answer.
func (p *progress) callFailed(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pendingSince[dutyCall].IsZero() || now.Sub(p.callFailedAt) > maxCallGap {
		p.pendingSince[dutyCall] = now
	}
	p.callFailedAt = now
}

// done records that a duty has made progress and is not pending.
func (p *progress) done(d duty) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingSince[d] = time.Time{}
}

// oldest returns the duty that has been pending for longest, and since when. It reports
// false if none is pending.
func (p *progress) oldest(now time.Time) (oldest duty, since time.Time, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.callFailedAt) > maxCallGap {
		p.pendingSince[dutyCall] = time.Time{}
	}
	for d, at := range p.pendingSince {
		if !at.IsZero() && (!found || at.Before(since)) {
			oldest, since, found = duty(d), at, true
		}
	}
	return oldest, since, found
}
