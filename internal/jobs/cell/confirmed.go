package cell

import "time"

// SetClaimConfirmed reports when this owner's claim on the cell was last confirmed. If it
// is never called, the claim is taken as always confirmed.
func (c *Cell) SetClaimConfirmed(at time.Time) { c.confirmedAt = at }

// surelyExpired reports whether leases granted until a time by this or a former owner
// have expired. After the last confirmation a successor may have renewed them: an owner
// that is cut off keeps acting for longer than a successor needs to claim the cell.
func (c *Cell) surelyExpired(now, end time.Time) bool {
	return now.After(end) && (c.confirmedAt.IsZero() || c.confirmedAt.After(end))
}
