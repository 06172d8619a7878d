package cell

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/admission"
	"bamboofall.example/bamboofall/internal/jobs/placement"
	"bamboofall.example/bamboofall/internal/jobs/pressure"
	"bamboofall.example/bamboofall/internal/jobs/urgency"
)

// copies bounds the runs of a task that allows copies.
const copies = 2

// place gives waiting tasks to workers.
func (c *Cell) place(now time.Time) {
	if !c.unsettled || len(c.ready) == 0 {
		return
	}
	c.unsettled = false
	c.placedAt = now
	type waitingStep struct {
		urgency.Key
		*step
	}
	steps := make([]waitingStep, 0, len(c.ready))
	fillsWait := false
	for s := range c.ready {
		steps = append(steps, waitingStep{c.urgencyOf(now, s), s})
		fillsWait = fillsWait || s.Fills
	}
	c.noteFills(now, fillsWait)
	slices.SortFunc(steps, func(a, b waitingStep) int { return a.Compare(b.Key) })
	full := make(map[fitKey]bool)
	for _, waiting := range steps {
		s := waiting.step
		if c.inDoubt && s.released {
			continue // a worker that has not answered may run its tasks
		}
		q := s.occ.job.queue
		if q == nil {
			continue
		}
		key := fitKey{q.Service, s.Size, s.Fills, s.Label, ""}
		if s.Fills {
			key.image = s.Image
		}
		if s.plain() && full[key] {
			continue
		}
		if s.gang != nil {
			c.placeGang(now, s)
			continue
		}
		if !c.placeStep(now, s) && s.plain() {
			full[key] = true
		}
	}
}

// fitKey names what decides whether a plain task finds room.
type fitKey struct {
	service string
	size    bamboofall.Resources
	fills   bool
	label   string
	// image is set for tasks that fill: where they may go depends on it.
	image string
}

// plain reports whether only the size and the label of a task bind where it goes.
func (s *step) plain() bool { return s.MaxPerWorker == 0 && s.gang == nil }

// urgencyOf returns the place of a step in the order of waiting.
func (c *Cell) urgencyOf(now time.Time, s *step) urgency.Key {
	j := s.occ.job
	k := urgency.Key{Due: j.due, Name: string(j.ID)}
	if j.queue != nil {
		k.Priority = j.queue.Priority
	}
	if !s.Standing && j.Repetitions == 0 {
		ratio := 1.0
		if s.Estimate > 0 {
			ratio = float64(c.expected(s)) / float64(s.Estimate)
		}
		k.Tier = urgency.TierOf(now, j.accepted, j.due, time.Duration(ratio*float64(j.remaining[s.index])))
	}
	return k
}

// fillsSample is the time between looks at what fills use, and fillsWeight the
// weight of a look.
const (
	fillsSample = 200 * time.Millisecond
	fillsWeight = 0.15
)

// noteFills learns how many processors tasks that fill get while some wait.
func (c *Cell) noteFills(now time.Time, wait bool) {
	if now.Sub(c.fillsAt) < fillsSample {
		return
	}
	c.fillsAt = now
	if !wait {
		c.fillsGot = 0
		return
	}
	used := int64(0)
	for _, w := range c.order {
		used += w.fillCPU
	}
	if c.fillsGot == 0 {
		c.fillsGot = float64(used)
	}
	c.fillsGot += fillsWeight * (float64(used) - c.fillsGot)
}

// placeStep places the waiting tasks of a step. It reports false if one found
// no room.
func (c *Cell) placeStep(now time.Time, s *step) bool {
	fits := true
	waiting := s.waiting[:0]
	for _, t := range s.waiting {
		if t.done || len(t.attempts) >= copies {
			t.queued = false
			continue
		}
		var w *worker
		if fits {
			w = c.choose(now, t)
		}
		if w == nil {
			fits = false
			waiting = append(waiting, t)
			continue
		}
		t.queued = false
		if s.SameRack && s.rack == "" {
			s.rack = w.rack()
		}
		c.start(now, w, t, c.nextRun(t))
	}
	s.waiting = waiting
	if len(waiting) == 0 {
		delete(c.ready, s)
	}
	return fits
}

