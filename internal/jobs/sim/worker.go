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

var errSilent = errors.New("no answer")

// Worker is a worker of a world.
type Worker struct {
	w     *World
	index int
	id    string
	born  time.Time
	up    bool
	// life counts the lives that have ended.
	life int
	// upAt is when the next life begins of a worker that is down.
	upAt time.Time
	// Cut is set while owners do not reach the worker.
	Cut bool
	// CutFromOwner is set while the owner does not reach the worker but a former
	// one does.
	CutFromOwner bool
	// CutFromFormer is the reverse.
	CutFromFormer bool
	// cutFromStore is set while it is not listed.
	cutFromStore bool
	// leaving is set once the worker drains.
	leaving bool
	// FailAll makes all runs fail, StallAll makes them stand still, Slow makes
	// them take that many times as long.
	FailAll, StallAll bool
	Slow              float64
	// LateShare of the orders is carried out late and not answered.
	LateShare float64

	token bamboofall.Token
	// until is the end of the leases on the worker's clock.
	until   time.Duration
	ends    []bamboofall.End
	number  uint64
	acked   uint64
	running []*run
	blocked map[bamboofall.TaskName]uint32
	waiting []func()
}

type run struct {
	task    bamboofall.TaskName
	number  uint32
	step    *bamboofall.Step
	began   time.Time
	work    time.Duration
	worked  time.Duration
	fails   bool
	percent int
	// swing shifts the load of a task that serves.
	swing float64
	// stopBy is when a stop takes effect.
	stopBy time.Time
}

func newWorker(w *World, index int) *Worker {
	return &Worker{w: w, index: index, id: fmt.Sprintf("i-%04d", index), born: w.now, up: true, Slow: 1, blocked: make(map[bamboofall.TaskName]uint32)}
}

// ID returns the worker's name.
func (x *Worker) ID() string { return x.id }

func (x *Worker) announcement() bamboofall.Worker {
	rack := "r0"
	if x.w.cfg.PerRack > 0 {
		rack = fmt.Sprintf("r%d", x.index/x.w.cfg.PerRack)
	}
	return bamboofall.Worker{
		WorkerRef: bamboofall.WorkerRef{ID: x.ID(), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(x.index >> 8), byte(x.index)}), 80)},
		Born:      x.born, Service: Service, Room: x.w.cfg.Room, Labels: []string{"a", rack}, Draining: x.leaving,
	}
}

// Running returns the number of tasks that run at a worker.
func (x *Worker) Running() int { return len(x.running) }

// Crash takes a worker down and starts a new life of it later.
func (x *Worker) Crash(down time.Duration) {
	for _, r := range x.running {
		x.w.audit(r.task).running--
	}
	x.running, x.ends, x.waiting = nil, nil, nil
	x.up = false
	x.life++
	x.upAt = x.w.now.Add(down)
	x.w.after(down, func() {
		x.born = x.w.now
		x.up = true
		x.token, x.number, x.acked = 0, 0, 0
		x.until = 0
		clear(x.blocked)
		if x.w.cell != nil {
			x.w.cell.SetWorker(x.w.now, x.announcement())
		}
	})
}

// Leave announces that a worker leaves, and takes it away for good after some
// time.
func (x *Worker) Leave(after time.Duration) {
	x.leaving = true
	a := x.announcement()
	if x.w.cell != nil {
		a.Remaining = after
		x.w.cell.SetWorker(x.w.now, a)
	}
	x.w.after(after, func() {
		for _, r := range x.running {
			x.w.audit(r.task).running--
		}
		x.up, x.running, x.waiting = false, nil, nil
		x.life++
		if x.w.cell != nil {
			x.w.cell.RemoveWorker(x.w.now, x.ID())
		}
	})
}

// clock is the worker's steady clock.
func (x *Worker) clock() time.Duration {
	d := x.w.now.Sub(x.born)
	if x.index%2 == 0 {
		d -= d / 50 // the slowest clock that the platform allows
	}
	return d
}

