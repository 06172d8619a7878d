package ledger

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/wire/recordpb"
)

// Version is the version of the record and snapshot format that is written.
const Version = 1

// Snapshot encodes the state.
func (l *Ledger) Snapshot() ([]byte, error) {
	snapshot := &recordpb.LedgerSnapshot{Version: Version, NextOffset: uint64(l.nextOffset)}
	for _, shard := range l.shards {
		snapshot.Shards = append(snapshot.Shards, &recordpb.ShardState{
			Owner: string(shard.Owner), Token: uint64(shard.Token), ClaimId: shard.claimRecordID, HandedOver: shard.HandedOver,
			Incarnation: shard.Incarnation, PendingOwner: string(shard.PendingClaim.Owner),
			PendingIncarnation: shard.PendingClaim.Incarnation, PendingClaimId: shard.PendingClaim.ClaimID,
		})
	}
	isEnded := make(map[string]bool, len(l.endedRuns))
	for _, name := range l.endedRuns {
		isEnded[name] = true
		snapshot.Runs = append(snapshot.Runs, l.runs[name].snapshot())
	}
	for _, r := range l.Runs() {
		if !isEnded[r.Name()] {
			snapshot.Runs = append(snapshot.Runs, r.snapshot())
		}
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
}

// snapshot returns the state of a run as snapshots hold it.
func (r *Run) snapshot() *recordpb.RunState {
	state := &recordpb.RunState{Submit: r.Submit, Offset: uint64(r.Offset), SubmittedMs: r.SubmittedMS, Cancelled: r.Cancelled}
	for _, t := range r.Tasks {
		state.Tasks = append(state.Tasks, &recordpb.TaskState{
			State:        uint32(t.Status),
			Shard:        uint32(t.Shard),
			Attempt:      t.Attempt,
			Worker:       string(t.Worker),
			Failures:     t.Failures,
			ProgressMs:   t.ProgressMS,
			IntentOffset: uint64(t.IntentOffset),
			Size:         ResourcesToProto(t.Granted),
		})
	}
	return state
}

// Restore decodes a snapshot. The number of shards must match that of the data
// centre.
func Restore(data []byte, shards int) (*Ledger, error) {
	var snapshot recordpb.LedgerSnapshot
	if err := proto.Unmarshal(data, &snapshot); err != nil {
		return nil, fmt.Errorf("ledger snapshot: %w", err)
	}
	if snapshot.GetVersion() != Version {
		return nil, fmt.Errorf("ledger snapshot: unsupported version %d, want %d", snapshot.GetVersion(), Version)
	}
	if len(snapshot.GetShards()) != shards {
		return nil, fmt.Errorf("ledger snapshot: has %d shards, settings have %d", len(snapshot.GetShards()), shards)
	}
	l := New(shards)
	l.nextOffset = bamboofall.Offset(snapshot.GetNextOffset())
	for i, shard := range snapshot.GetShards() {
		l.shards[i] = Shard{
			Owner: bamboofall.VMID(shard.GetOwner()), Token: bamboofall.Token(shard.GetToken()),
			Incarnation: shard.GetIncarnation(), HandedOver: shard.GetHandedOver(), claimRecordID: shard.GetClaimId(),
			PendingClaim: Claim{
				Owner: bamboofall.VMID(shard.GetPendingOwner()), Incarnation: shard.GetPendingIncarnation(),
				ClaimID: shard.GetPendingClaimId(),
			},
		}
	}
	for _, r := range snapshot.GetRuns() {
		if err := l.restoreRun(r); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func (l *Ledger) restoreRun(state *recordpb.RunState) error {
	if state.GetSubmit() == nil {
		return fmt.Errorf("ledger snapshot: run has no submission")
	}
	r := &Run{Submit: state.GetSubmit(), Offset: bamboofall.Offset(state.GetOffset()), SubmittedMS: state.GetSubmittedMs(), Cancelled: state.GetCancelled()}
	for i, task := range state.GetTasks() {
		if int(task.GetShard()) >= len(l.shards) || task.GetState() == 0 || task.GetState() > uint32(TaskCancelled) {
			return fmt.Errorf("ledger snapshot: run %q: task %d has an invalid state or shard", r.Name(), i)
		}
		t := &Task{
			ID:           bamboofall.TaskID{Run: r.Name(), Index: uint32(i)},
			Run:          r,
			Status:       TaskStatus(task.GetState()),
			Shard:        int(task.GetShard()),
			Attempt:      task.GetAttempt(),
			Worker:       bamboofall.VMID(task.GetWorker()),
			Failures:     task.GetFailures(),
			ProgressMS:   task.GetProgressMs(),
			IntentOffset: bamboofall.Offset(task.GetIntentOffset()),
			Granted:      resourcesFromProto(task.GetSize()),
		}
		r.Tasks = append(r.Tasks, t)
		if !t.Status.Ended() {
			l.live[t.Shard][t.ID] = t
			r.remaining++
		}
		if t.Status == TaskOpen {
			l.addUsage(t, 1)
		}
		if t.Status == TaskFinished {
			r.finishedTasks++
		}
	}
	l.runs[r.Name()] = r
	if r.remaining == 0 {
		l.endedRuns = append(l.endedRuns, r.Name())
	}
	return nil
}
