package cell

import (
	"fmt"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/pressure"
)

const (
	// clockDrift is how much slower a worker's clock may run, as a share.
	clockDrift = 0.02
	// leaseMargin is added to the end of a lease against pauses of the worker
	// between its clock and its tasks.
	leaseMargin = 300 * time.Millisecond
	// runsPerEpoch separates the run numbers of successive owners.
	runsPerEpoch = 1000
)

// Config is what a cell knows from the start.
type Config struct {
	// Token is the owner's epoch.
	Token bamboofall.Token
	// Lease is how long workers run tasks without a renewal.
	Lease time.Duration
	// FormerLeases is when the leases that former owners granted have ended.
	FormerLeases time.Time
	// KeepEnded is how long an ended job is known.
	KeepEnded time.Duration
	// RemoteFactor is how much longer a task takes away from its data.
	RemoteFactor float64
	// HarmAfter is how long a standing task may miss its target.
	HarmAfter time.Duration
}

// Cell is the state machine. Use New.
type Cell struct {
	cfg     Config
	queues  map[string]*bamboofall.Queue
	version uint64
	jobs    map[bamboofall.JobID]*job
	workers map[string]*worker
	// workerList holds the workers in the workerList of their IDs.
	workerList []*worker
	// ready holds the steps with tasks that could start.
	ready map[*step]bool
	// recurring holds the jobs with occurrences that are not due yet.
	recurring map[*job]bool
	// open holds the jobs that have not ended, in no order.
	open []*job
	// ended holds the ended jobs in the order of their ends.
	ended []*job
	// recovering is set while released tasks may run at workers that have not
	// answered this owner.
	recovering bool
	// restoredAt is when the records of a former owner were read.
	restoredAt time.Time
	// placementDue is set when placement may find something to do.
	placementDue bool
	// ranked are the steps that were ready at rankedAt, and those that came since,
	// the most urgent first. Fresh are steps to be added.
	ranked        []rankedStep
	rankedAt      time.Time
	newlyReady    []*step
	awaitingStore []*attempt
	// unstoredEnds are the workers with ends that are not in the store yet.
	unstoredEnds []*worker
	pending      pendingRecords
	counters     Counters
	out          Output
	nextScan     time.Time
	// zoneLossyAt is when answers of a data centre last got lost.
	zoneLossyAt map[bamboofall.DataCentre]time.Time
	// owner is the owner's own delay.
	owner ownerDelay
	// confirmedAt is when the owner was last sure to be the only one.
	confirmedAt time.Time
	// withheldAt is when the owner last held back an order for a cause of its own.
	withheldAt time.Time
	budget     callBudget
	// holdCursor is the worker from which on calls are made, so that none is left out
	// while they are limited.
	holdCursor int
	// lastSummary is when the last summary was noted.
	lastSummary time.Time
	runTimes    runTimeModel
	// meanWork is the mean processor time of the jobs of a queue.
	meanWork map[string]time.Duration
	// placedAt is when placement was last tried.
	placedAt time.Time
	// learnedDue is set when what was learned should go with the next flush.
	learnedDue bool
	learnedAt  time.Time
	// bestEffortCapacity is what tasks that fill get in processors while some wait, or
	// zero if none waits.
	bestEffortCapacity  float64
	bestEffortSampledAt time.Time
	pressure            *pressure.Model
	fits                fitCache
	candidates          candidateSet
	holdQueue           holdCandidates
}

// Counters counts what an owner did.
type Counters struct {
	Accepted, Refused, Completed, Failed, Cancelled int64
	Started, Done, TaskFailures, Lapsed, Stopped    int64
	StartsRejected, StartsUnknown, HoldFailures     int64
	Quarantines, Paced, Adopted, Orphans            int64
}

// Note is a decision worth a line in the log.
type Note struct {
	Event  string
	Job    bamboofall.JobID
	Task   string
	Worker string
	Run    uint32
	// Detail tells the inputs and the outcome.
	Detail string
	// Routine notes may be left out under load.
	Routine bool
}

// OrderKind says what an order asks of a worker.
type OrderKind uint8

// The kinds of orders.
const (
	OrderStart OrderKind = iota + 1
	OrderStop
	OrderHold
	OrderPace
)

