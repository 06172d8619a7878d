package cell

import (
	"cmp"
	"fmt"
	"time"

	"bamboofall.example/bamboofall/internal/jobs/obstacle"
	"bamboofall.example/bamboofall/internal/jobs/tailtier"
	"bamboofall.example/bamboofall/internal/jobs/urgency"
)

// obstacleAt returns what prevents a task from starting at a worker, apart from predicted
// tail latencies.
func (c *Cell) obstacleAt(now time.Time, t *task, tier tailtier.Tier, w *worker) obstacle.Reason {
	s := t.step
	if w.evacuated {
		return obstacle.Evacuated
	}
	if !w.usable() {
		return obstacle.Unusable
	}
	if q := s.occ.job.queue; q == nil || w.info.Service != q.Service {
		return obstacle.Service
	}
	free := w.free()
	if w.orphans > 0 || !free.Valid() {
		return obstacle.Room
	}
	if s.BestEffort {
		free.MilliProcessors = w.freeForBestEffort(tier)
	}
	if !s.Size.Fits(free) {
		if s.Size.MemoryBytes > free.MemoryBytes {
			return obstacle.Memory
		}
		return obstacle.Room
	}
	if !c.capacityReliable(now, w) {
		return obstacle.Outdated
	}
	if !c.acceptsStart(now, w) {
		return obstacle.Health
	}
	if !w.hasLabel(s) {
		return obstacle.Label
	}
	for _, a := range t.attempts {
		if a.worker == w {
			return obstacle.AlreadyHere
		}
	}
	if s.MaxPerWorker == 0 {
		return obstacle.None
	}
	here := 0
	for _, a := range w.attempts {
		if a.task.step == s {
			here++
		}
	}
	if here >= s.MaxPerWorker {
		return obstacle.MaxPerWorker
	}
	return obstacle.None
}

// noteObstacles logs why the most urgent waiting task waits.
func (c *Cell) noteObstacles(now time.Time) {
	var first *step
	var key urgency.Key
	for s := range c.ready {
		if s.occ.job.queue == nil || len(s.waiting) == 0 {
			continue
		}
		if k := c.urgencyOf(now, s); first == nil || cmp.Or(k.Compare(key), s.compare(first)) < 0 {
			first, key = s, k
		}
	}
	if first == nil {
		return
	}
	t := first.waiting[0]
	c.note(Note{Event: "waiting", Job: first.occ.job.ID, Task: t.name().String(), Detail: fmt.Sprintf(
		"waiting %v for %d milliprocessors and %d MB, the most urgent of %d steps; workers: %s",
		now.Sub(first.readyAt).Round(time.Millisecond), first.Size.MilliProcessors, first.Size.MemoryBytes>>20, len(c.ready), c.describeObstacles(now, t))})
}

// describeObstacles returns the number of workers by what prevents a task from starting
// there.
func (c *Cell) describeObstacles(now time.Time, t *task) string {
	count := make(obstacle.Counts)
	for _, w := range c.workerList {
		o := c.obstacleAt(now, t, tierOf(now, t.step), w)
		if o == obstacle.None && t.step.BestEffort && c.worstTailWith(now, w, t.step) > tierOf(now, t.step).MaxTail() {
			o = obstacle.Tail
		}
		if o == obstacle.None && c.risksJob(now, t, w) {
			o = obstacle.LastRun
		}
		count[o]++
	}
	return count.String()
}
