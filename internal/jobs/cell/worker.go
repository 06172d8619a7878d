package cell

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
)

const (
	// stopRetryInterval is the time after which a stop is ordered again.
	stopRetryInterval = 400 * time.Millisecond
	// unlistedRetention is how long a worker is kept that is no longer listed: entries
	// that lapsed while the store was away come back within two seconds.
	unlistedRetention = 5 * time.Second
	// UnseenEnds is how long after the end of its leases a silent worker may still
	// tell of runs that ended as done: cuts last up to 9 s.
	UnseenEnds = 6 * time.Second
	// silentFailures is how many calls must fail before a worker gets no new work.
	silentFailures = 1
)

// worker is one address of a worker through its lives.
type worker struct {
	info bamboofall.Worker
	// incarnation is the life that attempts belong to.
	incarnation time.Time
	// listed is set while the platform lists the worker.
	listed     bool
	unlistedAt time.Time
	// recorded is set while a record says that tasks may run here. A new owner
	// is in doubt about tasks until all recorded workers have answered.
	recorded    bool
	recordFlush uint64
	// recordClosed is set while the record lists what may run here, and nothing else may
	// be started.
	recordClosed bool

	// attempts are in the order in which they were placed.
	attempts []*attempt
	// used is what normal tasks reserve; fills use fillCPU beside it. The part
	// of standing tasks is standingCPU.
	used                       bamboofall.Resources
	bestEffortCPU, standingCPU int64
	// serving and bestEffort are the processors by image of tasks with a tail
	// latency to keep and of tasks that fill.
	serving, bestEffort imageCPUs
	// cachedTails are the expected cachedTails at tailsAt. They are dropped when tasks come
	// or go.
	cachedTails []expectedTail
	tailsAt     time.Time
	// tailsRenewedAt is when tails were last taken to leave more to tasks that fill.
	tailsRenewedAt time.Time

	// answered is set once this life has answered this owner, usedByFormer while this
	// life may run what a usedByFormer owner has started.
	answered, usedByFormer bool
	// endsReported is set once this life has listed all its ends in one answer.
	endsReported bool
	// clock is the worker's clock at clockAt.
	clock   time.Duration
	clockAt time.Time
	// leasesEnd is when all that this owner granted has ended for certain.
	leasesEnd time.Time
	// leasesEndLogged is the end of leases that was last noted.
	leasesEndLogged time.Time

	// holdQueued is set while the worker is among those to look at.
	holdQueued bool
	// holdOpen is set while a call that may wait is under way, probeOpen while one
	// beside it is that does not.
	holdOpen, probeOpen  bool
	nextHoldAt, probedAt time.Time
	failures             int
	// slowOwnerMisses is how many calls have failed in a row while the owner was slow.
	slowOwnerMisses int
	// unreachableSince is when a call first failed at a carrier since the last answer.
	unreachableSince time.Time
	// silentSince is when the first of these calls failed.
	silentSince time.Time
	// storedEnd is the last end that is stored, receivedEnd the last that was taken in.
	storedEnd, receivedEnd uint64
	receivedEndFlush       uint64
	// inUnstoredEnds is set while the worker is asked again once its ends are stored.
	inUnstoredEnds bool
	// acknowledgedEnd is the last end that a hold order has named as stored.
	acknowledgedEnd uint64
	health          health
	// lastGain is when tasks last came to fit here that did not before, pausing is
	// set while that waits for the end of a pause, wasUsable as last seen.
	lastGain           uint64
	avoided, wasUsable bool
	callHistory
	// drainingSince is when the worker was first seen to leave.
	drainingSince time.Time
	// tailsObservedAt is when tails were last taken into account, tailsWithinTargetAt since
	// when one has been over its target.
	tailsObservedAt, tailsWithinTargetAt time.Time
}

func newWorker(info bamboofall.Worker) *worker {
	return &worker{info: info, incarnation: info.Born}
}

// updateTotals adds an attempt to the sums of its worker, or takes it off.
func (w *worker) updateTotals(a *attempt, sign int64) {
	size, s := a.reservation(), a.task.step
	w.cachedTails = nil
	if sign < 0 {
		w.used = w.used.Sub(size)
	} else {
		w.used = w.used.Add(size)
	}
	if s.Standing {
		w.standingCPU += sign * size.MilliProcessors
	}
	if s.Fills {
		w.bestEffortCPU += sign * s.Size.MilliProcessors
		w.bestEffort.add(s.Image, sign*s.Size.MilliProcessors)
	}
	if s.TailTarget > 0 {
		w.serving.add(s.Image, sign*s.Size.MilliProcessors)
	}
}

func (w *worker) free() bamboofall.Resources { return w.info.Room.Sub(w.used) }

