package scheduler

import (
	"errors"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/state/ledger"
	"bamboofall.example/bamboofall/internal/wire/recordpb"
)

const (
	// failuresBeforeQuarantine is the number of consecutive task failures after which
	// a worker gets no new tasks for some time.
	failuresBeforeQuarantine = 4
	// minQuarantine is the length of the first quarantine. It doubles with each
	// further one, up to maxQuarantine.
	minQuarantine = 10 * time.Second
	maxQuarantine = 10 * time.Minute
	// syncTimeout is how long a sync may be in progress before another is started.
	syncTimeout = 3 * time.Second
	// maxSyncDelay bounds the time from a failed sync to the next.
	maxSyncDelay = 5 * time.Second
	// idleSyncFactor is the factor by which the sync interval grows for a worker
	// without tasks.
	idleSyncFactor = 6
	// maxUsageFactor bounds a plausible usage report, as a multiple of the worker's
	// capacity.
	maxUsageFactor = 4
)

// worker holds what the owner of a shard knows of one of its workers.
type worker struct {
	vm    bamboofall.VM
	shard int
	// listed is set if the platform's last list contained the worker.
	listed bool
	// capacity is the amount of resources available for batch tasks: those of the VM
	// without the shares of its instances.
	capacity bamboofall.Resources
	// synced is set once the worker has answered a sync under the current token.
	synced bool
	// clock is the last reading of the worker's own clock. It arrived at reportedAt.
	clock      time.Duration
	reportedAt time.Time
	nextSyncAt time.Time
	// syncStartedAt is when the current sync began. Zero if none is in progress.
	syncStartedAt time.Time
	// syncFailures counts consecutive failed syncs.
	syncFailures int
	// open holds the tasks with an open attempt at the worker.
	open map[bamboofall.TaskID]bool
	// reserved holds the resources reserved by intents, by task.
	reserved map[bamboofall.TaskID]bamboofall.Resources
	// reported holds the attempts of the last report that match the ledger, by task.
	reported map[bamboofall.TaskID]bamboofall.AttemptReport
	// unexpected holds the attempts of the last report that the ledger does not
	// assign to this worker.
	unexpected []bamboofall.AttemptReport
	// urgentReservations holds the resources that evictions free, by the urgent task
	// for which they are freed.
	urgentReservations map[bamboofall.TaskID]urgentReservation
	// evicting holds the tasks that the worker must evict.
	evicting map[bamboofall.TaskID]bool
	// throttles holds the share of its processors that each task of a job may use, in
	// thousandths. Jobs without an entry are not throttled.
	throttles map[string]int64
	// bannedUntil holds, by job, until when the worker gets no new tasks of the job.
	bannedUntil map[string]time.Time
	mitigation  mitigation
	// servicesBusyAt is when a service on the worker last had enough requests for an
	// observation.
	servicesBusyAt time.Time
	// failures counts consecutive task failures.
	failures int
	// quarantines counts the quarantines since the last finished task.
	quarantines     int
	quarantineUntil time.Time
	// probation is set from the start of a quarantine until a task has finished. The
	// next failure leads to another quarantine.
	probation bool
}

func newWorker(now time.Time, vm bamboofall.VM, shard int) *worker {
	w := &worker{vm: vm, shard: shard, listed: true, throttles: make(map[string]int64), bannedUntil: make(map[string]time.Time)}
	w.reset(now)
	return w
}

// reset clears the state that is only valid under one token.
func (w *worker) reset(now time.Time) {
	w.synced = false
	w.nextSyncAt = now
	w.syncStartedAt = time.Time{}
	w.open = make(map[bamboofall.TaskID]bool)
	w.reserved = make(map[bamboofall.TaskID]bamboofall.Resources)
	w.reported = make(map[bamboofall.TaskID]bamboofall.AttemptReport)
	w.unexpected = nil
	w.evicting = make(map[bamboofall.TaskID]bool)
	w.urgentReservations = make(map[bamboofall.TaskID]urgentReservation)
}

