// Package ledger reduces a data centre's stream to the state of its shards, runs
// and tasks.
//
// The stream decides all conflicts. Whether a record is valid or void depends
// only on the state before it, so all readers agree, and applying a record a
// second time changes nothing. The rules are:
//
//   - A claim is valid if it names the current token of the shard. If the shard
//     has no owner, the claim takes effect at once. Otherwise it stays pending: an
//     owner that is alive objects, which ends the claim, and without an objection
//     the claimant confirms it after a wait.
//   - The offset of the record that changed the owner of a shard determines the
//     shard's token, which fences all smaller tokens.
//   - A handover is valid under the current token of the shard. Without a new
//     owner it releases the shard, and the next claimant need not wait.
//   - An intent, a close and a move are valid only under the current token of the
//     task's shard. An intent must name the next attempt of a pending task, so that
//     at most one attempt of a task is open. A close must name the open attempt.
//   - The name of a run identifies its submission. A second submission with the
//     same content changes nothing, and one with different content is void.
package ledger

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/wire/recordpb"
)

// Stream returns the name of the stream of a data centre.
func Stream(dc bamboofall.DataCentre) string { return "dc-" + string(dc) }

// ShardOf returns the shard to which a name hashes, such as that of a worker or
// a key.
func ShardOf(name string, shards int) int {
	return int(xxhash.Sum64String(name) % uint64(shards))
}

// Shard is the ownership of a shard. The zero value has no owner.
type Shard struct {
	Owner bamboofall.VMID
	// Incarnation identifies the owner's process.
	Incarnation string
	// Token is the fencing token of the ownership.
	Token bamboofall.Token
	// HandedOver is set if the previous owner gave the shard up itself or there
	// was none, so that the new owner need not wait.
	HandedOver bool
	// PendingClaim is a claim that is neither confirmed nor objected to.
	PendingClaim Claim
	// claimRecordID is the ID of the record that made Owner the owner: a claim or
	// a handover.
	claimRecordID string
}

// Claim is a claim to a shard that has an owner. The zero value means no claim.
type Claim struct {
	Owner       bamboofall.VMID
	Incarnation string
	// ClaimID is the ID of the claim's record.
	ClaimID string
}

// TaskStatus is the status of a task. The values are stored in snapshots.
type TaskStatus uint8

// Statuses of a task.
const (
	TaskPending TaskStatus = iota + 1
	// TaskOpen means that an attempt may be running.
	TaskOpen
	TaskFinished
	TaskFailed
	TaskCancelled
)

// Ended reports whether the status is final.
func (s TaskStatus) Ended() bool { return s >= TaskFinished }

// String returns the name of the status, for reports.
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
	// Attempt is the number of the last attempt, or zero before the first.
	Attempt uint32
	// Worker is the VM of the last attempt.
	Worker bamboofall.VMID
	// Failures counts the attempts that failed.
	Failures uint32
	// ProgressMS is the progress of the last checkpoint, in milliseconds of work.
	ProgressMS int64
	// Granted holds the resources granted to the last attempt.
	Granted bamboofall.Resources
	// IntentOffset is the offset of the intent of the last attempt.
	IntentOffset bamboofall.Offset
}

// Run is one submission of a job.
type Run struct {
	Submit *recordpb.Submit
	// Offset is the offset of the submission.
	Offset bamboofall.Offset
	// SubmittedMS is the submitter's wall clock, in milliseconds since 1970.
	SubmittedMS int64
	// Cancelled is set if the run was cancelled. Its open attempts may still run.
	Cancelled bool
	// Tasks holds the tasks by index.
	Tasks []*Task
	// remaining is the number of tasks that have not ended.
	remaining int
	// finishedTasks is the number of tasks with TaskFinished.
	finishedTasks int
}

// Name returns the name of the run.
func (r *Run) Name() string { return r.Submit.GetRun() }

// Size returns the resources that each task of the run declares.
func (r *Run) Size() bamboofall.Resources {
	return resourcesFromProto(r.Submit.GetSize())
}

func resourcesFromProto(s *recordpb.Resources) bamboofall.Resources {
	return bamboofall.Resources{
		MilliProcessors: s.GetMilliProcessors(),
		MemoryBytes:     s.GetMemoryBytes(),
		Accelerators:    s.GetAccelerators(),
	}
}

// ResourcesToProto returns resources as records carry them.
func ResourcesToProto(r bamboofall.Resources) *recordpb.Resources {
	return &recordpb.Resources{
		MilliProcessors: r.MilliProcessors, MemoryBytes: r.MemoryBytes, Accelerators: r.Accelerators,
	}
}

// Class returns the urgency class of the run.
func (r *Run) Class() bamboofall.Class { return bamboofall.Class(r.Submit.GetClass()) }

// AgingSpan is the age from which a run goes before new runs of the class above
// its own.
const AgingSpan = 10 * time.Minute

// Aged reports whether the run has waited for AgingSpan.
func (r *Run) Aged(now time.Time) bool { return now.Sub(time.UnixMilli(r.SubmittedMS)) >= AgingSpan }

// Done reports whether every task of the run has ended.
func (r *Run) Done() bool { return r.remaining == 0 }

// Finished reports whether every task of the run has finished.
func (r *Run) Finished() bool { return r.finishedTasks == len(r.Tasks) }

// Ledger is the state of a data centre's stream. Use New. It is not safe for
// concurrent use.
type Ledger struct {
	// nextOffset is the offset of the next entry to apply.
	nextOffset bamboofall.Offset
	shards     []Shard
	// runs holds the runs by name.
	runs map[string]*Run
	// live holds the tasks that have not ended, by shard.
	live []map[bamboofall.TaskID]*Task
	// endedRuns holds the names of the ended runs that are kept, oldest first.
	endedRuns []string
	// usage holds the resources that the open tasks of each trade take, by
	// declared size.
	usage map[string]Usage
}

// Usage holds the resources that open tasks take.
type Usage struct {
	Tasks     int64
	Resources bamboofall.Resources
}

// New returns the state before the first entry of a stream with a number of
// shards.
func New(shards int) *Ledger {
	l := &Ledger{shards: make([]Shard, shards), runs: make(map[string]*Run), usage: make(map[string]Usage)}
	for range shards {
		l.live = append(l.live, make(map[bamboofall.TaskID]*Task))
	}
	return l
}

// Next returns the offset of the next entry to apply.
func (l *Ledger) Next() bamboofall.Offset { return l.nextOffset }

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
// modify the map.
func (l *Ledger) Live(shard int) map[bamboofall.TaskID]*Task { return l.live[shard] }

// Usage returns the resources that the open tasks of a trade take.
func (l *Ledger) Usage(trade string) Usage { return l.usage[trade] }

// addUsage adds a task to the usage of its trade, or subtracts it if sign is
// -1.
func (l *Ledger) addUsage(t *Task, sign int64) {
	trade := t.Run.Submit.GetTrade()
	usage := l.usage[trade]
	usage.Tasks += sign
	if sign > 0 {
		usage.Resources = usage.Resources.Add(t.Run.Size())
	} else {
		usage.Resources = usage.Resources.Sub(t.Run.Size())
	}
	l.usage[trade] = usage
}

// Advance records that the entry at an offset was applied.
func (l *Ledger) Advance(offset bamboofall.Offset) { l.nextOffset = offset + 1 }
