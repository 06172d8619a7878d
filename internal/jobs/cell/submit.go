package cell

import (
	"fmt"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/admission"
	"bamboofall.example/bamboofall/internal/jobs/callercost"
	"bamboofall.example/bamboofall/internal/jobs/jobspec"
	"bamboofall.example/bamboofall/internal/jobs/urgency"
)

// Refusal gives the reason why a job was not accepted.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// Reasons for a refusal, besides those of package admission.
const (
	ReasonBacklog       = "backlog"
	ReasonStandingShare = "standingTasksHaveTheirShare"
	ReasonNoSuchQueue   = "noSuchQueue"
	ReasonEvacuated     = "evacuated"
)

// Submit accepts or refuses a job. It returns the flush that makes an accepted job
// durable, or the refusal.
func (c *Cell) Submit(now time.Time, spec *bamboofall.Job) (uint64, *Refusal) {
	return c.submit(now, spec, c.queues[spec.Queue], false)
}

// SubmitAccepted is Submit for a job that was accepted before, and never refuses. Its queue
// has the configured settings, or the given ones, which may be nil, if the queue is not
// configured here: the job may have been accepted by an earlier or a later configuration.
func (c *Cell) SubmitAccepted(now time.Time, spec *bamboofall.Job, settings *bamboofall.Queue) uint64 {
	q := c.queues[spec.Queue]
	if q == nil && c.jobs[spec.ID] == nil {
		q = settings
		c.note(Note{Event: "queue not configured", Job: spec.ID, Detail: fmt.Sprintf("queue %s, accepted with its settings: %t", spec.Queue, settings != nil)})
	}
	flush, _ := c.submit(now, spec, q, true)
	return flush
}

// submit submits a job with the settings of its queue. With mustAccept it never refuses.
func (c *Cell) submit(now time.Time, spec *bamboofall.Job, q *bamboofall.Queue, mustAccept bool) (uint64, *Refusal) {
	if j := c.jobs[spec.ID]; j != nil {
		if !mustAccept {
			return j.submittedFlush(), nil
		}
		j.promised = true
		return j.stateFlush, nil
	}
	if q == nil && !mustAccept {
		return 0, &Refusal{Reason: ReasonNoSuchQueue}
	}
	if q != nil && !mustAccept {
		if reason := admission.UnservableReason(q); reason != "" {
			return 0, &Refusal{Reason: reason, RetryAfter: admission.MaxRetryAfter}
		}
	}
	if !mustAccept {
		if refusal := c.roomRefusal(now, spec); refusal != nil {
			return 0, refusal
		}
	}
	j := c.newJob(spec, q, now)
	j.promised = mustAccept
	v := c.evaluate(now, j)
	if !v.Accept && !mustAccept {
		c.counters.Refused++
		c.note(Note{Event: "refused", Job: j.ID, Detail: fmt.Sprintf(
			"%s: queue %s, %v of processor time ahead on %d milliprocessors, %sstanding tasks reserve %d of %d, expected wait %v, retry after %v", v.reason, q.Name,
			v.load.WorkAhead.Round(time.Second), v.load.MilliProcessors, describeStarts(v.load), v.standing, v.room, v.Wait.Round(time.Millisecond), v.RetryAfter.Round(time.Millisecond))})
		return 0, &Refusal{Reason: v.reason, RetryAfter: v.RetryAfter}
	}
	c.counters.Accepted++
	c.jobs[j.ID] = j
	c.addOpen(j)
	c.updateMeanWork(j)
	c.pending.add(j)
	j.specFlush = j.stateFlush
	if spec.Repetitions > 0 {
		c.recurring[j] = true
		c.openDueOccurrences(now)
	} else {
		j.nextOccurrence = 1
		c.openReadySteps(now, j.openOccurrence(0))
	}
	c.countBytes(now, j)
	c.note(Note{Event: "accepted", Job: j.ID, Detail: fmt.Sprintf(
		"queue %s, steps %s, processor time %v, %v ahead on %d milliprocessors, due in %v", spec.Queue, jobspec.Describe(spec), v.work.Round(time.Millisecond),
		v.load.WorkAhead.Round(time.Second), v.load.MilliProcessors, j.due.Sub(now).Round(time.Millisecond))})
	return j.stateFlush, nil
}

// describeStarts describes the starts ahead if the owner limits them.
func describeStarts(l admission.Load) string {
	if l.StartsPerSecond <= 0 {
		return ""
	}
	return fmt.Sprintf("%d starts ahead at %.0f per second, ", l.StartsAhead, l.StartsPerSecond)
}

// admissionVerdict is an admission decision with its inputs.
type admissionVerdict struct {
	admission.Decision
	load admission.Load
	// work is the processor time of the job.
	work time.Duration
	// standing is the CPU that standing tasks reserve and room the CPU of all workers, in
	// milliprocessors.
	standing, room int64
	reason         string
}

