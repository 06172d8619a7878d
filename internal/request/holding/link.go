package holding

import (
	"sync"
	"time"
)

// Link tells whether a request that must not be lost sight of may be sent to a server, by what
// became of the calls before. A refusal is certain, so another attempt does no harm. A server
// that resets connections or is silent leaves the outcome open, and only an answer to a call
// without effects shows that it is back. The zero value is a link without calls. It may be used
// concurrently.
type Link struct {
	mu         sync.Mutex
	answeredAt time.Time
	// failingSince is when the first call failed after the last answer, or zero. Of the last of
	// them refusedAt tells that it was refused, and unanswered that it got no answer.
	failingSince, refusedAt time.Time
	unanswered              bool
	// triedAt is when MaySend last allowed an attempt at a server that refuses.
	triedAt time.Time
}

// refusalPause is the time between attempts at a server that refuses: one of the requests that a
// VM holds asks on behalf of all.
const refusalPause = 250 * time.Millisecond

// Answered records an answer to a call.
func (l *Link) Answered(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answeredAt, l.failingSince, l.refusedAt, l.unanswered = now, time.Time{}, time.Time{}, false
}

// Useless records that the server has answered that it can do nothing.
func (l *Link) Useless(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fail(now)
	l.answeredAt, l.refusedAt, l.unanswered = time.Time{}, time.Time{}, true
}

// Refused records that a call had no effect.
func (l *Link) Refused(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fail(now)
	l.refusedAt, l.unanswered = now, false
}

// Unanswered records that the outcome of a call is unknown, or that the server cannot be reached.
func (l *Link) Unanswered(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fail(now)
	l.refusedAt, l.unanswered = time.Time{}, true
}

func (l *Link) fail(now time.Time) {
	if l.failingSince.IsZero() {
		l.failingSince = now
	}
}

// MaySend reports whether a request may be sent now whose outcome must be known. If calls are not
// refused, the last answer must not be older than maxAge, unless that is zero.
func (l *Link) MaySend(now time.Time, maxAge time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.unanswered:
		return false
	case !l.refusedAt.IsZero():
		if now.Sub(l.triedAt) < refusalPause {
			return false
		}
		l.triedAt = now
		return true
	}
	return maxAge == 0 || now.Sub(l.answeredAt) <= maxAge
}

// Lost reports whether the last call got no answer, and the last answer is older than ownerLostAfter.
func (l *Link) Lost(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unanswered && now.Sub(l.answeredAt) > ownerLostAfter
}

// Silent reports whether the last answer is older than LostAfter and the last call was not
// refused. It may still wait for an answer.
func (l *Link) Silent(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refusedAt.IsZero() && now.Sub(l.answeredAt) > LostAfter
}

// lastAnswer returns when the server last answered.
func (l *Link) lastAnswer() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answeredAt
}

const (
	// LostAfter is the time without an answer after which the store counts as lost. Each VM
	// reads from it twice a second, and a slow store takes half a second to answer.
	LostAfter = 1200 * time.Millisecond
	// ownerLostAfter is that time for the owner, which a VM calls once a second at least. It is
	// longer than a single lost call and its repetition take.
	ownerLostAfter = 2 * time.Second
)

// CutOff reports whether this VM can serve nothing, as neither store nor owner answer. A request
// then has more success at another VM. While the store alone is lost, others have no more.
func CutOff(now time.Time, store, owner *Link) bool { return store.Silent(now) && owner.Lost(now) }

// Isolated reports whether an owner is cut off from other data centres: the store is lost, and
// so are, since about the same time, the VMs in other data centres, which announce themselves
// once a second. HeardAt is when one last did, or zero if none has.
func Isolated(now time.Time, store *Link, heardAt time.Time) bool {
	return store.Silent(now) && !heardAt.IsZero() && now.Sub(heardAt) > isolatedAfter && store.lastAnswer().Sub(heardAt) <= isolatedAfter
}

// isolatedAfter is the time without an announcement from another data centre after which an
// owner counts as isolated. There are several VMs, each of which announces itself once a second.
const isolatedAfter = 1500 * time.Millisecond
