package scheduler

import (
	"fmt"
	"sort"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/batch/placement"
	"bamboofall.example/bamboofall/internal/config/object"
	"bamboofall.example/bamboofall/internal/state/ledger"
	"bamboofall.example/bamboofall/internal/wire/recordpb"
)

// agingSpan is how much older work of a class must be to go before new work of
// the class above it.
const agingSpan = 10 * time.Minute

// reservePart of a worker's room is kept free of work below urgent, so that
// urgent work mostly starts without an eviction. In percent.
const reservePart = 5

// holdFor is how long the room that evictions free is kept for an urgent task.
const holdFor = 5 * time.Second

// candidate is a task that may be placed now.
type candidate struct {
	task *ledger.Task
	// rank is the submission time plus the aging of the class, in milliseconds.
	rank int64
}

// place starts pending tasks of a shard where there is room.
func (s *Scheduler) place(now time.Time, shard int) {
	o := s.shards[shard]
	if !o.dirty {
		return
	}
	o.dirty = false
	candidates, wake := s.candidates(now, shard)
	defer func() { s.wakeLater(now, shard, wake, candidates) }()
	full := make(map[string]bool)
	placed := 0
	for _, c := range candidates {
		if placed >= maxPlaced {
			o.dirty = true
			break
		}
		run := c.task.Run.Name()
		if full[run] && c.task.Run.Class() != bamboofall.ClassUrgent {
			s.postpone(now, c.task, s.Why(c.task.ID))
			s.maybeMove(now, shard, c.task)
			continue
		}
		if s.placeTask(now, shard, c.task) {
			placed++
		} else {
			full[run] = true
		}
	}
}

// wakeLater marks the shard for placement when the first deferred task is due:
// one that was not looked at, or a candidate that was put off.
func (s *Scheduler) wakeLater(now time.Time, shard int, at time.Time, looked []candidate) {
	if at.IsZero() {
		at = now.Add(maxDefer)
	}
	for _, c := range looked {
		st := s.tasks[c.task.ID]
		if st != nil && st.writing == writingNothing && st.deferTill.Before(at) {
			at = st.deferTill
		}
	}
	s.wakeAt[shard] = at
}

// candidates returns the tasks that are due, most pressing first, and when the
// next one will be.
func (s *Scheduler) candidates(now time.Time, shard int) ([]candidate, time.Time) {
	var out []candidate
	var wake time.Time
	for _, t := range s.ledger.Live(shard) {
		if t.Status != ledger.TaskPending {
			continue
		}
		st := s.tasks[t.ID]
		if st != nil && st.writing != writingNothing && now.Sub(st.wroteAt) < rewriteAfter {
			continue
		}
		if st != nil && now.Before(st.deferTill) {
			if wake.IsZero() || st.deferTill.Before(wake) {
				wake = st.deferTill
			}
			continue
		}
		rank := t.Run.SubmittedMS + int64(t.Run.Class()-bamboofall.ClassUrgent)*agingSpan.Milliseconds()
		out = append(out, candidate{t, rank})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].rank != out[j].rank {
			return out[i].rank < out[j].rank
		}
		return compareTasks(out[i].task.ID, out[j].task.ID) < 0
	})
	return out, wake
}

// placeTask starts a task if it may run and there is room.
func (s *Scheduler) placeTask(now time.Time, shard int, t *ledger.Task) bool {
	if why := s.blocked(t); why != "" {
		s.postpone(now, t, why)
		return false
	}
	size := s.sizeOf(t)
	if !size.Fits(s.largest) {
		s.postpone(now, t, "larger than any worker of the data centre")
		return false
	}
	workers, ids := s.fitWorkers(now, shard, t)
	harm := 0.1 + s.cfg.TailWeight
	choice := placement.Choose(placement.Request{Size: size, HarmWeight: harm, MaxHarm: s.maxHarm(now, t)}, workers)
	if choice < 0 {
		if t.Run.Class() == bamboofall.ClassUrgent && s.displace(now, shard, t, size) {
			s.postpone(now, t, "waits for evictions")
			return false
		}
		s.postpone(now, t, "no room")
		s.maybeMove(now, shard, t)
		return false
	}
	s.intend(now, t, ids[choice], size)
	return true
}

