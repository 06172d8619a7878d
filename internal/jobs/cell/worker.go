package cell

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/fencing"
	"bamboofall.example/bamboofall/internal/jobs/jobspec"
	"bamboofall.example/bamboofall/internal/jobs/pressure"
	"bamboofall.example/bamboofall/internal/jobs/recordsize"
	"bamboofall.example/bamboofall/internal/jobs/suspicion"
	"bamboofall.example/bamboofall/internal/jobs/warmup"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
)

const (
	// stopRetryInterval is the time after which an unanswered stop order is repeated.
	stopRetryInterval = 400 * time.Millisecond
	// unlistedRetention is how long a worker is kept after the platform stopped listing
	// it. An entry that expired during a store outage is back within two seconds.
	unlistedRetention = 5 * time.Second
	// LateEndGrace is how long after its leases expired a silent worker may still report
	// runs that completed. Network partitions last up to 9 s.
	LateEndGrace = 6 * time.Second
	// silentFailures is the number of consecutive failed calls after which a worker
	// counts as silent and gets no new work.
	silentFailures = 1
)

// worker is a worker as identified by its ID, across restarts.
type worker struct {
	// info is the latest announcement. It may be that of a former process.
	info bamboofall.Worker
	// incarnation is the start time of the current worker process. It identifies the
	// process to which the attempts belong; a later time means that the worker restarted.
	incarnation time.Time
	// listed reports whether the platform lists the worker.
	listed     bool
	unlistedAt time.Time
	// recorded reports whether the store holds a record that tasks may run here. A new
	// owner stays in recovery until all recorded workers have answered.
	recorded    bool
	recordFlush uint64
	// recordClosed reports whether the record lists every run that may exist here. Records
	// are closed while nothing is started here, and reopened before the next start.
	recordClosed bool
	// endRecorded is set if the store may hold a record that tells when the leases end, and
	// recordTellsEnd if an open record does, as the worker has not answered this owner.
	endRecorded, recordTellsEnd bool

	// attempts are in placement order.
	attempts []*attempt
	// evacuated is set while the data centre of the worker is evacuated.
	evacuated bool
	warmth    warmup.Worker
	// used is the sum of all reservations; best-effort tasks reserve no CPU and are
	// counted in bestEffortCPU instead. standingCPU is the part of used that standing
	// tasks reserve. Both are in milliprocessors.
	used                       bamboofall.Resources
	bestEffortCPU, standingCPU int64
	// orphans is the number of runs whose tasks are not known.
	orphans int
	// serving and bestEffort are the CPU by image of tasks with a tail-latency target and
	// of best-effort tasks.
	serving, bestEffort pressure.CPUByImage
	// cachedHeadrooms are the headrooms expected at headroomsAt. They are dropped when a
	// task is added or removed.
	cachedHeadrooms []expectedHeadroom
	headroomsAt     time.Time
	// headroomsRenewedAt is when a change of the expected headrooms last counted as a
	// capacity gain for best-effort tasks.
	headroomsRenewedAt time.Time

	// answered reports whether this incarnation has answered this owner. usedByFormer
	// reports whether it may run tasks that a former owner started.
	answered, usedByFormer bool
	// restartUnnamed is set if the worker's clock shows that another process has started,
	// which no answer has named yet.
	restartUnnamed bool
	// restored is set if the worker was restored from a record of a former owner.
	restored bool
	// endsReported is set once this incarnation has listed all its run ends in one
	// answer.
	endsReported bool
	// clock is the worker's clock as read at clockAt.
	clock   time.Duration
	clockAt time.Time
	// namedCallAt is when the last call was sent whose answer named the process.
	namedCallAt time.Time
	// leasesEnd is when all leases that this owner granted by the worker's clock have
	// certainly expired.
	leasesEnd time.Time
	// formerClockLeasesEnd is when leases have certainly expired that the process may have
	// taken from orders by the clock of a former one.
	formerClockLeasesEnd time.Time
	// grantedAt is when this owner last granted a lease.
	grantedAt time.Time
	// unansweredSince is when the first lease was granted after the worker is last known
	// to have been up, or zero if all calls that granted one were answered.
	unansweredSince time.Time
	// strayGrantAt is when a lease was last granted whose call was not answered when its process
	// had ended. A process after the next one may yet take the order.
	strayGrantAt time.Time
	// leasesEndLogged is the value of allLeasesEnd that was last logged as expired.
	leasesEndLogged time.Time

	// holdQueued reports whether the worker is in the queue of workers that may need a
	// hold call.
	holdQueued bool
	// holdOpen reports whether a hold call is in progress, which may wait for a run to
	// end. probeOpen reports whether a probe, which does not wait, is in progress
	// alongside it.
	holdOpen, probeOpen  bool
	nextHoldAt, probedAt time.Time
	// failures counts the consecutive failed calls that are held against the worker.
	failures int
	// slowOwnerMisses counts the consecutive calls that failed while the owner was slow.
	slowOwnerMisses int
	// unreachableSince is when a relay first failed to reach the worker since its last
	// answer.
	unreachableSince time.Time
	// silentSince is when the first call of the current series of failures failed.
	silentSince time.Time
	// storedEnd is the number of the last run end that is stored, receivedEnd the last
	// one received. receivedEndFlush is the flush that stores it.
	storedEnd, receivedEnd uint64
	receivedEndFlush       uint64
	// inUnstoredEnds reports whether the worker is in Cell.unstoredEnds and is called
	// again once its run ends are stored.
	inUnstoredEnds bool
	// acknowledgedEnd is the last run end that a hold order has acknowledged as stored.
	// listedEnd is the last one listed since, or zero.
	acknowledgedEnd, listedEnd uint64
	health                     suspicion.Health
	// lastGain is the number of the last event after which more tasks may fit here.
	// avoided is set while the worker is in fitCache.avoided. wasUsable is the value of
	// usable at the last scan.
	lastGain           uint64
	avoided, wasUsable bool
	callHistory
	fences
	// trial is the run on trial, or nil. Nothing is started beside it. It is not attached if
	// it is known from a stored start only.
	trial *attempt
	// failedOnTrial is set if a run was on trial at silentSince.
	failedOnTrial bool
	// noListener is set if a connection was refused since the last answer.
	noListener bool
	// crashed is set once the crash of the worker has been assessed.
	crashed bool
	// expired holds the runs that were given up since the last answer, as their leases had
	// expired, and those of a former owner that are known from stored starts only.
	expired []*attempt
	// drainingSince is when the worker was first seen to be draining.
	drainingSince time.Time
	// tailsObservedAt is when tail latencies were last evaluated. tailsWithinTargetAt is
	// when they were last all within their targets.
	tailsObservedAt, tailsWithinTargetAt time.Time
}

