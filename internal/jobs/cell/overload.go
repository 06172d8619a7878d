package cell

import "time"

const (
	// slowOwner is the delay above which an owner counts as slow: a quarter of the
	// time limit of an order, so that answers still come in time for most.
	slowOwner = 100 * time.Millisecond
	// ownerDelayFor is how long a delay that was told holds without a new one.
	ownerDelayFor = 2 * time.Second
)

// ownerDelay is how late the owner itself carries out and takes in.
type ownerDelay struct {
	delay time.Duration
	at    time.Time
}

// SetOwnerDelay takes in how long orders and answers wait in the owner itself:
// from the decision until they are written, or from their arrival until they are
// handled, whichever is longer.
func (c *Cell) SetOwnerDelay(now time.Time, d time.Duration) {
	c.owner = ownerDelay{delay: max(0, d), at: now}
}

// ownerDelayAt returns the owner's own delay, or zero if none was told lately.
func (c *Cell) ownerDelayAt(now time.Time) time.Duration {
	if now.Sub(c.owner.at) > ownerDelayFor {
		return 0
	}
	return c.owner.delay
}

// ownerSlow reports whether late answers may be the owner's own doing.
func (c *Cell) ownerSlow(now time.Time) bool { return c.ownerDelayAt(now) >= slowOwner }