// blocked returns why a task may not start whatever the room is.
func (s *Scheduler) blocked(t *ledger.Task) string {
	if after := t.Run.Submit.GetAfterRun(); after != "" {
		r := s.ledger.Run(after)
		switch {
		case r == nil, r.Finished(), t.Run.Submit.GetStanding() && r.Done():
		case r.Done():
			return fmt.Sprintf("run %s, which it waits for, did not finish", after)
		default:
			return fmt.Sprintf("waits for run %s", after)
		}
	}
	trade := s.set.Trades[t.Run.Submit.GetTrade()]
	if trade == nil {
		return ""
	}
	use := s.use(trade.Name)
	if trade.MaxTasks > 0 && use.Tasks >= trade.MaxTasks {
		return "quota of tasks is used up"
	}
	if !object.InQuota(use.Room.Add(t.Run.Size()), trade.Quota) {
		return "quota of room is used up"
	}
	return ""
}

// use returns what a trade takes, with the intents on their way.
func (s *Scheduler) use(trade string) ledger.Use {
	u := s.ledger.Use(trade)
	for _, w := range s.workers {
		for id := range w.reserved {
			t := s.ledger.Task(id)
			if t != nil && t.Status == ledger.TaskPending && t.Run.Submit.GetTrade() == trade {
				u.Tasks++
				u.Room = u.Room.Add(t.Run.Size())
			}
		}
	}
	return u
}

// fitWorkers returns the workers of a shard that take new work.
func (s *Scheduler) fitWorkers(now time.Time, shard int, t *ledger.Task) ([]placement.Worker, []bamboofall.VMID) {
	var workers []placement.Worker
	var ids []bamboofall.VMID
	racks := s.racksOf(t.Run, shard)
	for _, id := range s.workerIDs() {
		w := s.workers[id]
		if w.shard != shard || !s.takesWork(now, w) {
			continue
		}
		free := s.free(w)
		for id, h := range w.held {
			if id != t.ID && now.Before(h.till) {
				free = free.Sub(h.size)
			}
		}
		if t.Run.Class() != bamboofall.ClassUrgent {
			free.MilliProcessors -= w.room.MilliProcessors * reservePart / 100
			free.MemoryBytes -= w.room.MemoryBytes * reservePart / 100
		}
		workers = append(workers, placement.Worker{
			ID: id, Rack: w.vm.Rack, Room: w.room, Free: free,
			Harm: s.harm(now, w, t.Run.Submit.GetJob()), SameRack: racks[w.vm.Rack],
		})
		ids = append(ids, id)
	}
	return workers, ids
}

