package cell

import (
	"fmt"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/callbudget"
	"bamboofall.example/bamboofall/internal/jobs/callercost"
	"bamboofall.example/bamboofall/internal/jobs/duration"
	"bamboofall.example/bamboofall/internal/jobs/freshness"
	"bamboofall.example/bamboofall/internal/jobs/headroom"
	"bamboofall.example/bamboofall/internal/jobs/pressure"
	"bamboofall.example/bamboofall/internal/jobs/stage"
	"bamboofall.example/bamboofall/internal/jobs/tailtier"
	"bamboofall.example/bamboofall/internal/jobs/taskroom"
	"bamboofall.example/bamboofall/internal/jobs/usage"
	"bamboofall.example/bamboofall/internal/state/lease"
)

const (
	// clockDrift is the largest fraction by which a worker's clock may run slow.
	clockDrift = 0.02
	// leaseMargin is added to the end of a lease to allow for pauses of the worker
	// between reading its clock and acting on its tasks.
	leaseMargin = 300 * time.Millisecond
	// runsPerEpoch is the number of run numbers of a task that are reserved for each
	// epoch.
	runsPerEpoch = 1000
)

// Config holds the fixed parameters of a cell.
type Config struct {
	// Epoch is the number of this owner, higher than that of all before it.
	Epoch uint64
	// Lease is how long a worker runs a task without a renewal.
	Lease time.Duration
	// MaxLease is the longest lease that a worker accepts, or zero if that is Lease. A worker
	// that restarts has one if it takes an order by the clock of its former process.
	MaxLease time.Duration
	// FormerLeasesEnd is when all leases granted by former owners have expired.
	FormerLeasesEnd time.Time
	// Clock is the clock by which records tell when leases end. If it is not known, a
	// successor waits for all leases of former owners.
	Clock lease.CellClock
	// EndedJobRetention is how long ended jobs are remembered.
	EndedJobRetention time.Duration
	// RemoteFactor is the factor by which a task takes longer away from the rack with its
	// data.
	RemoteFactor float64
	// MaxTailViolation is the longest time for which a serving task may miss its
	// tail-latency target.
	MaxTailViolation time.Duration
	// MaxRecordBytes is the size of the largest record of the store, or zero if that is not
	// known.
	MaxRecordBytes int
	// Room is the memory for jobs.
	Room taskroom.Room
	// Variant is for simulations.
	Variant Variant
}

// Variant leaves out parts of the policy, so that simulations can tell what they are for.
type Variant struct {
	// NoShedding ranks jobs that can be in time by their objectives alone.
	NoShedding bool
	// HeldAtOnce lets what best-effort tasks hold bound what is admitted from the first sample
	// on, and samples it whatever they wait for.
	HeldAtOnce bool
	// LastRunAnywhere gives the last permitted run of a task to any worker with room.
	LastRunAnywhere bool
}

