package sim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

const (
	tick = 20 * time.Millisecond
	// storeTime is how long an append takes.
	storeTime = 6 * time.Millisecond
	// callTimeout is how long an owner waits for an answer.
	callTimeout = 700 * time.Millisecond
	// former is how long a replaced owner may have gone on.
	former = 3500 * time.Millisecond
)

// Config describes a world.
type Config struct {
	Seed    uint64
	Workers int
	Room    bamboofall.Resources
	// Racks is the number of workers on a rack.
	PerRack int
	Lease   time.Duration
	Queues  []bamboofall.Queue
	// FailShare is the share of runs that fail by themselves.
	FailShare float64
	// Pressure is what images that fill press on images that serve, in
	// targets for a whole worker.
	Pressure map[string]map[string]float64
	// Owner is what the VM of each owner can carry, if it takes any time.
	Owner *OwnerVM
}

// Service is the pool to which all workers of a world belong.
const Service = "service"

// World is a running model. Use New.
type World struct {
	cfg     Config
	now     time.Time
	began   time.Time
	random  *rand.Rand
	events  eventHeap
	order   int
	workers []*Worker
	byID    map[string]*Worker
	cell    *cell.Cell
	// machine is the VM of the present owner, or nil.
	machine *machine
	// ghost is a former owner that goes on without the store.
	ghost   *cell.Cell
	token   bamboofall.Token
	store   map[string][]byte
	storing bool
	// StoreDown is set while the store does not answer.
	StoreDown bool
	version   uint64

	jobs       map[bamboofall.JobID]*account
	tasks      map[bamboofall.TaskName]*taskAudit
	violations []string
	Stats      Stats
	Notes      []cell.Note
	// Verbose keeps all notes.
	Verbose bool
}

// Stats sums up a run.
type Stats struct {
	Accepted, Refused, Completed, Failed int
	InAim, Late                          int
	Starts, Done                         int
	// Timeouts counts the orders that got no answer in time, OwnerStale those that
	// waited too long in the owner to be sent.
	Timeouts, OwnerStale int
	// OwnerBusy is the processor time that owners with a VM used.
	OwnerBusy time.Duration
	// OverTarget counts the looks at standing tasks over their target.
	Looks, OverTarget int
	// FirstStart holds the times from submission to the first start.
	FirstStart []time.Duration
}

// account is what a caller keeps of its job.
type account struct {
	spec      *bamboofall.Job
	queue     bamboofall.Queue
	submitted time.Time
	accepted  bool
	cancelled time.Time
	started   bool
	ended     bool
}

// taskAudit is what the audit keeps of a task.
type taskAudit struct {
	running int
	// acknowledged is set once an end as done has been taken note of.
	acknowledged bool
	done         bool
	// dones are the runs that ended as done.
	dones []*doneRun
}

// doneRun is a run that ended as done.
type doneRun struct {
	worker *Worker
	// life is the life of the worker in which it did.
	life int
	run  uint32
	// heardBy is the newest owner that an answer with the end has reached.
	heardBy *cell.Cell
	// again tells of a start while the worker could still list the end.
	again string
}

type event struct {
	at    time.Time
	order int
	do    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, k int) bool {
	if !h[i].at.Equal(h[k].at) {
		return h[i].at.Before(h[k].at)
	}
	return h[i].order < h[k].order
}
func (h eventHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// New returns a world with an owner and workers that have announced themselves.
func New(cfg Config) *World {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &World{
		cfg: cfg, now: start, began: start, random: rand.New(rand.NewPCG(cfg.Seed, 1)),
		store: make(map[string][]byte), jobs: make(map[bamboofall.JobID]*account),
		tasks: make(map[bamboofall.TaskName]*taskAudit), byID: make(map[string]*Worker),
	}
	for i := range cfg.Workers {
		x := newWorker(w, i)
		w.workers = append(w.workers, x)
		w.byID[x.ID()] = x
	}
	w.newOwner(time.Time{})
	w.after(tick, w.tick)
	return w
}

func (w *World) newOwner(formerLeases time.Time) {
	w.token++
	w.storing = false
	w.cell = cell.New(cell.Config{
		Token: w.token, Lease: w.cfg.Lease, FormerLeases: formerLeases, KeepEnded: 2 * time.Minute, RemoteFactor: 2,
		HarmAfter: 4 * time.Second,
	})
	w.machine = nil
	if w.cfg.Owner != nil {
		w.machine = &machine{w: w, vm: *w.cfg.Owner, called: make(map[string]bool)}
	}
	w.version++
	w.cell.SetConfiguration(&bamboofall.Configuration{
		Version: w.version, Queues: slices.Clone(w.cfg.Queues),
	})
	var records []bamboofall.StoredRecord
	for key, value := range w.store {
		records = append(records, bamboofall.StoredRecord{StoreRecord: bamboofall.StoreRecord{Key: key, Value: value}})
	}
	slices.SortFunc(records, func(a, b bamboofall.StoredRecord) int { return compare(a.Key, b.Key) })
	for _, err := range w.cell.Restore(w.now, records) {
		w.violate("restore: %v", err)
	}
	for _, x := range w.workers {
		if x.up && !x.cutFromStore {
			w.cell.SetWorker(w.now, x.announcement())
		}
	}
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// ReplaceOwner ends the owner at once and puts a new one in its place later.
func (w *World) ReplaceOwner(gap time.Duration) {
	w.cell = nil
	w.replaceAfter(gap)
}

// CutOwner puts a new owner beside the present one, which loses the store and
// acts on until it must stop.
func (w *World) CutOwner(gap time.Duration) {
	ghost := w.cell
	w.ghost = ghost
	w.cell = nil
	w.after(former, func() {
		if w.ghost == ghost {
			w.ghost = nil
		}
	})
	w.replaceAfter(gap)
}

func (w *World) replaceAfter(gap time.Duration) {
	heard := w.now
	w.after(gap, func() { w.newOwner(heard.Add(former + cell.LeaseBound(w.cfg.Lease))) })
}

// Now returns the time since the start of the world.
func (w *World) Now() time.Duration { return w.now.Sub(w.began) }

// Workers returns the workers.
func (w *World) Workers() []*Worker { return w.workers }

// Violations returns what was done that must not be.
func (w *World) Violations() []string { return w.violations }

func (w *World) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: %s", w.Now(), fmt.Sprintf(format, args...)))
}

func (w *World) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now.Add(d), w.order, do})
}

