package scheduler

import (
	"sort"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/state/ledger"
)

// urgentReservationTime is how long resources freed by evictions are reserved for the
// urgent task.
const urgentReservationTime = 5 * time.Second

// preempt evicts less urgent tasks from one worker to make room for an urgent task. It
// returns false if that is not possible on any worker.
func (s *Scheduler) preempt(now time.Time, shard int, t *ledger.Task, size bamboofall.Resources) bool {
	var target *worker
	var targetVictims []*ledger.Task
	for _, id := range s.workerIDs() {
		w := s.workers[id]
		if w.shard != shard || !s.acceptsTasks(now, w) || s.predictedInflation(now, w, t.Run.Submit.GetJob()) > s.maxInflation(now, t) {
			continue
		}
		victims, ok := s.victims(now, w, t, size)
		if ok && (target == nil || len(victims) < len(targetVictims)) {
			target, targetVictims = w, victims
		}
	}
	if target == nil {
		return false
	}
	for _, v := range targetVictims {
		if !target.evicting[v.ID] {
			target.evicting[v.ID] = true
			s.note("task", taskName(v.ID), "evicted from %s for urgent task %s", target.vm.ID, taskName(t.ID))
		}
	}
	target.urgentReservations[t.ID] = urgentReservation{size, now.Add(urgentReservationTime)}
	s.syncSoon(now, target.vm.ID)
	return true
}

// victims returns the tasks of lower classes to evict from a worker so that size fits.
// It prefers tasks that are already being evicted, then large ones. It returns false if
// evicting all such tasks is not enough.
func (s *Scheduler) victims(now time.Time, w *worker, t *ledger.Task, size bamboofall.Resources) ([]*ledger.Task, bool) {
	var candidates []*ledger.Task
	for _, v := range s.openTasksAt(w.vm.ID) {
		if v.Run.Class() > t.Run.Class() && !v.Run.Submit.GetStanding() {
			candidates = append(candidates, v)
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := w.evicting[candidates[i].ID], w.evicting[candidates[j].ID]
		if a != b {
			return a
		}
		return candidates[i].Granted.MilliProcessors > candidates[j].Granted.MilliProcessors
	})
	free := s.freeResources(w).Sub(w.reservedForUrgent(now, t.ID))
	for n, v := range candidates {
		free = free.Add(v.Granted)
		if size.Fits(free) {
			return candidates[:n+1], true
		}
	}
	return nil, false
}
