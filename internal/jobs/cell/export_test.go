package cell

// Looks returns how often a worker was looked at for a task.
func (c *Cell) Looks() int { return c.fits.checks }