// At does something at a time since the start.
func (w *World) At(d time.Duration, do func()) { w.after(d-w.Now(), do) }

// Run plays events for some time.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *World) tick() {
	w.after(tick, w.tick)
	for _, x := range w.workers {
		x.tick()
	}
	if w.machine != nil && w.cell != nil {
		w.stepSoon(w.machine)
	} else {
		w.step()
	}
	if w.ghost != nil {
		w.sendAll(w.ghost)
	}
}

// step lets the owner decide and carries its orders out.
func (w *World) step() {
	if w.cell == nil {
		return
	}
	w.sendAll(w.cell)
	w.flush()
}

func (w *World) sendAll(owner *cell.Cell) {
	out := owner.Step(w.now)
	if out.Deposed && owner == w.ghost {
		w.ghost = nil
		return
	}
	for _, n := range out.Notes {
		if w.Verbose || n.Event == "summary" {
			w.Notes = append(w.Notes, n)
		}
	}
	for _, o := range out.Orders {
		w.send(owner, o)
	}
}

func (w *World) flush() {
	if w.storing || w.StoreDown {
		return
	}
	records, number, err := w.cell.Flush()
	if err != nil {
		w.violate("flush: %v", err)
	}
	if len(records) == 0 {
		return
	}
	w.storing = true
	owner := w.cell
	w.after(storeTime, func() {
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
		w.event(owner, eventCost, func() {
			w.storing = false
			owner.Stored(w.now, number)
		})
	})
}

// Submit hands a job in. It reports whether it was accepted, and when to come
// back if not. An owner with a VM decides later.
func (w *World) Submit(spec *bamboofall.Job) (bool, time.Duration) {
	if w.cell == nil {
		return false, 0
	}
	if m := w.machine; m != nil {
		called := w.now
		m.run(submitCost, func() {
			if w.machine == m && w.cell != nil {
				w.submit(spec, called)
			}
		})
		return true, 0
	}
	return w.submit(spec, w.now)
}

func (w *World) submit(spec *bamboofall.Job, called time.Time) (bool, time.Duration) {
	a := &account{spec: spec, submitted: called}
	for _, q := range w.cfg.Queues {
		if q.Name == spec.Queue {
			a.queue = q
		}
	}
	_, refusal := w.cell.Submit(w.now, spec, false)
	if refusal != nil {
		w.Stats.Refused++
		return false, refusal.RetryAfter
	}
	w.Stats.Accepted++
	a.accepted = true
	w.jobs[spec.ID] = a
	if w.machine != nil {
		w.stepSoon(w.machine)
	} else {
		w.step()
	}
	w.watch(a)
	return true, 0
}

// watch looks at a job until it has ended.
func (w *World) watch(a *account) {
	const every = 50 * time.Millisecond
	w.after(every, func() {
		if w.cell == nil {
			w.watch(a)
			return
		}
		state, known := w.cell.Lookup(a.spec.ID)
		if !known || !state.Ended() {
			w.watch(a)
			return
		}
		a.ended = true
		took := w.now.Sub(a.submitted)
		switch state {
		case bamboofall.JobCompleted:
			w.Stats.Completed++
			if objective := w.Objective(a.spec); took <= objective {
				w.Stats.InAim++
			} else if took <= 3*objective {
				w.Stats.Late++
			}
		case bamboofall.JobFailed:
			w.Stats.Failed++
		}
	})
}

// Objective returns the time in which a job should be done.
func (w *World) Objective(spec *bamboofall.Job) time.Duration {
	until := make([]time.Duration, len(spec.Steps))
	longest := time.Duration(0)
	for i, s := range spec.Steps {
		for _, before := range s.After {
			until[i] = max(until[i], until[before])
		}
		until[i] += s.Estimate
		longest = max(longest, until[i])
	}
	for _, q := range w.cfg.Queues {
		if q.Name == spec.Queue {
			return time.Duration(q.Stretch*float64(longest)) + q.Slack
		}
	}
	return 0
}

// Cancel cancels a job.
func (w *World) Cancel(id bamboofall.JobID) {
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
			return // the caller has no answer
		}
		if !owner.IsStored(flush) {
			w.after(tick, confirm)
			return
		}
		if a := w.jobs[id]; a != nil {
			a.cancelled = w.now
		}
	}
	confirm()
}

// Lookup returns the state that a caller sees.
func (w *World) Lookup(id bamboofall.JobID) (bamboofall.JobState, bool) {
	if w.cell == nil {
		return 0, false
	}
	return w.cell.Lookup(id)
}

// Counters returns what the present owner has counted.
func (w *World) Counters() cell.Counters {
	if w.cell == nil {
		return cell.Counters{}
	}
	return w.cell.Counters()
}
