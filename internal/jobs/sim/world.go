package sim

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

const (
	// tick is the interval at which workers advance and the owner makes decisions.
	tick = 20 * time.Millisecond
	// appendDuration is how long an append to the store takes.
	appendDuration = 6 * time.Millisecond
	// callTimeout is how long an owner without an OwnerVM waits for an answer.
	callTimeout = 700 * time.Millisecond
	// formerOwnerLifetime is how long a replaced owner may go on working.
	formerOwnerLifetime = 3500 * time.Millisecond
)

// Config configures a simulation.
type Config struct {
	// Seed determines all random choices.
	Seed    uint64
	Workers int
	// Room is the initial capacity of each worker.
	Room bamboofall.Resources
	// DataCentres is the number of data centres over which the workers are spread. Without any, none
	// can be evacuated.
	DataCentres int
	// PerRack is the number of workers per rack. Zero puts all workers on one rack.
	PerRack int
	Lease   time.Duration
	// MaxHold is the longest lease that workers accept, 6 s if it is zero.
	MaxHold time.Duration
	Queues  []bamboofall.Queue
	// FailShare is the share of runs that fail independently of their worker.
	FailShare float64
	// RunTimeSpread is the standard deviation of the logarithms of the run times of the
	// tasks of a step. Objectives follow from the longest tasks.
	RunTimeSpread float64
	// Pressure maps each best-effort image and serving image to the pressure of the
	// first on the second: the utilization that it adds per whole worker.
	Pressure map[string]map[string]float64
	// StrictRuns makes the tasks of a gang work and end only together, and makes standing
	// tasks take time to come up, and fail or stall at workers where all runs do. Runs take
	// time to resume from a checkpoint.
	StrictRuns bool
	// Owner is the capacity of each owner's VM. If it is nil, the owner's work
	// takes no time.
	Owner *OwnerVM
	// OnOwnerDelay, if set, is called when an owner with an OwnerVM has measured its
	// own delay.
	OnOwnerDelay func(now time.Time, owner *cell.Cell, delay time.Duration)
	// Variant leaves out parts of the policy.
	Variant cell.Variant
}

// Service is the service to which all workers belong.
const Service = "service"

// World is a running simulation. Create it with New.
type World struct {
	cfg       Config
	now       time.Time
	startedAt time.Time
	random    *rand.Rand
	// announceRandom determines when announcements of workers arrive.
	announceRandom *rand.Rand
	events         eventHeap
	// lastSeq is the sequence number of the last scheduled event.
	lastSeq int
	workers []*Worker
	byID    map[string]*Worker
	// nextIndex is the index of the next worker that is created.
	nextIndex int
	// cell is the present owner, or nil while there is none.
	cell *cell.Cell
	// machine is the VM of the present owner, or nil if its work takes no time.
	machine *ownerMachine
	// formerOwner is a replaced owner that goes on working without the store, or
	// nil.
	formerOwner *cell.Cell
	epoch       uint64
	// handovers counts the handovers that have begun.
	handovers int
	// clockDelay is how far the present owner's clock is behind the age of the cell.
	clockDelay time.Duration
	// ownerActsUntil is until when replaced owners may grant leases.
	ownerActsUntil time.Time
	store          map[string][]byte
	// appending is set while an append to the store is in progress.
	appending bool
	// StoreDown is set while the store does not answer.
	StoreDown bool
	// storeDownAt is when the store last did not answer.
	storeDownAt time.Time
	// evacuated holds since when data centres are evacuated, and evacuationChanges counts the changes.
	evacuated         map[bamboofall.DataCentre]time.Time
	evacuationChanges int
	// RelayFaultShare is the share of the calls that relays delay or lose.
	RelayFaultShare float64
	// LostAcknowledgementShare is the share of the hold calls that acknowledge run ends and
	// arrive right after the worker has restarted, see Worker.loseAcknowledgement.
	LostAcknowledgementShare float64
	// inbox holds the jobs in the store's inbox that no owner is known to have stored.
	inbox   []*bamboofall.Job
	version uint64

	// deadly are the deadly tasks, and brokenGangs the runs of gangs that a crash has
	// broken.
	deadly      map[bamboofall.TaskName]*deadlyTask
	brokenGangs map[gangRun]bool
	// doneGangs are the runs of gangs that are completed.
	doneGangs map[gangRun]bool
	// OnDeadlyStart, if set, is called when a worker has begun the nth run of a deadly
	// task, before it crashes.
	OnDeadlyStart func(task bamboofall.TaskName, n int)
	// OnDeadlyCrash, if set, is called when a deadly task has crashed its worker, the
	// nth one.
	OnDeadlyCrash func(task bamboofall.TaskName, n int)

	// jobs are the accepted jobs, and tasks the audit records of their tasks.
	jobs       map[bamboofall.JobID]*submission
	tasks      map[bamboofall.TaskName]*taskAudit
	violations []string
	Stats      Stats
	// Notes are the summary notes of the owners, or all notes if Verbose is set.
	Notes []cell.Note
	// Verbose makes the simulation keep all notes.
	Verbose bool
}

