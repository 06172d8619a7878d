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
	// clockDriftDivisor bounds the drift of a worker's clock: it may be slower than
	// ours by 1/clockDriftDivisor.
	clockDriftDivisor = 50
	// leaseMargin is added to the end of a lease because the worker's agent may
	// pause between reading its clock and stopping the task.
	leaseMargin = 500 * time.Millisecond
	// expiryCheckInterval is the time between two checks for expired leases.
	expiryCheckInterval = 200 * time.Millisecond
	// unreachableGrace is how long attempts at an unreachable worker stay open after
	// their leases, as long as the platform lists the worker. They may have
	// finished, and only the worker can report it.
	unreachableGrace = time.Minute
	// maxPlacementsPerPass bounds the tasks that are placed in one pass over a shard.
	maxPlacementsPerPass = 500
	// minRetryDelay and maxRetryDelay bound the time until the placement of a
	// deferred run is tried again.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 15 * time.Second
	// deferralsBeforeMove is the number of deferrals of a run after which its tasks
	// are moved to another shard.
	deferralsBeforeMove = 4
)

// Config holds the parameters of a scheduler.
type Config struct {
	// VM is the entry VM on which the scheduler runs.
	VM bamboofall.VMID
	// Lease is the length of a task's lease.
	Lease time.Duration
	// Sync is the interval between syncs with a worker.
	Sync time.Duration
	// TailWeight is the weight of the services' tail latency against batch
	// throughput, from 0 to 1.
	TailWeight float64
}

// Note explains a decision to operators.
type Note struct {
	// Kind is the kind of the object that Name names: "task" or "vm".
	Kind    string
	Name    string
	Message string
}

// Sync is a sync to make with a worker.
type Sync struct {
	Worker  bamboofall.VM
	Request bamboofall.SyncRequest
}

// Output holds the results of a call: records to append to the log, syncs to make
// with workers, and notes to log.
type Output struct {
	Records []*recordpb.Record
	Syncs   []Sync
	Notes   []Note
}

// Scheduler is the state machine of the package. Use New.
type Scheduler struct {
	cfg     Config
	ledger  *ledger.Ledger
	objects *object.Set
	shards  map[int]*ownedShard
	workers map[bamboofall.VMID]*worker
	// largestCapacity is the maximum capacity of any worker of the data centre, in
	// each dimension.
	largestCapacity bamboofall.Resources
	tasks           map[bamboofall.TaskID]*taskState
	estimates       *estimate.Estimates
	scores          *interference.Scores
	pending         map[pendingKey]*pendingState
	// wakeAt holds, by shard, when the next deferred run is due.
	wakeAt    map[int]time.Time
	lastDecay time.Time
	counters  Counters
	out       Output
}

// ownedShard is a shard that this VM owns.
type ownedShard struct {
	token bamboofall.Token
	// formerLeasesEnd is when all leases granted by the previous owner have certainly
	// expired. It counts for workers that have not answered a sync yet.
	formerLeasesEnd time.Time
	// needsPlacement is set when a pending task may have become placeable.
	needsPlacement    bool
	nextPlacementAt   time.Time
	nextExpiryCheckAt time.Time
}

// taskState holds what the owner knows of a task in addition to the ledger.
type taskState struct {
	// sentRecord is the kind of the record that was returned for the log and has not
	// been read back.
	sentRecord recordKind
	// sentAt is when that record was returned, and sentAttempt its attempt.
	sentAt      time.Time
	sentAttempt uint32
	peakUsage   bamboofall.Resources
}

// recordKind is the kind of a record about a task.
type recordKind uint8

const (
	recordNone recordKind = iota
	recordIntent
	recordClose
	recordMove
)

// Counters counts events since the start of the scheduler.
type Counters struct {
	// Started, Finished, Failed, Evicted and Lapsed count attempts. A lapsed attempt
	// ended because its lease expired or its worker lost it.
	Started, Finished, Failed, Evicted, Lapsed int64
	// Throttled counts throttle steps, Quarantined quarantines of workers, Moved tasks
	// moved to another shard, and InvalidReports invalid attempt reports.
	Throttled, Quarantined, Moved, InvalidReports int64
	// StaleTokens counts syncs that a worker rejected for a newer token. SyncFailures
	// counts all failed syncs.
	StaleTokens, SyncFailures int64
	// Deferred counts deferrals of runs by reason.
	Deferred map[string]int64
}

