package cell

// FitChecks returns how often a worker was checked for a task.
func (c *Cell) FitChecks() int { return c.fits.checks }