// Order is an order for a worker. Its result must be given back.
type Order struct {
	Kind    OrderKind
	Worker  bamboofall.WorkerRef
	Start   bamboofall.StartOrder
	Hold    bamboofall.HoldOrder
	Percent int

	attempt *attempt
	worker  *worker
	sentAt  time.Time
	// incarnation is the life of the worker that the order is meant for.
	incarnation time.Time
	// probe is set for a question probe a call that waits.
	probe bool
	// late is set for a call that was given up before its answer came.
	late bool
}

// Withdrawn reports whether an order must not be sent any more, as its run is to
// end or has been given up. It may be called while the cell decides.
func (o *Order) Withdrawn() bool { return o.Kind == OrderStart && o.attempt.withdrawn.Load() }

// Output is what a step decided.
type Output struct {
	Orders []Order
	Notes  []Note
	// Deposed is set once a worker has seen a larger token.
	Deposed bool
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
		runTimes:    newRunTimeModel(), pressure: pressure.New(), fits: newFitCache(),
	}
}

// Counters returns the counters.
func (c *Cell) Counters() Counters { return c.counters }

// SetConfiguration takes over what operators have published. Queues that are
// no longer there keep their last settings for the jobs that they have.
func (c *Cell) SetConfiguration(conf *bamboofall.Configuration) {
	if conf.Version < c.version {
		return
	}
	c.version = conf.Version
	for i := range conf.Queues {
		c.queues[conf.Queues[i].Name] = &conf.Queues[i]
	}
	c.placementDue = true
}

// Step decides what is due.
func (c *Cell) Step(now time.Time) Output {
	c.refill(now)
	c.endAvoidance(now)
	c.scan(now)
	if now.Sub(c.withheldAt) >= withheldPause {
		c.place(now)
	}
	c.hold(now)
	out := c.out
	c.out = Output{}
	return out
}

// scanInterval is the time between looks at what only time changes.
const scanInterval = 50 * time.Millisecond

func (c *Cell) scan(now time.Time) {
	if now.Before(c.nextScan) {
		return
	}
	c.nextScan = now.Add(scanInterval)
	c.finishRecovery(now)
	c.openDueOccurrences(now)
	c.expireEnded(now)
	for _, w := range slices.Clone(c.workerList) {
		c.watchWorker(now, w)
		if usable := w.usable(); usable != w.wasUsable {
			w.wasUsable = usable
			if usable {
				c.noteGain(w)
			}
		}
		c.invalidateTails(now, w)
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
	}
}

// placeInterval is the time after which placement is tried without an event, for
// pauses of workers end by time alone.
const placeInterval = 250 * time.Millisecond

// summaryInterval is the time between lines that sum up the cell.
const summaryInterval = 2 * time.Second

// maxLoggedNames bounds the names in a note.
const maxLoggedNames = 5

// summarize notes what the workers have, and what they do with it.
func (c *Cell) summarize(now time.Time) {
	var room, used, bestEffort, bestEffortUse, standing int64
	usable, serving, silent, waiting := 0, 0, 0, 0
	for _, w := range c.workerList {
		if w.silent() {
			silent++
		}
		if !w.usable() {
			continue
		}
		usable++
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
	known, open := c.Jobs()
	if full := c.pressure.Above(maxExpectedTail); len(full) > 0 {
		c.note(Note{Event: "images without fills", Detail: fmt.Sprintf(
			"%d images are expected above %v of their target alone, the first: %v", len(full), maxExpectedTail, full[:min(len(full), maxLoggedNames)])})
	}
	c.note(Note{Event: "summary", Detail: fmt.Sprintf(
		"workers %d usable %d serving %d silent; milliprocessors %d, reserved %d of which standing %d, filling %d which use %d; jobs %d known %d open; tasks waiting %d",
		usable, serving, silent, room, used, standing, bestEffort, bestEffortUse, known, open, waiting)})
}

func (c *Cell) note(n Note) { c.out.Notes = append(c.out.Notes, n) }

// Jobs returns the number of jobs that are known and that have not ended.
func (c *Cell) Jobs() (known, open int) { return len(c.jobs), len(c.jobs) - len(c.ended) }