func (w *worker) rack() string {
	for _, l := range w.info.Labels {
		if len(l) > 1 && l[0] == 'r' && l[1] >= '0' && l[1] <= '9' {
			return l
		}
	}
	return ""
}

func (w *worker) silent() bool { return w.failures >= silentFailures }

// usable reports whether a worker may be given work.
func (w *worker) usable() bool {
	return w.listed && w.answered && !w.silent() && !w.info.Draining
}

// LeaseBound returns how long a lease can last at a worker whose clock is slow,
// from the time at which it is granted.
func LeaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-clockDrift)) + leaseMargin
}

// grantLease returns the end of a lease that begins now, on the worker's clock, and
// notes it. The clock is taken as slow since it was last seen, so that the lease
// does not last longer than its bound.
func (c *Cell) grantLease(now time.Time, w *worker) time.Duration {
	if end := now.Add(LeaseBound(c.cfg.Lease)); end.After(w.leasesEnd) {
		w.leasesEnd = end
	}
	age := now.Sub(w.clockAt)
	return w.clock + time.Duration(float64(age)*(1-clockDrift)) + c.cfg.Lease
}

// SetWorker takes over the announcement of a worker.
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
	c.noteGain(w)
	if info.Born.After(w.incarnation) {
		c.restarted(now, w, info.Born)
	} else if info.Born.Before(w.incarnation) {
		return // an announcement of an earlier life
	}
	w.info = info
	if !info.Draining && !w.recorded {
		c.recordWorker(w)
	}
	c.noteGain(w)
}

// recordWorker makes the life of a worker durable before anything is started there.
func (c *Cell) recordWorker(w *worker) {
	c.pending.workers[w.info.ID] = w
	delete(c.pending.deleted, keyWorker+w.info.ID)
	w.recordFlush = c.pending.nextFlush
	w.recorded, w.recordClosed = true, false
}

// closeRecord records what may run at a worker that has fallen silent, so that a new
// owner is in doubt about these tasks only. An owner that has not heard all from the
// worker does not know them.
func (c *Cell) closeRecord(w *worker) {
	if !w.recorded || !w.answered || w.owesReport() {
		return
	}
	c.recordWorker(w)
	w.recordClosed = true
}

// encodeWorker returns the record of a worker.
func encodeWorker(w *worker) *jobpb.Worker {
	m := &jobpb.Worker{Address: w.info.Address.String(), BornUnixMs: unixMS(w.incarnation), Silent: w.recordClosed}
	if !w.recordClosed {
		return m
	}
	for _, a := range w.attempts {
		if a.state != attemptAwaitingStore {
			m.Runs = append(m.Runs, &jobpb.Run{Task: a.task.name().String(), Number: a.run})
		}
	}
	return m
}

// dropRecord removes the record of a worker at which nothing runs and nothing
// will be started, so that a new owner need not wait for its answer.
func (c *Cell) dropRecord(now time.Time, w *worker) {
	leaving := !w.listed || w.info.Draining
	if !w.recorded || !leaving || len(w.attempts) > 0 || !w.answered && !now.After(w.reportDeadline()) {
		return
	}
	delete(c.pending.workers, w.info.ID)
	c.pending.deleted[keyWorker+w.info.ID] = true
	w.recorded = false
}

// RemoveWorker takes over that a worker is no longer listed. It may still run.
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
		WorkerRef: bamboofall.WorkerRef{ID: id, Address: address}, Born: fromUnixMS(m.GetBornUnixMs()),
	})
	w.leasesEnd = c.cfg.FormerLeases
	w.recorded, w.recordClosed, w.usedByFormer = true, m.GetSilent(), !m.GetSilent()
	c.addWorker(w)
	return nil
}

// restoreRuns takes over what may run at a worker that was silent.
func (c *Cell) restoreRuns(now time.Time, w *worker, runs []*jobpb.Run) error {
	for _, r := range runs {
		name, err := bamboofall.ParseTaskName(r.GetTask())
		if err != nil {
			return err
		}
		t := c.findTask(name)
		if t == nil || t.done {
			continue // it needs no run
		}
		a := c.reserve(w, t, r.GetNumber())
		t.lastRun = max(t.lastRun, a.run)
		a.state = attemptUnknown
		a.startedAt, a.unknownSince = now, now
		c.unqueue(t)
	}
	return nil
}

