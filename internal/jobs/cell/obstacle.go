package cell

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"bamboofall.example/bamboofall/internal/jobs/tailtier"
	"bamboofall.example/bamboofall/internal/jobs/urgency"
)

// obstacle is the reason why a task cannot start at a worker now.
type obstacle string

// The obstacles, in the order in which they are checked.
const (
	noObstacle           obstacle = "fits"
	obstacleUnusable     obstacle = "unusable"
	obstacleService      obstacle = "otherService"
	obstacleRoom         obstacle = "noRoom"
	obstacleMemory       obstacle = "noMemory"
	obstacleOutdated     obstacle = "outdated"
	obstacleHealth       obstacle = "suspect"
	obstacleLabel        obstacle = "otherLabel"
	obstacleAlreadyHere  obstacle = "runsThere"
	obstacleMaxPerWorker obstacle = "apart"
	obstacleTail         obstacle = "tail"
)

// obstacleAt returns what prevents a task from starting at a worker, apart from predicted
// tail latencies.
func (c *Cell) obstacleAt(now time.Time, t *task, w *worker, tier tailtier.Tier) obstacle {
	s := t.step
	if !w.usable() {
		return obstacleUnusable
	}
	if w.info.Service != s.occ.job.queue.Service {
		return obstacleService
	}
	free := w.free()
	if w.orphans > 0 || !free.Valid() {
		return obstacleRoom
	}
	if s.BestEffort {
		free.MilliProcessors = w.freeForBestEffort(tier)
	}
	if !s.Size.Fits(free) {
		if s.Size.MemoryBytes > free.MemoryBytes {
			return obstacleMemory
		}
		return obstacleRoom
	}
	if !c.capacityReliable(now, w) {
		return obstacleOutdated
	}
	if !c.acceptsStart(now, w) {
		return obstacleHealth
	}
	if s.Label != "" && !slices.Contains(w.info.Labels, s.Label) {
		return obstacleLabel
	}
	for _, a := range t.attempts {
		if a.worker == w {
			return obstacleAlreadyHere
		}
	}
	if s.MaxPerWorker == 0 {
		return noObstacle
	}
	here := 0
	for _, a := range w.attempts {
		if a.task.step == s {
			here++
		}
	}
	if here >= s.MaxPerWorker {
		return obstacleMaxPerWorker
	}
	return noObstacle
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
	count := make(map[obstacle]int)
	for _, w := range c.workerList {
		o := c.obstacleAt(now, t, w, tierOf(now, t.step))
		if o == noObstacle && t.step.BestEffort && c.worstTailWith(now, w, t.step) > tierOf(now, t.step).MaxTail() {
			o = obstacleTail
		}
		count[o]++
	}
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(count)) {
		parts = append(parts, fmt.Sprintf("%s %d", reason, count[reason]))
	}
	return strings.Join(parts, ", ")
}
