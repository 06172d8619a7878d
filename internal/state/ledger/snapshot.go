package ledger

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/wire/recordpb"
)

// Version is the format of records and snapshots that this code writes.
const Version = 1

// Snapshot encodes the state.
func (l *Ledger) Snapshot() ([]byte, error) {
	s := &recordpb.LedgerSnapshot{Version: Version, NextOffset: uint64(l.next)}
	for _, sh := range l.shards {
		s.Shards = append(s.Shards, &recordpb.ShardState{
			Owner: string(sh.Owner), Token: uint64(sh.Token), ClaimId: sh.claimID, HandedOver: sh.HandedOver,
			Incarnation: sh.Incarnation, PendingOwner: string(sh.Pending.Owner),
			PendingIncarnation: sh.Pending.Incarnation, PendingClaimId: sh.Pending.ClaimID,
		})
	}
	ended := make(map[string]bool, len(l.ended))
	for _, name := range l.ended {
		ended[name] = true
		s.Runs = append(s.Runs, l.runs[name].snapshot())
	}
	for _, r := range l.Runs() {
		if !ended[r.Name()] {
			s.Runs = append(s.Runs, r.snapshot())
		}
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(s)
}

func (r *Run) snapshot() *recordpb.RunState {
	s := &recordpb.RunState{Submit: r.Submit, Offset: uint64(r.Offset), SubmittedMs: r.SubmittedMS, Cancelled: r.Cancelled}
	for _, t := range r.Tasks {
		s.Tasks = append(s.Tasks, &recordpb.TaskState{
			State:        uint32(t.Status),
			Shard:        uint32(t.Shard),
			Attempt:      t.Attempt,
			Worker:       string(t.Worker),
			Failures:     t.Failures,
			ProgressMs:   t.ProgressMS,
			IntentOffset: uint64(t.IntentOffset),
			Size:         ToResources(t.Granted),
		})
	}
	return s
}

// Restore decodes a snapshot. The number of shards must be that of the data
// centre.
func Restore(data []byte, shards int) (*Ledger, error) {
	var s recordpb.LedgerSnapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("ledger snapshot: %w", err)
	}
	if s.GetVersion() != Version {
		return nil, fmt.Errorf("ledger snapshot: version %d is not %d", s.GetVersion(), Version)
	}
	if len(s.GetShards()) != shards {
		return nil, fmt.Errorf("ledger snapshot: %d shards, but the settings say %d", len(s.GetShards()), shards)
	}
	l := New(shards)
	l.next = bamboofall.Offset(s.GetNextOffset())
	for i, sh := range s.GetShards() {
		l.shards[i] = Shard{
			Owner: bamboofall.VMID(sh.GetOwner()), Token: bamboofall.Token(sh.GetToken()),
			Incarnation: sh.GetIncarnation(), HandedOver: sh.GetHandedOver(), claimID: sh.GetClaimId(),
			Pending: Pending{
				Owner: bamboofall.VMID(sh.GetPendingOwner()), Incarnation: sh.GetPendingIncarnation(),
				ClaimID: sh.GetPendingClaimId(),
			},
		}
	}
	for _, r := range s.GetRuns() {
		if err := l.restoreRun(r); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func (l *Ledger) restoreRun(s *recordpb.RunState) error {
	if s.GetSubmit() == nil {
		return fmt.Errorf("ledger snapshot: run without submission")
	}
	r := &Run{Submit: s.GetSubmit(), Offset: bamboofall.Offset(s.GetOffset()), SubmittedMS: s.GetSubmittedMs(), Cancelled: s.GetCancelled()}
	for i, ts := range s.GetTasks() {
		if int(ts.GetShard()) >= len(l.shards) || ts.GetState() == 0 || ts.GetState() > uint32(TaskCancelled) {
			return fmt.Errorf("ledger snapshot: run %q: task %d is not valid", r.Name(), i)
		}
		t := &Task{
			ID:           bamboofall.TaskID{Run: r.Name(), Index: uint32(i)},
			Run:          r,
			Status:       TaskStatus(ts.GetState()),
			Shard:        int(ts.GetShard()),
			Attempt:      ts.GetAttempt(),
			Worker:       bamboofall.VMID(ts.GetWorker()),
			Failures:     ts.GetFailures(),
			ProgressMS:   ts.GetProgressMs(),
			IntentOffset: bamboofall.Offset(ts.GetIntentOffset()),
			Granted:      fromResources(ts.GetSize()),
		}
		r.Tasks = append(r.Tasks, t)
		if !t.Status.Ended() {
			l.live[t.Shard][t.ID] = t
			r.open++
		}
		if t.Status == TaskOpen {
			l.charge(t, 1)
		}
		if t.Status == TaskFinished {
			r.finished++
		}
	}
	l.runs[r.Name()] = r
	if r.open == 0 {
		l.ended = append(l.ended, r.Name())
	}
	return nil
}
