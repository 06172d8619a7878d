package front

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/evacuation"
	"bamboofall.example/bamboofall/platform"
	"bamboofall.example/bamboofall/platform/standin"
)

// evacuate stores or deletes the record of the evacuation of a data centre.
func (f *testCluster) evacuate(dc string, evacuated bool) {
	value := []byte(`{}`)
	if !evacuated {
		value = nil
	}
	f.store.Put(platform.TopicOperator, "evacuate/"+dc, value)
}

// waitForEvacuated waits until an entry VM knows of a number of evacuated data centres.
func (f *testCluster) waitForEvacuated(at, n int) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if known := f.entries[at].evacuations.list(); len(known) != n {
			return poll.Continue("entry VM %d knows of %v", at, known)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

// operatorReads returns a fault that refuses the reads of the operator's topic by a path.
func operatorReads(paths ...string) func(r *http.Request) standin.Fault {
	return func(r *http.Request) standin.Fault {
		for _, path := range paths {
			if r.URL.Path == path && r.URL.Query().Get("topic") == platform.TopicOperator {
				return standin.FaultRefused
			}
		}
		return standin.FaultNone
	}
}

// The workers of a test are in data centre a.
func TestNothingStartsInEvacuatedDataCentre(t *testing.T) {
	f := newTestCluster(t, 2, 2, time.Minute)
	f.evacuate("a", true)
	f.evacuate("elsewhere", true)
	owner := f.waitForOwner(-1)
	f.waitForEvacuated(owner, 2)
	f.request(owner, http.MethodPost, "/q/"+id(1), sixTasks)
	f.assertNothingStarts()
	f.evacuate("a", false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, body := f.request(owner, http.MethodPost, "/q/"+id(2), sixTasks); status != http.StatusOK {
			return poll.Continue("status %d, body %s", status, body)
		}
		return poll.Success()
	}, poll.WithTimeout(3*time.Second), poll.WithDelay(20*time.Millisecond))
	f.waitForRunning(f.workers[0], 2)
	f.waitForLines(`"evacuation ended"`, 1)
}

// The owner dies between its read of the record and its last start. Its successor cannot read the
// operator's topic until it has claimed the cell.
func TestSuccessorKnowsEvacuationBeforeItsFirstStart(t *testing.T) {
	f := newTestCluster(t, 2, 2, time.Minute)
	owner := f.waitForOwner(-1)
	successor := 1 - owner
	refused := make(chan struct{}, 16)
	f.store.SetFault(func(r *http.Request) standin.Fault {
		if f.entries[successor].owner.Load() != nil {
			return standin.FaultNone
		}
		fault := operatorReads("/v1/log-read", "/v1/log-newest")(r)
		if fault != standin.FaultNone {
			notify(refused)
		}
		return fault
	})
	<-refused
	<-refused
	f.evacuate("a", true)
	f.entries[owner].stop()
	f.waitForOwner(owner)
	f.request(successor, http.MethodPost, "/q/"+id(1), sixTasks)
	f.assertNothingStarts()
	assert.DeepEqual(t, f.entries[successor].evacuations.list(), []bamboofall.DataCentre{"a"})
}

// The store forgets its history while it cannot be read: neither the deletion of one record nor
// the next one is seen.
func TestEvacuationWhoseDeletionWasTrimmedEnds(t *testing.T) {
	f := newTestCluster(t, 1, 1, time.Minute)
	f.waitForOwner(-1)
	f.evacuate("a", true)
	f.waitForEvacuated(0, 1)
	refused := make(chan struct{}, 16)
	f.store.SetFault(func(r *http.Request) standin.Fault {
		fault := operatorReads("/v1/log-read", "/v1/log-newest")(r)
		if fault != standin.FaultNone {
			notify(refused)
		}
		return fault
	})
	<-refused
	f.evacuate("a", false)
	f.evacuate("b", true)
	f.store.Trim(platform.TopicOperator)
	assert.DeepEqual(t, f.entries[0].evacuations.list(), []bamboofall.DataCentre{"a"})
	f.store.SetFault(nil)
	f.waitForLines(`"evacuation ended"`, 1)
	assert.DeepEqual(t, f.entries[0].evacuations.list(), []bamboofall.DataCentre{"b"})
	status, body := f.request(0, http.MethodPost, "/q/"+id(1), sixTasks)
	assert.Equal(t, status, http.StatusOK, body)
	f.waitForRunning(f.workers[0], 2)
}

// A start that waits for a connection is not sent once the VM knows of the evacuation, before
// the owner's loop does.
func TestQueuedStartIsNotSentToEvacuatedDataCentre(t *testing.T) {
	f := newTestCluster(t, 1, 1, time.Minute)
	fr := f.entries[0].Front
	workers := &blockedWorkers{TaskWorkers: fr.workers, received: make(chan struct{}, 16), unblock: make(chan struct{})}
	fr.workers = workers
	f.waitForOwner(-1)
	status, body := f.request(0, http.MethodPost, "/q/"+id(1), oneStepJob)
	assert.Equal(t, status, http.StatusOK, body)
	<-workers.received
	fr.evacuations.update(func(k *evacuation.Tracker) []evacuation.Change {
		return k.Apply(now(), evacuation.Record{DataCentre: "a", Evacuated: true, Offset: 1000})
	})
	close(workers.unblock)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !strings.Contains(metricsText(t, fr), `ordersWithheld{cause="evacuated",dataCentre="a"}`) {
			return poll.Continue("not withheld")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
	assert.Equal(t, workers.sent.Load(), int64(0))
}

// Two owners: one that is cut off from the store acts for less than an evacuation is given to take
// effect, and the other has read the record.
func TestFormerOwnerEndsBeforeEvacuationMustHold(t *testing.T) {
	var cut atomic.Bool
	f := newClusterWithStoreFault(t, 2, 1, func(w http.ResponseWriter, r *http.Request) bool {
		if cut.Load() {
			dropCall(w, r)
		}
		return cut.Load()
	})
	f.assertServedWithin(1, id(1), maxServiceGap)
	cut.Store(true)
	f.evacuate("a", true)
	began := time.Now()
	const bound = 5 * time.Second
	starts := -1
	for n := 2; time.Since(began) < bound+3*time.Second; n++ {
		if starts < 0 && time.Since(began) > bound {
			starts = f.audit.Starts()
		}
		f.request(1, http.MethodPost, "/q/"+id(n), twoStepJob)
	}
	assert.Assert(t, f.entries[1].owner.Load() != nil, "no successor")
	assert.Equal(t, f.audit.Starts(), starts)
}