// New returns a scheduler that owns no shard.
func New(cfg Config, l *ledger.Ledger) *Scheduler {
	empty, _ := object.NewSet(nil)
	return &Scheduler{
		cfg:       cfg,
		ledger:    l,
		objects:   empty,
		shards:    make(map[int]*ownedShard),
		workers:   make(map[bamboofall.VMID]*worker),
		tasks:     make(map[bamboofall.TaskID]*taskState),
		estimates: estimate.New(),
		scores:    interference.New(),
		wakeAt:    make(map[int]time.Time),
		pending:   make(map[pendingKey]*pendingState),
		counters:  Counters{Deferred: make(map[string]int64)},
	}
}

// Counters returns the counters. The caller must not modify the map.
func (s *Scheduler) Counters() Counters { return s.counters }

// SetLedger replaces the ledger, after one was restored from a snapshot.
func (s *Scheduler) SetLedger(l *ledger.Ledger) { s.ledger = l }

// SetObjects sets the current configuration.
func (s *Scheduler) SetObjects(set *object.Set) { s.objects = set }

// Activate starts the scheduling of a shard as its owner.
func (s *Scheduler) Activate(now time.Time, shard int, token bamboofall.Token) {
	s.shards[shard] = &ownedShard{token: token, formerLeasesEnd: now.Add(s.leaseBound()), needsPlacement: true}
	for _, w := range s.workers {
		if w.shard == shard {
			w.reset(now)
		}
	}
	for _, t := range s.ledger.Live(shard) {
		delete(s.tasks, t.ID)
	}
}

// Deactivate stops the scheduling of a shard.
func (s *Scheduler) Deactivate(shard int) {
	delete(s.shards, shard)
	for _, t := range s.ledger.Live(shard) {
		delete(s.tasks, t.ID)
	}
}

// leaseBound returns the maximum time from the arrival of a worker's clock reading
// to the end of a lease that is based on it.
func (s *Scheduler) leaseBound() time.Duration {
	return s.cfg.Lease + s.cfg.Lease/clockDriftDivisor + leaseMargin
}

// SetFleet updates the workers from the platform's list of the VMs of this data
// centre.
func (s *Scheduler) SetFleet(now time.Time, vms []bamboofall.VM) {
	s.largestCapacity = bamboofall.Resources{}
	listed := make(map[bamboofall.VMID]bool, len(vms))
	for _, vm := range vms {
		if !vm.Agent.IsValid() {
			continue
		}
		listed[vm.ID] = true
		s.updateWorker(now, vm)
	}
	for id, w := range s.workers {
		w.listed = listed[id]
		if !w.listed && !s.hasOpenTasks(id) {
			delete(s.workers, id)
		}
	}
}

func (s *Scheduler) updateWorker(now time.Time, vm bamboofall.VM) {
	w := s.workers[vm.ID]
	if w == nil {
		w = newWorker(now, vm, ledger.ShardOf(string(vm.ID), s.ledger.Shards()))
		s.workers[vm.ID] = w
		s.requestPlacement(w.shard)
	}
	w.vm = vm
	w.capacity = vm.Room
	for _, i := range vm.Instances {
		w.capacity = w.capacity.Sub(i.Size)
	}
	if !vm.Leaving {
		s.largestCapacity = s.largestCapacity.Max(w.capacity)
	}
}

// requestPlacement makes the next step try to place the shard's pending tasks.
func (s *Scheduler) requestPlacement(shard int) {
	if o := s.shards[shard]; o != nil {
		o.needsPlacement = true
	}
}

// hasOpenTasks reports whether a worker has open tasks of owned shards.
func (s *Scheduler) hasOpenTasks(id bamboofall.VMID) bool {
	return len(s.openTasksAt(id)) > 0
}

