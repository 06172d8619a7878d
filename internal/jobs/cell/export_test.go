package cell

// Looks returns how often a worker was checked for a task.
func (c *Cell) Looks() int { return c.fits.checks }
