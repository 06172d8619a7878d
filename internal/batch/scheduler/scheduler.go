package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/batch/estimate"
	"bamboofall.example/bamboofall/internal/batch/interference"
	"bamboofall.example/bamboofall/internal/config/object"
	"bamboofall.example/bamboofall/internal/state/ledger"
	"bamboofall.example/bamboofall/internal/wire/recordpb"
)

const (
	// driftShare bounds how much slower a worker's clock may run, as a part.
	driftShare = 50
	// lapseMargin is added to the end of a lease against pauses of the
	// worker's agent between its clock and its tasks.
	lapseMargin = 500 * time.Millisecond
	// lapseEvery is the time between looks for leases that have ended.
	lapseEvery = 200 * time.Millisecond
	// silentPatience is how long an attempt at a silent worker that the platform
	// still lists is left open after its lease. It may have finished, and only
	// the worker knows.
	silentPatience = time.Minute
	// maxPlaced bounds the placements of one step.
	maxPlaced  = 500
	firstDefer = 500 * time.Millisecond
	maxDefer   = 15 * time.Second
	// moveAfter is how often a task must have found no room before it moves to
	// another shard.
	moveAfter = 4
)

// Config is what a scheduler knows from the start.
type Config struct {
	VM    bamboofall.VMID
	Lease time.Duration
	Sync  time.Duration
	// TailWeight is how much tail latency counts against throughput, 0 to 1.
	TailWeight float64
}

// Note is a decision worth explaining.
type Note struct {
	Kind    string
	Name    string
	Message string
}

// Round is a round to make with a worker.
type Round struct {
	Worker  bamboofall.VM
	Request bamboofall.SyncRequest
}

// Output is what a step decided.
type Output struct {
	Records []*recordpb.Record
	Rounds  []Round
	Notes   []Note
}

// Scheduler is the state machine. Use New.
type Scheduler struct {
	cfg     Config
	ledger  *ledger.Ledger
	set     *object.Set
	shards  map[int]*ownedShard
	workers map[bamboofall.VMID]*worker
	// largest is the largest room of any worker of the data centre.
	largest   bamboofall.Resources
	tasks     map[bamboofall.TaskID]*taskState
	estimates *estimate.Estimates
	scores    *interference.Scores
	waiting   map[waitKey]*waiting
	// wakeAt is when a shard's first deferred run is due.
	wakeAt   map[int]time.Time
	lastFade time.Time
	counters Counters
	out      Output
}

// ownedShard is a shard that this VM owns.
type ownedShard struct {
	token bamboofall.Token
	// oldLeases is when the leases of the previous owner have ended for
	// certain, at workers that cannot be reached.
	oldLeases time.Time
	// dirty is set when there may be something to place.
	dirty     bool
	nextPlace time.Time
	nextLapse time.Time
}

// taskState is what the owner keeps about a task beyond the ledger.
type taskState struct {
	// writing is the record that is on its way to the log, if any.
	writing recordKind
	// wroteAt is when it was handed over.
	wroteAt time.Time
	attempt uint32
	peak    bamboofall.Resources
}

type recordKind uint8

const (
	writingNothing recordKind = iota
	writingIntent
	writingClose
	writingMove
)

// Counters counts what a scheduler did since its start.
type Counters struct {
	Started, Finished, Failed, Evicted, Lapsed int64
	Throttled, Quarantined, Moved, Nonsense    int64
	StaleTokens, SyncFailures                  int64
	Deferred                                   map[string]int64
}

// New returns a scheduler over a ledger that owns nothing.
func New(cfg Config, l *ledger.Ledger) *Scheduler {
	empty, _ := object.NewSet(nil)
	return &Scheduler{
		cfg:       cfg,
		ledger:    l,
		set:       empty,
		shards:    make(map[int]*ownedShard),
		workers:   make(map[bamboofall.VMID]*worker),
		tasks:     make(map[bamboofall.TaskID]*taskState),
		estimates: estimate.New(),
		scores:    interference.New(),
		wakeAt:    make(map[int]time.Time),
		waiting:   make(map[waitKey]*waiting),
		counters:  Counters{Deferred: make(map[string]int64)},
	}
}

// Counters returns the counters. The caller must not change the map.
func (s *Scheduler) Counters() Counters { return s.counters }

// SetLedger replaces the ledger, after a snapshot was taken over.
func (s *Scheduler) SetLedger(l *ledger.Ledger) { s.ledger = l }