func newWorker(info bamboofall.Worker) *worker {
	return &worker{info: info, incarnation: info.Born}
}

// updateTotals adds an attempt to the totals of its worker, or subtracts it if sign is
// -1.
func (w *worker) updateTotals(a *attempt, sign int64) {
	size, s := a.reservation(), a.task.step
	w.cachedHeadrooms = nil
	if sign < 0 {
		w.used = w.used.Sub(size)
	} else {
		w.used = w.used.Add(size)
	}
	if s.orphan {
		w.orphans += int(sign)
	}
	if s.Standing {
		w.standingCPU += sign * size.MilliProcessors
	}
	if s.BestEffort {
		w.bestEffortCPU += sign * s.Size.MilliProcessors
		w.bestEffort.Add(s.Image, sign*s.Size.MilliProcessors)
	}
	if s.TailTarget > 0 {
		w.serving.Add(s.Image, sign*s.Size.MilliProcessors)
	}
}

func (w *worker) free() bamboofall.Resources { return w.info.Room.Sub(w.used) }

func (w *worker) silent() bool { return w.failures >= silentFailures }

// usable reports whether tasks may be placed at the worker.
func (w *worker) usable() bool {
	return w.listed && w.answered && !w.silent() && !w.restartUnnamed && !w.info.Draining && !w.evacuated
}

// MaxLeaseDuration returns the longest time, measured from the grant, that a lease can
// last at a worker whose clock is slow.
func MaxLeaseDuration(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-clockDrift)) + leaseMargin
}

// remainingLease returns the duration of a lease granted now. Leases of a worker that
// leaves calls unanswered all end holdWait after the first of them, as those of a worker
// that dies while a call waits there, so that their end does not move on with each call.
func (c *Cell) remainingLease(now time.Time, w *worker) time.Duration {
	if w.unansweredSince.IsZero() {
		return c.cfg.Lease
	}
	return max(0, min(c.cfg.Lease, w.unansweredSince.Add(c.cfg.Lease+holdWait).Sub(now)))
}

// acceptsStart reports whether a worker may be given a task now. A run with a much shorter
// lease might end before the worker answers again.
func (c *Cell) acceptsStart(now time.Time, w *worker) bool {
	return w.trial == nil && !w.acknowledgementOverdue(now) && w.health.Accepts(now) && c.remainingLease(now, w) >= min(renewalWindow, c.cfg.Lease/2)
}

