package ledger_test

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/state/ledger"
	"bamboofall.example/bamboofall/internal/wire/recordpb"
)

const shards = 2

// drawRecord draws a valid or void record with few distinct names and numbers.
func drawRecord(t *rapid.T) *recordpb.Record {
	run := rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "run")
	shard := rapid.Uint32Range(0, shards).Draw(t, "shard")
	token := rapid.Uint64Range(0, 40).Draw(t, "token")
	index := rapid.Uint32Range(0, 2).Draw(t, "index")
	attempt := rapid.Uint32Range(0, 3).Draw(t, "attempt")
	vm := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "vm")
	id := fmt.Sprintf("id-%d", rapid.IntRange(0, 30).Draw(t, "id"))
	r := &recordpb.Record{Id: id}
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0:
		r.Body = &recordpb.Record_Claim{Claim: &recordpb.Claim{Shard: shard, Shards: shards, Owner: vm, PreviousToken: token}}
	case 1:
		r.Body = &recordpb.Record_Confirm{Confirm: &recordpb.Confirm{Shard: shard, ClaimId: id}}
	case 2:
		r.Body = &recordpb.Record_Objection{Objection: &recordpb.Objection{Shard: shard, Token: token, ClaimId: id}}
	case 3:
		r.Body = &recordpb.Record_Handover{Handover: &recordpb.Handover{Shard: shard, Token: token, To: vm}}
	case 4:
		r.Body = &recordpb.Record_Submit{Submit: &recordpb.Submit{Run: run, Tasks: 2, ContentHash: uint64(attempt % 2), MaxFailures: 1}}
	case 5:
		r.Body = &recordpb.Record_Cancel{Cancel: &recordpb.Cancel{Run: run}}
	case 6:
		r.Body = &recordpb.Record_Intent{Intent: &recordpb.Intent{Run: run, Index: index, Attempt: attempt, Worker: vm, Token: token}}
	case 7:
		reason := recordpb.CloseReason(rapid.IntRange(0, 6).Draw(t, "reason"))
		r.Body = &recordpb.Record_Close{Close: &recordpb.Close{Run: run, Index: index, Attempt: attempt, Token: token, Reason: reason}}
	default:
		r.Body = &recordpb.Record_Move{Move: &recordpb.Move{Run: run, Index: index, Token: token, ToShard: shard}}
	}
	return r
}

// All readers must reach the same state, also if they restore it from a
// snapshot on the way. Tokens never decrease and an ended task stays ended.
func TestReadersOfSameRecordsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 60).Draw(t, "records")
		restoreAt := rapid.IntRange(0, len(records)-1).Draw(t, "restoreAt")
		first, second := ledger.New(shards), ledger.New(shards)
		ended := make(map[bamboofall.TaskID]ledger.TaskStatus)
		for i, r := range records {
			offset := bamboofall.Offset(i)
			tokens := [shards]bamboofall.Token{first.Shard(0).Token, first.Shard(1).Token}
			first.Apply(offset, r)
			first.Advance(offset)
			if i == restoreAt {
				second = restoreCopy(t, second)
			}
			second.Apply(offset, r)
			second.Advance(offset)
			for s := range shards {
				if first.Shard(s).Token < tokens[s] {
					t.Fatalf("token of shard %d went from %d to %d", s, tokens[s], first.Shard(s).Token)
				}
			}
			checkEnded(t, first, ended)
		}
		if !bytes.Equal(snapshot(t, first), snapshot(t, second)) {
			t.Fatal("two readers of the same records have different states")
		}
	})
}

func checkEnded(t *rapid.T, l *ledger.Ledger, ended map[bamboofall.TaskID]ledger.TaskStatus) {
	for _, r := range l.Runs() {
		for _, task := range r.Tasks {
			if before, ok := ended[task.ID]; ok && before != task.Status {
				t.Fatalf("ended task %v went from %v to %v", task.ID, before, task.Status)
			}
			if task.Status.Ended() {
				ended[task.ID] = task.Status
			}
		}
	}
}

func snapshot(t interface{ Fatal(...any) }, l *ledger.Ledger) []byte {
	data, err := l.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func restoreCopy(t *rapid.T, l *ledger.Ledger) *ledger.Ledger {
	restored, err := ledger.Restore(snapshot(t, l), shards)
	if err != nil {
		t.Fatal(err)
	}
	return restored
}

// Appends are repeated after failures, so a record may occur twice.
func TestRepeatedRecordChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := ledger.New(shards)
		for i, r := range rapid.SliceOfN(rapid.Custom(drawRecord), 1, 60).Draw(t, "records") {
			r.Id = fmt.Sprintf("%s-%d", r.Id, i)
			l.Apply(bamboofall.Offset(2*i), r)
			before := snapshot(t, l)
			l.Apply(bamboofall.Offset(2*i+1), r)
			if !bytes.Equal(before, snapshot(t, l)) {
				t.Fatalf("repeating %v changed the state", r)
			}
		}
	})
}

