package cell

import (
	"fmt"
	"time"

	"bamboofall.example/bamboofall/internal/jobs/admission"
)

// shortage tells what finite tasks of a kind get while others of the kind wait.
type shortage struct {
	// waits is set while such tasks have waited for a moment.
	waits  bool
	usable admission.UsableShare
}

// shortageOf returns the shortage of best-effort tasks or of those that reserve CPU.
func (c *Cell) shortageOf(bestEffort bool) *shortage {
	if bestEffort {
		return &c.shortages[1]
	}
	return &c.shortages[0]
}

const (
	// shortageSampleInterval is the time between samples of the CPU that tasks get.
	shortageSampleInterval = 200 * time.Millisecond
	// shortageDelay is how long a reserving task waits at least if room is short. Others
	// have just become ready.
	shortageDelay = 100 * time.Millisecond
	// drainInterval is the time between samples of the best-effort work that is completed,
	// and maxDrainInterval the longest time after which such a sample counts: tasks did not
	// wait, or the owner was recovering, for a part of it.
	drainInterval    = time.Second
	maxDrainInterval = 2 * time.Second
)

// sampleShortages learns how much of the CPU tasks get while others wait. Reserving tasks get
// what they reserve. For best-effort tasks what they hold says little: they are slowed down,
// stopped and moved. So the work that they complete counts.
func (c *Cell) sampleShortages(now time.Time) {
	if now.Sub(c.sampledAt) < shortageSampleInterval {
		return
	}
	c.sampledAt = now
	reserving, bestEffort := c.shortageOf(false), c.shortageOf(true)
	reserving.waits, bestEffort.waits = false, false
	for s := range c.ready {
		bestEffort.waits = bestEffort.waits || s.BestEffort
		reserving.waits = reserving.waits || !s.BestEffort && !s.Standing && now.Sub(s.readyAt) >= shortageDelay
	}
	if c.recovering || !reserving.waits && !bestEffort.waits {
		return
	}
	var reserved, room, unused float64
	for _, w := range c.workerList {
		if !w.usable() {
			continue
		}
		room += float64(max(0, w.info.Room.MilliProcessors-w.standingCPU))
		reserved += float64(w.used.MilliProcessors - w.standingCPU)
		unused += float64(w.unusedCPU())
	}
	if reserving.waits {
		reserving.usable.Observe(reserved, room)
	}
	if elapsed := now.Sub(c.drainedAt); bestEffort.waits && elapsed >= drainInterval {
		if elapsed <= maxDrainInterval {
			bestEffort.usable.Observe(1000*c.drained.Seconds()/elapsed.Seconds(), unused)
		}
		c.drained, c.drainedAt = 0, now
	}
}

// describeShortages returns the learned shares, and whether tasks wait, for the log.
func (c *Cell) describeShortages() string {
	reserving, bestEffort := c.shortageOf(false), c.shortageOf(true)
	return fmt.Sprintf("usable %.0f%%, short %t; for best-effort %.0f%%, short %t",
		reserving.usable.Of(100), reserving.waits, bestEffort.usable.Of(100), bestEffort.waits)
}