func (x *Worker) sighting() bamboofall.Sighting {
	return bamboofall.Sighting{Clock: x.clock(), Born: x.born}
}

// tick ends what is done and drops what has no lease.
func (x *Worker) tick() {
	if !x.up {
		return
	}
	now := x.w.now
	for _, r := range slices.Clone(x.running) {
		switch {
		case x.clock() > x.until:
			x.end(r, bamboofall.EndLapsed)
		case !r.stopBy.IsZero() && now.After(r.stopBy):
			x.end(r, bamboofall.EndStopped)
		case r.step.Standing || x.StallAll:
		default:
			r.worked += time.Duration(float64(tick) * float64(r.percent) / 100 / x.Slow)
			if r.worked >= r.work {
				cause := bamboofall.EndDone
				if r.fails || x.FailAll {
					cause = bamboofall.EndFailed
				}
				x.end(r, cause)
			}
		}
	}
}

func (x *Worker) end(r *run, cause bamboofall.EndCause) {
	x.running = slices.DeleteFunc(x.running, func(o *run) bool { return o == r })
	a := x.w.audit(r.task)
	a.running--
	if cause == bamboofall.EndDone {
		a.done = true
		a.dones = append(a.dones, &doneRun{worker: x, life: x.life, run: r.number})
		x.w.Stats.Done++
	}
	x.blocked[r.task] = max(x.blocked[r.task], r.number)
	x.number++
	checkpoint := ""
	if r.step.Checkpointing && cause != bamboofall.EndDone {
		checkpoint = fmt.Sprintf("%d", r.worked.Milliseconds())
	}
	x.ends = append(x.ends, bamboofall.End{Number: x.number, Task: r.task, Run: r.number, Cause: cause, Checkpoint: checkpoint})
	for _, wake := range x.waiting {
		x.w.after(0, wake)
	}
	x.waiting = nil
}

// send carries an order out, once the owner has time for it.
func (w *World) send(owner *cell.Cell, o cell.Order) {
	m := w.machineOf(owner)
	if m == nil {
		w.carry(owner, o, callTimeout, 0, func(_ bamboofall.HoldReport, take func()) { take() })
		return
	}
	decided := w.now
	m.run(orderCost, func() {
		if w.machine != m || w.cell != owner {
			return
		}
		age := w.now.Sub(decided)
		m.waited(waitOrder, age)
		withheld := &bamboofall.WithheldError{Cause: bamboofall.WithheldStale, Age: age}
		if o.Withdrawn() {
			withheld.Cause = bamboofall.WithheldWithdrawn
		}
		if o.Withdrawn() || age > staleOrder {
			w.Stats.OwnerStale++
			w.taken(owner, o, bamboofall.Sighting{}, bamboofall.HoldReport{}, &bamboofall.NotDoneError{Call: "order", Reason: withheld.Error(), Err: withheld})
			return
		}
		w.carry(owner, o, ownerCallTimeout, m.send(&m.out, orderBytes), func(report bamboofall.HoldReport, take func()) {
			w.after(m.send(&m.in, sizeOf(report)), func() { m.run(answerCost, take) })
		})
	})
}

// taken gives the result of an order to its owner.
func (w *World) taken(owner *cell.Cell, o cell.Order, s bamboofall.Sighting, report bamboofall.HoldReport, err error) {
	w.event(owner, eventCost, func() {
		switch o.Kind {
		case cell.OrderStart:
			owner.Started(w.now, o, s, err)
		case cell.OrderStop:
			owner.Stopped(w.now, o, s, err)
		case cell.OrderPace:
			owner.Paced(w.now, o, s, err)
		case cell.OrderHold:
			owner.Held(w.now, o, report, err)
		}
	})
}

