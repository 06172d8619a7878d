package cell

import "time"

const (
	// bestEffortSampleInterval is the time between samples of the CPU held by best-effort
	// tasks, and bestEffortSampleWeight the weight of a sample in the mean.
	bestEffortSampleInterval = 200 * time.Millisecond
	bestEffortSampleWeight   = 0.15
	// minBestEffortSampling is the time for which the CPU held by best-effort tasks is sampled
	// before it bounds what is admitted: until then, tasks that are placed anew have not had
	// time to fill the workers.
	minBestEffortSampling = 3 * time.Second
	// hindranceTime is how long starts count as hindered by what kept one from being made, and
	// how long one waits for the store at least if that is away.
	hindranceTime = 500 * time.Millisecond
)

// sampleBestEffort updates bestEffortCapacity, unless best-effort tasks wait for something other
// than room.
func (c *Cell) sampleBestEffort(now time.Time) {
	if now.Sub(c.bestEffortSampledAt) < bestEffortSampleInterval {
		return
	}
	c.bestEffortSampledAt = now
	waiting := false
	for s := range c.ready {
		waiting = waiting || s.BestEffort
	}
	if !waiting {
		c.bestEffortCapacity, c.bestEffortSampledFor = 0, 0
		return
	}
	if c.startsHindered(now) && !c.cfg.Variant.HeldAtOnce {
		return
	}
	used := int64(0)
	for _, w := range c.workerList {
		if !w.evacuated {
			used += w.bestEffortCPU
		}
	}
	if c.bestEffortCapacity == 0 {
		c.bestEffortCapacity = float64(used)
	}
	c.bestEffortCapacity += bestEffortSampleWeight * (float64(used) - c.bestEffortCapacity)
	c.bestEffortSampledFor += bestEffortSampleInterval
}

// startsHindered reports whether tasks may be waiting although there is room for them.
func (c *Cell) startsHindered(now time.Time) bool {
	if c.recovering || now.Sub(c.withheldAt) < hindranceTime || now.Sub(c.startsLimitedAt) < hindranceTime {
		return true
	}
	for _, a := range c.awaitingStore {
		if !c.IsStored(a.requiredFlush) && now.Sub(a.placedAt) >= hindranceTime {
			return true
		}
	}
	return false
}

// bestEffortBound returns the CPU in milliprocessors that best-effort tasks get while others
// wait. It returns false if that is not known.
func (c *Cell) bestEffortBound() (milliProcessors float64, known bool) {
	known = c.bestEffortCapacity > 0 && (c.bestEffortSampledFor >= minBestEffortSampling || c.cfg.Variant.HeldAtOnce)
	return c.bestEffortCapacity, known
}
