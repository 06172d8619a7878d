package front

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/jobs/dispatch"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
)

// twoWorkersPerEntry limits an entry VM of default capacity to two workers, so that most
// orders go via relays.
const twoWorkersPerEntry = 2 * 1000 / defaultCapacity

// largeTasksJob is a job whose tasks use half a worker each, so that a few jobs use all
// workers.
const largeTasksJob = `{"task_spec":"x","steps":[{"count":4,"cpu":8000,"memory_request_mb":64,"estimated_ms":100},{"count":2,"cpu":8000,"memory_request_mb":64,"estimated_ms":100,"after":[0]}]}`

// count returns the value of a counter of an entry VM, of the series with the given tag
// "way" if it is set.
func (e *entryVM) count(name, tag string) int64 {
	for _, c := range e.metrics.Scope.Snapshot().Counters() {
		if c.Name() == name && (tag == "" || c.Tags()["way"] == tag) {
			return c.Value()
		}
	}
	return 0
}

// waitForLines waits until the log contains a text at least n times.
func (f *testCluster) waitForLines(text string, n int) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if got := strings.Count(f.log.String(), text); got < n {
			return poll.Continue("%d of %d lines with %s", got, n, text)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

func TestOrdersBeyondOwnersCapacityGoViaRelays(t *testing.T) {
	f := newTestCluster(t, 3, 6, 50*time.Millisecond, WithWorkersPerCore(twoWorkersPerEntry))
	owner := f.entries[f.waitForOwner(-1)]
	f.waitForLines("relay joined", 2)
	for n := range 6 {
		status, body := f.request(n%3, http.MethodPost, "/q/"+id(n), largeTasksJob)
		assert.Equal(t, status, http.StatusOK, body)
	}
	for n := range 6 {
		f.waitForState(n%3, id(n), "completed")
	}
	assert.DeepEqual(t, f.audit.Violations(), []string(nil))
	time.Sleep(metricsInterval + 2*stepInterval)
	assert.Assert(t, owner.count("ordersSent", routeRelayed) > 0)
	assert.Assert(t, owner.count("ordersSent", routeDirect) > 0)
	assert.Assert(t, owner.count("relayBatches", "") > 0)
	assert.Equal(t, owner.count("relaysLost", ""), int64(0))
	assert.Equal(t, owner.count("relayResultsMissing", ""), int64(0))
	assert.Assert(t, !strings.Contains(f.log.String(), "worker silent"))
}

// Orders at a relay that stops must be neither lost nor executed twice, and its workers
// must not be marked as silent.
func TestJobsCompleteAfterRelayWithOrdersStops(t *testing.T) {
	f := newTestCluster(t, 3, 6, 700*time.Millisecond, WithWorkersPerCore(twoWorkersPerEntry))
	first := f.waitForOwner(-1)
	f.waitForLines("relay joined", 2)
	for n := range 8 {
		status, body := f.request(first, http.MethodPost, "/q/"+id(n), largeTasksJob)
		assert.Equal(t, status, http.StatusOK, body)
	}
	f.waitForState(first, id(0), "running")
	f.entries[(first+1)%3].stop()
	for n := range 8 {
		f.waitForState(first, id(n), "completed")
	}
	assert.DeepEqual(t, f.audit.Violations(), []string(nil))
	assert.Assert(t, strings.Contains(f.log.String(), "relay left out"))
	assert.Assert(t, !strings.Contains(f.log.String(), "worker silent"))
}

func TestJobsCompleteAfterOwnerWithRelaysStops(t *testing.T) {
	f := newTestCluster(t, 3, 6, 700*time.Millisecond, WithWorkersPerCore(twoWorkersPerEntry))
	first := f.waitForOwner(-1)
	other := (first + 1) % 3
	f.waitForLines("relay joined", 2)
	for n := range 8 {
		status, body := f.request(first, http.MethodPost, "/q/"+id(n), largeTasksJob)
		assert.Equal(t, status, http.StatusOK, body)
	}
	f.waitForState(other, id(0), "running")
	f.entries[first].stop()
	f.entries[first] = f.entries[other]
	for n := range 8 {
		f.waitForState(other, id(n), "completed")
	}
	assert.DeepEqual(t, f.audit.Violations(), []string(nil))
}

// batchHandler handles the batches that a simulated relay receives.
type batchHandler func(r *jobpb.CarryRequest)

// startRelay starts a simulated relay with by far the largest capacity.
func (f *testCluster) startRelay(owner int, handle batchHandler) {
	f.t.Helper()
	mux := http.NewServeMux()
	mux.Handle(jobpb.RelaysCarryProcedure, connect.NewUnaryHandler(jobpb.RelaysCarryProcedure,
		func(_ context.Context, r *connect.Request[jobpb.CarryRequest]) (*connect.Response[jobpb.CarryResponse], error) {
			handle(r.Msg)
			return connect.NewResponse(&jobpb.CarryResponse{}), nil
		}))
	server := httptest.NewServer(mux)
	f.t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	f.announce(owner, dispatch.VM{Address: address, Process: "test", DataCentre: "a", Capacity: 100 * defaultCapacity})
}

// withholdingRelay keeps starts without executing them. It passes other orders to
// target, or keeps them as well if target is nil.
type withholdingRelay struct {
	target *relay

	mu     sync.Mutex
	orders []cell.Order
}

func (k *withholdingRelay) carry(r *jobpb.CarryRequest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	forwarded := proto.CloneOf(r)
	forwarded.Orders = nil
	for _, m := range r.GetOrders() {
		order, err := decodeOrder(m, r.GetPayloads())
		if err != nil {
			panic(err)
		}
		if k.target != nil && order.Kind != cell.OrderStart {
			forwarded.Orders = append(forwarded.Orders, m)
			continue
		}
		k.orders = append(k.orders, order)
	}
	if k.target != nil {
		k.target.acceptBatch(now(), netip.MustParseAddrPort(forwarded.GetOwner()), forwarded)
	}
}

func (k *withholdingRelay) withheld() []cell.Order {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.orders
}

func (f *testCluster) announce(owner int, vm dispatch.VM) {
	f.t.Helper()
	res, err := (&relaysServer{f.entries[owner].Front}).Announce(context.Background(), connect.NewRequest(&jobpb.AnnounceRequest{
		Process: vm.Process, Address: vm.Address.String(), DataCentre: string(vm.DataCentre), Capacity: vm.Capacity,
	}))
	assert.NilError(f.t, err)
	assert.Assert(f.t, !res.Msg.GetNotOwner())
}

// Orders at a relay that accepts batches but reports no results must be executed another
// way.
func TestRelayWithoutResultsIsExcluded(t *testing.T) {
	f := newTestCluster(t, 1, 4, 50*time.Millisecond, WithWorkersPerCore(1))
	f.waitForOwner(-1)
	k := &withholdingRelay{}
	f.startRelay(0, k.carry)
	status, body := f.request(0, http.MethodPost, "/q/"+id(1), largeTasksJob)
	assert.Equal(t, status, http.StatusOK, body)
	f.waitForState(0, id(1), "completed")
	assert.Assert(t, len(k.withheld()) > 0)
	f.waitForLines("relay left out", 1)
	assert.DeepEqual(t, f.audit.Violations(), []string(nil))
	assert.Assert(t, !strings.Contains(f.log.String(), "worker silent"))
}

// Orders of a deposed owner that are still at a relay must not start anything: the
// worker has seen the successor's token.
func TestWorkersRejectStartsOfDeposedOwner(t *testing.T) {
	f := newTestCluster(t, 2, 4, 50*time.Millisecond, WithWorkersPerCore(1))
	first := f.waitForOwner(-1)
	k := &withholdingRelay{target: f.entries[1-first].relay}
	f.startRelay(first, k.carry)
	status, body := f.request(1-first, http.MethodPost, "/q/"+id(1), largeTasksJob)
	assert.Equal(t, status, http.StatusOK, body)
	starts := func() (starts []cell.Order) {
		for _, o := range k.withheld() {
			if o.Kind == cell.OrderStart {
				starts = append(starts, o)
			}
		}
		return starts
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(starts()) == 0 {
			return poll.Continue("no start withheld")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	f.entries[first].stop()
	f.waitForOwner(first)
	f.waitForState(1-first, id(1), "completed")
	for _, o := range starts() {
		_, err := f.entries[1-first].callWorker(context.Background(), &o)
		var rejected *bamboofall.RejectedError
		assert.Assert(t, errors.As(err, &rejected), "%v: %v", o.Start.Task, err)
		assert.Equal(t, rejected.Cause, bamboofall.RejectFenced)
	}
	assert.DeepEqual(t, f.audit.Violations(), []string(nil))
}

// If the acknowledgement of a batch is lost, the orders that the relay executes must
// count and the relay must stay in use. The jobs take longer than the timeout of the
// batch.
func TestUnacknowledgedBatchIsExecutedAndRelayKept(t *testing.T) {
	f := newTestCluster(t, 2, 4, 100*time.Millisecond, WithWorkersPerCore(1))
	first := f.waitForOwner(-1)
	target := f.entries[1-first].relay
	var delayed atomic.Bool
	f.startRelay(first, batchHandler(func(r *jobpb.CarryRequest) {
		target.acceptBatch(now(), netip.MustParseAddrPort(r.GetOwner()), r)
		starts := slices.ContainsFunc(r.GetOrders(), func(o *jobpb.WorkerOrder) bool { return o.GetKind() == jobpb.OrderKind_ORDER_KIND_START })
		if starts && delayed.CompareAndSwap(false, true) {
			<-t.Context().Done()
		}
	}))
	for n := range 20 {
		status, body := f.request(first, http.MethodPost, "/q/"+id(n), largeTasksJob)
		assert.Equal(t, status, http.StatusOK, body)
	}
	for n := range 20 {
		f.waitForState(first, id(n), "completed")
	}
	assert.DeepEqual(t, f.audit.Violations(), []string(nil))
	for _, line := range []string{"relay left out", "start unanswered", "worker silent"} {
		assert.Assert(t, !strings.Contains(f.log.String(), line), line)
	}
	assert.Assert(t, strings.Contains(f.log.String(), "batch unanswered"))
}

// scriptedWorkers replaces all workers: holds block until the test ends them, and starts
// are passed to the test.
type scriptedWorkers struct {
	bamboofall.TaskWorkers
	holds  chan struct{}
	starts chan bamboofall.StartOrder
}

func (s *scriptedWorkers) Hold(context.Context, bamboofall.WorkerRef, bamboofall.HoldOrder) (bamboofall.HoldReport, error) {
	<-s.holds
	return bamboofall.HoldReport{}, nil
}

func (s *scriptedWorkers) Start(_ context.Context, _ bamboofall.WorkerRef, o bamboofall.StartOrder) (bamboofall.ResponseMeta, error) {
	s.starts <- o
	return bamboofall.ResponseMeta{}, nil
}

func batchOf(t *testing.T, epoch uint64, orders ...cell.Order) *jobpb.CarryRequest {
	t.Helper()
	var batch []dispatch.Order[*queuedOrder]
	for i, o := range orders {
		o.Worker = bamboofall.WorkerRef{ID: "i-1", Address: netip.MustParseAddrPort("127.0.0.1:1")}
		batch = append(batch, dispatch.Order[*queuedOrder]{ID: uint64(i + 1), Order: &queuedOrder{Order: o}})
	}
	req, err := encodeBatch(epoch, netip.MustParseAddrPort("127.0.0.1:1"), batch)
	assert.NilError(t, err)
	return req
}

func startOf(n int) cell.Order {
	return cell.Order{Kind: cell.OrderStart, Start: bamboofall.StartOrder{Task: bamboofall.TaskName{Job: bamboofall.JobID(id(n))}, Run: 1}}
}

// newSingleCallRelay returns a relay that makes one call at a time, to scripted workers.
func newSingleCallRelay(t *testing.T) (*relay, *scriptedWorkers) {
	t.Helper()
	f := newTestCluster(t, 1, 0, time.Millisecond)
	workers := &scriptedWorkers{holds: make(chan struct{}), starts: make(chan bamboofall.StartOrder, 10)}
	fr := f.entries[0].Front
	r := &relay{front: &Front{settings: fr.settings, log: fr.log, metrics: fr.metrics, peers: fr.peers, workers: workers}, ctx: t.Context(), maxCalls: 1}
	return r, workers
}

// A relay must drop its queued orders of a deposed owner once the successor has sent a
// batch.
func TestRelayDropsQueuedOrdersOfDeposedOwner(t *testing.T) {
	r, workers := newSingleCallRelay(t)
	owner := netip.MustParseAddrPort("127.0.0.1:1")
	old := batchOf(t, 1, cell.Order{Kind: cell.OrderHold}, startOf(1))
	assert.Assert(t, r.acceptBatch(now(), owner, old))
	assert.Assert(t, r.acceptBatch(now(), owner, batchOf(t, 2, startOf(2))))
	close(workers.holds)
	started := <-workers.starts
	assert.Equal(t, started.Task.Job, bamboofall.JobID(id(2)))
	assert.Assert(t, !r.acceptBatch(now(), owner, old), "relay accepted a batch of a deposed owner")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.callsInFlight > 0 {
			return poll.Continue("calls under way")
		}
		return poll.Success()
	})
	assert.Equal(t, len(workers.starts), 0)
}

func TestRelayDropsStaleOrders(t *testing.T) {
	r, x := newSingleCallRelay(t)
	owner := netip.MustParseAddrPort("127.0.0.1:1")
	r.reportsInFlight = maxReportsInFlight // no report starts, so the results stay in the queue
	assert.Assert(t, r.acceptBatch(now(), owner, batchOf(t, 1, cell.Order{Kind: cell.OrderHold})))
	waited := batchOf(t, 1, cell.Order{Kind: cell.OrderHold}, startOf(1))
	assert.Assert(t, r.acceptBatch(now().Add(-maxOrderAge-time.Millisecond), owner, waited))
	close(x.holds)
	var results []unreportedResult
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r.mu.Lock()
		defer r.mu.Unlock()
		if results = r.results; len(results) < 3 {
			return poll.Continue("%d results", len(results))
		}
		return poll.Success()
	})
	for _, m := range results[1:] {
		assert.Equal(t, m.GetOutcome(), jobpb.OrderOutcome_ORDER_OUTCOME_NOT_SENT, fmt.Sprint(m))
	}
	assert.Equal(t, len(x.starts), 0)
}

func TestStrongestPeerIgnoresLeavingAndSilentVMs(t *testing.T) {
	f := &Front{}
	_, known := f.strongestPeer(now())
	assert.Assert(t, !known)
	began := now()
	vm := func(n, capacity int, leaving bool) dispatch.VM {
		return dispatch.VM{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 1), Capacity: uint32(capacity), Leaving: leaving}
	}
	f.announcements.add(began, vm(1, 800, true))
	f.announcements.add(began, vm(2, 600, false))
	f.announcements.add(began.Add(time.Second), vm(3, 400, false))
	strongest := func(after time.Duration) uint32 {
		capacity, _ := f.strongestPeer(began.Add(after))
		return capacity
	}
	assert.Equal(t, strongest(time.Second), uint32(600))
	assert.Equal(t, strongest(dispatch.AnnouncementTTL+time.Millisecond), uint32(400))
	assert.Equal(t, strongest(time.Minute), uint32(0))
}
