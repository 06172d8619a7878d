package cell

import "time"

const (
	// slowOwner is the delay above which an owner counts as slow: a quarter of the
	// time limit of an order, so that answers still come in time for most.
	slowOwner = 100 * time.Millisecond
	// ownerDelayFor is how long a delay that was told holds without a new one.
	ownerDelayFor = 2 * time.Second
	// answersFor is the time over which answers are averaged, leastAnswers how many
	// make a mean. The delay is told about as often.
	answersFor   = 250 * time.Millisecond
	leastAnswers = 8
)

// ownerDelay is how late the owner itself carries out and takes in.
type ownerDelay struct {
	told time.Duration
	at   time.Time
	// took is the mean time that workers took to answer calls that do not wait, and
	// sum and answers are what was seen of it since it was last worked out. Many
	// workers are late at once because of the owner or of its link.
	took, sum time.Duration
	answers   int
	closed    time.Time
}

// SetOwnerDelay takes in how long orders and answers wait in the owner itself:
// from the decision until they are written, or from their arrival until they are
// handled, whichever is longer.
func (c *Cell) SetOwnerDelay(now time.Time, d time.Duration) {
	c.owner.told, c.owner.at = max(0, d), now
}

// noteAnswer notes how long an answer took.
func (c *Cell) noteAnswer(now time.Time, o Order) {
	if o.Hold.Wait == 0 {
		c.owner.sum += now.Sub(o.sent)
		c.owner.answers++
	}
}

// close works out the mean time of answers, from time to time.
func (d *ownerDelay) close(now time.Time) {
	if now.Sub(d.closed) < answersFor {
		return
	}
	d.closed = now
	if d.answers >= leastAnswers {
		d.took = d.sum / time.Duration(d.answers)
	} else {
		d.took /= 2
	}
	d.sum, d.answers = 0, 0
}

// ownerDelayAt returns the owner's own delay, or zero if none was told lately.
func (c *Cell) ownerDelayAt(now time.Time) time.Duration {
	if now.Sub(c.owner.at) > ownerDelayFor {
		return 0
	}
	return max(c.owner.told, c.owner.took)
}

// ownerSlow reports whether late answers may be the owner's own doing.
func (c *Cell) ownerSlow(now time.Time) bool { return c.ownerDelayAt(now) >= slowOwner }

// slowFailures is how many calls in a row must fail before a worker counts as silent
// to an owner that is slow.
const slowFailures = 3