// restarted notes that a new life of a worker has begun: what ran is gone, but not
// what is still to start.
func (c *Cell) restarted(now time.Time, w *worker, born time.Time) {
	if !w.incarnation.IsZero() {
		c.note(Note{Event: "worker reborn", Worker: w.info.ID, Detail: "born " + born.UTC().Format(time.RFC3339Nano)})
	}
	w.leasesEnd = time.Time{}
	for _, a := range slices.Clone(w.attempts) {
		if a.state == attemptStarting || a.state == attemptUnknown {
			// Its start may be under way, and the new life may carry it out.
			a.unknownSince, a.stopConfirmedAt = now, time.Time{}
			w.leasesEnd = now.Add(LeaseBound(c.cfg.Lease))
			continue
		}
		c.loseRun(now, a, "the worker started again")
	}
	w.incarnation = born
	w.info.Born = born
	w.answered, w.usedByFormer, w.endsReported = false, false, false
	w.storedEnd, w.receivedEnd, w.receivedEndFlush, w.acknowledgedEnd = 0, 0, 0, 0
	w.nextHoldAt = now
	w.health = health{}
	w.drainingSince = time.Time{}
	c.recordWorker(w)
}

// watchWorker drops what only time ends: leases, and workers that are gone.
func (c *Cell) watchWorker(now time.Time, w *worker) {
	c.pace(now, w)
	c.evacuate(now, w)
	c.expireLeases(now, w)
	for _, a := range slices.Clone(w.attempts) {
		c.watchAttempt(now, a)
	}
	if !w.listed && w.unlistedAt.IsZero() {
		w.unlistedAt = now
	}
	c.dropRecord(now, w)
	if !w.listed && len(w.attempts) == 0 && now.After(w.reportDeadline()) && now.Sub(w.unlistedAt) > unlistedRetention && !w.holdOpen {
		delete(c.workers, w.info.ID)
		c.workerList = slices.DeleteFunc(c.workerList, func(x *worker) bool { return x == w })
	}
}

// expireLeases takes off the runs of a silent worker whose leases have ended. A run
// that may have ended as done waits for the worker to tell, but not for ever.
func (c *Cell) expireLeases(now time.Time, w *worker) {
	if len(w.attempts) == 0 || !w.silent() || !c.surelyExpired(now, w.leasesEnd) {
		return
	}
	reportOverdue := c.surelyExpired(now, w.leasesEnd.Add(UnseenEnds)) && now.Sub(w.silentSince) > UnseenEnds
	if reportOverdue || !w.leasesEndLogged.Equal(w.leasesEnd) {
		w.leasesEndLogged = w.leasesEnd
		c.note(Note{Event: "leases ended", Worker: w.info.ID, Detail: "the worker did not answer"})
	}
	for _, a := range slices.Clone(w.attempts) {
		if reportOverdue || !a.mayHaveCompleted() {
			c.loseRun(now, a, "the lease ended unseen")
		}
	}
}

// mayHaveCompleted reports whether the run of an attempt may have ended as done, so that
// its task must not be begun again before its worker has told.
func (a *attempt) mayHaveCompleted() bool {
	t := a.task
	return a.state != attemptAwaitingStore && !t.done && t.step.atMostOnce() && !t.step.occ.job.state.Ended()
}

// atMostOnce reports whether a task of a step must not be begun again once a run of
// it is done. Standing tasks never are, and others may allow copies.
func (s *step) atMostOnce() bool { return !s.Standing && !s.Speculative }

// finishRecovery ends the doubt about released tasks once every worker that a former
// owner used has told what it runs and what has ended there, or none can any more.
func (c *Cell) finishRecovery(now time.Time) {
	if !c.recovering {
		return
	}
	if !c.surelyExpired(now, c.cfg.FormerLeases.Add(UnseenEnds)) && slices.ContainsFunc(c.workerList, (*worker).owesReport) {
		return
	}
	c.recovering = false
	c.placementDue = true
	c.note(Note{Event: "recovery complete", Detail: "every worker has answered or its leases have ended"})
}

// owesReport reports whether a worker may run, or list as done, what a former
// owner has started there.
func (w *worker) owesReport() bool { return w.usedByFormer && !w.endsReported }

// mayRunUnreported reports whether a task of a step may run at a worker that has not
// answered this owner, or may have ended there as done.
func (c *Cell) mayRunUnreported(now time.Time, s *step) bool {
	return c.recovering && s.released && (s.atMostOnce() || !c.surelyExpired(now, c.cfg.FormerLeases))
}

// reportDeadline returns the time from which a worker can tell nothing of what was
// started there.
func (w *worker) reportDeadline() time.Time {
	if w.owesReport() {
		return w.leasesEnd.Add(UnseenEnds)
	}
	return w.leasesEnd
}

// addWorker adds a worker to the map and to the ordered list.
func (c *Cell) addWorker(w *worker) {
	c.workers[w.info.ID] = w
	at, _ := slices.BinarySearchFunc(c.workerList, w, func(a, b *worker) int { return strings.Compare(a.info.ID, b.info.ID) })
	c.workerList = slices.Insert(c.workerList, at, w)
}
