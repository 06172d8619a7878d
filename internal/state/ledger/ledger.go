// Package ledger reduces a data centre's stream to its shards, runs and tasks.
//
// The stream is the only arbiter. A record is valid or void by the state that
// it meets, so all readers agree, and a record that was written twice changes
// nothing the second time. The rules are:
//
//   - A claim is valid if it names the token that the shard has. A shard
//     without owner is the claimant's at once. An owner that is alive objects,
//     which ends the claim; otherwise the claimant confirms it after a wait.
//   - The offset of the record that moved a shard is the shard's token, and
//     fences every smaller one.
//   - A handover is valid under the shard's token. Without a receiver it
//     releases the shard, and the next claimant need not wait.
//   - An intent, a close and a move are valid only under the token of the
//     task's shard. An intent must name the next attempt of a pending task, so
//     at most one attempt of a task is open. A close must name the open one.
//   - A run is submitted once by name. A second record with the same content
//     changes nothing, and one with other content is void.
package ledger

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/wire/recordpb"
)

// Stream returns the name of a data centre's stream.
func Stream(dc bamboofall.DataCentre) string { return "dc-" + string(dc) }

// ShardOf returns the shard of a name, such as a worker's or a key's.
func ShardOf(name string, shards int) int {
	return int(xxhash.Sum64String(name) % uint64(shards))
}

// Shard is the ownership of a shard. The zero value has no owner.
type Shard struct {
	Owner bamboofall.VMID
	// Incarnation is the owner's process.
	Incarnation string
	Token       bamboofall.Token
	// HandedOver is set if the last owner gave the shard away itself, so that
	// the new owner need not wait.
	HandedOver bool
	// Pending is a claim that was neither confirmed nor objected to.
	Pending Pending
	claimID string
}

// Pending is a claim against the owner of a shard. The zero value is none.
type Pending struct {
	Owner       bamboofall.VMID
	Incarnation string
	ClaimID     string
}

// TaskStatus is the state of a task.
type TaskStatus uint8

// The states of a task.
const (
	TaskPending TaskStatus = iota + 1
	// TaskOpen has an attempt that may run.
	TaskOpen
	TaskFinished
	TaskFailed
	TaskCancelled
)

// Ended reports whether the task will not run again.
func (s TaskStatus) Ended() bool { return s >= TaskFinished }

// String returns the name of the state in reports.
func (s TaskStatus) String() string {
	names := [...]string{"invalid", "pending", "open", "finished", "failed", "cancelled"}
	if int(s) < len(names) {
		return names[s]
	}
	return names[0]
}

// Task is one task of a run.
type Task struct {
	ID     bamboofall.TaskID
	Run    *Run
	Status TaskStatus
	Shard  int
	// Attempt is the number of the last attempt. Zero before the first.
	Attempt  uint32
	Worker   bamboofall.VMID
	Failures uint32
	// ProgressMS is the last checkpoint, in milliseconds of work.
	ProgressMS int64
	// Granted is the room that the last attempt got.
	Granted bamboofall.Resources
	// IntentOffset is the offset of the intent of the open attempt.
	IntentOffset bamboofall.Offset
}

// Run is one submission of a job.
type Run struct {
	Submit *recordpb.Submit
	Offset bamboofall.Offset
	// SubmittedMS is the submitter's wall clock, in milliseconds since 1970.
	SubmittedMS int64
	Cancelled   bool
	Tasks       []*Task
	open        int
	finished    int
}

// Name returns the name of the run.
func (r *Run) Name() string { return r.Submit.GetRun() }

// Size returns the declared size of a task.
func (r *Run) Size() bamboofall.Resources {
	return fromResources(r.Submit.GetSize())
}

func fromResources(s *recordpb.Resources) bamboofall.Resources {
	return bamboofall.Resources{
		MilliProcessors: s.GetMilliProcessors(),
		MemoryBytes:     s.GetMemoryBytes(),
		Accelerators:    s.GetAccelerators(),
	}
}

// ToResources returns an amount as records carry it.
func ToResources(r bamboofall.Resources) *recordpb.Resources {
	return &recordpb.Resources{
		MilliProcessors: r.MilliProcessors, MemoryBytes: r.MemoryBytes, Accelerators: r.Accelerators,
	}
}

