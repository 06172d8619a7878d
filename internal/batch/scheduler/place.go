package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/batch/placement"
	"bamboofall.example/bamboofall/internal/config/object"
	"bamboofall.example/bamboofall/internal/state/ledger"
	"bamboofall.example/bamboofall/internal/wire/recordpb"
)

// urgentReservePercent is the part of a worker's capacity that only urgent tasks may
// use, so that most of them start without evictions.
const urgentReservePercent = 5

const (
	// placementInterval is the minimum time between two placement passes over a shard.
	placementInterval = 50 * time.Millisecond
	// minInflationWeight is added to Config.TailWeight, so that the slowdown of services
	// counts a little even if that weight is zero.
	minInflationWeight = 0.1
	// maxRemediesPerPass bounds the tasks of a run for which a pass makes room by
	// evictions or which it moves to another shard.
	maxRemediesPerPass = 16
)

// place makes a placement pass over a shard: it assigns pending tasks to workers with
// enough free resources.
func (s *Scheduler) place(now time.Time, shard int) {
	owned := s.shards[shard]
	if !owned.needsPlacement || now.Before(owned.nextPlacementAt) {
		return
	}
	owned.needsPlacement = false
	owned.nextPlacementAt = now.Add(placementInterval)
	runs, wake := s.pendingRuns(now, shard)
	placed := 0
	for _, run := range runs {
		placed += s.placeRun(now, shard, run, maxPlacementsPerPass-placed)
		if placed >= maxPlacementsPerPass {
			owned.needsPlacement = true
			break
		}
		if retryAt := s.pendingStateOf(shard, run.run).retryAt; now.Before(retryAt) && retryAt.Before(wake) {
			wake = retryAt
		}
	}
	s.wakeAt[shard] = wake
}

// placeRun places up to limit tasks of a run, until one cannot be placed. It returns
// how many it has placed.
func (s *Scheduler) placeRun(now time.Time, shard int, run *pendingRun, limit int) int {
	slices.SortFunc(run.tasks, func(a, b *ledger.Task) int { return cmp.Compare(a.ID.Index, b.ID.Index) })
	for i, t := range run.tasks {
		if i >= limit {
			return i
		}
		if reason := s.placeTask(now, shard, t); reason != "" {
			s.deferRun(now, shard, run.run, reason)
			s.handleUnplaced(now, shard, run.tasks[i:], reason)
			return i
		}
	}
	return len(run.tasks)
}

// placeTask assigns a task to a worker. If that is not possible it returns the reason.
func (s *Scheduler) placeTask(now time.Time, shard int, t *ledger.Task) string {
	if reason := s.blockedReason(t); reason != "" {
		return reason
	}
	size := s.requiredSize(t)
	if !size.Fits(s.largestCapacity) {
		return reasonTooLarge
	}
	workers, ids := s.candidates(now, shard, t)
	choice := placement.Choose(placement.Request{
		Size: size, InflationWeight: minInflationWeight + s.cfg.TailWeight, MaxInflation: s.maxInflation(now, t),
	}, workers)
	if choice < 0 {
		return reasonNoResources
	}
	s.writeIntent(now, t, ids[choice], size)
	return ""
}

// handleUnplaced makes room for urgent tasks by evictions, or moves tasks to another
// shard, if they could not be placed for lack of free resources.
func (s *Scheduler) handleUnplaced(now time.Time, shard int, tasks []*ledger.Task, reason string) {
	if reason != reasonNoResources {
		return
	}
	for _, t := range tasks[:min(len(tasks), maxRemediesPerPass)] {
		if t.Run.Class() == bamboofall.ClassUrgent && s.preempt(now, shard, t, s.requiredSize(t)) {
			continue
		}
		s.moveIfStuck(now, shard, t)
	}
}

// blockedReason returns the dependency or quota because of which a task must not start,
// or an empty string.
func (s *Scheduler) blockedReason(t *ledger.Task) string {
	if after := t.Run.Submit.GetAfterRun(); after != "" {
		r := s.ledger.Run(after)
		switch {
		case r == nil, r.Finished(), t.Run.Submit.GetStanding() && r.Done():
		case r.Done():
			return fmt.Sprintf("run %s, on which it depends, ended without finishing", after)
		default:
			return fmt.Sprintf("waiting for run %s, on which it depends", after)
		}
	}
	trade := s.objects.Trades[t.Run.Submit.GetTrade()]
	if trade == nil {
		return ""
	}
	usage := s.tradeUsage(trade.Name)
	if trade.MaxTasks > 0 && usage.Tasks >= trade.MaxTasks {
		return reasonTaskQuota
	}
	if !object.WithinQuota(usage.Resources.Add(t.Run.Size()), trade.Quota) {
		return reasonResourceQuota
	}
	return ""
}