// Stats are the totals of a simulation.
type Stats struct {
	Accepted, Refused, Completed, Failed int
	// InTime counts the jobs that met their objective, Late those that took up to
	// three times as long.
	InTime, Late int
	// Starts counts the runs that were started, Done those that were completed.
	Starts, Done int
	// Timeouts counts the orders that were not answered in time, StaleOrders those
	// that an owner withheld.
	Timeouts, StaleOrders int
	// LateHoldsExecuted and LateHoldsRejected count the hold calls that were executed late by a
	// new process, and those that it rejected.
	LateHoldsExecuted, LateHoldsRejected int
	// OwnerBusy is the processor time that owners with an OwnerVM used.
	OwnerBusy time.Duration
	// TailSamples counts the reported tail latencies of serving tasks, OverTarget
	// those above the target.
	TailSamples, OverTarget int
	// LongestHarm is the longest time for which the reported tail latencies of a serving task
	// were above its target beside best-effort tasks at work.
	LongestHarm time.Duration
	// Queues holds the totals of each queue.
	Queues map[string]*QueueStats
	// FirstStart holds the time from submission to the first start of a run, for
	// each job that was started.
	FirstStart []time.Duration
}

// QueueStats are the totals of the jobs of a queue.
type QueueStats struct {
	// Submitted counts the jobs that the owner has decided on, refused ones included.
	Submitted, InTime, Late int
}

// queue returns the totals of a queue.
func (s *Stats) queue(name string) *QueueStats {
	q := s.Queues[name]
	if q == nil {
		q = &QueueStats{}
		s.Queues[name] = q
	}
	return q
}

// Worth returns the share of the worth of the submitted jobs that was earned, if a late job
// is worth a part of one that is in time.
func (s QueueStats) Worth(late float64) float64 {
	return (float64(s.InTime) + late*float64(s.Late)) / float64(max(1, s.Submitted))
}

// submission is a job as its caller knows it.
type submission struct {
	spec        *bamboofall.Job
	queue       bamboofall.Queue
	submittedAt time.Time
	accepted    bool
	// cancelRequested is set once the job was asked to be cancelled, cancelled is when the cancellation was confirmed, or zero.
	cancelRequested bool
	cancelled       time.Time
	// stored is set once an owner has stored the job, so that its caller may learn that
	// it was accepted.
	stored  bool
	started bool
	ended   bool
	// runTimes are the run times of the tasks of each step.
	runTimes [][]time.Duration
}

// drawRunTimes draws the run times of the tasks of a job.
func (j *submission) drawRunTimes(random *rand.Rand, spread float64) {
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		times := make([]time.Duration, s.Count)
		for k := range times {
			times[k] = time.Duration(math.Exp(spread*random.NormFloat64()) * float64(s.Estimate))
		}
		j.runTimes = append(j.runTimes, times)
	}
}

// taskAudit is the audit record of a task.
type taskAudit struct {
	// running is the number of runs in progress.
	running int
	// acknowledged is set once an owner has acknowledged a completion.
	acknowledged bool
	done         bool
	// doneRuns are the completed runs.
	doneRuns []*doneRun
	// failedRuns are the numbers of the failed runs, lostRuns those of the runs that a process
	// left unreported when it crashed. Those of a gang are at its first task.
	failedRuns, lostRuns map[uint32]bool
	// restarted is set if one of the lost runs ended in a Worker.Restart.
	restarted bool
}