// grantLease returns the end of a lease granted now, on the worker's clock, and extends
// leasesEnd. The worker's clock is assumed to have run slow since it was last read, so
// that the lease does not outlast MaxLeaseDuration.
func (c *Cell) grantLease(now time.Time, w *worker) time.Duration {
	if w.unansweredSince.IsZero() {
		w.unansweredSince = now
	}
	w.grantedAt = now
	lease := c.remainingLease(now, w)
	if end := now.Add(MaxLeaseDuration(lease)); lease > 0 && end.After(w.leasesEnd) {
		w.leasesEnd = end
	}
	age := now.Sub(w.clockAt)
	return w.clock + time.Duration(float64(age)*(1-clockDrift)) + lease
}

// SetWorker applies an announcement of a worker by the platform.
func (c *Cell) SetWorker(now time.Time, info bamboofall.Worker) {
	w := c.workers[info.ID]
	if w == nil {
		w = newWorker(info)
		c.addWorker(w)
		c.recordWorker(w)
	}
	if info.Draining && (!w.info.Draining || w.drainingSince.IsZero()) {
		w.drainingSince = now
		c.note(Note{Event: "worker draining", Worker: info.ID, Detail: "remaining " + info.Remaining.String()})
	}
	w.listed = true
	c.addGain(w)
	if info.Born.After(w.incarnation) {
		c.workerRestarted(now, w, info.Born, "its announcement")
	} else if info.Born.Before(w.incarnation) {
		return // announced by an earlier incarnation
	}
	former := w.info
	w.info = info
	if info.Draining != former.Draining && w.recorded {
		c.pending.workers[info.ID] = w
	}
	w.warmth.Announced(now, info.ColdFor)
	c.updateEvacuated(w)
	c.noteResized(w, former)
	c.withdrawUnsent(now, w)
	if !info.Draining && !w.recorded {
		c.recordWorker(w)
	}
	c.addGain(w)
}

// recordWorker stores the current incarnation before anything is started there.
func (c *Cell) recordWorker(w *worker) {
	c.pending.workers[w.info.ID] = w
	delete(c.pending.deleted, keyWorker+w.info.ID)
	w.recordFlush = c.pending.nextFlush
	w.recorded, w.recordClosed, w.recordTellsEnd = true, false, false
}

// closeRecord replaces the record of a worker that became silent or drains by one that lists
// every run that may exist there, so that only these tasks wait after a handover. It does
// nothing while this owner does not have a full report of the worker, as it does not know
// the runs then, or if the store does not take a record of all the runs.
func (c *Cell) closeRecord(w *worker) {
	if !w.recorded || !w.answered || w.owesReport() || !recordsize.FitsWorker(encodeWorker(w, true), c.cfg.MaxRecordBytes) {
		return
	}
	if !w.recordClosed && c.IsStored(w.recordFlush) {
		w.endRecorded = false
	}
	c.recordWorker(w)
	w.recordClosed = true
}

// closeDraining closes the record of a draining worker: it may have left when a successor
// calls it, and its report never come.
func (c *Cell) closeDraining(w *worker) {
	if w.info.Draining && !w.recordClosed && !w.silent() && c.IsStored(w.recordFlush) {
		c.closeRecord(w)
	}
}

// encodeWorker returns the store record of a worker, which lists the runs if it is closed.
func encodeWorker(w *worker, closed bool) *jobpb.Worker {
	m := &jobpb.Worker{Address: w.info.Address.String(), BornUnixMs: jobspec.UnixMS(w.incarnation), Silent: closed, Draining: w.info.Draining}
	if !closed {
		return m
	}
	for _, a := range w.attempts {
		if a.mayRun() {
			m.Runs = append(m.Runs, &jobpb.Run{
				Task: a.task.name().String(), Number: a.run, Confirmed: a.confirmed, Named: a.named, SurvivedMs: a.survived().Milliseconds(),
			})
		}
	}
	return m
}

// dropRecord deletes the record of a worker at which nothing runs and nothing will be
// started, so that a new owner does not wait for its answer.
func (c *Cell) dropRecord(now time.Time, w *worker) {
	leaving := !w.listed || w.info.Draining
	if !w.recorded || !leaving || len(w.attempts) > 0 || !w.answered && !now.After(c.reportDeadline(w)) {
		return
	}
	delete(c.pending.workers, w.info.ID)
	c.pending.deleted[keyWorker+w.info.ID] = true
	w.recorded = false
}

// RemoveWorker records that the platform no longer lists a worker. The worker may still
// be running tasks.
func (c *Cell) RemoveWorker(now time.Time, id string) {
	w := c.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	w.unlistedAt = now
	c.note(Note{Event: "worker unlisted", Worker: id})
}