// Cell is the state machine. Use New to create one.
type Cell struct {
	cfg     Config
	queues  map[string]*bamboofall.Queue
	version uint64
	jobs    map[bamboofall.JobID]*job
	workers map[string]*worker
	// workerList holds the workers sorted by ID.
	workerList []*worker
	// ready holds the steps with tasks that wait for a worker.
	ready map[*step]bool
	// recurring holds the jobs with occurrences that are not due yet.
	recurring map[*job]bool
	// countedBytes is the memory of all jobs but recurring.
	countedBytes int
	// open holds the jobs that have not ended, in no particular order.
	open []*job
	// ended holds the ended jobs, ordered by end time.
	ended []*job
	// recovering is set while released tasks may be running at workers that have not
	// answered this owner.
	recovering bool
	// unreportedEnd is when the last lease ends at these workers, as of the last scan.
	unreportedEnd time.Time
	// restoredAt is when the records of the former owner were restored.
	restoredAt time.Time
	// placementDue is set when an event may allow waiting tasks to be placed.
	placementDue bool
	// ranked holds the steps that were ready at rankedAt or became ready later, the most
	// urgent first. newlyReady holds steps that are not in ranked yet.
	ranked     []rankedStep
	rankedAt   time.Time
	newlyReady []*step
	// awaitingStore holds the attempts in state attemptAwaitingStore.
	awaitingStore []*attempt
	// unstoredEnds holds the workers to call once their run ends are stored.
	unstoredEnds []*worker
	// evacuated holds the evacuated data centres.
	evacuated []bamboofall.DataCentre
	// removedNumber is the highest order number of the workers that were removed. They may be
	// announced again.
	removedNumber uint64
	pending       pendingRecords
	counters      Counters
	out           Output
	nextScan      time.Time
	// zoneLossyAt is when each data centre was last found to be losing answers.
	zoneLossyAt map[bamboofall.DataCentre]time.Time
	// owner is the delay that the owner itself adds to orders and answers.
	owner callbudget.Delay
	// ownerQueueing is the part of this delay that is spent in queues.
	ownerQueueing callbudget.Delay
	// confirmedAt is when this owner's claim on the cell was last confirmed.
	confirmedAt time.Time
	// withheldAt is when the owner last withheld an order for a reason of its own.
	withheldAt time.Time
	budget     callbudget.Budget
	// holdCursor is the index of the first worker to call, so that no worker is passed
	// over repeatedly while calls are limited.
	holdCursor int
	// lastSummary is when the last summary was logged, with the status of that time.
	lastSummary time.Time
	status      Status
	durations   *duration.Model
	// meanWork is the mean processor time of a job, by queue.
	meanWork map[string]time.Duration
	// placedAt is when placement last ran.
	placedAt time.Time
	// allPlacedAt is when placement last looked at all waiting steps.
	allPlacedAt time.Time
	// learnedDue is set when the next flush is to include the learned state.
	learnedDue bool
	// learnedAt is when learnedDue was last set.
	learnedAt time.Time
	// runTimeErrors tells how far run times are off the expected ones.
	runTimeErrors callercost.Errors
	// bestEffortCapacity is the mean CPU in milliprocessors that best-effort tasks hold
	// while others wait, or zero if none waits, and bestEffortSampledFor the time for which
	// it has been sampled.
	bestEffortCapacity   float64
	bestEffortSampledAt  time.Time
	bestEffortSampledFor time.Duration
	// startsLimitedAt is when a start last had to wait for the budget of calls.
	startsLimitedAt time.Time
	lastRun         lastRunStake
	pressure        *pressure.Model
	// accuracy tells how well tail latencies are expected.
	accuracy headroom.Accuracy
	usage    usage.Account
	// stages holds the times of all jobs, recentStages those since the last summary.
	stages, recentStages stage.Account
	fits                 fitCache
	workerListing        freshness.List
	candidates           candidateSet
	holdQueue            holdCandidates
}

// Counters counts the actions of an owner.
type Counters struct {
	Accepted, Refused, Completed, Failed, Cancelled int64
	Withdrawn                                       int64
	Started, Done, TaskFailures, LostRuns, Stopped  int64
	StartsRejected, StartsUnanswered, HoldFailures  int64
	Quarantines, Paced, Adopted, OrphanedRuns       int64
	WorkersCrashed, TasksSuspected, TasksGivenUp    int64
	// PlacementsJudged counts the best-effort tasks whose disturbance was compared with what
	// was expected, PlacementsOver those beside which a target was missed.
	PlacementsJudged, PlacementsOver int64
}

// Note is an entry for the log.
type Note struct {
	Event  string
	Job    bamboofall.JobID
	Task   string
	Worker string
	Run    uint32
	// Detail gives the inputs and the outcome of a decision.
	Detail string
	// Routine notes may be dropped under load.
	Routine bool
}

// OrderKind is the type of an order.
type OrderKind uint8