// doneRun is a completed run.
type doneRun struct {
	worker *Worker
	// incarnation is the worker's incarnation in which the run was completed.
	incarnation int
	run         uint32
	// reportedTo is the newest owner that a report of the completion has reached.
	reportedTo *cell.Cell
	// restart describes a later start of the task while the worker could still
	// report the completion.
	restart string
}

// New returns a simulation with an owner and with workers that have announced
// themselves.
func New(cfg Config) *World {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &World{
		cfg: cfg, now: start, startedAt: start, random: rand.New(rand.NewPCG(cfg.Seed, 1)), announceRandom: rand.New(rand.NewPCG(cfg.Seed, 7)),
		store: make(map[string][]byte), jobs: make(map[bamboofall.JobID]*submission),
		tasks: make(map[bamboofall.TaskName]*taskAudit), byID: make(map[string]*Worker),
		Stats: Stats{Queues: make(map[string]*QueueStats)}, deadly: make(map[bamboofall.TaskName]*deadlyTask), brokenGangs: make(map[gangRun]bool), doneGangs: make(map[gangRun]bool), evacuated: make(map[bamboofall.DataCentre]time.Time), nextIndex: cfg.Workers,
	}
	for i := range cfg.Workers {
		x := newWorker(w, i)
		x.listing.write(x.announcement())
		w.workers = append(w.workers, x)
		w.byID[x.ID()] = x
	}
	w.newOwner(time.Time{})
	w.schedule(tick, w.tick)
	return w
}

// Now returns the virtual time since the start of the simulation.
func (w *World) Now() time.Duration { return w.now.Sub(w.startedAt) }

func (w *World) Workers() []*Worker { return w.workers }

// Violations describes the violations that the audits have found.
func (w *World) Violations() []string { return w.violations }

func (w *World) reportViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: %s", w.Now(), fmt.Sprintf(format, args...)))
}

// Run processes the events of the next duration d.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.fn()
	}
	w.now = end
}

// tick advances workers and owners, and schedules the next tick.
func (w *World) tick() {
	w.schedule(tick, w.tick)
	if w.StoreDown {
		w.storeDownAt = w.now
	}
	for _, x := range w.workers {
		x.tick()
	}
	if w.cell != nil && !w.StoreDown {
		w.cell.WorkersRead(w.now)
	}
	if w.machine != nil && w.cell != nil {
		w.scheduleStep(w.machine)
	} else {
		w.step()
	}
	if w.formerOwner != nil {
		w.stepOwner(w.formerOwner)
	}
}

// step lets the present owner make decisions, sends its orders and stores its
// records.
func (w *World) step() {
	if w.cell == nil {
		return
	}
	w.stepOwner(w.cell)
	w.flush()
}

// stepOwner lets an owner make decisions and sends its orders. A former owner that
// learns that it was replaced is dropped.
func (w *World) stepOwner(owner *cell.Cell) {
	out := owner.Step(w.now)
	if out.Deposed && owner == w.formerOwner {
		w.formerOwner = nil
		return
	}
	if out.Deposed {
		w.reportViolation("the present owner stops, as a worker rejected an order by its token")
	}
	for _, n := range out.Notes {
		if w.Verbose || n.Event == "summary" {
			w.Notes = append(w.Notes, n)
		}
	}
	for _, o := range out.Orders {
		w.sendOrder(owner, o)
	}
}

// flush appends changed records to the store, unless an append is in progress or
// the store is down.
func (w *World) flush() {
	if w.appending || w.StoreDown {
		return
	}
	records, number, err := w.cell.Flush()
	if err != nil {
		w.reportViolation("flush: %v", err)
	}
	if len(records) == 0 {
		return
	}
	w.appending = true
	owner := w.cell
	w.schedule(appendDuration, func() {
		if w.cell != owner {
			return
		}
		for _, r := range records {
			if r.Value == nil {
				delete(w.store, r.Key)
				continue
			}
			w.store[r.Key] = r.Value
		}
		w.handleEvent(owner, eventCost, func() {
			w.appending = false
			owner.Stored(w.now, number)
		})
	})
}