func (c *Cell) restoreWorker(id string, m *jobpb.Worker) error {
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return err
	}
	w := newWorker(bamboofall.Worker{
		WorkerRef: bamboofall.WorkerRef{ID: id, Address: address}, Born: jobspec.FromUnixMS(m.GetBornUnixMs()),
		Draining: m.GetDraining(),
	})
	w.leasesEnd, w.endRecorded = c.restoredLeasesEnd(m), m.GetLeasesEndAgeMs() != 0
	w.restored, w.grantedAt = true, c.formerGrantsEnd()
	w.recorded, w.recordClosed, w.usedByFormer = true, m.GetSilent(), !m.GetSilent()
	c.addWorker(w)
	return nil
}

// restoreRuns restores the runs that may exist at a worker whose record was closed.
func (c *Cell) restoreRuns(now time.Time, w *worker, runs []*jobpb.Run) error {
	for _, r := range runs {
		name, err := bamboofall.ParseTaskName(r.GetTask())
		if err != nil {
			return err
		}
		t := c.findTask(name)
		if t == nil || t.done {
			continue // no run needed
		}
		a := c.reserve(w, t, r.GetNumber())
		t.lastRun = max(t.lastRun, a.run)
		a.state, a.confirmed, a.named, a.inherited = attemptUnknown, r.GetConfirmed(), r.GetNamed(), true
		a.survivedFormer = time.Duration(r.GetSurvivedMs()) * time.Millisecond
		a.startedAt = now
		if t.step.BestEffort {
			a.ackedPace = paceUnknown
		}
		c.unqueue(t)
	}
	return nil
}

// workerRestarted handles a restart of a worker: the runs that a former process has named are
// lost. The new process may have carried out the others, or may still do so, and tells with its
// first report. Evidence is what showed the restart.
func (c *Cell) workerRestarted(now time.Time, w *worker, born time.Time, evidence string) {
	if !w.incarnation.IsZero() {
		c.note(Note{Event: "worker reborn", Worker: w.info.ID, Detail: fmt.Sprintf("started %s, the former process %s, as shown by %s; %d runs",
			born.UTC().Format(time.RFC3339Nano), w.incarnation.UTC().Format(time.RFC3339Nano), evidence, len(w.attempts))})
		c.workerCrashed(now, w, "a new process answers or is announced", true)
	}
	w.crashed, w.noListener = false, false
	w.clearExpired()
	formerEnd := w.allLeasesEnd()
	c.resetLeases(now, w)
	for _, a := range slices.Clone(w.attempts) {
		if a.named || !a.mayRun() {
			c.loseRun(now, a, "the worker restarted")
			continue
		}
		c.keepUnnamedRun(now, a, formerEnd)
	}
	w.incarnation, w.clock, w.namedCallAt = born, 0, time.Time{} // the new process has another clock
	w.answered, w.endsReported, w.restartUnnamed = false, false, false
	w.storedEnd, w.receivedEnd, w.receivedEndFlush, w.acknowledgedEnd, w.listedEnd = 0, 0, 0, 0, 0
	w.acknowledgementDueAt, w.holdUnacknowledgedAt = time.Time{}, time.Time{}
	c.fenceEarlier(w) // the new process may have begun runs that were ordered before
	w.nextHoldAt = now
	w.holdOpen, w.probeOpen = false, false // the open calls may wait at the new process
	w.health = suspicion.Health{}
	w.drainingSince = time.Time{}
	c.recordWorker(w)
}

// watchWorker handles what changes by time alone: pacing, draining, lease expiry, overdue
// runs and the removal of workers that are gone.
func (c *Cell) watchWorker(now time.Time, w *worker) {
	c.pace(now, w)
	c.emptyDraining(now, w)
	c.closeDraining(w)
	c.recordFormerEnd(now, w)
	c.watchCrash(now, w)
	c.expireLeases(now, w)
	for _, a := range slices.Clone(w.attempts) {
		c.watchAttempt(now, a)
	}
	if !w.listed && w.unlistedAt.IsZero() {
		w.unlistedAt = now
	}
	c.dropRecord(now, w)
	if !w.listed && len(w.attempts) == 0 && now.After(c.reportDeadline(w)) && now.Sub(w.unlistedAt) > unlistedRetention && !w.holdOpen {
		w.clearExpired()
		c.removedNumber = max(c.removedNumber, w.tokens.Number())
		delete(c.workers, w.info.ID)
		c.workerList = slices.DeleteFunc(c.workerList, func(x *worker) bool { return x == w })
	}
}