// Class returns the urgency of the run.
func (r *Run) Class() bamboofall.Class { return bamboofall.Class(r.Submit.GetClass()) }

// AgingSpan is how much older work of a class must be to go before new work of
// the class above it.
const AgingSpan = 10 * time.Minute

// Old reports whether the run has waited so long that it goes before its turn.
func (r *Run) Old(now time.Time) bool { return now.Sub(time.UnixMilli(r.SubmittedMS)) >= AgingSpan }

// Done reports whether every task of the run has ended.
func (r *Run) Done() bool { return r.open == 0 }

// Finished reports whether every task of the run has finished.
func (r *Run) Finished() bool { return r.finished == len(r.Tasks) }

// Ledger is the state of a data centre's stream. Use New.
type Ledger struct {
	next   bamboofall.Offset
	shards []Shard
	runs   map[string]*Run
	// live holds the tasks that have not ended, by shard.
	live []map[bamboofall.TaskID]*Task
	// ended holds the names of ended runs, oldest first.
	ended []string
	// use is what the open tasks of each trade take by their declared sizes.
	use map[string]Use
}

// Use is what open tasks take.
type Use struct {
	Tasks int64
	Room  bamboofall.Resources
}

// maxEnded is how many ended runs are kept. A submission that repeats the name
// of one is recognized as long as it is.
const maxEnded = 20_000

// New returns the state before the first entry of a stream with a number of
// shards.
func New(shards int) *Ledger {
	l := &Ledger{shards: make([]Shard, shards), runs: make(map[string]*Run), use: make(map[string]Use)}
	for range shards {
		l.live = append(l.live, make(map[bamboofall.TaskID]*Task))
	}
	return l
}

// Next returns the offset of the next entry to apply.
func (l *Ledger) Next() bamboofall.Offset { return l.next }

// Shards returns the number of shards.
func (l *Ledger) Shards() int { return len(l.shards) }

// Shard returns the ownership of a shard.
func (l *Ledger) Shard(i int) Shard { return l.shards[i] }

// Run returns a run by name, or nil.
func (l *Ledger) Run(name string) *Run { return l.runs[name] }

// Runs returns all runs in the order of their submission.
func (l *Ledger) Runs() []*Run {
	runs := make([]*Run, 0, len(l.runs))
	for _, r := range l.runs {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool {
		if runs[i].Offset != runs[j].Offset {
			return runs[i].Offset < runs[j].Offset
		}
		return runs[i].Name() < runs[j].Name()
	})
	return runs
}

// Task returns a task, or nil.
func (l *Ledger) Task(id bamboofall.TaskID) *Task {
	r := l.runs[id.Run]
	if r == nil || int(id.Index) >= len(r.Tasks) {
		return nil
	}
	return r.Tasks[id.Index]
}

// Live returns the tasks of a shard that have not ended. The caller must not
// change the map.
func (l *Ledger) Live(shard int) map[bamboofall.TaskID]*Task { return l.live[shard] }

// Use returns what the open tasks of a trade take.
func (l *Ledger) Use(trade string) Use { return l.use[trade] }

// charge adds a task to the use of its trade, or takes it off if sign is -1.
func (l *Ledger) charge(t *Task, sign int64) {
	trade := t.Run.Submit.GetTrade()
	u := l.use[trade]
	u.Tasks += sign
	if sign > 0 {
		u.Room = u.Room.Add(t.Run.Size())
	} else {
		u.Room = u.Room.Sub(t.Run.Size())
	}
	l.use[trade] = u
}

// Advance records that the entry at an offset was applied.
func (l *Ledger) Advance(offset bamboofall.Offset) { l.next = offset + 1 }

// Verdict is what became of a record. An empty Void means that it took effect
// or had already.
type Verdict struct {
	Void string
	// Repeat is set if the record changed nothing because it had taken effect.
	Repeat bool
}