// urgentReservation is an amount of resources that is reserved for an urgent task for
// a limited time.
type urgentReservation struct {
	size  bamboofall.Resources
	until time.Time
}

// reservedForUrgent returns the resources that are reserved for urgent tasks other than
// the given one.
func (w *worker) reservedForUrgent(now time.Time, except bamboofall.TaskID) bamboofall.Resources {
	var reserved bamboofall.Resources
	for id, r := range w.urgentReservations {
		if id != except && now.Before(r.until) {
			reserved = reserved.Add(r.size)
		}
	}
	return reserved
}

// startSync starts a sync with a worker if one is due.
func (s *Scheduler) startSync(now time.Time, w *worker) {
	if !w.syncStartedAt.IsZero() && now.Sub(w.syncStartedAt) < syncTimeout || now.Before(w.nextSyncAt) {
		return
	}
	w.syncStartedAt = now
	w.nextSyncAt = now.Add(s.cfg.Sync)
	if w.synced && len(w.open)+len(w.unexpected) == 0 {
		w.nextSyncAt = now.Add(s.cfg.Sync * idleSyncFactor)
	}
	s.out.Syncs = append(s.out.Syncs, Sync{
		Worker: w.vm,
		Request: bamboofall.SyncRequest{
			Owner: s.cfg.VM, Token: s.shards[w.shard].token, Commands: s.commands(w),
		},
	})
}

// commands returns the commands for a worker. The first sync under a token has none,
// because the attempts at the worker are not known yet.
func (s *Scheduler) commands(w *worker) []bamboofall.Command {
	if !w.synced {
		return nil
	}
	var out []bamboofall.Command
	for _, t := range s.openTasksAt(w.vm.ID) {
		if c, ok := s.command(w, t); ok {
			out = append(out, c)
		}
	}
	for _, r := range w.unexpected {
		kind := bamboofall.CommandForget
		if r.Status == bamboofall.AttemptRunning {
			kind = bamboofall.CommandStop
		}
		out = append(out, bamboofall.Command{Kind: kind, Task: r.Task, Attempt: r.Attempt})
	}
	return out
}

// command returns the command for an open task. It returns false if the attempt has
// already ended at the worker.
func (s *Scheduler) command(w *worker, t *ledger.Task) (bamboofall.Command, bool) {
	if r, seen := w.reported[t.ID]; seen && r.Attempt == t.Attempt && r.Status != bamboofall.AttemptRunning {
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
		Throttle:   w.throttles[t.Run.Submit.GetJob()],
	}
	switch {
	case t.Run.Cancelled:
		c.Kind = bamboofall.CommandStop
	case w.evicting[t.ID], w.vm.Leaving:
		c.Kind = bamboofall.CommandEvict
	}
	return c, true
}

// requiredSize returns the estimated amount of resources that a task needs.
func (s *Scheduler) requiredSize(t *ledger.Task) bamboofall.Resources {
	return s.estimates.Size(t.Run.Submit.GetJob(), t.Run.Size())
}

// Report processes the result of a sync with a worker under the given token.
func (s *Scheduler) Report(now time.Time, id bamboofall.VMID, token bamboofall.Token, report bamboofall.SyncReport, err error) Output {
	s.out = Output{}
	w := s.workers[id]
	if w == nil || s.shards[w.shard] == nil || s.shards[w.shard].token != token {
		return s.out
	}
	w.syncStartedAt = time.Time{}
	if err != nil {
		s.syncFailed(now, w, err)
		return s.out
	}
	w.syncFailures = 0
	w.clock = report.Clock
	w.reportedAt = now
	firstSync := !w.synced
	w.synced = true
	s.reconcileReport(now, w, report, firstSync)
	if firstSync || len(w.unexpected) > 0 {
		w.nextSyncAt = now
		s.requestPlacement(w.shard)
	}
	return s.out
}