// expireLeases gives up the runs of a worker that did not renew its leases before they
// expired. A run that may have completed waits for the worker's report for LateEndGrace
// longer.
func (c *Cell) expireLeases(now time.Time, w *worker) {
	leasesEnd := w.allLeasesEnd()
	if len(w.attempts) == 0 || !c.surelyExpired(now, leasesEnd) {
		return
	}
	if !w.silent() {
		if !w.missedCalls() || !slices.ContainsFunc(w.attempts, (*attempt).mayRun) {
			return
		}
		w.failures, w.silentSince = silentFailures, now
		c.workerSilent(now, w, "its leases expired while it left calls unanswered")
	}
	reportOverdue := c.surelyExpired(now, leasesEnd.Add(LateEndGrace)) && now.Sub(w.silentSince) > LateEndGrace
	if reportOverdue || !w.leasesEndLogged.Equal(leasesEnd) {
		w.leasesEndLogged = leasesEnd
		c.note(Note{Event: "leases ended", Worker: w.info.ID, Detail: "the leases of a silent worker expired"})
	}
	for _, a := range slices.Clone(w.attempts) {
		if reportOverdue || !a.mayHaveCompleted() {
			w.addExpired(a)
			a.giveUp = false // the run may have ended later than the former process
			c.loseRun(now, a, "the lease expired without a report from the worker")
		}
	}
}

// missedCalls reports whether calls have failed since the worker's last answer.
func (w *worker) missedCalls() bool {
	return w.failures > 0 || w.slowOwnerMisses > 0 || !w.unreachableSince.IsZero()
}

// mayRun reports whether the start may have been carried out.
func (a *attempt) mayRun() bool { return a.state != attemptAwaitingStore }

// mayHaveCompleted reports whether the run may have completed, so that its task must not
// be started again before the worker has reported.
func (a *attempt) mayHaveCompleted() bool {
	t := a.task
	return a.mayRun() && !t.done && t.step.atMostOnce() && !t.step.occ.job.state.Ended()
}

// atMostOnce reports whether the tasks of a step must not run again after a completed
// run. Standing tasks never complete, and speculative tasks allow copies.
func (s *step) atMostOnce() bool { return !s.Standing && !s.Speculative }

// finishRecovery ends recovery once every worker that a former owner used has reported
// its runs and their ends, or can no longer report any.
func (c *Cell) finishRecovery(now time.Time) {
	if !c.recovering {
		return
	}
	reportsEnd := c.watchUnreported(now)
	if !c.surelyExpired(now, reportsEnd) {
		return
	}
	c.recovering = false
	c.placementDue = true
	c.note(Note{Event: "recovery complete", Detail: "every worker used by a previous owner has reported, or its leases have expired"})
}

// owesReport reports whether the worker may run, or have an unreported end of, a run that
// a former owner started.
func (w *worker) owesReport() bool { return w.usedByFormer && !w.endsReported }

// mayRunUnreported reports whether a task of a step may be running at a worker that has
// not answered this owner, or may have completed there. A step that this owner began has
// run at workers that have answered only.
func (c *Cell) mayRunUnreported(now time.Time, s *step) bool {
	return c.recovering && s.released && s.releasedFlush == 0 && (s.atMostOnce() || !c.surelyExpired(now, c.unreportedEnd))
}

// mayRunElsewhere reports whether a task may have another run, at a worker that has not
// answered this owner. It must not be started then, nor stopped to be moved.
func (c *Cell) mayRunElsewhere(now time.Time, t *task) bool {
	s := t.step
	return (!t.located || s.Speculative || s.gang != nil) && c.mayRunUnreported(now, s)
}

// canMove reports whether a task may be stopped to be started at another worker.
func (c *Cell) canMove(now time.Time, t *task) bool {
	return !c.mayRunElsewhere(now, t) && c.chooseWorker(now, t) != nil
}

// formerMayAct reports whether a former owner may still order starts at a time.
func (c *Cell) formerMayAct(at time.Time) bool { return at.Before(c.formerGrantsEnd()) }

// formerGrantsEnd returns when former owners have certainly granted their last lease.
func (c *Cell) formerGrantsEnd() time.Time {
	return c.cfg.FormerLeasesEnd.Add(-MaxLeaseDuration(c.cfg.Lease))
}

// addWorker adds a worker to the map and to the list sorted by ID.
func (c *Cell) addWorker(w *worker) {
	w.tokens = fencing.StartAt(c.removedNumber)
	c.workers[w.info.ID] = w
	at, _ := slices.BinarySearchFunc(c.workerList, w, func(a, b *worker) int { return strings.Compare(a.info.ID, b.info.ID) })
	c.workerList = slices.Insert(c.workerList, at, w)
}