// carry carries an order out: a way there, the work, and a way back. It leaves the
// owner after some time; what comes back is read by the owner before it is taken.
func (w *World) carry(owner *cell.Cell, o cell.Order, timeout, leaves time.Duration, read func(report bamboofall.HoldReport, take func())) {
	x := w.workerOf(o.Worker.ID)
	sent, m := w.now, w.machineOf(owner)
	way := func() time.Duration { return time.Millisecond + time.Duration(w.random.IntN(4000))*time.Microsecond }
	answered := false
	answer := func(s bamboofall.Sighting, report bamboofall.HoldReport, err error) {
		if answered {
			return
		}
		answered = true
		if m != nil && o.Hold.Wait == 0 {
			m.answered(o.Worker.ID, w.now.Sub(sent))
		}
		if w.cell != owner && w.ghost != owner {
			return
		}
		w.taken(owner, o, s, report, err)
	}
	unknown := &bamboofall.UnknownOutcomeError{Call: "order", Err: errSilent}
	w.after(timeout+o.Hold.Wait, func() {
		if !answered {
			w.Stats.Timeouts++
		}
		answer(bamboofall.Sighting{}, bamboofall.HoldReport{}, unknown)
	})
	if x == nil {
		return
	}
	if o.Kind != cell.OrderHold && w.random.Float64() < x.LateShare {
		life := x.born
		w.after(2*time.Second+time.Duration(w.random.IntN(10_000))*time.Millisecond, func() {
			// An order that a life has received dies with it.
			if x.up && x.born.Equal(life) {
				x.do(o, func(bamboofall.Sighting, bamboofall.HoldReport, error) {})
			}
		})
		return
	}
	arrive := leaves + way()
	if left := x.upAt.Sub(w.now); !x.up && left > 0 && left < timeout {
		arrive += left // the connection is tried for until there is a new life
	}
	w.after(arrive, func() {
		if !x.up || x.Cut || x.CutFromOwner && owner == w.cell || x.CutFromFormer && owner != w.cell {
			return
		}
		x.do(o, func(s bamboofall.Sighting, r bamboofall.HoldReport, err error) {
			w.after(way(), func() {
				if x.Cut {
					return
				}
				w.hear(owner, x, r)
				read(r, func() { answer(s, r, err) })
			})
		})
	})
}

func (w *World) workerOf(id string) *Worker { return w.byID[id] }

type reply func(bamboofall.Sighting, bamboofall.HoldReport, error)

func (x *Worker) do(o cell.Order, answer reply) {
	reject := func(cause bamboofall.RejectCause) {
		answer(bamboofall.Sighting{}, bamboofall.HoldReport{}, &bamboofall.RejectedError{Call: "order", Cause: cause, Sighting: x.sighting()})
	}
	token := o.Start.Token
	if o.Kind == cell.OrderHold {
		token = o.Hold.Token
	}
	if token < x.token {
		reject(bamboofall.RejectFenced)
		return
	}
	x.token = token
	switch o.Kind {
	case cell.OrderStart:
		if cause := x.start(o.Start); cause != "" {
			reject(cause)
			return
		}
		answer(x.sighting(), bamboofall.HoldReport{}, nil)
	case cell.OrderStop:
		x.blocked[o.Start.Task] = max(x.blocked[o.Start.Task], o.Start.Run)
		for _, r := range x.running {
			if r.task == o.Start.Task && r.number <= o.Start.Run && r.stopBy.IsZero() {
				r.stopBy = x.w.now.Add(100 * time.Millisecond)
			}
		}
		answer(x.sighting(), bamboofall.HoldReport{}, nil)
	case cell.OrderPace:
		for _, r := range x.running {
			if r.task == o.Start.Task && r.number == o.Start.Run {
				r.percent = o.Percent
			}
		}
		answer(x.sighting(), bamboofall.HoldReport{}, nil)
	case cell.OrderHold:
		x.hold(o.Hold, answer)
	}
}

func (x *Worker) grant(until time.Duration) {
	x.until = max(x.until, until)
}

