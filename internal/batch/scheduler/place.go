package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
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

// holdFor is how long the room that evictions free is kept for an urgent task.
const holdFor = 5 * time.Second

// queue holds the pending tasks of a run in a shard. They are alike, so they
// wait and are put off together.
type queue struct {
	run   *ledger.Run
	tasks []*ledger.Task
	// rank is the submission time plus the aging of the class, in milliseconds.
	rank int64
}

// waiting is what the owner keeps about the pending tasks of a run in a shard.
type waiting struct {
	// deferTill is when the run is looked at again.
	deferTill time.Time
	deferred  int
	why       string
}

// waitKey names the pending tasks of a run in a shard.
type waitKey struct {
	shard int
	run   string
}

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

// queues returns the runs with tasks that are due, most pressing first, and
// when the next one will be.
func (s *Scheduler) queues(now time.Time, shard int) ([]*queue, time.Time) {
	wake := now.Add(maxDefer)
	byRun := make(map[string]*queue)
	for id, t := range s.ledger.Live(shard) {
		if t.Status != ledger.TaskPending || s.isWriting(now, id) {
			continue
		}
		q := byRun[id.Run]
		if q == nil {
			q = &queue{run: t.Run, rank: t.Run.SubmittedMS + int64(t.Run.Class()-bamboofall.ClassUrgent)*ledger.AgingSpan.Milliseconds()}
			byRun[id.Run] = q
		}
		q.tasks = append(q.tasks, t)
	}
	var out []*queue
	for _, q := range byRun {
		if till := s.waitingOf(shard, q.run).deferTill; now.Before(till) {
			if till.Before(wake) {
				wake = till
			}
			continue
		}
		out = append(out, q)
	}
	slices.SortFunc(out, func(a, b *queue) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), strings.Compare(a.run.Name(), b.run.Name()))
	})
	return out, wake
}

// isWriting reports whether a record about a task is on its way to the log.
func (s *Scheduler) isWriting(now time.Time, id bamboofall.TaskID) bool {
	st := s.tasks[id]
	return st != nil && st.writing != writingNothing && now.Sub(st.wroteAt) < rewriteAfter
}

func (s *Scheduler) waitingOf(shard int, r *ledger.Run) *waiting {
	key := waitKey{shard, r.Name()}
	w := s.waiting[key]
	if w == nil {
		w = &waiting{}
		s.waiting[key] = w
	}
	return w
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

// putOff looks at a run again after a delay that grows.
func (s *Scheduler) putOff(now time.Time, shard int, r *ledger.Run, why string) {
	w := s.waitingOf(shard, r)
	if w.why != why {
		s.note("task", r.Name(), "shard %d: pending tasks wait: %s", shard, why)
		w.why = why
	}
	s.counters.Deferred[reasonKey(why)]++
	delay := firstDefer << min(w.deferred, 5)
	if r.Class() == bamboofall.ClassUrgent {
		delay = firstDefer / 2
	}
	w.deferred++
	w.deferTill = now.Add(min(delay, maxDefer))
}

// The reasons for which tasks wait, as operators read them.
const (
	whyNoRoom     = "no room"
	whyTooLarge   = "larger than any worker of the data centre"
	whyQuotaTasks = "quota of tasks is used up"
	whyQuotaRoom  = "quota of room is used up"
)

// reasonKey maps a reason to the name of its counter.
func reasonKey(why string) string {
	switch why {
	case whyNoRoom:
		return "noRoom"
	case whyQuotaTasks, whyQuotaRoom:
		return "quota"
	case whyTooLarge:
		return "tooLarge"
	}
	return "dependency"
}

// maybeMove gives a task that finds no room to the next shard.
func (s *Scheduler) maybeMove(now time.Time, shard int, t *ledger.Task) {
	st := s.state(t.ID)
	if s.ledger.Shards() == 1 || s.waitingOf(shard, t.Run).deferred < moveAfter && s.shardTakes(shard, t) {
		return
	}
	to := (shard + 1) % s.ledger.Shards()
	st.writing, st.wroteAt = writingMove, now
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

// maxHarm returns the inflation of services that a task may bring about. It is
// below what the ladder acts on. Work that has waited long is let in all the
// same, so that work which harms its neighbours does not starve.
func (s *Scheduler) maxHarm(now time.Time, t *ledger.Task) float64 {
	if t.Run.Old(now) {
		return math.Inf(1)
	}
	return s.tolerated() * easePart
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

// Why returns why a pending task has not started, or nothing.
func (s *Scheduler) Why(id bamboofall.TaskID) string {
	t := s.ledger.Task(id)
	if t == nil {
		return ""
	}
	if w := s.waiting[waitKey{t.Shard, id.Run}]; w != nil {
		return w.why
	}
	return ""
}
