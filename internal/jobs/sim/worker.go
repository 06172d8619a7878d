package sim

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

var (
	errNoAnswer         = errors.New("no answer")
	errConnectionClosed = errors.New("connection closed")
)

// Worker is a simulated worker.
type Worker struct {
	world *World
	index int
	id    string
	// rack is the number of the worker's rack.
	rack    int
	address netip.AddrPort
	// born is when the present incarnation of the worker started, in whole milliseconds as
	// the platform reports it.
	born time.Time
	up   bool
	// incarnation is the number of times the worker has crashed or left.
	incarnation int
	// restartAt is when a worker that is down starts again.
	restartAt time.Time
	// returning is set from CrashAndReturn until the worker returns, and
	// listedWhileDown as long as the platform lists the worker after it. refusing is
	// set while connections to a worker that is down are refused.
	returning, listedWhileDown, refusing bool
	// successor is the worker that has started at the address after a crash, or nil.
	successor *Worker
	// Partitioned is set while no owner reaches the worker.
	Partitioned bool
	// PartitionedFromOwner is set while the present owner does not reach the worker
	// but a former one does.
	PartitionedFromOwner bool
	// PartitionedFromFormerOwner is set while the former owner does not reach the
	// worker but the present one does.
	PartitionedFromFormerOwner bool
	// unlisted is set while the worker is not announced to new owners.
	unlisted bool
	// draining is set once the worker has announced that it will leave.
	draining bool
	// FailAll makes all runs fail, and StallAll keeps all runs from making
	// progress. SlowFactor is the factor by which runs take longer.
	FailAll, StallAll bool
	SlowFactor        float64
	// LateOrderShare is the share of the orders that are executed late and not
	// answered.
	LateOrderShare float64
	capacity       capacity

	// token is the highest fencing token seen.
	token bamboofall.Token
	// leaseUntil is the end of the leases on the worker's clock.
	leaseUntil time.Duration
	// ends are the ends of runs that are not acknowledged, lastEnd is the number of
	// the last end, and ackedEnd that of the last acknowledged one.
	ends     []bamboofall.End
	lastEnd  uint64
	ackedEnd uint64
	runs     []*run
	// blockedRuns holds, for each task, the highest run number that has ended or
	// was stopped and must not start again.
	blockedRuns map[bamboofall.TaskName]uint32
	// waitingHolds are hold calls that wait for the next end.
	waitingHolds []*waitingHold
	lateHolds    []lateHold
	// restarting is set from Restart until the new process is up.
	restarting bool
	listing    listing
}

// run is a run of a task at a worker.
type run struct {
	task      bamboofall.TaskName
	number    uint32
	step      *bamboofall.Step
	startedAt time.Time
	// duration is how long the run takes at full pace, and progress the part of it
	// that is done.
	duration time.Duration
	progress time.Duration
	willFail bool
	// pacePercent is the share of time in which the run makes progress.
	pacePercent int
	// loadPhase is the phase of the load of a serving task.
	loadPhase float64
	// harmedSince is when the tail latency was first reported above the target beside
	// best-effort tasks at work, or zero if it was not at the last report.
	harmedSince time.Time
	// stopAt is when a stop takes effect, or zero if the run was not stopped.
	stopAt time.Time
	// neverComplete is set for a run of a gang with a deadly task, as a gang completes
	// only while all its runs last.
	neverComplete bool
}

func newWorker(w *World, index int) *Worker {
	x := &Worker{world: w, index: index, id: fmt.Sprintf("i-%04d", index), born: w.now.Truncate(time.Millisecond), up: true, SlowFactor: 1, blockedRuns: make(map[bamboofall.TaskName]uint32), capacity: capacity{room: w.cfg.Room}}
	x.address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 80)
	if w.cfg.PerRack > 0 {
		x.rack = index / w.cfg.PerRack
	}
	x.startBeats()
	return x
}

func (x *Worker) ID() string { return x.id }

