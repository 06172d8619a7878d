package front

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/wire/httpclient"
)

// An owner that is not confirmed for a moment sends nothing. It once took each
// worker for silent whose order it had held back.
func TestAnOwnerThatMayNotActHoldsItsOwnSilenceAgainstNobody(t *testing.T) {
	f := newFleet(t, 1, 3, time.Minute)
	f.waitForOwner(-1)
	status, body := f.do(0, http.MethodPost, "/q/"+id(1), twoSteps)
	assert.Equal(t, status, http.StatusOK, body)
	f.waitForState(0, id(1), "running")
	fr := f.fronts[0].Front
	record := fr.owner.Load().record
	fr.leaseMu.Lock()
	fr.lease.Lost()
	fr.leaseMu.Unlock()
	// Holds end after 2 s at most, and the next ones may not be sent.
	time.Sleep(2500 * time.Millisecond)
	fr.leaseMu.Lock()
	fr.lease.Claimed(now(), record, 0)
	fr.leaseMu.Unlock()
	status, body = f.do(0, http.MethodPost, "/q/"+id(2), twoSteps)
	assert.Equal(t, status, http.StatusOK, body)
	f.waitForState(0, id(2), "running")
	assert.Assert(t, !strings.Contains(f.log.String(), "worker silent"))
	assert.Assert(t, strings.Contains(page(t, fr), `ordersWithheld{cause="unconfirmed"`))
}

func page(t *testing.T, fr *Front) string {
	t.Helper()
	var text bytes.Buffer
	assert.NilError(t, fr.metrics.Write(&text, bucketLines))
	return text.String()
}

// slowWay holds back starts after they have been handed to the client.
type slowWay struct {
	bamboofall.TaskWorkers
	// got is told of each start, and open lets them go on.
	got, open chan struct{}
	started   atomic.Int64
}

func (w *slowWay) Start(ctx context.Context, to bamboofall.WorkerRef, s bamboofall.StartOrder) (bamboofall.Sighting, error) {
	w.got <- struct{}{}
	<-w.open
	if err := httpclient.Leave(ctx); err != nil {
		return bamboofall.Sighting{}, &bamboofall.NotDoneError{Call: "start", Reason: err.Error(), Err: err}
	}
	w.started.Add(1)
	return w.TaskWorkers.Start(ctx, to, s)
}

const oneStep = `{"task_spec":"x","steps":[{"count":3,"cpu":500,"memory_request_mb":64,"estimated_ms":100}]}`

// A start once left the owner's own backlog after the job's cancellation had been
// acknowledged.
func TestAStartDoesNotLeaveOnceItsJobIsCancelled(t *testing.T) {
	f := newFleet(t, 1, 2, time.Minute)
	fr := f.fronts[0].Front
	way := &slowWay{TaskWorkers: fr.workers, got: make(chan struct{}, 16), open: make(chan struct{})}
	fr.workers = way
	f.waitForOwner(-1)
	status, body := f.do(0, http.MethodPost, "/q/"+id(1), oneStep)
	assert.Equal(t, status, http.StatusOK, body)
	<-way.got
	status, body = f.do(0, http.MethodDelete, "/q/"+id(1), "")
	assert.Equal(t, status, http.StatusOK, body)
	close(way.open)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !strings.Contains(page(t, fr), `ordersWithheld{cause="withdrawn",dataCentre="a"} 3`) {
			return poll.Continue("%d starts left", way.started.Load())
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
	assert.Equal(t, way.started.Load(), int64(0))
	// A start that is not withdrawn leaves.
	status, body = f.do(0, http.MethodPost, "/q/"+id(2), oneStep)
	assert.Equal(t, status, http.StatusOK, body)
	f.waitForState(0, id(2), "running")
}

// An order may wait for a connection for longer than it is good for.
func TestAStartDoesNotLeaveOnceItIsStale(t *testing.T) {
	f := newFleet(t, 1, 1, 50*time.Millisecond)
	fr := f.fronts[0].Front
	way := &slowWay{TaskWorkers: fr.workers, got: make(chan struct{}, 16), open: make(chan struct{})}
	fr.workers = way
	f.waitForOwner(-1)
	status, body := f.do(0, http.MethodPost, "/q/"+id(1), `{"task_spec":"x","steps":[{"count":1,"cpu":500,"memory_request_mb":64,"estimated_ms":100}]}`)
	assert.Equal(t, status, http.StatusOK, body)
	<-way.got
	time.Sleep(staleOrder)
	close(way.open)
	f.waitForState(0, id(1), "completed")
	assert.Equal(t, way.started.Load(), int64(1), "it was ordered again")
	assert.Assert(t, strings.Contains(page(t, fr), `ordersWithheld{cause="stale",dataCentre="a"} 1`))
	assert.Assert(t, !strings.Contains(f.log.String(), "worker silent"))
	assert.DeepEqual(t, f.audit.Broken(), []string(nil))
}

func TestUrgentOrdersLeaveFirst(t *testing.T) {
	var sent []string
	var lefts []func()
	var mu sync.Mutex
	var wait sync.WaitGroup
	s := newSender(func(q *queuedOrder, left func()) {
		mu.Lock()
		defer mu.Unlock()
		sent = append(sent, q.Worker.ID)
		lefts = append(lefts, left)
		wait.Done()
	})
	add := func(kind cell.OrderKind, name string, lease time.Duration) {
		s.add(&queuedOrder{Order: cell.Order{Kind: kind, Worker: bamboofall.WorkerRef{ID: name}, Hold: bamboofall.HoldOrder{LeaseUntil: lease}}})
	}
	wait.Add(sendersAtOnce)
	for range sendersAtOnce {
		add(cell.OrderStart, "first", 0)
	}
	wait.Wait()
	add(cell.OrderPace, "pace", 0)
	add(cell.OrderHold, "ask", 0)
	add(cell.OrderStart, "start", 0)
	add(cell.OrderHold, "renewal", time.Second)
	add(cell.OrderStop, "stop", 0)
	assert.Equal(t, s.waiting(), 5)
	for i := range 5 {
		wait.Add(1)
		left := lefts[i]
		left()
		left() // it has left once
		wait.Wait()
	}
	assert.DeepEqual(t, sent[sendersAtOnce:], []string{"renewal", "stop", "start", "pace", "ask"})
	assert.Equal(t, s.waiting(), 0)
}