// openTasksAt returns the open tasks at a worker, sorted by ID.
func (s *Scheduler) openTasksAt(id bamboofall.VMID) []*ledger.Task {
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

// sortedTasks returns the keys of a map in sorted order, so that the output does not
// depend on the order of map iteration.
func sortedTasks[V any](m map[bamboofall.TaskID]V) []bamboofall.TaskID {
	return slices.SortedFunc(maps.Keys(m), compareTasks)
}

func compareTasks(a, b bamboofall.TaskID) int {
	return cmp.Or(strings.Compare(a.Run, b.Run), cmp.Compare(a.Index, b.Index))
}

// Applied must be called after each record that was applied to the ledger.
func (s *Scheduler) Applied(now time.Time, r *recordpb.Record, v ledger.Verdict) {
	switch body := r.GetBody().(type) {
	case *recordpb.Record_Submit:
		s.requestPlacementOfAll()
	case *recordpb.Record_Cancel:
		s.syncWorkersOfRun(now, body.Cancel.GetRun())
	case *recordpb.Record_Intent:
		s.appliedIntent(now, body.Intent, v)
	case *recordpb.Record_Close:
		s.appliedClose(now, body.Close)
	case *recordpb.Record_Move:
		id := bamboofall.TaskID{Run: body.Move.GetRun(), Index: body.Move.GetIndex()}
		delete(s.tasks, id)
		s.requestPlacement(int(body.Move.GetToShard()))
	}
}

func (s *Scheduler) requestPlacementOfAll() {
	for shard := range s.shards {
		s.requestPlacement(shard)
	}
}

func (s *Scheduler) syncWorkersOfRun(now time.Time, name string) {
	r := s.ledger.Run(name)
	if r == nil {
		return
	}
	for _, t := range r.Tasks {
		if t.Status == ledger.TaskOpen {
			s.syncSoon(now, t.Worker)
		}
	}
}

func (s *Scheduler) appliedIntent(now time.Time, i *recordpb.Intent, v ledger.Verdict) {
	id := bamboofall.TaskID{Run: i.GetRun(), Index: i.GetIndex()}
	t := s.ledger.Task(id)
	if t == nil {
		return
	}
	if st := s.tasks[id]; st != nil && st.sentRecord == recordIntent {
		st.sentRecord = recordNone
	}
	if t.Status != ledger.TaskOpen {
		s.releaseReservations(id)
		return
	}
	if w := s.workers[t.Worker]; w != nil {
		w.open[id] = true
		s.syncSoon(now, t.Worker)
	}
	if v.VoidReason == "" && !v.Repeat && s.shards[t.Shard] != nil {
		s.counters.Started++
	}
}

func (s *Scheduler) appliedClose(now time.Time, c *recordpb.Close) {
	id := bamboofall.TaskID{Run: c.GetRun(), Index: c.GetIndex()}
	t := s.ledger.Task(id)
	if t == nil || t.Status == ledger.TaskOpen {
		return
	}
	s.releaseReservations(id)
	if w := s.workers[t.Worker]; w != nil {
		delete(w.open, id)
		delete(w.reported, id)
		delete(w.evicting, id)
		s.syncSoon(now, t.Worker)
	}
	delete(s.tasks, id)
	s.requestPlacement(t.Shard)
	s.retryUrgent(t.Shard)
	if t.Run.Done() {
		for shard := range s.shards {
			delete(s.pending, pendingKey{shard, c.GetRun()})
		}
		// Runs that depend on this one may have become startable.
		s.requestPlacementOfAll()
	}
}

// retryUrgent cancels the retry delay of the urgent tasks for which resources are
// being freed, because a closed attempt may have freed them.
func (s *Scheduler) retryUrgent(shard int) {
	for _, w := range s.workers {
		if w.shard != shard {
			continue
		}
		for id := range w.urgentReservations {
			if t := s.ledger.Task(id); t != nil {
				s.pendingStateOf(shard, t.Run).retryAt = time.Time{}
			}
		}
	}
}

// releaseReservations releases all resources that are reserved for a task.
func (s *Scheduler) releaseReservations(id bamboofall.TaskID) {
	for _, w := range s.workers {
		delete(w.reserved, id)
		delete(w.urgentReservations, id)
	}
}

// state returns the owner's state of a task and creates it if it is missing.
func (s *Scheduler) state(id bamboofall.TaskID) *taskState {
	st := s.tasks[id]
	if st == nil {
		st = &taskState{}
		s.tasks[id] = st
	}
	return st
}

func (s *Scheduler) syncSoon(now time.Time, id bamboofall.VMID) {
	if w := s.workers[id]; w != nil && now.Before(w.nextSyncAt) {
		w.nextSyncAt = now
	}
}

// Step performs all actions that are due: it closes expired attempts, places pending
// tasks and starts syncs.
func (s *Scheduler) Step(now time.Time) Output {
	s.out = Output{}
	if now.Sub(s.lastDecay) >= time.Second {
		s.lastDecay = now
		s.scores.Decay()
	}
	for _, shard := range s.ownedShards() {
		if at := s.wakeAt[shard]; !at.IsZero() && !now.Before(at) {
			s.requestPlacement(shard)
		}
		if o := s.shards[shard]; !now.Before(o.nextExpiryCheckAt) {
			o.nextExpiryCheckAt = now.Add(expiryCheckInterval)
			s.closeExpired(now, shard)
		}
		s.place(now, shard)
	}
	for _, id := range s.workerIDs() {
		s.startSync(now, s.workers[id])
	}
	return s.out
}

// ownedShards returns the numbers of the owned shards, sorted.
func (s *Scheduler) ownedShards() []int {
	return slices.Sorted(maps.Keys(s.shards))
}

// workerIDs returns the IDs of the workers of owned shards, sorted.
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