func (x *Worker) announcement() bamboofall.Worker {
	room := x.listedRoom()
	return bamboofall.Worker{
		WorkerRef: bamboofall.WorkerRef{ID: x.ID(), Address: x.address},
		Born:      x.born, Service: Service, Zone: x.DataCentre(), Room: room, Clock: x.capacity.listedAt, Labels: []string{"a", fmt.Sprintf("r%d", x.rack)}, Draining: x.draining,
	}
}

// listed reports whether the platform lists the worker.
func (x *Worker) listed() bool { return !x.unlisted && (x.up || x.listedWhileDown) }

// Running returns the number of runs at the worker.
func (x *Worker) Running() int { return len(x.runs) }

// Crash stops the worker at once, without notice, and restarts it after a time.
func (x *Worker) Crash(down time.Duration) {
	if x.returning {
		return
	}
	x.dropRuns()
	x.up = false
	x.incarnation++
	x.restartAt = x.world.now.Add(down)
	x.world.schedule(down, x.restart)
}

// dropRuns drops everything that a crash destroys.
func (x *Worker) dropRuns() {
	if x.world.cfg.StrictRuns {
		x.breakGangs()
	}
	x.world.auditLostRuns(x)
	for _, r := range x.runs {
		x.world.auditOf(r.task).running--
		if d := x.world.deadly[r.task]; d != nil {
			d.crashes++
		}
	}
	x.runs, x.ends, x.waitingHolds = nil, nil, nil
}

// restart starts a new incarnation of a worker that has crashed.
func (x *Worker) restart() {
	x.born = x.world.now.Truncate(time.Millisecond)
	x.up = true
	x.returning, x.listedWhileDown, x.refusing, x.restarting = false, false, false, false
	x.token, x.lastEnd, x.ackedEnd = 0, 0, 0
	x.leaseUntil = 0
	clear(x.blockedRuns)
	x.announce(x.announcement())
}

// Drain announces that the worker will leave and removes it for good after a time.
func (x *Worker) Drain(after time.Duration) {
	if x.returning {
		return
	}
	x.draining = true
	a := x.announcement()
	a.Remaining = after
	x.announce(a)
	x.world.schedule(after, func() {
		if x.world.cfg.StrictRuns {
			x.breakGangs()
		}
		for _, r := range x.runs {
			x.world.auditOf(r.task).running--
		}
		x.up, x.runs, x.waitingHolds = false, nil, nil
		x.returning, x.listedWhileDown = false, false
		x.incarnation++
		x.restarting = false
		x.unlist()
	})
}

// clockAtStart is the clock of a worker when it starts. Zero is a clock that is not known.
const clockAtStart = time.Second

// clock returns the worker's monotonic clock. Every second worker has the slowest
// clock that the platform allows.
func (x *Worker) clock() time.Duration {
	d := clockAtStart + x.world.now.Sub(x.born)
	if x.index%2 == 0 {
		d -= d / 50 // 2 % slow
	}
	return d
}

// responseMeta returns what all answers carry. They do not name the process.
func (x *Worker) responseMeta() bamboofall.ResponseMeta {
	return bamboofall.ResponseMeta{Clock: x.clock()}
}

// tick advances the runs and ends those that are completed, stopped, or without a
// lease.
func (x *Worker) tick() {
	if !x.up {
		return
	}
	now := x.world.now
	for _, r := range slices.Clone(x.runs) {
		if x.world.cfg.StrictRuns && x.tickStrict(r) {
			continue
		}
		switch {
		case x.clock() > x.leaseUntil:
			x.endRun(r, bamboofall.EndLapsed)
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			x.endRun(r, bamboofall.EndStopped)
		case r.step.Gang && x.world.brokenGangs[gangRunOf(r)]:
			x.endRun(r, bamboofall.EndBroken)
		case r.neverComplete || r.step.Gang && r.step.Standing && !x.world.gangPresent(r):
			if now.Sub(r.startedAt) > gangTimeout {
				x.endRun(r, bamboofall.EndAlone)
			}
		case r.step.Standing || x.StallAll:
		default:
			r.progress += time.Duration(float64(tick) * float64(r.pacePercent) / 100 / x.SlowFactor)
			if r.progress >= r.duration {
				cause := bamboofall.EndDone
				if r.willFail || x.FailAll {
					cause = bamboofall.EndFailed
				}
				x.endRun(r, cause)
			}
		}
	}
}

