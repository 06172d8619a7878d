package callbudget

import "time"

// delayTTL is how long a reported delay is used without a newer one.
const delayTTL = 2 * time.Second

// Delay is the delay that the owner itself adds to orders and answers. The zero value is
// that of an owner that has not reported any.
type Delay struct {
	delay      time.Duration
	reportedAt time.Time
}

// Report records the delay.
func (d *Delay) Report(now time.Time, delay time.Duration) {
	d.delay, d.reportedAt = max(0, delay), now
}

// Reported reports whether a delay was ever reported.
func (d *Delay) Reported() bool { return !d.reportedAt.IsZero() }

// At returns the delay, or zero without a recent report.
func (d *Delay) At(now time.Time) time.Duration {
	if now.Sub(d.reportedAt) > delayTTL {
		return 0
	}
	return d.delay
}
