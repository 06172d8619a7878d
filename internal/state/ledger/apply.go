package ledger

import (
	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/wire/recordpb"
)

// maxEndedRuns is the number of ended runs that are kept. A repeated submission
// is recognized only while its run is kept.
const maxEndedRuns = 20_000

// Verdict is the result of applying a record.
type Verdict struct {
	// VoidReason says why the record has no effect, or is empty if it took effect. It is
	// a label of the metric voidRecords.
	VoidReason string
	// Repeat is set if the record changed nothing because it had taken effect
	// before.
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
	return Verdict{VoidReason: "unknown record"}
}

// void returns the verdict of a record without effect.
func void(reason string) Verdict { return Verdict{VoidReason: reason} }

func (l *Ledger) applyClaim(offset bamboofall.Offset, id string, c *recordpb.Claim) Verdict {
	if int(c.GetShards()) != len(l.shards) || int(c.GetShard()) >= len(l.shards) {
		return void("claim with another number of shards")
	}
	s := &l.shards[c.GetShard()]
	if s.claimRecordID == id || s.PendingClaim.ClaimID == id {
		return Verdict{Repeat: true}
	}
	if uint64(s.Token) != c.GetPreviousToken() {
		return void("claim lost the race")
	}
	claim := Claim{Owner: bamboofall.VMID(c.GetOwner()), Incarnation: c.GetIncarnation(), ClaimID: id}
	if s.Owner != "" {
		s.PendingClaim = claim
		return Verdict{}
	}
	*s = claim.ownership(offset)
	s.HandedOver = true
	return Verdict{}
}

// ownership returns the state of the ownership once the claim has succeeded at an
// offset.
func (p Claim) ownership(offset bamboofall.Offset) Shard {
	return Shard{Owner: p.Owner, Incarnation: p.Incarnation, Token: tokenAt(offset), claimRecordID: p.ClaimID}
}

func (l *Ledger) applyConfirm(offset bamboofall.Offset, c *recordpb.Confirm) Verdict {
	if int(c.GetShard()) >= len(l.shards) {
		return void("unknown shard")
	}
	s := &l.shards[c.GetShard()]
	if s.claimRecordID == c.GetClaimId() {
		return Verdict{Repeat: true}
	}
	if s.PendingClaim.ClaimID == "" || s.PendingClaim.ClaimID != c.GetClaimId() {
		return void("claim is not pending")
	}
	*s = s.PendingClaim.ownership(offset)
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
	if s.PendingClaim.ClaimID != o.GetClaimId() {
		return Verdict{Repeat: true}
	}
	s.PendingClaim = Claim{}
	return Verdict{}
}

// tokenAt returns the token of an owner that was installed by the entry at an
// offset. Offsets start at zero, tokens at one.
func tokenAt(offset bamboofall.Offset) bamboofall.Token { return bamboofall.Token(offset) + 1 }

func (l *Ledger) applyHandover(offset bamboofall.Offset, id string, h *recordpb.Handover) Verdict {
	if int(h.GetShard()) >= len(l.shards) {
		return void("unknown shard")
	}
	s := &l.shards[h.GetShard()]
	if s.claimRecordID == id {
		return Verdict{Repeat: true}
	}
	if uint64(s.Token) != h.GetToken() {
		return void("fenced token")
	}
	*s = Shard{
		Owner: bamboofall.VMID(h.GetTo()), Incarnation: h.GetIncarnation(),
		Token: tokenAt(offset), claimRecordID: id, HandedOver: true,
	}
	return Verdict{}
}

func (l *Ledger) applySubmit(offset bamboofall.Offset, writtenMS int64, s *recordpb.Submit) Verdict {
	if existing := l.runs[s.GetRun()]; existing != nil {
		if existing.Submit.GetContentHash() != s.GetContentHash() {
			return void("run exists with other content")
		}
		return Verdict{Repeat: true}
	}
	if s.GetRun() == "" || s.GetTasks() == 0 {
		return void("run without name or tasks")
	}
	l.addRun(&Run{Submit: s, Offset: offset, SubmittedMS: writtenMS})
	return Verdict{}
}

// addRun adds a new run and distributes its tasks over the shards.
func (l *Ledger) addRun(r *Run) {
	l.runs[r.Name()] = r
	firstShard := ShardOf(r.Name(), len(l.shards))
	for i := range r.Submit.GetTasks() {
		t := &Task{
			ID:     bamboofall.TaskID{Run: r.Name(), Index: i},
			Run:    r,
			Status: TaskPending,
			Shard:  (firstShard + int(i)) % len(l.shards),
		}
		r.Tasks = append(r.Tasks, t)
		l.live[t.Shard][t.ID] = t
	}
	r.remaining = len(r.Tasks)
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
			l.endTask(t, TaskCancelled)
		}
	}
	return Verdict{}
}

// endTask gives a task its final status and deletes the oldest ended runs
// beyond maxEndedRuns.
func (l *Ledger) endTask(t *Task, status TaskStatus) {
	t.Status = status
	if status == TaskFinished {
		t.Run.finishedTasks++
	}
	delete(l.live[t.Shard], t.ID)
	t.Run.remaining--
	if t.Run.remaining > 0 {
		return
	}
	l.endedRuns = append(l.endedRuns, t.Run.Name())
	if len(l.endedRuns) > maxEndedRuns {
		delete(l.runs, l.endedRuns[0])
		l.endedRuns = l.endedRuns[1:]
	}
}

// taskWithToken returns a task if the token is the current one of its shard, or
// the reason why not.
func (l *Ledger) taskWithToken(run string, index uint32, token uint64) (*Task, string) {
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
	t, reason := l.taskWithToken(i.GetRun(), i.GetIndex(), i.GetToken())
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
	t.Granted = resourcesFromProto(i.GetSize())
	l.addUsage(t, 1)
	return Verdict{}
}

func (l *Ledger) applyClose(c *recordpb.Close) Verdict {
	t, reason := l.taskWithToken(c.GetRun(), c.GetIndex(), c.GetToken())
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
	l.addUsage(t, -1)
	switch c.GetReason() {
	case recordpb.CloseReason_CLOSE_REASON_FINISHED:
		l.endTask(t, TaskFinished)
		return Verdict{}
	case recordpb.CloseReason_CLOSE_REASON_FAILED:
		t.Failures++
	}
	switch {
	case t.Run.Cancelled:
		l.endTask(t, TaskCancelled)
	case t.Failures > t.Run.Submit.GetMaxFailures() && !t.Run.Submit.GetStanding():
		l.endTask(t, TaskFailed)
	default:
		t.Status = TaskPending
	}
	return Verdict{}
}

func (l *Ledger) applyMove(m *recordpb.Move) Verdict {
	t, reason := l.taskWithToken(m.GetRun(), m.GetIndex(), m.GetToken())
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
