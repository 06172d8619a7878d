package scheduler

import (
	"errors"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/state/ledger"
	"bamboofall.example/bamboofall/internal/wire/recordpb"
)

const (
	// quarantineAfter failures in a row a worker gets no work.
	quarantineAfter = 4
	firstQuarantine = 10 * time.Second
	maxQuarantine   = 10 * time.Minute
	// syncTimeout is how long a round may be under way.
	syncTimeout = 3 * time.Second
	maxSyncWait = 5 * time.Second
	// idleFactor is how much rarer rounds with a worker without tasks are.
	idleFactor = 6
	// maxUsage bounds a believable report, as a multiple of the worker's room.
	maxUsage = 4
)

// worker is what the owner knows of a worker.
type worker struct {
	vm     bamboofall.VM
	shard  int
	listed bool
	// room is what the worker has beside its instances.
	room bamboofall.Resources
	// inventory is set once a report under the current token has come.
	inventory bool
	clock     time.Duration
	reportAt  time.Time
	nextSync  time.Time
	// roundAt is when the round under way began. Zero if there is none.
	roundAt time.Time
	silent  int
	// open holds the tasks whose open attempt is here.
	open map[bamboofall.TaskID]bool
	// reserved holds the room kept for intents on their way.
	reserved map[bamboofall.TaskID]bamboofall.Resources
	// running holds what the worker last reported, by task.
	running map[bamboofall.TaskID]bamboofall.AttemptReport
	// strange holds attempts that must not run here.
	strange []bamboofall.AttemptReport
	// held holds the room that evictions free for urgent tasks.
	held map[bamboofall.TaskID]hold
	// evict holds the tasks to evict.
	evict map[bamboofall.TaskID]bool
	// throttle holds the share of processors of jobs, in thousandths.
	throttle map[string]int64
	// barred holds until when a job gets no new tasks here.
	barred   map[string]time.Time
	pressure pressure
	// busyAt is when the services here were last seen to be busy.
	busyAt time.Time
	// failures in a row, and until when the worker gets no work.
	failures    int
	quarantines int
	quarantine  time.Time
	// probation is set from a quarantine to the next task that finishes.
	probation bool
}

func newWorker(now time.Time, vm bamboofall.VM, shard int) *worker {
	w := &worker{vm: vm, shard: shard, listed: true, throttle: make(map[string]int64), barred: make(map[string]time.Time)}
	w.reset(now)
	return w
}

// reset forgets what must be learned again under a new token.
func (w *worker) reset(now time.Time) {
	w.inventory = false
	w.nextSync = now
	w.roundAt = time.Time{}
	w.open = make(map[bamboofall.TaskID]bool)
	w.reserved = make(map[bamboofall.TaskID]bamboofall.Resources)
	w.running = make(map[bamboofall.TaskID]bamboofall.AttemptReport)
	w.strange = nil
	w.evict = make(map[bamboofall.TaskID]bool)
	w.held = make(map[bamboofall.TaskID]hold)
}

// hold is room that is kept for an urgent task for a time.
type hold struct {
	size bamboofall.Resources
	till time.Time
}

// round begins a round with a worker if one is due.
func (s *Scheduler) round(now time.Time, w *worker) {
	if !w.roundAt.IsZero() && now.Sub(w.roundAt) < syncTimeout || now.Before(w.nextSync) {
		return
	}
	w.roundAt = now
	w.nextSync = now.Add(s.cfg.Sync)
	if w.inventory && len(w.open)+len(w.strange) == 0 {
		w.nextSync = now.Add(s.cfg.Sync * idleFactor)
	}
	s.out.Rounds = append(s.out.Rounds, Round{
		Worker: w.vm,
		Request: bamboofall.SyncRequest{
			Owner: s.cfg.VM, Token: s.shards[w.shard].token, Commands: s.commands(w),
		},
	})
}

// commands returns the orders for a worker. The first round under a token has
// none: it takes the inventory.
func (s *Scheduler) commands(w *worker) []bamboofall.Command {
	if !w.inventory {
		return nil
	}
	var out []bamboofall.Command
	for _, t := range s.openAt(w.vm.ID) {
		if c, ok := s.command(w, t); ok {
			out = append(out, c)
		}
	}
	for _, r := range w.strange {
		kind := bamboofall.CommandForget
		if r.Status == bamboofall.AttemptRunning {
			kind = bamboofall.CommandStop
		}
		out = append(out, bamboofall.Command{Kind: kind, Task: r.Task, Attempt: r.Attempt})
	}
	return out
}