// The kinds of orders.
const (
	OrderStart OrderKind = iota + 1
	OrderStop
	OrderHold
	OrderPace
)

// String returns the name of the worker call.
func (k OrderKind) String() string {
	switch k {
	case OrderStart:
		return "start"
	case OrderStop:
		return "stop"
	case OrderHold:
		return "hold"
	case OrderPace:
		return "pace"
	}
	return "order"
}

// Order is an order to a worker. The caller must pass its outcome to StartAnswered,
// StopAnswered, HoldAnswered or PaceAnswered, according to its kind.
type Order struct {
	Kind   OrderKind
	Worker bamboofall.WorkerRef
	Start  bamboofall.StartOrder
	Hold   bamboofall.HoldOrder
	// Percent is the CPU share of an OrderPace.
	Percent int
	// DataCentre is that of the worker.
	DataCentre bamboofall.DataCentre

	attempt *attempt
	worker  *worker
	sentAt  time.Time
	// incarnation identifies the worker process that the order is meant for.
	incarnation time.Time
	// probe is set for a probe, which is made alongside an open hold call.
	probe bool
	// late is set for a call that had been given up before its answer came.
	late bool
}

// Withdrawn reports whether the order must not be sent any more because its run is to end
// or was given up. It may be called concurrently with other methods of the cell.
func (o *Order) Withdrawn() bool { return o.Kind == OrderStart && o.attempt.withdrawn.Load() }

// Output holds the orders and log entries of a call of Cell.Step.
type Output struct {
	Orders []Order
	Notes  []Note
	// Deposed is set once a worker has seen the token of a successor.
	Deposed bool
	// TokensUsedUp is set once the epoch must end, as a worker's orders have no higher tokens.
	TokensUsedUp bool
}

// New returns a cell without jobs and workers.
func New(cfg Config) *Cell {
	return &Cell{
		cfg:         cfg,
		queues:      make(map[string]*bamboofall.Queue),
		jobs:        make(map[bamboofall.JobID]*job),
		workers:     make(map[string]*worker),
		zoneLossyAt: make(map[bamboofall.DataCentre]time.Time),
		ready:       make(map[*step]bool),
		recurring:   make(map[*job]bool),
		pending:     newPendingRecords(),
		meanWork:    make(map[string]time.Duration),
		durations:   duration.New(), pressure: pressure.New(), fits: newFitCache(),
	}
}

// Counters returns the counters.
func (c *Cell) Counters() Counters { return c.counters }

// SetConfiguration applies a published configuration. A removed queue keeps its last
// settings for the jobs that are in it.
func (c *Cell) SetConfiguration(conf *bamboofall.Configuration) {
	if conf.Version < c.version {
		return
	}
	c.version = conf.Version
	for i := range conf.Queues {
		c.queues[conf.Queues[i].Name] = &conf.Queues[i]
	}
	for _, j := range c.open {
		if j.queue == nil {
			j.setQueue(c.queues[j.Job.Queue])
		}
	}
	c.placementDue = true
}

// Step makes the decisions that are due and returns them.
func (c *Cell) Step(now time.Time) Output {
	c.budget.Refill(now, c.ownerLevel(now))
	c.endAvoidance(now)
	c.scan(now)
	c.orderStoredStarts(now)
	if now.Sub(c.withheldAt) >= withheldPause {
		c.place(now)
	}
	c.hold(now)
	out := c.out
	c.out = Output{}
	return out
}

// scanInterval is the time between checks for changes that come by time alone.
const scanInterval = 50 * time.Millisecond