// Apply applies one record of the entry at an offset.
func (l *Ledger) Apply(offset bamboofall.Offset, r *recordpb.Record) Verdict {
	switch body := r.GetBody().(type) {
	case *recordpb.Record_Claim:
		return l.applyClaim(offset, r.GetId(), body.Claim)
	case *recordpb.Record_Handover:
		return l.applyHandover(offset, r.GetId(), body.Handover)
	case *recordpb.Record_Submit:
		return l.applySubmit(offset, r.GetWrittenUnixMs(), body.Submit)
	case *recordpb.Record_Cancel:
		return l.applyCancel(body.Cancel)
	case *recordpb.Record_Intent:
		return l.applyIntent(offset, body.Intent)
	case *recordpb.Record_Close:
		return l.applyClose(body.Close)
	case *recordpb.Record_Move:
		return l.applyMove(body.Move)
	case *recordpb.Record_Confirm:
		return l.applyConfirm(offset, body.Confirm)
	case *recordpb.Record_Objection:
		return l.applyObjection(body.Objection)
	}
	return Verdict{Void: "unknown record"}
}

func void(reason string) Verdict { return Verdict{Void: reason} }

func (l *Ledger) applyClaim(offset bamboofall.Offset, id string, c *recordpb.Claim) Verdict {
	if int(c.GetShards()) != len(l.shards) || int(c.GetShard()) >= len(l.shards) {
		return void("claim with another number of shards")
	}
	s := &l.shards[c.GetShard()]
	if s.claimID == id || s.Pending.ClaimID == id {
		return Verdict{Repeat: true}
	}
	if uint64(s.Token) != c.GetPreviousToken() {
		return void("claim lost the race")
	}
	claim := Pending{Owner: bamboofall.VMID(c.GetOwner()), Incarnation: c.GetIncarnation(), ClaimID: id}
	if s.Owner != "" {
		s.Pending = claim
		return Verdict{}
	}
	*s = claim.owned(offset)
	s.HandedOver = true
	return Verdict{}
}

// owned returns the shard once the claim has won.
func (p Pending) owned(offset bamboofall.Offset) Shard {
	return Shard{Owner: p.Owner, Incarnation: p.Incarnation, Token: tokenAt(offset), claimID: p.ClaimID}
}

func (l *Ledger) applyConfirm(offset bamboofall.Offset, c *recordpb.Confirm) Verdict {
	if int(c.GetShard()) >= len(l.shards) {
		return void("unknown shard")
	}
	s := &l.shards[c.GetShard()]
	if s.claimID == c.GetClaimId() {
		return Verdict{Repeat: true}
	}
	if s.Pending.ClaimID == "" || s.Pending.ClaimID != c.GetClaimId() {
		return void("claim is not pending")
	}
	*s = s.Pending.owned(offset)
	return Verdict{}
}

func (l *Ledger) applyObjection(o *recordpb.Objection) Verdict {
	if int(o.GetShard()) >= len(l.shards) {
		return void("unknown shard")
	}
	s := &l.shards[o.GetShard()]
	if uint64(s.Token) != o.GetToken() {
		return void("fenced token")
	}
	if s.Pending.ClaimID != o.GetClaimId() {
		return Verdict{Repeat: true}
	}
	s.Pending = Pending{}
	return Verdict{}
}

// tokenAt returns the token of a claim. Offsets start at zero, tokens at one.
func tokenAt(offset bamboofall.Offset) bamboofall.Token { return bamboofall.Token(offset) + 1 }

func (l *Ledger) applyHandover(offset bamboofall.Offset, id string, h *recordpb.Handover) Verdict {
	if int(h.GetShard()) >= len(l.shards) {
		return void("unknown shard")
	}
	s := &l.shards[h.GetShard()]
	if s.claimID == id {
		return Verdict{Repeat: true}
	}
	if uint64(s.Token) != h.GetToken() {
		return void("fenced token")
	}
	*s = Shard{
		Owner: bamboofall.VMID(h.GetTo()), Incarnation: h.GetIncarnation(),
		Token: tokenAt(offset), claimID: id, HandedOver: true,
	}
	return Verdict{}
}

func (l *Ledger) applySubmit(offset bamboofall.Offset, writtenMS int64, s *recordpb.Submit) Verdict {
	if old := l.runs[s.GetRun()]; old != nil {
		if old.Submit.GetContentHash() != s.GetContentHash() {
			return void("run exists with other content")
		}
		return Verdict{Repeat: true}
	}
	if s.GetRun() == "" || s.GetTasks() == 0 {
		return void("run without name or tasks")
	}
	l.add(&Run{Submit: s, Offset: offset, SubmittedMS: writtenMS})
	return Verdict{}
}