func (x *Worker) endRun(r *run, cause bamboofall.EndCause) {
	x.runs = slices.DeleteFunc(x.runs, func(o *run) bool { return o == r })
	a := x.world.auditOf(r.task)
	a.running--
	if cause == bamboofall.EndDone {
		a.done = true
		a.doneRuns = append(a.doneRuns, &doneRun{worker: x, incarnation: x.incarnation, run: r.number})
		x.world.Stats.Done++
	}
	if cause == bamboofall.EndFailed {
		x.world.auditFailedRun(r)
	}
	switch {
	case r.step.Gang && x.world.cfg.StrictRuns && cause == bamboofall.EndDone:
		x.world.doneGangs[gangRunOf(r)] = true
	case r.step.Gang && (r.step.Standing || x.world.cfg.StrictRuns):
		x.world.brokenGangs[gangRunOf(r)] = true
	}
	x.blockedRuns[r.task] = max(x.blockedRuns[r.task], r.number)
	x.lastEnd++
	checkpoint := ""
	if r.step.Checkpointing && cause != bamboofall.EndDone {
		checkpoint = fmt.Sprintf("%d", r.progress.Milliseconds())
	}
	x.ends = append(x.ends, bamboofall.End{Number: x.lastEnd, Task: r.task, Run: r.number, Cause: cause, Checkpoint: checkpoint})
	for _, h := range x.waitingHolds {
		x.world.schedule(0, func() { x.answerHold(h) })
	}
	x.executeLateHolds()
	x.waitingHolds = nil
}

func (w *World) workerByID(id string) *Worker { return w.byID[id] }

type reply func(bamboofall.ResponseMeta, bamboofall.HoldReport, error)

// handle executes an order at the worker, unless its fencing token is old.
func (x *Worker) handle(order cell.Order, answer reply) {
	reject := func(cause bamboofall.RejectCause) {
		answer(bamboofall.ResponseMeta{}, bamboofall.HoldReport{}, &bamboofall.RejectedError{Call: "order", Cause: cause, ResponseMeta: x.responseMeta()})
	}
	token := order.Start.Token
	if order.Kind == cell.OrderHold {
		token = order.Hold.Token
	}
	if token < x.token {
		reject(bamboofall.RejectFenced)
		return
	}
	x.token = token
	switch order.Kind {
	case cell.OrderStart:
		if cause := x.startRun(order.Start); cause != "" {
			reject(cause)
			return
		}
		if !x.up {
			x.breakCall(answer)
			return
		}
		answer(x.responseMeta(), bamboofall.HoldReport{}, nil)
	case cell.OrderStop:
		x.blockedRuns[order.Start.Task] = max(x.blockedRuns[order.Start.Task], order.Start.Run)
		for _, r := range x.runs {
			if r.task == order.Start.Task && r.number <= order.Start.Run && r.stopAt.IsZero() {
				r.stopAt = x.world.now.Add(100 * time.Millisecond)
			}
		}
		answer(x.responseMeta(), bamboofall.HoldReport{}, nil)
	case cell.OrderPace:
		for _, r := range x.runs {
			if r.task == order.Start.Task && r.number == order.Start.Run {
				r.pacePercent = order.Percent
			}
		}
		answer(x.responseMeta(), bamboofall.HoldReport{}, nil)
	case cell.OrderHold:
		x.handleHold(order.Hold, answer)
	}
}

// extendLease extends the lease, to the platform's maximum at most: the time may be one on the
// clock of a former process.
func (x *Worker) extendLease(until time.Duration) {
	x.leaseUntil = max(x.leaseUntil, min(until, x.clock()+x.world.cfg.maxHold()))
}