// tradeUsage returns the quota usage of a trade, which is a customer. It includes tasks
// whose intents have not been read back.
func (s *Scheduler) tradeUsage(trade string) ledger.Usage {
	usage := s.ledger.Usage(trade)
	for _, w := range s.workers {
		for id := range w.reserved {
			t := s.ledger.Task(id)
			if t != nil && t.Status == ledger.TaskPending && t.Run.Submit.GetTrade() == trade {
				usage.Tasks++
				usage.Resources = usage.Resources.Add(t.Run.Size())
			}
		}
	}
	return usage
}

// candidates returns the workers of a shard that accept new tasks, and their IDs in
// the same order.
func (s *Scheduler) candidates(now time.Time, shard int, t *ledger.Task) ([]placement.Worker, []bamboofall.VMID) {
	var workers []placement.Worker
	var ids []bamboofall.VMID
	racks := s.tasksByRack(t.Run, shard)
	for _, id := range s.workerIDs() {
		w := s.workers[id]
		if w.shard != shard || !s.acceptsTasks(now, w) {
			continue
		}
		free := s.freeResources(w).Sub(w.reservedForUrgent(now, t.ID))
		if t.Run.Class() != bamboofall.ClassUrgent {
			free.MilliProcessors -= w.capacity.MilliProcessors * urgentReservePercent / 100
			free.MemoryBytes -= w.capacity.MemoryBytes * urgentReservePercent / 100
		}
		workers = append(workers, placement.Worker{
			ID: id, Rack: w.vm.Rack, Capacity: w.capacity, Free: free,
			Inflation: s.predictedInflation(now, w, t.Run.Submit.GetJob()), TasksOnRack: racks[w.vm.Rack],
		})
		ids = append(ids, id)
	}
	return workers, ids
}

// tasksByRack counts the open tasks of a run by rack. For large runs it returns no
// counts, because they spread over the racks anyway.
func (s *Scheduler) tasksByRack(r *ledger.Run, shard int) map[string]int {
	const maxSpread = 64
	racks := make(map[string]int)
	if len(r.Tasks) > maxSpread {
		return racks
	}
	for _, t := range r.Tasks {
		w := s.workers[t.Worker]
		if t.Status == ledger.TaskOpen && w != nil && t.Shard == shard {
			racks[w.vm.Rack]++
		}
	}
	return racks
}

// acceptsTasks reports whether a worker may get new tasks.
func (s *Scheduler) acceptsTasks(now time.Time, w *worker) bool {
	if !w.synced || !w.listed || w.vm.Leaving || w.syncFailures > 0 || now.Before(w.quarantineUntil) {
		return false
	}
	// On probation a worker gets one task at a time, to see whether it has recovered.
	return !w.probation || len(w.open)+len(w.reserved) == 0
}

// freeResources returns the resources of a worker that are not used by open tasks,
// reserved by intents or used by unexpected attempts.
func (s *Scheduler) freeResources(w *worker) bamboofall.Resources {
	free := w.capacity
	for id := range w.open {
		if t := s.ledger.Task(id); t != nil && t.Status == ledger.TaskOpen {
			free = free.Sub(t.Granted.Max(w.reported[id].Usage))
		}
	}
	for id, size := range w.reserved {
		if !w.open[id] {
			free = free.Sub(size)
		}
	}
	for _, r := range w.unexpected {
		if r.Status == bamboofall.AttemptRunning {
			free = free.Sub(r.Usage)
		}
	}
	return free
}

// writeIntent returns the intent record for a task and reserves its resources.
func (s *Scheduler) writeIntent(now time.Time, t *ledger.Task, id bamboofall.VMID, size bamboofall.Resources) {
	s.releaseReservations(t.ID)
	s.workers[id].reserved[t.ID] = size
	st := s.state(t.ID)
	st.sentRecord, st.sentAttempt, st.sentAt = recordIntent, t.Attempt+1, now
	*s.pendingStateOf(t.Shard, t.Run) = pendingState{}
	s.out.Records = append(s.out.Records, &recordpb.Record{
		Id: taskName(t.ID) + "/intent",
		Body: &recordpb.Record_Intent{Intent: &recordpb.Intent{
			Run: t.ID.Run, Index: t.ID.Index, Attempt: t.Attempt + 1,
			Worker: string(id), Token: uint64(s.shards[t.Shard].token), Size: ledger.ResourcesToProto(size),
		}},
	})
	s.note("task", taskName(t.ID), "attempt %d assigned to %s", t.Attempt+1, id)
}

// The reasons for which tasks are not placed, as shown to operators.
const (
	reasonNoResources   = "no worker has enough free resources"
	reasonTooLarge      = "larger than any worker of the data centre"
	reasonTaskQuota     = "task quota exhausted"
	reasonResourceQuota = "resource quota exhausted"
)

// maxInflation returns the maximum predicted inflation of services on a worker that
// gets a task. It is below the inflation at which tasks are throttled. Tasks that have
// waited long are placed regardless of inflation, so that they do not starve.
func (s *Scheduler) maxInflation(now time.Time, t *ledger.Task) float64 {
	if t.Run.Aged(now) {
		return math.Inf(1)
	}
	return s.toleratedInflation() * relaxFraction
}