// SetObjects takes the objects in force over.
func (s *Scheduler) SetObjects(set *object.Set) { s.set = set }

// Activate begins to act as the owner of a shard.
func (s *Scheduler) Activate(now time.Time, shard int, token bamboofall.Token) {
	s.shards[shard] = &ownedShard{token: token, oldLeases: now.Add(s.leaseBound()), dirty: true}
	for _, w := range s.workers {
		if w.shard == shard {
			w.reset(now)
		}
	}
	for _, t := range s.ledger.Live(shard) {
		delete(s.tasks, t.ID)
	}
}

// Deactivate stops acting as the owner of a shard.
func (s *Scheduler) Deactivate(shard int) {
	delete(s.shards, shard)
	for _, t := range s.ledger.Live(shard) {
		delete(s.tasks, t.ID)
	}
}

// leaseBound is the longest time for which a lease granted by a clock reading
// can go on after the reading has arrived.
func (s *Scheduler) leaseBound() time.Duration {
	return s.cfg.Lease + s.cfg.Lease/driftShare + lapseMargin
}

// SetFleet takes the platform's list of the workers of this data centre over.
func (s *Scheduler) SetFleet(now time.Time, vms []bamboofall.VM) {
	s.largest = bamboofall.Resources{}
	listed := make(map[bamboofall.VMID]bool, len(vms))
	for _, vm := range vms {
		if !vm.Agent.IsValid() {
			continue
		}
		listed[vm.ID] = true
		s.setWorker(now, vm)
	}
	for id, w := range s.workers {
		w.listed = listed[id]
		if !w.listed && !s.hasOpen(id) {
			delete(s.workers, id)
		}
	}
}

func (s *Scheduler) setWorker(now time.Time, vm bamboofall.VM) {
	w := s.workers[vm.ID]
	if w == nil {
		w = newWorker(now, vm, ledger.ShardOf(string(vm.ID), s.ledger.Shards()))
		s.workers[vm.ID] = w
		s.touch(w.shard)
	}
	w.vm = vm
	w.room = vm.Room
	for _, i := range vm.Instances {
		w.room = w.room.Sub(i.Size)
	}
	if !vm.Leaving {
		s.largest = s.largest.Max(w.room)
	}
}

// touch marks a shard for placement.
func (s *Scheduler) touch(shard int) {
	if o := s.shards[shard]; o != nil {
		o.dirty = true
	}
}

// hasOpen reports whether a task of an owned shard is open at a worker.
func (s *Scheduler) hasOpen(id bamboofall.VMID) bool {
	return len(s.openAt(id)) > 0
}

// openAt returns the open tasks at a worker, in order.
func (s *Scheduler) openAt(id bamboofall.VMID) []*ledger.Task {
	w := s.workers[id]
	var out []*ledger.Task
	for _, tid := range sortedTasks(w.open) {
		t := s.ledger.Task(tid)
		if t != nil && t.Status == ledger.TaskOpen && t.Worker == id {
			out = append(out, t)
		}
	}
	return out
}

// sortedTasks returns the keys of a map in order, so that the same events lead
// to the same records.
func sortedTasks[V any](m map[bamboofall.TaskID]V) []bamboofall.TaskID {
	return slices.SortedFunc(maps.Keys(m), compareTasks)
}

func compareTasks(a, b bamboofall.TaskID) int {
	return cmp.Or(strings.Compare(a.Run, b.Run), cmp.Compare(a.Index, b.Index))
}

// Applied tells the scheduler that a record has changed the ledger.
func (s *Scheduler) Applied(now time.Time, r *recordpb.Record, v ledger.Verdict) {
	switch body := r.GetBody().(type) {
	case *recordpb.Record_Submit:
		s.touchAll()
	case *recordpb.Record_Cancel:
		s.kickRun(now, body.Cancel.GetRun())
	case *recordpb.Record_Intent:
		s.appliedIntent(now, body.Intent, v)
	case *recordpb.Record_Close:
		s.appliedClose(now, body.Close)
	case *recordpb.Record_Move:
		id := bamboofall.TaskID{Run: body.Move.GetRun(), Index: body.Move.GetIndex()}
		delete(s.tasks, id)
		s.touch(int(body.Move.GetToShard()))
	}
}