func (c *Cell) scan(now time.Time) {
	if now.Before(c.nextScan) {
		return
	}
	c.nextScan = now.Add(max(scanInterval, 2*c.busyPause(now)))
	c.finishRecovery(now)
	c.openDueOccurrences(now)
	c.expireEnded(now)
	for _, w := range slices.Clone(c.workerList) {
		c.watchWorker(now, w)
		if usable := w.usable(); usable != w.wasUsable {
			w.wasUsable = usable
			if usable {
				c.addGain(w)
			}
		}
		c.invalidateHeadrooms(now, w)
	}
	if now.Sub(c.placedAt) >= placeInterval {
		c.placementDue = true
	}
	if now.Sub(c.learnedAt) >= learnedInterval {
		c.learnedAt, c.learnedDue = now, true
	}
	if now.Sub(c.lastSummary) >= summaryInterval {
		c.lastSummary = now
		c.summarize(now)
		c.summarizeStages()
	}
}

// placeInterval is the time after which placement is tried without an event, since
// avoidance of workers ends by time alone.
const placeInterval = 250 * time.Millisecond

// summaryInterval is the time between summaries in the log.
const summaryInterval = 2 * time.Second

// maxLoggedNames bounds the names in a log entry.
const maxLoggedNames = 5

// summarize logs the capacity of the workers and its use.
func (c *Cell) summarize(now time.Time) {
	var room, used, bestEffort, bestEffortUse, standing int64
	serving, waiting := 0, 0
	for _, w := range c.workerList {
		if !w.usable() {
			continue
		}
		room += w.info.Room.MilliProcessors
		used += w.used.MilliProcessors
		bestEffort += w.bestEffortCPU
		bestEffortUse += w.bestEffortUse()
		if w.standingCPU > 0 {
			serving++
			standing += w.standingCPU
		}
	}
	for s := range c.ready {
		waiting += len(s.waiting)
	}
	c.noteObstacles(now)
	c.updateStatus(now)
	status := c.status
	known, open := c.Jobs()
	if full := c.pressure.ImagesBelow(1 / tailtier.MaxExpected); len(full) > 0 {
		c.note(Note{Event: "images without fills", Detail: fmt.Sprintf(
			"%d images are expected above %v of their tail-latency target without best-effort tasks, the first: %v", len(full), tailtier.MaxExpected, full[:min(len(full), maxLoggedNames)])})
	}
	c.note(Note{Event: "summary", Detail: fmt.Sprintf(
		"workers %d usable %d serving %d silent %d evacuated; milliprocessors %d, reserved %d of which standing %d, best-effort %d using %d; jobs %d known %d open; tasks waiting %d; "+
			"workers known %d unlisted %d; standing tasks %d running %d, longest down %v, with room %v; idle jobs %d, longest %v, with room %v; recovering %t; processor seconds: %v; targets missed beside new best-effort tasks, by expected tail: %v",
		status.Usable, serving, status.Silent, status.Evacuated, room, used, standing, bestEffort, bestEffortUse, known, open, waiting,
		status.Known, status.Unlisted, status.Standing, status.StandingRunning,
		status.LongestDown.Round(time.Millisecond), status.LongestDownWithRoom.Round(time.Millisecond),
		status.IdleJobs, status.LongestIdle.Round(time.Millisecond), status.LongestIdleWithRoom.Round(time.Millisecond), status.Recovering, &c.usage, &c.accuracy)})
}

// passStage records that a job of a queue has spent a time in a stage.
func (c *Cell) passStage(j *job, s stage.Stage, d time.Duration) {
	c.stages.Add(j.Job.Queue, s, d)
	c.recentStages.Add(j.Job.Queue, s, d)
}

// Stages returns the times that jobs have spent in each stage.
func (c *Cell) Stages() *stage.Account { return &c.stages }

// summarizeStages logs the times of the stages since the last summary.
func (c *Cell) summarizeStages() {
	if text := c.recentStages.String(); text != "" {
		c.note(Note{Event: "stages", Detail: text})
	}
	c.recentStages.Reset()
}

func (c *Cell) note(n Note) { c.out.Notes = append(c.out.Notes, n) }

// Jobs returns the number of known jobs and of those that have not ended.
func (c *Cell) Jobs() (known, open int) { return len(c.jobs), len(c.jobs) - len(c.ended) }