// command returns the order for an open task.
func (s *Scheduler) command(w *worker, t *ledger.Task) (bamboofall.Command, bool) {
	if r, seen := w.running[t.ID]; seen && r.Attempt == t.Attempt && r.Status != bamboofall.AttemptRunning {
		return bamboofall.Command{}, false
	}
	c := bamboofall.Command{
		Kind:       bamboofall.CommandRun,
		Task:       t.ID,
		Attempt:    t.Attempt,
		LeaseUntil: w.clock + s.cfg.Lease,
		Size:       t.Granted,
		Job:        t.Run.Submit.GetJob(),
		RunTime:    time.Duration(t.Run.Submit.GetRunTimeMs()) * time.Millisecond,
		Standing:   t.Run.Submit.GetStanding(),
		Progress:   time.Duration(t.ProgressMS) * time.Millisecond,
		Throttle:   w.throttle[t.Run.Submit.GetJob()],
	}
	switch {
	case t.Run.Cancelled:
		c.Kind = bamboofall.CommandStop
	case w.evict[t.ID], w.vm.Leaving:
		c.Kind = bamboofall.CommandEvict
	}
	return c, true
}

// sizeOf returns the room to keep for a task.
func (s *Scheduler) sizeOf(t *ledger.Task) bamboofall.Resources {
	return s.estimates.Size(t.Run.Submit.GetJob(), t.Run.Size())
}

// Report takes the end of a round.
func (s *Scheduler) Report(now time.Time, id bamboofall.VMID, token bamboofall.Token, rep bamboofall.SyncReport, err error) Output {
	s.out = Output{}
	w := s.workers[id]
	if w == nil || s.shards[w.shard] == nil || s.shards[w.shard].token != token {
		return s.out
	}
	w.roundAt = time.Time{}
	if err != nil {
		s.roundFailed(now, w, err)
		return s.out
	}
	w.silent = 0
	w.clock = rep.Clock
	w.reportAt = now
	first := !w.inventory
	w.inventory = true
	s.takeInventory(now, w, rep, first)
	if first || len(w.strange) > 0 {
		w.nextSync = now
		s.touch(w.shard)
	}
	return s.out
}

func (s *Scheduler) roundFailed(now time.Time, w *worker, err error) {
	var stale *bamboofall.StaleTokenError
	if errors.As(err, &stale) {
		s.counters.StaleTokens++
		s.note("vm", string(w.vm.ID), "worker refused our token %d for %d", stale.Given, stale.Seen)
	}
	s.counters.SyncFailures++
	w.silent++
	w.nextSync = now.Add(min(s.cfg.Sync<<min(w.silent, 4), maxSyncWait))
}

// takeInventory compares a worker's attempts with the ledger.
func (s *Scheduler) takeInventory(now time.Time, w *worker, rep bamboofall.SyncReport, first bool) {
	if first {
		for _, t := range s.ledger.Live(w.shard) {
			if t.Status == ledger.TaskOpen && t.Worker == w.vm.ID {
				w.open[t.ID] = true
			}
		}
	}
	old := w.running
	w.running = make(map[bamboofall.TaskID]bamboofall.AttemptReport, len(rep.Attempts))
	w.strange = nil
	for _, r := range rep.Attempts {
		s.takeAttempt(now, w, r)
	}
	for _, id := range sortedTasks(old) {
		r := old[id]
		_, still := w.running[id]
		t := s.ledger.Task(id)
		if still || t == nil || t.Status != ledger.TaskOpen || t.Attempt != r.Attempt || t.Worker != w.vm.ID {
			continue
		}
		if r.Status == bamboofall.AttemptRunning {
			// The worker lost the attempt, by a restart for example.
			s.close(now, t, recordpb.CloseReason_CLOSE_REASON_LAPSED, r.Progress)
		}
	}
}

func (s *Scheduler) takeAttempt(now time.Time, w *worker, r bamboofall.AttemptReport) {
	t := s.ledger.Task(r.Task)
	if t == nil || t.Status != ledger.TaskOpen || t.Worker != w.vm.ID || t.Attempt != r.Attempt {
		if t == nil {
			s.counters.Nonsense++
		}
		w.strange = append(w.strange, r)
		return
	}
	w.running[r.Task] = r
	if r.Usage.Valid() && r.Progress >= 0 && believable(r.Usage, w.vm.Room) {
		st := s.state(r.Task)
		st.peak = st.peak.Max(r.Usage)
	} else {
		s.counters.Nonsense++
	}
	progress := max(r.Progress, 0)
	switch r.Status {
	case bamboofall.AttemptRunning:
	case bamboofall.AttemptFinished:
		s.workerSucceeded(w)
		s.learn(t)
		s.close(now, t, recordpb.CloseReason_CLOSE_REASON_FINISHED, progress)
	case bamboofall.AttemptFailed:
		s.workerFailed(now, w)
		s.close(now, t, recordpb.CloseReason_CLOSE_REASON_FAILED, 0)
	case bamboofall.AttemptEvicted:
		s.learn(t)
		s.close(now, t, recordpb.CloseReason_CLOSE_REASON_EVICTED, progress)
	case bamboofall.AttemptStopped:
		s.close(now, t, recordpb.CloseReason_CLOSE_REASON_CANCELLED, progress)
	case bamboofall.AttemptLapsed:
		s.close(now, t, recordpb.CloseReason_CLOSE_REASON_LAPSED, progress)
	default:
		s.counters.Nonsense++
	}
}

func believable(usage, room bamboofall.Resources) bool {
	return usage.MilliProcessors <= room.MilliProcessors*maxUsage && usage.MemoryBytes <= room.MemoryBytes*maxUsage
}