// placeGang places all tasks of a gang or none.
func (c *Cell) placeGang(now time.Time, s *step) {
	for i := range s.tasks {
		if len(s.tasks[i].attempts) > 0 {
			return // the former run has not ended everywhere
		}
	}
	if len(s.waiting) < s.left {
		return
	}
	run := s.gang.run
	chosen := make([]*worker, 0, len(s.tasks))
	var trial []*attempt
	for i := range s.tasks {
		run = max(run, c.nextRun(&s.tasks[i])-1)
	}
	run++
	for i := range s.tasks {
		w := c.choose(now, &s.tasks[i])
		if w == nil {
			break
		}
		chosen = append(chosen, w)
		if s.SameRack && s.rack == "" {
			s.rack = w.rack()
		}
		trial = append(trial, c.reserve(w, &s.tasks[i], run))
	}
	for _, a := range trial {
		c.release(a)
	}
	if len(chosen) < len(s.tasks) {
		s.rack = ""
		return
	}
	c.dequeue(s)
	s.gang.run = run
	for i, w := range chosen {
		c.start(now, w, &s.tasks[i], run)
	}
}

// choose returns the best worker for a task, or nil.
func (c *Cell) choose(now time.Time, t *task) *worker {
	var best *worker
	bestScore := 0.0
	s := t.step
	rack := s.Rack
	if s.rack != "" {
		rack = s.rack
	}
	kind := placement.Normal
	switch {
	case s.Fills:
		kind = placement.Filling
	case s.TailTarget > 0:
		kind = placement.Serving
	}
	for i, w := range c.order {
		if !c.fits(now, t, w) {
			continue
		}
		view := placement.Worker{
			Room: w.info.Room, Free: w.free(), OnRack: rack != "" && w.rack() == rack,
			Rank:  float64(i) / float64(len(c.order)),
			Doubt: w.health.Failures(), Slow: w.health.slow,
		}
		if kind == placement.Serving {
			view.SameImage, view.OtherImage = w.servesImage(s.Image)
		}
		if kind != placement.Normal {
			view.Tail = c.expectedTail(now, w, s)
			if kind == placement.Filling && view.Tail > maxExpectedTail {
				continue
			}
		}
		score := placement.Score(kind, s.Size, view)
		if t.lastWorker == w.info.ID {
			score -= 10
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// servingUse is the share of its processors that a standing task uses at most
// for long: a load of 0.45 that swings by a half.
const servingUse = 0.6

// unusedCPU returns the processors that are left for tasks that fill.
func (w *worker) unusedCPU() int64 {
	return w.free().MilliProcessors + int64((1-servingUse)*float64(w.standingCPU))
}

// servesImage reports whether tasks of an image serve at a worker, and tasks of
// other images.
func (w *worker) servesImage(image string) (same, other bool) {
	same = w.serving[image] > 0
	return same, len(w.serving) > 1 || len(w.serving) == 1 && !same
}

// maxExpectedTail is the expected tail, as a share of its target, up to which a
// task that fills is placed.
const maxExpectedTail = 0.8

// expectedTail returns the largest tail that is expected at a worker with one
// more task of a step, as a share of its target.
func (c *Cell) expectedTail(now time.Time, w *worker, s *step) float64 {
	own := w.share(s.Size.MilliProcessors)
	neighbour := pressure.Neighbour{Image: s.Image, Serves: !s.Fills}
	worst := 0.0
	for _, t := range c.expectedTails(now, w) {
		worst = max(worst, t.tail+own*c.pressure.Pressure(t.image, neighbour))
	}
	if s.TailTarget > 0 {
		worst = max(worst, c.expect(s.Image, w.shares()))
	}
	return worst
}

// expectedTail is the tail that is expected of an image at a worker.
type expectedTail struct {
	image string
	tail  float64
}

// tailsFor is how long expected tails are used before they are worked out again.
const tailsFor = 300 * time.Millisecond

// expectedTails returns the tails that are expected at a worker.
func (c *Cell) expectedTails(now time.Time, w *worker) []expectedTail {
	if len(w.serving) == 0 {
		return nil
	}
	if w.tails != nil && now.Sub(w.tailsAt) < tailsFor {
		return w.tails
	}
	w.tailsAt = now
	w.tails = w.tails[:0]
	shares := w.shares()
	for image := range w.serving {
		w.tails = append(w.tails, expectedTail{image, c.expect(image, shares)})
	}
	return w.tails
}

// expect returns the tail of an image beside what uses a worker.
func (c *Cell) expect(image string, shares pressure.Shares) float64 {
	tail := c.pressure.Alone(image)
	for n, share := range shares {
		tail += share * c.pressure.Pressure(image, n)
	}
	return tail
}

// shares returns the shares of a worker's processors that are given to images.
func (w *worker) shares() pressure.Shares {
	shares := w.servingShares()
	for image, cpu := range w.filling {
		shares[pressure.Neighbour{Image: image}] = w.share(cpu)
	}
	return shares
}

// servingShares returns the shares that are given to images that serve.
func (w *worker) servingShares() pressure.Shares {
	shares := make(pressure.Shares, len(w.filling)+len(w.serving))
	for image, cpu := range w.serving {
		shares[pressure.Neighbour{Image: image, Serves: true}] = w.share(cpu)
	}
	return shares
}

// share returns processors as a share of the worker's.
func (w *worker) share(milliProcessors int64) float64 {
	return float64(milliProcessors) / float64(w.info.Room.MilliProcessors)
}

// usedShares returns the shares that images use now, as far as that is known.
func (w *worker) usedShares() pressure.Shares {
	shares := w.servingShares()
	for _, a := range w.attempts {
		if a.task.step.Fills && a.gauge > 0 {
			shares[pressure.Neighbour{Image: a.task.step.Image}] += w.share(a.gauge)
		}
	}
	return shares
}

// fits reports whether a task may start at a worker now.
func (c *Cell) fits(now time.Time, t *task, w *worker) bool {
	s := t.step
	if !w.listed || !w.synced || w.silent() || w.info.Draining || w.info.Service != s.occ.job.queue.Service {
		return false
	}
	free := w.free()
	if s.Fills {
		free.MilliProcessors = w.unusedCPU() - w.fillCPU
	}
	if !s.Size.Fits(free) || !w.health.takes(now) {
		return false
	}
	if s.Label != "" && !slices.Contains(w.info.Labels, s.Label) {
		return false
	}
	for _, a := range t.attempts {
		if a.worker == w {
			return false
		}
	}
	if s.MaxPerWorker == 0 {
		return true
	}
	here := 0
	for _, a := range w.attempts {
		if a.task.step == s {
			here++
		}
	}
	return here < s.MaxPerWorker
}

// Refusal says why a job was not accepted.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// Reasons of a refusal.
const (
	ReasonBacklog = "backlog"
	ReasonAdvice  = "adviceNotSupported"
	ReasonQueue   = "noSuchQueue"
)

// Submit decides on a job. It returns the flush that makes it durable, or why
// it is refused.
func (c *Cell) Submit(now time.Time, spec *bamboofall.Job, mustAccept bool) (uint64, *Refusal) {
	if j := c.jobs[spec.ID]; j != nil {
		return j.storedAt, nil
	}
	q := c.queues[spec.Queue]
	if q == nil && !mustAccept {
		return 0, &Refusal{Reason: ReasonQueue}
	}
	if q != nil && q.NeedsAdvice && !mustAccept {
		// Starts without a ticket are rejected, and tickets are not built yet.
		return 0, &Refusal{Reason: ReasonAdvice, RetryAfter: admission.MaxRetry}
	}
	j := newJob(spec, q, now)
	load, work, d := c.judge(now, j)
	if !d.Accept && !mustAccept {
		c.counters.Refused++
		c.note(Note{Event: "refused", Job: j.ID, Detail: fmt.Sprintf(
			"queue %s, %v of work ahead on %d milliprocessors, wait %v, retry after %v", q.Name,
			load.Ahead.Round(time.Second), load.MilliProcessors, d.Wait.Round(time.Millisecond), d.RetryAfter.Round(time.Millisecond))})
		return 0, &Refusal{Reason: ReasonBacklog, RetryAfter: d.RetryAfter}
	}
	c.counters.Accepted++
	c.jobs[j.ID] = j
	c.pending.add(j)
	if spec.Repetitions > 0 {
		c.timed[j] = true
		c.dueOccurrences(now)
	} else {
		j.nextDue = 1
		c.open(now, j.begin(0))
	}
	c.note(Note{Event: "accepted", Job: j.ID, Detail: fmt.Sprintf(
		"queue %s, steps %s, %v of work, %v ahead on %d milliprocessors, due in %v", spec.Queue, describe(spec), work.Round(time.Millisecond),
		load.Ahead.Round(time.Second), load.MilliProcessors, j.due.Sub(now).Round(time.Millisecond))})
	return j.storedAt, nil
}

// judge weighs a job against the load.
func (c *Cell) judge(now time.Time, j *job) (admission.Load, time.Duration, admission.Decision) {
	var l admission.Load
	if j.queue == nil || j.Repetitions > 0 {
		return l, 0, admission.Decision{Accept: true}
	}
	var roomOfAll, reserved int64
	fills := slices.ContainsFunc(j.Steps, func(s bamboofall.Step) bool { return s.Fills })
	for _, w := range c.order {
		// A worker that this owner has not heard yet is taken as it is announced.
		if !w.listed || w.silent() || w.info.Draining || w.info.Service != j.queue.Service {
			continue
		}
		room := w.info.Room.MilliProcessors
		free := w.free().MilliProcessors
		standing := w.standingCPU
		roomOfAll += room
		reserved += standing
		if fills {
			standing = int64(servingUse * float64(standing))
			free = w.unusedCPU()
		}
		l.MilliProcessors += room - standing
		l.FreeMilliProcessors += max(0, free-w.fillCPU)
	}
	if fills && c.fillsGot > 0 {
		// Interference leaves less to tasks that fill than is unused.
		l.MilliProcessors = min(l.MilliProcessors, int64(c.fillsGot))
		l.FreeMilliProcessors = 0
	}
	for _, other := range c.jobs {
		if !other.state.Ended() && other.queue != nil && other.queue.Service == j.queue.Service && c.goesBefore(now, other, j) {
			l.Ahead += c.remaining(now, other)
		}
	}
	var own admission.Job
	standing := false
	for i := range j.Steps {
		s := &j.Steps[i]
		standing = standing || s.Standing
		own.Work += workOf(s.Size, s.Estimate) * time.Duration(s.Count)
		if len(s.After) == 0 {
			own.FirstMilliProcessors += s.Size.MilliProcessors * int64(s.Count)
		}
	}
	if standing {
		own.Work = 0
		if float64(reserved+own.FirstMilliProcessors) > standingCap*float64(roomOfAll) && own.FirstMilliProcessors > 0 {
			return l, 0, admission.Decision{RetryAfter: admission.MaxRetry}
		}
	}
	own.Chain = j.chain
	own.Until = urgency.LateFactor * j.due.Sub(now)
	return l, own.Work, admission.Decide(l, own)
}

// standingCap is the share of the processors that standing tasks may reserve.
// Beyond it urgent work finds no room for minutes.
const standingCap = 0.85

// goesBefore reports whether the work of a job is placed before that of a new
// one: it is more urgent, or as urgent, nearer to its objective and in time.
func (c *Cell) goesBefore(now time.Time, j, later *job) bool {
	if j.queue.Priority != later.queue.Priority {
		return j.queue.Priority < later.queue.Priority
	}
	if j.due.After(later.due) {
		return false
	}
	left := time.Duration(0)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.left > 0 && s.waitsFor == 0 {
				left = max(left, j.remaining[s.index])
			}
		}
	}
	return urgency.TierOf(now, j.accepted, j.due, left) == urgency.InTime
}

// workOf returns processor time: whole processors times run time.
func workOf(size bamboofall.Resources, d time.Duration) time.Duration {
	return time.Duration(float64(size.MilliProcessors) / 1000 * float64(d))
}

// remaining returns the processor time that a job still needs. Standing tasks
// count as room that is gone, not as work.
func (c *Cell) remaining(now time.Time, j *job) time.Duration {
	total := time.Duration(0)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.Standing || s.left == 0 {
				continue
			}
			expected := c.expected(s)
			total += workOf(s.Size, expected) * time.Duration(s.left)
			for i := range s.tasks {
				for _, a := range s.tasks[i].attempts {
					if a.state == attemptRunning && !s.tasks[i].done {
						total -= workOf(s.Size, min(now.Sub(a.startedAt), expected*8/10))
					}
				}
			}
		}
	}
	return max(total, 0)
}