// racksOf counts the open tasks of a run by rack. Large runs are spread anyway.
func (s *Scheduler) racksOf(r *ledger.Run, shard int) map[string]int {
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

// takesWork reports whether a worker may get a new task.
func (s *Scheduler) takesWork(now time.Time, w *worker) bool {
	if !w.inventory || !w.listed || w.vm.Leaving || w.silent > 0 || now.Before(w.quarantine) {
		return false
	}
	// On probation one task at a time shows whether the worker has recovered.
	return !w.probation || len(w.open)+len(w.reserved) == 0
}

// free returns the room that a worker has left. Open tasks, intents on their
// way and attempts that should not be there all count.
func (s *Scheduler) free(w *worker) bamboofall.Resources {
	free := w.room
	for id := range w.open {
		if t := s.ledger.Task(id); t != nil && t.Status == ledger.TaskOpen {
			free = free.Sub(s.sizeOf(t).Max(w.running[id].Usage))
		}
	}
	for id, size := range w.reserved {
		if !w.open[id] {
			free = free.Sub(size)
		}
	}
	for _, r := range w.strange {
		if r.Status == bamboofall.AttemptRunning {
			free = free.Sub(r.Usage)
		}
	}
	return free
}

// intend writes the intent to start a task.
func (s *Scheduler) intend(now time.Time, t *ledger.Task, id bamboofall.VMID, size bamboofall.Resources) {
	s.unreserve(t.ID)
	s.workers[id].reserved[t.ID] = size
	st := s.state(t.ID)
	st.writing, st.attempt, st.wroteAt = writingIntent, t.Attempt+1, now
	st.deferred, st.why = 0, ""
	s.out.Records = append(s.out.Records, &recordpb.Record{
		Id: taskName(t.ID) + "/intent",
		Body: &recordpb.Record_Intent{Intent: &recordpb.Intent{
			Run: t.ID.Run, Index: t.ID.Index, Attempt: t.Attempt + 1,
			Worker: string(id), Token: uint64(s.shards[t.Shard].token),
		}},
	})
	s.note("task", taskName(t.ID), "attempt %d goes to %s", t.Attempt+1, id)
}

// postpone looks at a task again after a delay that grows.
func (s *Scheduler) postpone(now time.Time, t *ledger.Task, why string) {
	st := s.state(t.ID)
	if why == "" {
		why = "no room"
	}
	if st.why != why {
		s.note("task", taskName(t.ID), "not started: %s", why)
		st.why = why
	}
	s.counters.Deferred[reasonKey(why)]++
	delay := firstDefer << min(st.deferred, 5)
	if t.Run.Class() == bamboofall.ClassUrgent {
		delay = firstDefer / 2
	}
	st.deferred++
	st.deferTill = now.Add(min(delay, maxDefer))
}

// reasonKey maps a message to the name of its counter.
func reasonKey(why string) string {
	switch why {
	case "no room":
		return "noRoom"
	case "waits for evictions":
		return "waitsForEvictions"
	case "quota of tasks is used up", "quota of room is used up":
		return "quota"
	case "larger than any worker of the data centre":
		return "tooLarge"
	}
	return "dependency"
}

// maybeMove gives a task that finds no room to the next shard.
func (s *Scheduler) maybeMove(now time.Time, shard int, t *ledger.Task) {
	st := s.state(t.ID)
	if s.ledger.Shards() == 1 || st.deferred < moveAfter && s.shardTakes(shard, t) {
		return
	}
	to := (shard + 1) % s.ledger.Shards()
	st.writing, st.wroteAt = writingMove, now
	st.deferred = 0
	s.counters.Moved++
	s.out.Records = append(s.out.Records, &recordpb.Record{
		Id: taskName(t.ID) + "/move",
		Body: &recordpb.Record_Move{Move: &recordpb.Move{
			Run: t.ID.Run, Index: t.ID.Index, Token: uint64(s.shards[shard].token), ToShard: uint32(to),
		}},
	})
	s.note("task", taskName(t.ID), "moves from shard %d to shard %d: no room", shard, to)
}

// shardTakes reports whether a worker of a shard could ever take a task.
func (s *Scheduler) shardTakes(shard int, t *ledger.Task) bool {
	size := s.sizeOf(t)
	for _, w := range s.workers {
		if w.shard == shard && !w.vm.Leaving && size.Fits(w.room) {
			return true
		}
	}
	return false
}

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

// maxHarm returns the inflation of services that a task may add to. It grows
// while the task waits, so that work which harms its neighbours does not starve.
func (s *Scheduler) maxHarm(now time.Time, t *ledger.Task) float64 {
	waited := now.Sub(time.UnixMilli(t.Run.SubmittedMS))
	return s.tolerated() + float64(max(waited, 0))/float64(agingSpan)
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
		return s.sizeOf(pool[i]).MilliProcessors > s.sizeOf(pool[j]).MilliProcessors
	})
	free := s.free(w)
	for id, h := range w.held {
		if id != t.ID {
			free = free.Sub(h.size)
		}
	}
	for n, v := range pool {
		free = free.Add(s.sizeOf(v))
		if size.Fits(free) {
			return pool[:n+1], true
		}
	}
	return nil, false
}

// Why returns why a pending task has not started, or nothing.
func (s *Scheduler) Why(id bamboofall.TaskID) string {
	if st := s.tasks[id]; st != nil {
		return st.why
	}
	return ""
}