// add deals the tasks of a new run out to the shards.
func (l *Ledger) add(r *Run) {
	l.runs[r.Name()] = r
	first := ShardOf(r.Name(), len(l.shards))
	for i := range r.Submit.GetTasks() {
		t := &Task{
			ID:     bamboofall.TaskID{Run: r.Name(), Index: i},
			Run:    r,
			Status: TaskPending,
			Shard:  (first + int(i)) % len(l.shards),
		}
		r.Tasks = append(r.Tasks, t)
		l.live[t.Shard][t.ID] = t
	}
	r.open = len(r.Tasks)
}

func (l *Ledger) applyCancel(c *recordpb.Cancel) Verdict {
	r := l.runs[c.GetRun()]
	if r == nil {
		return void("unknown run")
	}
	if r.Cancelled {
		return Verdict{Repeat: true}
	}
	r.Cancelled = true
	for _, t := range r.Tasks {
		if t.Status == TaskPending {
			l.end(t, TaskCancelled)
		}
	}
	return Verdict{}
}

// end moves a task to a final state and drops old ended runs.
func (l *Ledger) end(t *Task, status TaskStatus) {
	t.Status = status
	if status == TaskFinished {
		t.Run.finished++
	}
	delete(l.live[t.Shard], t.ID)
	t.Run.open--
	if t.Run.open > 0 {
		return
	}
	l.ended = append(l.ended, t.Run.Name())
	if len(l.ended) > maxEnded {
		delete(l.runs, l.ended[0])
		l.ended = l.ended[1:]
	}
}

// taskUnder returns a task if the token is that of its shard.
func (l *Ledger) taskUnder(run string, index uint32, token uint64) (*Task, string) {
	t := l.Task(bamboofall.TaskID{Run: run, Index: index})
	if t == nil {
		return nil, "unknown task"
	}
	if uint64(l.shards[t.Shard].Token) != token {
		return nil, "fenced token"
	}
	return t, ""
}

func (l *Ledger) applyIntent(offset bamboofall.Offset, i *recordpb.Intent) Verdict {
	t, reason := l.taskUnder(i.GetRun(), i.GetIndex(), i.GetToken())
	if t == nil {
		return void(reason)
	}
	if t.Status == TaskOpen && t.Attempt == i.GetAttempt() && string(t.Worker) == i.GetWorker() {
		return Verdict{Repeat: true}
	}
	if t.Status != TaskPending || i.GetAttempt() != t.Attempt+1 {
		return void("not the next attempt of a pending task")
	}
	t.Status = TaskOpen
	t.Attempt = i.GetAttempt()
	t.Worker = bamboofall.VMID(i.GetWorker())
	t.IntentOffset = offset
	t.Granted = fromResources(i.GetSize())
	l.charge(t, 1)
	return Verdict{}
}

func (l *Ledger) applyClose(c *recordpb.Close) Verdict {
	t, reason := l.taskUnder(c.GetRun(), c.GetIndex(), c.GetToken())
	if t == nil {
		return void(reason)
	}
	if t.Attempt == c.GetAttempt() && t.Status != TaskOpen {
		return Verdict{Repeat: true}
	}
	if t.Status != TaskOpen || t.Attempt != c.GetAttempt() {
		return void("not the open attempt")
	}
	t.ProgressMS = max(t.ProgressMS, c.GetProgressMs())
	l.charge(t, -1)
	switch c.GetReason() {
	case recordpb.CloseReason_CLOSE_REASON_FINISHED:
		l.end(t, TaskFinished)
		return Verdict{}
	case recordpb.CloseReason_CLOSE_REASON_FAILED:
		t.Failures++
	}
	switch {
	case t.Run.Cancelled:
		l.end(t, TaskCancelled)
	case t.Failures > t.Run.Submit.GetMaxFailures() && !t.Run.Submit.GetStanding():
		l.end(t, TaskFailed)
	default:
		t.Status = TaskPending
	}
	return Verdict{}
}

func (l *Ledger) applyMove(m *recordpb.Move) Verdict {
	t, reason := l.taskUnder(m.GetRun(), m.GetIndex(), m.GetToken())
	if t == nil {
		return void(reason)
	}
	if t.Status != TaskPending || int(m.GetToShard()) >= len(l.shards) {
		return void("only a pending task moves, to a shard that exists")
	}
	delete(l.live[t.Shard], t.ID)
	t.Shard = int(m.GetToShard())
	l.live[t.Shard][t.ID] = t
	return Verdict{}
}