func (s *Scheduler) syncFailed(now time.Time, w *worker, err error) {
	var stale *bamboofall.StaleTokenError
	if errors.As(err, &stale) {
		s.counters.StaleTokens++
		s.note("vm", string(w.vm.ID), "worker rejected fencing token %d because it has seen token %d", stale.Given, stale.Seen)
	}
	s.counters.SyncFailures++
	w.syncFailures++
	w.nextSyncAt = now.Add(min(s.cfg.Sync<<min(w.syncFailures, 4), maxSyncDelay))
}

// reconcileReport compares the attempts in a worker's report with the ledger.
func (s *Scheduler) reconcileReport(now time.Time, w *worker, report bamboofall.SyncReport, firstSync bool) {
	if firstSync {
		for _, t := range s.ledger.Live(w.shard) {
			if t.Status == ledger.TaskOpen && t.Worker == w.vm.ID {
				w.open[t.ID] = true
			}
		}
	}
	previous := w.reported
	w.reported = make(map[bamboofall.TaskID]bamboofall.AttemptReport, len(report.Attempts))
	w.unexpected = nil
	for _, r := range report.Attempts {
		s.reconcileAttempt(now, w, r)
	}
	for _, id := range sortedTasks(previous) {
		r := previous[id]
		_, reported := w.reported[id]
		t := s.ledger.Task(id)
		if reported || t == nil || t.Status != ledger.TaskOpen || t.Attempt != r.Attempt || t.Worker != w.vm.ID {
			continue
		}
		if r.Status == bamboofall.AttemptRunning {
			// The worker has lost the attempt, for example by a restart.
			s.close(now, t, recordpb.CloseReason_CLOSE_REASON_LAPSED, r.Progress)
		}
	}
}

// reconcileAttempt compares a reported attempt with the ledger, and closes it if it has
// ended.
func (s *Scheduler) reconcileAttempt(now time.Time, w *worker, r bamboofall.AttemptReport) {
	t := s.ledger.Task(r.Task)
	if t == nil || t.Status != ledger.TaskOpen || t.Worker != w.vm.ID || t.Attempt != r.Attempt {
		if t == nil {
			s.counters.InvalidReports++
		}
		w.unexpected = append(w.unexpected, r)
		return
	}
	w.reported[r.Task] = r
	if r.Usage.Valid() && r.Progress >= 0 && plausible(r.Usage, w.vm.Room) {
		st := s.state(r.Task)
		st.peakUsage = st.peakUsage.Max(r.Usage)
	} else {
		s.counters.InvalidReports++
	}
	progress := max(r.Progress, 0)
	switch r.Status {
	case bamboofall.AttemptRunning:
	case bamboofall.AttemptFinished:
		s.recordSuccess(w)
		s.learnUsage(t)
		s.close(now, t, recordpb.CloseReason_CLOSE_REASON_FINISHED, progress)
	case bamboofall.AttemptFailed:
		s.recordFailure(now, w)
		s.close(now, t, recordpb.CloseReason_CLOSE_REASON_FAILED, 0)
	case bamboofall.AttemptEvicted:
		s.learnUsage(t)
		s.close(now, t, recordpb.CloseReason_CLOSE_REASON_EVICTED, progress)
	case bamboofall.AttemptStopped:
		s.close(now, t, recordpb.CloseReason_CLOSE_REASON_CANCELLED, progress)
	case bamboofall.AttemptLapsed:
		s.close(now, t, recordpb.CloseReason_CLOSE_REASON_LAPSED, progress)
	default:
		s.counters.InvalidReports++
	}
}

// plausible reports whether a task can have used this amount on a VM. Reports lag and
// are coarse, so they may exceed the capacity by up to maxUsageFactor.
func plausible(usage, capacity bamboofall.Resources) bool {
	return usage.MilliProcessors <= capacity.MilliProcessors*maxUsageFactor && usage.MemoryBytes <= capacity.MemoryBytes*maxUsageFactor
}

func (s *Scheduler) learnUsage(t *ledger.Task) {
	if peak := s.state(t.ID).peakUsage; peak != (bamboofall.Resources{}) {
		s.estimates.Learn(t.Run.Submit.GetJob(), peak)
	}
}