// Submit submits a job. It returns whether the job was accepted and, if not, when
// to retry. An owner with an OwnerVM decides later; Submit then returns true.
func (w *World) Submit(spec *bamboofall.Job) (bool, time.Duration) {
	if w.cell == nil {
		return false, 0
	}
	if m := w.machine; m != nil {
		submittedAt := w.now
		m.enqueue(submitCost, func() {
			if w.machine == m && w.cell != nil {
				w.submit(spec, submittedAt)
			}
		})
		return true, 0
	}
	return w.submit(spec, w.now)
}

func (w *World) submit(spec *bamboofall.Job, submittedAt time.Time) (bool, time.Duration) {
	job := &submission{spec: spec, submittedAt: submittedAt}
	job.drawRunTimes(w.random, w.cfg.RunTimeSpread)
	for _, q := range w.cfg.Queues {
		if q.Name == spec.Queue {
			job.queue = q
		}
	}
	w.Stats.queue(spec.Queue).Submitted++
	_, refusal := w.cell.Submit(w.now, spec)
	if refusal != nil {
		w.Stats.Refused++
		return false, refusal.RetryAfter
	}
	w.Stats.Accepted++
	job.accepted = true
	w.jobs[spec.ID] = job
	if w.machine != nil {
		w.scheduleStep(w.machine)
	} else {
		w.step()
	}
	w.watchJob(job)
	return true, 0
}

// watchJob polls a job until it has ended and then counts it.
func (w *World) watchJob(job *submission) {
	const every = 50 * time.Millisecond
	w.schedule(every, func() {
		if w.cell == nil {
			w.watchJob(job)
			return
		}
		state, known := w.cell.Lookup(job.spec.ID)
		job.stored = job.stored || known
		if !known || !state.Ended() {
			w.watchJob(job)
			return
		}
		job.ended = true
		took := w.now.Sub(job.submittedAt)
		switch state {
		case bamboofall.JobCompleted:
			w.Stats.Completed++
			if objective := w.objective(job); took <= objective {
				w.Stats.InTime++
				w.Stats.queue(job.spec.Queue).InTime++
			} else if took <= 3*objective {
				w.Stats.Late++
				w.Stats.queue(job.spec.Queue).Late++
			}
		case bamboofall.JobFailed:
			w.Stats.Failed++
			w.auditFailedJob(job)
		}
	})
}

// objective returns the time in which a job should be completed.
func (w *World) objective(job *submission) time.Duration {
	spec := job.spec
	criticalPath := make([]time.Duration, len(spec.Steps))
	longest := time.Duration(0)
	for i, s := range spec.Steps {
		for _, before := range s.After {
			criticalPath[i] = max(criticalPath[i], criticalPath[before])
		}
		criticalPath[i] += slices.Max(job.runTimes[i])
		longest = max(longest, criticalPath[i])
	}
	for _, q := range w.cfg.Queues {
		if q.Name == spec.Queue {
			return time.Duration(q.Stretch*float64(longest)) + q.Slack
		}
	}
	return 0
}

// Cancel cancels a job. The cancellation is confirmed once the owner has stored it.
func (w *World) Cancel(id bamboofall.JobID) {
	if job := w.jobs[id]; job != nil {
		job.cancelRequested = true
	}
	if w.cell == nil {
		return
	}
	flush, known := w.cell.Cancel(w.now, id)
	if !known {
		return
	}
	owner := w.cell
	w.step()
	var confirm func()
	confirm = func() {
		if w.cell != owner {
			return // the owner is gone, so the caller gets no confirmation
		}
		if !owner.IsStored(flush) {
			w.schedule(tick, confirm)
			return
		}
		if job := w.jobs[id]; job != nil {
			job.cancelled = w.now
		}
	}
	confirm()
}

// Lookup returns the state of a job as the present owner reports it.
func (w *World) Lookup(id bamboofall.JobID) (bamboofall.JobState, bool) {
	if w.cell == nil {
		return 0, false
	}
	return w.cell.Lookup(id)
}

// Counters returns the counters of the present owner.
func (w *World) Counters() cell.Counters {
	if w.cell == nil {
		return cell.Counters{}
	}
	return w.cell.Counters()
}