func claim(id, owner string, previous bamboofall.Token) *recordpb.Record {
	return &recordpb.Record{Id: id, Body: &recordpb.Record_Claim{Claim: &recordpb.Claim{
		Shards: shards, Owner: owner, PreviousToken: uint64(previous),
	}}}
}

func TestClaimAgainstOwnerNeedsConfirmation(t *testing.T) {
	l := ledger.New(shards)
	assert.Equal(t, l.Apply(0, claim("one", "e1", 0)), ledger.Verdict{})
	assert.Equal(t, l.Shard(0).Owner, bamboofall.VMID("e1"))
	token := l.Shard(0).Token
	assert.Equal(t, l.Apply(1, claim("late", "e2", 0)).VoidReason, "claim lost the race")
	assert.Equal(t, l.Apply(2, claim("two", "e2", token)), ledger.Verdict{})
	assert.Equal(t, l.Shard(0).Owner, bamboofall.VMID("e1"))
	objection := &recordpb.Record{Id: "no", Body: &recordpb.Record_Objection{Objection: &recordpb.Objection{
		Token: uint64(token), ClaimId: "two",
	}}}
	assert.Equal(t, l.Apply(3, objection), ledger.Verdict{})
	confirm := &recordpb.Record{Id: "now", Body: &recordpb.Record_Confirm{Confirm: &recordpb.Confirm{ClaimId: "two"}}}
	assert.Equal(t, l.Apply(4, confirm).VoidReason, "claim is not pending")
	assert.Equal(t, l.Apply(5, claim("three", "e2", token)), ledger.Verdict{})
	confirm.GetConfirm().ClaimId = "three"
	assert.Equal(t, l.Apply(6, confirm), ledger.Verdict{})
	assert.Equal(t, l.Shard(0).Owner, bamboofall.VMID("e2"))
	assert.Assert(t, l.Shard(0).Token > token)
}

func FuzzRestore(f *testing.F) {
	l := ledger.New(shards)
	l.Apply(0, claim("one", "e1", 0))
	data, err := l.Snapshot()
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		restored, err := ledger.Restore(data, shards)
		if err == nil {
			snapshot(t, restored)
		}
	})
}

// newLedgerWithOpenTasks returns a ledger with a number of open tasks.
func newLedgerWithOpenTasks(tasks int) *ledger.Ledger {
	const perRun = 100
	l := ledger.New(8)
	for s := range uint32(8) {
		l.Apply(0, &recordpb.Record{Id: fmt.Sprint("claim", s), Body: &recordpb.Record_Claim{
			Claim: &recordpb.Claim{Shard: s, Shards: 8, Owner: "e1"},
		}})
	}
	for r := range tasks / perRun {
		run := fmt.Sprintf("run-%d", r)
		l.Apply(1, &recordpb.Record{Body: &recordpb.Record_Submit{Submit: &recordpb.Submit{Run: run, Job: "job", Trade: "trade", Tasks: perRun}}})
		for i := range uint32(perRun) {
			l.Apply(2, intent(run, i, 1))
		}
	}
	return l
}

func intent(run string, index, attempt uint32) *recordpb.Record {
	return &recordpb.Record{Id: "writer/incarnation/1", Body: &recordpb.Record_Intent{Intent: &recordpb.Intent{
		Run: run, Index: index, Attempt: attempt, Worker: "worker-001", Token: 1,
	}}}
}

// openTaskCounts are the numbers of open tasks of a data centre: at present, at
// the target size (24,000 over 19 data centres), and at ten times the target
// size.
var openTaskCounts = []int{200, 1300, 13_000}

func BenchmarkApply(b *testing.B) {
	for _, n := range openTaskCounts {
		b.Run(fmt.Sprintf("open%d", n), func(b *testing.B) {
			l := newLedgerWithOpenTasks(n)
			l.Apply(3, &recordpb.Record{Body: &recordpb.Record_Submit{Submit: &recordpb.Submit{Run: "more", Tasks: 1, MaxFailures: 1 << 30}}})
			attempt := uint32(0)
			for b.Loop() {
				attempt++
				l.Apply(4, intent("more", 0, attempt))
				l.Apply(5, &recordpb.Record{Body: &recordpb.Record_Close{Close: &recordpb.Close{
					Run: "more", Attempt: attempt, Token: 1, Reason: recordpb.CloseReason_CLOSE_REASON_EVICTED,
				}}})
			}
			if l.Task(bamboofall.TaskID{Run: "more"}).Attempt != attempt {
				b.Fatal("records were void")
			}
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range openTaskCounts {
		b.Run(fmt.Sprintf("open%d", n), func(b *testing.B) {
			l := newLedgerWithOpenTasks(n)
			var data []byte
			for b.Loop() {
				data = snapshot(b, l)
			}
			b.ReportMetric(float64(len(data)), "B/snapshot")
			b.ReportMetric(float64(len(data))/float64(n), "B/task")
		})
	}
}
