package cell

import (
	"time"

	"bamboofall.example/bamboofall/internal/jobs/fencing"
)

// FitChecks returns how often a worker was checked for a task.
func (c *Cell) FitChecks() int { return c.fits.checks }

// UpdateStatus computes the status as for a summary.
func (c *Cell) UpdateStatus(now time.Time) { c.updateStatus(now) }

// UseUpTokens leaves a worker one order number beyond the present one.
func (c *Cell) UseUpTokens(id string) { c.workers[id].tokens = fencing.StartAt(fencing.MaxNumber - 1) }
