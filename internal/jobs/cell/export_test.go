package cell

import "time"

// FitChecks returns how often a worker was checked for a task.
func (c *Cell) FitChecks() int { return c.fits.checks }

// UpdateStatus computes the status as for a summary.
func (c *Cell) UpdateStatus(now time.Time) { c.updateStatus(now) }
