package scheduler

import (
	"sort"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/state/ledger"
)

// holdFor is how long the room that evictions free is kept for an urgent task.
const holdFor = 5 * time.Second

// displace evicts less urgent tasks from one worker so that an urgent task
// fits there. It reports whether evictions are under way that will do.
func (s *Scheduler) displace(now time.Time, shard int, t *ledger.Task, size bamboofall.Resources) bool {
	var best *worker
	var bestVictims []*ledger.Task
	for _, id := range s.workerIDs() {
		w := s.workers[id]
		if w.shard != shard || !s.takesWork(now, w) || s.harm(now, w, t.Run.Submit.GetJob()) > s.maxHarm(now, t) {
			continue
		}
		victims, ok := s.victims(w, t, size)
		if ok && (best == nil || len(victims) < len(bestVictims)) {
			best, bestVictims = w, victims
		}
	}
	if best == nil {
		return false
	}
	for _, v := range bestVictims {
		if !best.evict[v.ID] {
			best.evict[v.ID] = true
			s.note("task", taskName(v.ID), "evicted from %s for urgent task %s", best.vm.ID, taskName(t.ID))
		}
	}
	best.held[t.ID] = hold{size, now.Add(holdFor)}
	s.kick(now, best.vm.ID)
	return true
}

// victims returns the fewest tasks of lower classes whose room, with what is
// free, takes the size. Those that are being evicted already come first.
func (s *Scheduler) victims(w *worker, t *ledger.Task, size bamboofall.Resources) ([]*ledger.Task, bool) {
	var pool []*ledger.Task
	for _, v := range s.openAt(w.vm.ID) {
		if v.Run.Class() > t.Run.Class() && !v.Run.Submit.GetStanding() {
			pool = append(pool, v)
		}
	}
	sort.SliceStable(pool, func(i, j int) bool {
		a, b := w.evict[pool[i].ID], w.evict[pool[j].ID]
		if a != b {
			return a
		}
		return pool[i].Granted.MilliProcessors > pool[j].Granted.MilliProcessors
	})
	free := s.free(w)
	for id, h := range w.held {
		if id != t.ID {
			free = free.Sub(h.size)
		}
	}
	for n, v := range pool {
		free = free.Add(v.Granted)
		if size.Fits(free) {
			return pool[:n+1], true
		}
	}
	return nil, false
}
