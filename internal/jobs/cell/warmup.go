package cell

import (
	"time"

	"bamboofall.example/bamboofall/internal/jobs/warmup"
)

// warmth is what is known of a worker that may be cold.
type warmth struct {
	warmup.Worker
	// base is the CPU in milliprocessors that was in use when the worker became cold.
	base int64
	// step is the step as of the last scan, or zero if the worker was warm.
	step int
	// checkedAt is when the worker last counted as one with a gain.
	checkedAt time.Time
}

// coldCheckInterval is the time after which tasks that were kept from a cold worker are tried
// there again, as those that have waited for long are not kept from it.
const coldCheckInterval = 500 * time.Millisecond

// inUse returns the CPU in milliprocessors that tasks reserve and best-effort tasks hold.
func (w *worker) inUse() int64 { return w.used.MilliProcessors + w.bestEffortCPU }

// announceWarmth applies an announcement of how long the worker is still cold.
func (w *worker) announceWarmth(now time.Time, coldFor time.Duration) {
	if !w.warmth.Cold(now) {
		w.warmth.base = w.inUse()
	}
	w.warmth.Announced(now, coldFor)
}

// tooCold reports whether a cold worker may not be given a task of a step yet. While most
// workers are cold there are no better ones to wait for. Standing tasks outlast the cold time, and
// a step that has waited for long without any run is served somewhere.
func (c *Cell) tooCold(now time.Time, w *worker, s *step) bool {
	if s.Standing || s.runs == 0 && now.Sub(s.readyAt) >= starvationDelay {
		return false
	}
	return !c.mostlyCold && w.warmth.Cold(now) &&
		!w.warmth.Accepts(now, w.inUse()-w.warmth.base, s.Size.MilliProcessors, w.info.Room.MilliProcessors-w.warmth.base)
}

// watchWarmth records a gain for each worker that may be given more tasks than at the last scan.
func (c *Cell) watchWarmth(now time.Time) {
	cold, warm := 0, 0
	for _, w := range c.workerList {
		switch {
		case !w.countsAsRoom():
		case w.warmth.Cold(now):
			cold++
		default:
			warm++
		}
	}
	changed := c.mostlyCold != (cold > warm)
	c.mostlyCold = cold > warm
	for _, w := range c.workerList {
		step := 0
		if w.warmth.Cold(now) {
			step = w.warmth.Step(now)
		}
		if step != w.warmth.step || step > 0 && (changed || now.Sub(w.warmth.checkedAt) >= coldCheckInterval) {
			w.warmth.step, w.warmth.checkedAt = step, now
			c.addGain(w)
		}
	}
}