// close returns a record that closes an attempt, unless one was returned already and
// is not overdue.
func (s *Scheduler) close(now time.Time, t *ledger.Task, reason recordpb.CloseReason, progress time.Duration) {
	st := s.state(t.ID)
	if st.sentRecord == recordClose && st.sentAttempt == t.Attempt && now.Sub(st.sentAt) < recordTimeout {
		return
	}
	if st.sentRecord != recordClose || st.sentAttempt != t.Attempt {
		s.countClose(reason)
	}
	st.sentRecord, st.sentAttempt, st.sentAt = recordClose, t.Attempt, now
	s.out.Records = append(s.out.Records, &recordpb.Record{
		Id: taskName(t.ID) + "/close",
		Body: &recordpb.Record_Close{Close: &recordpb.Close{
			Run: t.ID.Run, Index: t.ID.Index, Attempt: t.Attempt,
			Token: uint64(s.shards[t.Shard].token), Reason: reason, ProgressMs: progress.Milliseconds(),
		}},
	})
	s.note("task", taskName(t.ID), "attempt %d on %s ended: %s", t.Attempt, t.Worker, closeReasonName(reason))
}

// recordTimeout is how long a returned record may take to be read back from the log.
// After it the record is returned again, because the queue to the log may have dropped
// the first.
const recordTimeout = 30 * time.Second

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

// closeReasonName returns the name used in notes.
func closeReasonName(reason recordpb.CloseReason) string {
	switch reason {
	case recordpb.CloseReason_CLOSE_REASON_FINISHED:
		return "finished"
	case recordpb.CloseReason_CLOSE_REASON_FAILED:
		return "failed"
	case recordpb.CloseReason_CLOSE_REASON_EVICTED:
		return "evicted"
	case recordpb.CloseReason_CLOSE_REASON_LAPSED:
		return "lease expired or attempt lost"
	case recordpb.CloseReason_CLOSE_REASON_CANCELLED:
		return "cancelled"
	}
	return "not started"
}

func (s *Scheduler) recordSuccess(w *worker) {
	w.failures = 0
	w.quarantines = 0
	w.probation = false
}

// recordFailure counts a task failure and quarantines the worker after too many
// consecutive ones.
func (s *Scheduler) recordFailure(now time.Time, w *worker) {
	if now.Before(w.quarantineUntil) {
		return
	}
	w.failures++
	if w.failures < failuresBeforeQuarantine && !w.probation {
		return
	}
	span := min(minQuarantine<<min(w.quarantines, 6), maxQuarantine)
	w.quarantineUntil = now.Add(span)
	w.quarantines++
	w.failures = 0
	w.probation = true
	s.counters.Quarantined++
	s.note("vm", string(w.vm.ID), "quarantined for %v after repeated task failures", span)
}

// closeExpired closes the attempts at unreachable workers whose leases have certainly
// expired. A worker that the platform still lists may become reachable again and
// report that the task had finished, so its attempts stay open for unreachableGrace.
func (s *Scheduler) closeExpired(now time.Time, shard int) {
	for _, id := range s.workerIDs() {
		w := s.workers[id]
		closeAt := s.leasesEnd(w)
		if w.listed {
			closeAt = closeAt.Add(unreachableGrace)
		}
		if w.shard != shard || now.Before(closeAt) {
			continue
		}
		for _, t := range s.openTasksAt(id) {
			s.close(now, t, recordpb.CloseReason_CLOSE_REASON_LAPSED, w.reported[t.ID].Progress)
		}
	}
	s.closeOrphans(now, shard)
}

// leasesEnd returns when all leases at a worker will certainly have expired, if no
// further report arrives.
func (s *Scheduler) leasesEnd(w *worker) time.Time {
	if !w.synced {
		return s.shards[w.shard].formerLeasesEnd
	}
	return w.reportedAt.Add(s.leaseBound())
}

// closeOrphans closes the attempts at workers that no longer exist.
func (s *Scheduler) closeOrphans(now time.Time, shard int) {
	owned := s.shards[shard]
	if now.Before(owned.formerLeasesEnd) {
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