func (x *Worker) start(o bamboofall.StartOrder) bamboofall.RejectCause {
	for _, r := range x.running {
		if r.task == o.Task && r.number == o.Run {
			return ""
		}
	}
	if x.clock() >= o.LeaseUntil {
		return bamboofall.RejectLate
	}
	x.grant(o.LeaseUntil)
	if x.blocked[o.Task] >= o.Run {
		return bamboofall.RejectOld
	}
	j := x.w.jobs[o.Task.Job]
	if j == nil {
		x.w.violate("%v starts and nobody submitted it", o.Task)
		return bamboofall.RejectOld
	}
	s := &j.spec.Steps[o.Task.Step]
	x.w.checkStart(x, o, j, s)
	r := &run{task: o.Task, number: o.Run, step: s, began: x.w.now, percent: 100, swing: x.w.random.Float64() * 2 * math.Pi}
	r.work = time.Duration(float64(s.Estimate) * (0.8 + 0.4*x.w.random.Float64()))
	r.fails = x.w.random.Float64() < x.w.cfg.FailShare
	var ms int64
	if _, err := fmt.Sscanf(o.Checkpoint, "%d", &ms); err == nil {
		r.worked = time.Duration(ms) * time.Millisecond
	}
	x.running = append(x.running, r)
	x.w.Stats.Starts++
	if !j.started {
		j.started = true
		x.w.Stats.FirstStart = append(x.w.Stats.FirstStart, x.w.now.Sub(j.submitted))
	}
	return ""
}

func reserved(s *bamboofall.Step) bamboofall.Resources {
	r := s.Size
	if s.Fills {
		r.MilliProcessors = 0
	}
	return r
}

func (x *Worker) hold(o bamboofall.HoldOrder, answer reply) {
	x.grant(o.LeaseUntil)
	x.acked = max(x.acked, min(o.Seen, x.number)) // a call may be meant for a former life
	for _, e := range x.ends {
		if e.Number <= x.acked && e.Cause == bamboofall.EndDone {
			x.w.audit(e.Task).acknowledged = true
		}
	}
	x.ends = slices.DeleteFunc(x.ends, func(e bamboofall.End) bool { return e.Number <= x.acked })
	done := false
	respond := func() {
		if done || !x.up {
			return
		}
		done = true
		answer(x.sighting(), x.report(), nil)
	}
	if len(x.ends) > 0 || o.Wait == 0 {
		respond()
		return
	}
	x.waiting = append(x.waiting, respond)
	x.w.after(o.Wait, respond)
}

// endsListed is how many ends the platform lists at a time.
const endsListed = 500

func (x *Worker) report() bamboofall.HoldReport {
	r := bamboofall.HoldReport{Sighting: x.sighting(), Ends: slices.Clone(x.ends[:min(len(x.ends), endsListed)])}
	for _, t := range x.running {
		p := bamboofall.Placed{Task: t.task, Run: t.number, Percent: 100}
		switch {
		case t.step.TailTarget > 0:
			tail := x.tail(t)
			p.Gauge = tail.Milliseconds()
			x.w.Stats.Looks++
			if tail > t.step.TailTarget {
				x.w.Stats.OverTarget++
			}
		default:
			p.Gauge = t.step.Size.MilliProcessors * int64(t.percent) / 100
			if t.work > 0 {
				p.Percent = int(100 * t.worked / t.work)
			}
		}
		if t.step.Checkpointing {
			p.Checkpoint = fmt.Sprintf("%d", t.worked.Milliseconds())
		}
		r.Running = append(r.Running, p)
	}
	return r
}

// tail returns the tail latency of a task that serves: a load that swings, and
// what presses on it.
func (x *Worker) tail(t *run) time.Duration {
	const period = 14 * time.Second
	phase := 2*math.Pi*float64(x.w.now.Sub(t.began))/float64(period) + t.swing
	share := 0.45 + 0.2*math.Sin(phase)
	for _, r := range x.running {
		if r.step.Fills && r.percent > 0 {
			use := float64(r.step.Size.MilliProcessors) * float64(r.percent) / 100
			share += use / float64(x.w.cfg.Room.MilliProcessors) * x.w.cfg.Pressure[r.step.Image][t.step.Image]
		}
	}
	return time.Duration(share * float64(t.step.TailTarget))
}
