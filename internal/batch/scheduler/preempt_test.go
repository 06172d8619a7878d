package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/state/ledger"
	"bamboofall.example/bamboofall/internal/wire/recordpb"
)

// Resources that were freed for an urgent task are reserved for a limited time. A later
// urgent task must get them if the first one did not start.
func TestPreemptionIgnoresExpiredReservations(t *testing.T) {
	now := time.Unix(1000, 0)
	l := ledger.New(1)
	apply := func(offset bamboofall.Offset, r *recordpb.Record) {
		l.Apply(offset, r)
		l.Advance(offset)
	}
	apply(0, &recordpb.Record{Id: "claim", Body: &recordpb.Record_Claim{Claim: &recordpb.Claim{Shards: 1, Owner: "e1"}}})
	apply(1, &recordpb.Record{Id: "confirm", Body: &recordpb.Record_Confirm{Confirm: &recordpb.Confirm{ClaimId: "claim"}}})
	for i, class := range []bamboofall.Class{bamboofall.ClassBackground, bamboofall.ClassUrgent} {
		submit := &recordpb.Submit{Run: class.String(), Tasks: 1, Class: uint32(class)}
		apply(bamboofall.Offset(2+i), &recordpb.Record{Id: class.String(), Body: &recordpb.Record_Submit{Submit: submit}})
	}
	background := bamboofall.TaskID{Run: bamboofall.ClassBackground.String()}
	intent := &recordpb.Intent{
		Run: background.Run, Attempt: 1, Worker: "w1", Token: uint64(l.Shard(0).Token), Size: &recordpb.Resources{MilliProcessors: 1000},
	}
	apply(4, &recordpb.Record{Id: "intent", Body: &recordpb.Record_Intent{Intent: intent}})
	assert.Equal(t, l.Task(background).Status, ledger.TaskOpen)

	s := New(Config{}, l)
	size := bamboofall.Resources{MilliProcessors: 1000}
	w := &worker{capacity: size}
	w.vm.ID = "w1"
	w.reset(now)
	w.open[background] = true
	s.workers["w1"] = w
	w.urgentReservations[bamboofall.TaskID{Run: "other"}] = urgentReservation{size, now.Add(urgentReservationTime)}
	urgent := l.Task(bamboofall.TaskID{Run: bamboofall.ClassUrgent.String()})

	_, ok := s.victims(now, w, urgent, size)
	assert.Assert(t, !ok, "the resources are reserved for another task")
	victims, ok := s.victims(now.Add(urgentReservationTime), w, urgent, size)
	assert.Assert(t, ok)
	assert.Equal(t, len(victims), 1)
	assert.Equal(t, victims[0].ID, background)
}
