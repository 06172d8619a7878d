package cell

import "time"

// SetConfirmed tells when the owner was last sure to be the only one. A cell that
// is never told takes it as sure at all times.
func (c *Cell) SetConfirmed(at time.Time) { c.confirmedAt = at }

// surelyExpired reports whether leases that this or a former owner granted up to a time
// have ended. Since the owner was last confirmed, another may have renewed them: an
// owner that is cut off acts on for longer than it takes until a successor claims.
func (c *Cell) surelyExpired(now, end time.Time) bool {
	return now.After(end) && (c.confirmedAt.IsZero() || c.confirmedAt.After(end))
}
