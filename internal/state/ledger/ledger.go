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
