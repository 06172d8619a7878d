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

// reservePart of a worker's room is kept free of work below urgent, so that
// urgent work mostly starts without an eviction. In percent.
const reservePart = 5

const (
	// placeEvery is the least time between two looks for room.
	placeEvery = 50 * time.Millisecond
	// leastHarmWeight counts harm to services a little at any weight.
	leastHarmWeight = 0.1
	// maxAtOnce bounds the evictions and moves after one look for room.
	maxAtOnce = 16
)

// place starts pending tasks of a shard where there is room.
func (s *Scheduler) place(now time.Time, shard int) {
	o := s.shards[shard]
	if !o.dirty || now.Before(o.nextPlace) {
		return
	}
	o.dirty = false
	o.nextPlace = now.Add(placeEvery)
	queues, wake := s.queues(now, shard)
	placed := 0
	for _, q := range queues {
		placed += s.placeRun(now, shard, q, maxPlaced-placed)
		if placed >= maxPlaced {
			o.dirty = true
			break
		}
		if till := s.waitingOf(shard, q.run).deferTill; now.Before(till) && till.Before(wake) {
			wake = till
		}
	}
	s.wakeAt[shard] = wake
}

// placeRun starts tasks of a run until one finds no room. It returns how many.
func (s *Scheduler) placeRun(now time.Time, shard int, q *queue, most int) int {
	slices.SortFunc(q.tasks, func(a, b *ledger.Task) int { return cmp.Compare(a.ID.Index, b.ID.Index) })
	for i, t := range q.tasks {
		if i >= most {
			return i
		}
		if why := s.placeTask(now, shard, t); why != "" {
			s.putOff(now, shard, q.run, why)
			s.afterFailure(now, shard, q.tasks[i:], why)
			return i
		}
	}
	return len(q.tasks)
}

// placeTask starts a task if it may run and there is room. If not it returns
// why.
func (s *Scheduler) placeTask(now time.Time, shard int, t *ledger.Task) string {
	if why := s.blocked(t); why != "" {
		return why
	}
	size := s.sizeOf(t)
	if !size.Fits(s.largest) {
		return whyTooLarge
	}
	workers, ids := s.fitWorkers(now, shard, t)
	choice := placement.Choose(placement.Request{
		Size: size, HarmWeight: leastHarmWeight + s.cfg.TailWeight, MaxHarm: s.maxHarm(now, t),
	}, workers)
	if choice < 0 {
		return whyNoRoom
	}
	s.intend(now, t, ids[choice], size)
	return ""
}

// afterFailure makes room for urgent tasks by eviction, and gives tasks that
// find none to another shard.
func (s *Scheduler) afterFailure(now time.Time, shard int, tasks []*ledger.Task, why string) {
	if why != whyNoRoom {
		return
	}
	for _, t := range tasks[:min(len(tasks), maxAtOnce)] {
		if t.Run.Class() == bamboofall.ClassUrgent && s.displace(now, shard, t, s.sizeOf(t)) {
			continue
		}
		s.maybeMove(now, shard, t)
	}
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
		return whyQuotaTasks
	}
	if !object.InQuota(use.Room.Add(t.Run.Size()), trade.Quota) {
		return whyQuotaRoom
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
			free = free.Sub(t.Granted.Max(w.running[id].Usage))
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
	*s.waitingOf(t.Shard, t.Run) = waiting{}
	s.out.Records = append(s.out.Records, &recordpb.Record{
		Id: taskName(t.ID) + "/intent",
		Body: &recordpb.Record_Intent{Intent: &recordpb.Intent{
			Run: t.ID.Run, Index: t.ID.Index, Attempt: t.Attempt + 1,
			Worker: string(id), Token: uint64(s.shards[t.Shard].token), Size: ledger.ToResources(size),
		}},
	})
	s.note("task", taskName(t.ID), "attempt %d goes to %s", t.Attempt+1, id)
}

// The reasons for which tasks wait, as operators read them.
const (
	whyNoRoom     = "no room"
	whyTooLarge   = "larger than any worker of the data centre"
	whyQuotaTasks = "quota of tasks is used up"
	whyQuotaRoom  = "quota of room is used up"
)

// maxHarm returns the inflation of services that a task may bring about. It is
// below what the ladder acts on. Work that has waited long is let in all the
// same, so that work which harms its neighbours does not starve.
func (s *Scheduler) maxHarm(now time.Time, t *ledger.Task) float64 {
	if t.Run.Old(now) {
		return math.Inf(1)
	}
	return s.tolerated() * easePart
}