func (x *Worker) startRun(order bamboofall.StartOrder) bamboofall.RejectCause {
	for _, r := range x.runs {
		if r.task == order.Task && r.number == order.Run {
			return ""
		}
	}
	if x.clock() >= order.LeaseUntil {
		return bamboofall.RejectLeaseExpired
	}
	x.extendLease(order.LeaseUntil)
	if x.blockedRuns[order.Task] >= order.Run {
		return bamboofall.RejectEndedRun
	}
	job := x.world.jobs[order.Task.Job]
	if job == nil {
		x.world.reportViolation("%v: started, but its job was not submitted", order.Task)
		return bamboofall.RejectEndedRun
	}
	step := &job.spec.Steps[order.Task.Step]
	x.world.auditStart(x, order, job, step)
	newRun := &run{task: order.Task, number: order.Run, step: step, startedAt: x.world.now, pacePercent: 100, loadPhase: x.world.random.Float64() * 2 * math.Pi}
	newRun.duration = job.runTimes[order.Task.Step][order.Task.Index]
	newRun.willFail = x.world.random.Float64() < x.world.cfg.FailShare
	var ms int64
	if _, err := fmt.Sscanf(order.Checkpoint, "%d", &ms); err == nil {
		newRun.progress = time.Duration(ms) * time.Millisecond
		if x.world.cfg.StrictRuns {
			newRun.progress = min(newRun.progress, newRun.duration)
			newRun.duration += restoreTime
		}
	}
	x.runs = append(x.runs, newRun)
	newRun.neverComplete = step.Gang && x.world.hasDeadlyTask(order.Task.Job, order.Task.Step)
	if d := x.world.deadly[order.Task]; d != nil {
		x.world.auditDeadlyStart(x, order, d)
		x.scheduleCrash(newRun, d)
	}
	x.world.Stats.Starts++
	if !job.started {
		job.started = true
		x.world.Stats.FirstStart = append(x.world.Stats.FirstStart, x.world.now.Sub(job.submittedAt))
	}
	return ""
}

// reservedResources returns what a task of a step reserves at its worker.
// Best-effort tasks (Step.BestEffort) reserve no processors.
func reservedResources(step *bamboofall.Step) bamboofall.Resources {
	reserved := step.Size
	if step.BestEffort {
		reserved.MilliProcessors = 0
	}
	return reserved
}

const (
	// maxUtilization bounds the utilization of a serving task in overload.
	maxUtilization = 0.99
	// idleTailShare is the tail latency of an idle serving task, relative to its target.
	idleTailShare = 0.2
	// tailNoise is the relative standard deviation of reported tail latencies.
	tailNoise = 0.08
)

// tailLatency returns the reported tail latency of a serving task. It is that of a queue
// whose utilization is an oscillating load plus the pressure of the best-effort tasks at
// the worker.
func (x *Worker) tailLatency(serving *run) time.Duration {
	const period = 14 * time.Second
	phase := 2*math.Pi*float64(x.world.now.Sub(serving.startedAt))/float64(period) + serving.loadPhase
	utilization := 0.45 * (1 + 0.5*math.Sin(phase))
	for _, r := range x.runs {
		if r.step.BestEffort && r.pacePercent > 0 {
			use := float64(r.step.Size.MilliProcessors) * float64(r.pacePercent) / 100
			utilization += use / float64(x.capacity.room.MilliProcessors) * x.world.cfg.Pressure[r.step.Image][serving.step.Image]
		}
	}
	tail := idleTailShare / (1 - min(maxUtilization, utilization))
	return time.Duration(tail * (1 + tailNoise*x.world.random.NormFloat64()) * float64(serving.step.TailTarget))
}

// recordHarm records for how long reported tail latencies of a serving task have been above
// its target beside best-effort tasks at work.
func (x *Worker) recordHarm(serving *run, tail time.Duration) {
	now := x.world.now
	harmed := tail > serving.step.TailTarget && slices.ContainsFunc(x.runs, func(r *run) bool { return r.step.BestEffort && r.pacePercent > 0 })
	switch {
	case !harmed:
		serving.harmedSince = time.Time{}
	case serving.harmedSince.IsZero():
		serving.harmedSince = now
	}
	if harmed {
		x.world.Stats.LongestHarm = max(x.world.Stats.LongestHarm, now.Sub(serving.harmedSince))
	}
}