// Cancel cancels a job. It returns the flush that makes it durable and false if
// the job is not known.
func (c *Cell) Cancel(now time.Time, id bamboofall.JobID) (uint64, bool) {
	j := c.jobs[id]
	if j == nil {
		return 0, false
	}
	if !j.state.Ended() {
		c.finish(now, j, bamboofall.JobCancelled, "asked by the caller")
	}
	return j.storedAt, true
}

// CancelAhead cancels a job whose submission may not have arrived yet, so that
// it never runs. It returns the flush that makes it durable.
func (c *Cell) CancelAhead(now time.Time, id bamboofall.JobID) uint64 {
	if c.jobs[id] == nil {
		c.jobs[id] = newJob(&bamboofall.Job{ID: id}, nil, now)
	}
	flush, _ := c.Cancel(now, id)
	return flush
}

// Lookup returns the state of a job as the store has it.
func (c *Cell) Lookup(id bamboofall.JobID) (bamboofall.JobState, bool) {
	j := c.jobs[id]
	if j == nil || j.storedAt > c.pending.stored && c.pending.specs[id] != nil {
		return 0, false
	}
	if j.shown == bamboofall.JobQueued && j.started {
		return bamboofall.JobRunning, true
	}
	return j.shown, true
}

// Pending returns the number of jobs of a queue of which no task was started.
func (c *Cell) Pending(queue string) int {
	n := 0
	for _, j := range c.jobs {
		if j.Job.Queue == queue && !j.started && !j.state.Ended() {
			n++
		}
	}
	return n
}

// describe sums up the steps of a job for the log.
func describe(spec *bamboofall.Job) string {
	var b strings.Builder
	for i := range spec.Steps {
		s := &spec.Steps[i]
		fmt.Fprintf(&b, "[%dx%dm %v", s.Count, s.Size.MilliProcessors, s.Estimate)
		for _, flag := range []struct {
			name string
			set  bool
		}{
			{"gang", s.Gang}, {"sameRack", s.SameRack}, {"speculative", s.Speculative}, {"standing", s.Standing}, {"fills", s.Fills},
			{"checkpointing", s.Checkpointing}, {s.Label, s.Label != ""}, {"near " + s.Rack, s.Rack != ""},
			{fmt.Sprintf("apart %d", s.MaxPerWorker), s.MaxPerWorker > 0}, {"image " + s.Image, s.Image != ""},
		} {
			if flag.set {
				b.WriteString(" " + flag.name)
			}
		}
		b.WriteString("]")
	}
	return b.String()
}