func (s *Scheduler) learn(t *ledger.Task) {
	if peak := s.state(t.ID).peak; peak != (bamboofall.Resources{}) {
		s.estimates.Learn(t.Run.Submit.GetJob(), peak)
	}
}

// close writes the end of an attempt, once.
func (s *Scheduler) close(now time.Time, t *ledger.Task, reason recordpb.CloseReason, progress time.Duration) {
	st := s.state(t.ID)
	if st.writing == writingClose && st.attempt == t.Attempt && now.Sub(st.wroteAt) < rewriteAfter {
		return
	}
	if st.writing != writingClose || st.attempt != t.Attempt {
		s.countClose(reason)
	}
	st.writing, st.attempt, st.wroteAt = writingClose, t.Attempt, now
	s.out.Records = append(s.out.Records, &recordpb.Record{
		Id: taskName(t.ID) + "/close",
		Body: &recordpb.Record_Close{Close: &recordpb.Close{
			Run: t.ID.Run, Index: t.ID.Index, Attempt: t.Attempt,
			Token: uint64(s.shards[t.Shard].token), Reason: reason, ProgressMs: progress.Milliseconds(),
		}},
	})
	s.note("task", taskName(t.ID), "attempt %d on %s ended: %s", t.Attempt, t.Worker, closeName(reason))
}

// rewriteAfter is when a record that has not been read back is written again,
// because the queue to the log may have refused it.
const rewriteAfter = 30 * time.Second

func (s *Scheduler) countClose(reason recordpb.CloseReason) {
	switch reason {
	case recordpb.CloseReason_CLOSE_REASON_FINISHED:
		s.counters.Finished++
	case recordpb.CloseReason_CLOSE_REASON_FAILED:
		s.counters.Failed++
	case recordpb.CloseReason_CLOSE_REASON_EVICTED:
		s.counters.Evicted++
	case recordpb.CloseReason_CLOSE_REASON_LAPSED:
		s.counters.Lapsed++
	}
}

func closeName(reason recordpb.CloseReason) string {
	switch reason {
	case recordpb.CloseReason_CLOSE_REASON_FINISHED:
		return "finished"
	case recordpb.CloseReason_CLOSE_REASON_FAILED:
		return "failed"
	case recordpb.CloseReason_CLOSE_REASON_EVICTED:
		return "evicted"
	case recordpb.CloseReason_CLOSE_REASON_LAPSED:
		return "lease lapsed"
	case recordpb.CloseReason_CLOSE_REASON_CANCELLED:
		return "cancelled"
	}
	return "not started"
}

func (s *Scheduler) workerSucceeded(w *worker) {
	w.failures = 0
	w.quarantines = 0
	w.probation = false
}

// workerFailed counts a failure and quarantines a worker that fails everything.
func (s *Scheduler) workerFailed(now time.Time, w *worker) {
	if now.Before(w.quarantine) {
		return
	}
	w.failures++
	if w.failures < quarantineAfter && !w.probation {
		return
	}
	span := min(firstQuarantine<<min(w.quarantines, 6), maxQuarantine)
	w.quarantine = now.Add(span)
	w.quarantines++
	w.failures = 0
	w.probation = true
	s.counters.Quarantined++
	s.note("vm", string(w.vm.ID), "quarantined for %v: every task fails there", span)
}

// closeLapsed closes the attempts at workers whose leases have ended for
// certain without a report. A worker that the platform still lists may come
// back and tell that the task had finished, so it gets some patience.
func (s *Scheduler) closeLapsed(now time.Time, shard int) {
	for _, id := range s.workerIDs() {
		w := s.workers[id]
		end := s.leasesEnd(w)
		if w.listed {
			end = end.Add(silentPatience)
		}
		if w.shard != shard || now.Before(end) {
			continue
		}
		for _, t := range s.openAt(id) {
			s.close(now, t, recordpb.CloseReason_CLOSE_REASON_LAPSED, w.running[t.ID].Progress)
		}
	}
	s.closeOrphans(now, shard)
}

// leasesEnd returns when every lease at a worker has ended for certain, if no
// report comes.
func (s *Scheduler) leasesEnd(w *worker) time.Time {
	if !w.inventory {
		return s.shards[w.shard].oldLeases
	}
	return w.reportAt.Add(s.leaseBound())
}

// closeOrphans closes the attempts at workers that are not known any more.
func (s *Scheduler) closeOrphans(now time.Time, shard int) {
	o := s.shards[shard]
	if now.Before(o.oldLeases) {
		return
	}
	orphans := make(map[bamboofall.TaskID]bool)
	for id, t := range s.ledger.Live(shard) {
		if t.Status != ledger.TaskOpen {
			continue
		}
		if w := s.workers[t.Worker]; w != nil {
			w.open[id] = true
		} else {
			orphans[id] = true
		}
	}
	for _, id := range sortedTasks(orphans) {
		s.close(now, s.ledger.Task(id), recordpb.CloseReason_CLOSE_REASON_LAPSED, 0)
	}
}