// evaluate makes the admission decision for a job.
func (c *Cell) evaluate(now time.Time, j *job) admissionVerdict {
	v := admissionVerdict{reason: ReasonBacklog}
	l := &v.load
	if j.queue == nil || j.Repetitions > 0 {
		v.Accept = true
		return v
	}
	for _, w := range c.workerList {
		if !w.countsAsRoom() || w.info.Service != j.queue.Service {
			continue
		}
		room := w.info.Room.MilliProcessors
		free := w.free().MilliProcessors
		standing := w.standingCPU
		v.room += room
		v.standing += standing
		if standing > room {
			continue
		}
		if j.bestEffort {
			standing = int64(standingUtilization * float64(standing))
			free = w.unusedCPU()
		}
		l.MilliProcessors += room - standing
		l.FreeMilliProcessors += max(0, free-w.bestEffortCPU)
	}
	if bound, known := c.bestEffortBound(); known && j.bestEffort {
		// The bounds on tail latency leave best-effort tasks less than the unused CPU.
		l.MilliProcessors = min(l.MilliProcessors, int64(bound))
		l.FreeMilliProcessors = 0
	}
	for _, other := range c.open {
		if other.work > 0 && other.queue != nil && other.queue.Service == j.queue.Service && c.placedBefore(now, other, j) {
			l.WorkAhead += c.remainingWork(now, other)
			if other.queue.Priority == j.queue.Priority {
				remaining, _ := startsToMake(other)
				l.StartsAhead += remaining
			}
		}
	}
	if perSecond, limited := c.startRate(j.queue.Priority); limited {
		l.StartsPerSecond = perSecond
	}
	if v.room == 0 && c.allEvacuated(j.queue.Service) {
		v.reason, v.RetryAfter = ReasonEvacuated, evacuatedRetryAfter
		return v
	}
	own := admission.Job{Work: j.work}
	standing := false
	for i := range j.Steps {
		s := &j.Steps[i]
		standing = standing || s.Standing
		own.Starts += s.Count
		if len(s.After) == 0 {
			own.FirstMilliProcessors += s.Size.MilliProcessors * int64(s.Count)
		}
	}
	if standing {
		own.Work, own.Starts = 0, 0
		if float64(v.standing+own.FirstMilliProcessors) > maxStandingShare*float64(v.room) && own.FirstMilliProcessors > 0 {
			v.reason, v.RetryAfter = ReasonStandingShare, admission.MaxRetryAfter
			return v
		}
	}
	own.CriticalPath = j.criticalPath
	own.TimeToDue = j.due.Sub(now)
	own.TimeToExpiry = callercost.LateFactor * j.due.Sub(now)
	v.work, v.Decision = own.Work, admission.Decide(v.load, own)
	return v
}

// maxStandingShare is the fraction of the CPU that standing tasks may reserve. Above it
// urgent jobs find no capacity for minutes.
const maxStandingShare = 0.85

// placedBefore reports whether the tasks of a job are placed before those of a new one:
// its priority is higher, or equal with an earlier deadline that it can still meet.
func (c *Cell) placedBefore(now time.Time, j, later *job) bool {
	if j.queue.Priority != later.queue.Priority {
		return j.queue.Priority < later.queue.Priority
	}
	if j.due.After(later.due) {
		return false
	}
	left := time.Duration(0)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.tasksLeft > 0 && s.unfinishedDeps == 0 {
				left = max(left, c.criticalPathFrom(s))
			}
		}
	}
	return urgency.TierOf(now, j.accepted, j.due, left) == urgency.InTime
}

// remainingWork returns the processor time that a job still needs. Standing tasks reduce
// the capacity instead.
func (c *Cell) remainingWork(now time.Time, j *job) time.Duration {
	total := time.Duration(0)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.Standing || s.tasksLeft == 0 {
				continue
			}
			expected := c.expectedRunTime(s)
			total += jobspec.ProcessorTime(s.Size, expected) * time.Duration(s.tasksLeft)
			if s.runs == 0 {
				continue
			}
			for i := range s.tasks {
				for _, a := range s.tasks[i].attempts {
					if a.state == attemptRunning && !s.tasks[i].done {
						total -= jobspec.ProcessorTime(s.Size, min(now.Sub(a.startedAt), expected*8/10))
					}
				}
			}
		}
	}
	return max(total, 0)
}

// Cancel cancels a job. It returns the flush that makes this durable, and false if the
// job is not known.
func (c *Cell) Cancel(now time.Time, id bamboofall.JobID) (uint64, bool) {
	j := c.jobs[id]
	if j == nil {
		return 0, false
	}
	if !j.state.Ended() {
		c.finish(now, j, bamboofall.JobCancelled, "cancelled by the caller")
	}
	return j.stateFlush, true
}

// CancelBeforeSubmit cancels a job whose submission may not have arrived yet, so that it
// never runs. It returns the flush that makes this durable.
func (c *Cell) CancelBeforeSubmit(now time.Time, id bamboofall.JobID) uint64 {
	if c.jobs[id] == nil {
		j := c.newJob(&bamboofall.Job{ID: id}, nil, now)
		c.jobs[id] = j
		c.addOpen(j)
		j.specFlush = c.pending.nextFlush
	}
	flush, _ := c.Cancel(now, id)
	return flush
}

// Lookup returns the durable state of a job. It reports false if the job is unknown, or
// only known from a submission that has not been answered.
func (c *Cell) Lookup(id bamboofall.JobID) (bamboofall.JobState, bool) {
	j := c.jobs[id]
	if j == nil || !j.promised && !c.IsStored(j.submittedFlush()) {
		return 0, false
	}
	if j.visibleState == bamboofall.JobQueued && j.started {
		return bamboofall.JobRunning, true
	}
	return j.visibleState, true
}

// IsSubmitted reports whether a job was submitted, even if the submission has not been
// answered.
func (c *Cell) IsSubmitted(id bamboofall.JobID) bool { return c.jobs[id] != nil }

// PendingJobs returns the number of open jobs in a queue without a started task.
func (c *Cell) PendingJobs(queue string) int {
	n := 0
	for _, j := range c.open {
		if j.Job.Queue == queue && !j.started {
			n++
		}
	}
	return n
}