func (s *Scheduler) touchAll() {
	for shard := range s.shards {
		s.touch(shard)
	}
}

func (s *Scheduler) kickRun(now time.Time, name string) {
	r := s.ledger.Run(name)
	if r == nil {
		return
	}
	for _, t := range r.Tasks {
		if t.Status == ledger.TaskOpen {
			s.kick(now, t.Worker)
		}
	}
}

func (s *Scheduler) appliedIntent(now time.Time, i *recordpb.Intent, v ledger.Verdict) {
	id := bamboofall.TaskID{Run: i.GetRun(), Index: i.GetIndex()}
	t := s.ledger.Task(id)
	if t == nil {
		return
	}
	if st := s.tasks[id]; st != nil && st.writing == writingIntent {
		st.writing = writingNothing
	}
	if t.Status != ledger.TaskOpen {
		s.unreserve(id)
		return
	}
	if w := s.workers[t.Worker]; w != nil {
		w.open[id] = true
		s.kick(now, t.Worker)
	}
	if v.Void == "" && !v.Repeat && s.shards[t.Shard] != nil {
		s.counters.Started++
	}
}

func (s *Scheduler) appliedClose(now time.Time, c *recordpb.Close) {
	id := bamboofall.TaskID{Run: c.GetRun(), Index: c.GetIndex()}
	t := s.ledger.Task(id)
	if t == nil || t.Status == ledger.TaskOpen {
		return
	}
	s.unreserve(id)
	if w := s.workers[t.Worker]; w != nil {
		delete(w.open, id)
		delete(w.running, id)
		delete(w.evict, id)
		s.kick(now, t.Worker)
	}
	delete(s.tasks, id)
	s.touch(t.Shard)
	s.hurryUrgent(t.Shard)
	if t.Run.Done() {
		for shard := range s.shards {
			delete(s.waiting, waitKey{shard, c.GetRun()})
		}
		// A run that waited for this one may begin.
		s.touchAll()
	}
}

// hurryUrgent looks again at urgent tasks as soon as room may have come free.
func (s *Scheduler) hurryUrgent(shard int) {
	for _, w := range s.workers {
		if w.shard != shard {
			continue
		}
		for id := range w.held {
			if t := s.ledger.Task(id); t != nil {
				s.waitingOf(shard, t.Run).deferTill = time.Time{}
			}
		}
	}
}

// unreserve gives back the room that was kept for an intent.
func (s *Scheduler) unreserve(id bamboofall.TaskID) {
	for _, w := range s.workers {
		delete(w.reserved, id)
		delete(w.held, id)
	}
}

// state returns the owner's state of a task. It makes it if it is missing.
func (s *Scheduler) state(id bamboofall.TaskID) *taskState {
	st := s.tasks[id]
	if st == nil {
		st = &taskState{}
		s.tasks[id] = st
	}
	return st
}

func (s *Scheduler) kick(now time.Time, id bamboofall.VMID) {
	if w := s.workers[id]; w != nil && now.Before(w.nextSync) {
		w.nextSync = now
	}
}

// Step decides what is due.
func (s *Scheduler) Step(now time.Time) Output {
	s.out = Output{}
	if now.Sub(s.lastFade) >= time.Second {
		s.lastFade = now
		s.scores.Fade()
	}
	for _, shard := range s.owned() {
		if at := s.wakeAt[shard]; !at.IsZero() && !now.Before(at) {
			s.touch(shard)
		}
		if o := s.shards[shard]; !now.Before(o.nextLapse) {
			o.nextLapse = now.Add(lapseEvery)
			s.closeLapsed(now, shard)
		}
		s.place(now, shard)
	}
	for _, id := range s.workerIDs() {
		s.round(now, s.workers[id])
	}
	return s.out
}

// owned returns the owned shards in order.
func (s *Scheduler) owned() []int {
	return slices.Sorted(maps.Keys(s.shards))
}

// workerIDs returns the workers of owned shards in order.
func (s *Scheduler) workerIDs() []bamboofall.VMID {
	var out []bamboofall.VMID
	for id, w := range s.workers {
		if s.shards[w.shard] != nil {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (s *Scheduler) note(kind, name, format string, args ...any) {
	s.out.Notes = append(s.out.Notes, Note{kind, name, fmt.Sprintf(format, args...)})
}

func taskName(id bamboofall.TaskID) string { return fmt.Sprintf("%s/%d", id.Run, id.Index) }
