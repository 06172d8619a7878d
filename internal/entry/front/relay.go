package front

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/wire/httpclient"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
)

const (
	// maxRelayCalls is the maximum number of concurrent calls of a relay to workers. A
	// worker has about two, one of which is a long poll.
	maxRelayCalls = 1024
	// maxRelayQueue is the maximum number of orders that wait for a free call.
	maxRelayQueue = 4096
	// maxReportResults is the maximum number of results in a report. The result of a
	// worker with many tasks takes a few kilobytes.
	maxReportResults = 128
	// maxReportsInFlight is the maximum number of concurrent reports. With only one, a
	// result would wait for the previous report's round trip between data centres.
	maxReportsInFlight = 2
	// reportTimeout is the timeout of a report, reportRetryDelay the delay before a
	// retry.
	reportTimeout    = 500 * time.Millisecond
	reportRetryDelay = 50 * time.Millisecond
	// maxResultAge is the age from which an unreported result is dropped. By then the
	// owner has sent the order again.
	maxResultAge = 2 * time.Second
)

// relay executes orders for an owner on another VM. Use newRelay.
type relay struct {
	front *Front
	// ctx is cancelled when the process stops. It is set before the first order
	// arrives.
	ctx context.Context

	// maxCalls is the maximum number of concurrent calls to workers.
	maxCalls int

	mu sync.Mutex
	// epoch is the highest known epoch. Orders of lower epochs are dropped.
	epoch uint64
	// owner is the address to which results are reported.
	owner netip.AddrPort
	// callsInFlight is the number of calls to workers in flight.
	callsInFlight int
	queue         []relayedOrder
	results       []unreportedResult
	// reportsInFlight is the number of running sendReports calls.
	reportsInFlight int
}

// relayedOrder is an order with the number and the epoch that its owner gave it.
type relayedOrder struct {
	cell.Order
	id         uint64
	epoch      uint64
	receivedAt time.Time
}

// unreportedResult is a result that the owner has not acknowledged.
type unreportedResult struct {
	*jobpb.OrderResult
	completedAt time.Time
}

func newRelay(f *Front) *relay { return &relay{front: f, maxCalls: maxRelayCalls} }

// Carry implements the Relays service.
func (s *relaysServer) Carry(_ context.Context, r *connect.Request[jobpb.CarryRequest]) (*connect.Response[jobpb.CarryResponse], error) {
	owner, err := netip.ParseAddrPort(r.Msg.GetOwner())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	taken := s.front.relay.acceptBatch(now(), owner, r.Msg)
	return connect.NewResponse(&jobpb.CarryResponse{Deposed: !taken}), nil
}

// acceptBatch starts or queues the orders of a batch. It returns false if an owner with
// a higher epoch is known.
func (r *relay) acceptBatch(at time.Time, owner netip.AddrPort, batch *jobpb.CarryRequest) bool {
	r.fence(batch.GetEpoch())
	r.mu.Lock()
	defer r.mu.Unlock()
	if batch.GetEpoch() < r.epoch {
		return false
	}
	r.owner = owner
	for _, message := range batch.GetOrders() {
		order, err := decodeOrder(message, batch.GetPayloads())
		relayed := relayedOrder{Order: order, id: message.GetId(), epoch: batch.GetEpoch(), receivedAt: at}
		switch {
		case err != nil:
			r.front.log.Event("order rejected", logrus.Fields{"epoch": relayed.epoch, "worker": message.GetWorker(), "error": err.Error()})
			r.addResult(at, relayed, bamboofall.HoldReport{}, r.notSentError(order, err.Error()))
		case r.callsInFlight < r.maxCalls:
			r.callsInFlight++
			go r.runOrders(relayed)
		case len(r.queue) < maxRelayQueue:
			r.queue = append(r.queue, relayed)
		default:
			r.addResult(at, relayed, bamboofall.HoldReport{}, r.notSentError(order, "the relay's queue is full"))
		}
	}
	return true
}

func (r *relay) notSentError(o cell.Order, reason string) error {
	return notSentError(o.Kind.String(), r.front.settings.Peers.String(), reason)
}

// fence drops the queued orders and results of all epochs below the given one.
func (r *relay) fence(epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch <= r.epoch {
		return
	}
	if dropped := len(r.queue); dropped > 0 {
		r.front.log.Event("orders dropped", logrus.Fields{"epoch": r.epoch, "later": epoch, "orders": dropped})
	}
	r.epoch, r.queue, r.results = epoch, nil, nil
}

func (r *relay) isFenced(epoch uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return epoch < r.epoch
}

// runOrders executes an order, and then queued ones until the queue is empty.
func (r *relay) runOrders(order relayedOrder) {
	for {
		report, err := r.execute(order)
		r.mu.Lock()
		r.addResult(now(), order, report, err)
		if len(r.queue) == 0 || r.ctx.Err() != nil {
			r.callsInFlight--
			r.mu.Unlock()
			return
		}
		order = r.queue[0]
		r.queue = r.queue[1:]
		r.mu.Unlock()
	}
}

func (r *relay) execute(order relayedOrder) (bamboofall.HoldReport, error) {
	if err := r.checkSend(&order); err != nil {
		return bamboofall.HoldReport{}, err
	}
	// The order is checked again right before its bytes are written, as it may have
	// waited for a connection.
	ctx := httpclient.WithHooks(r.ctx, &httpclient.Hooks{BeforeSend: func() error { return r.checkSend(&order) }})
	return r.front.callWorker(ctx, &order.Order)
}

// checkSend returns an error if an order must not be sent any more, or nil.
func (r *relay) checkSend(order *relayedOrder) error {
	switch {
	case r.isFenced(order.epoch):
		return r.notSentError(order.Order, "the relay knows an owner with a higher epoch")
	case now().Sub(order.receivedAt) > maxOrderAge:
		return r.notSentError(order.Order, "the order waited too long at the relay")
	}
	return nil
}

// addResult queues a result for the owner. The caller holds the lock.
func (r *relay) addResult(at time.Time, order relayedOrder, report bamboofall.HoldReport, err error) {
	if order.epoch != r.epoch {
		return
	}
	r.results = append(r.results, unreportedResult{encodeResult(order.id, report, err), at})
	if r.reportsInFlight < maxReportsInFlight {
		r.reportsInFlight++
		go r.sendReports()
	}
}

// sendReports sends results to the owner until none are queued.
func (r *relay) sendReports() {
	for {
		epoch, owner, batch := r.takeResults()
		if len(batch) == 0 {
			return
		}
		req := &jobpb.ReportRequest{Epoch: epoch, Relay: r.front.settings.Peers.String()}
		for _, b := range batch {
			req.Results = append(req.Results, b.OrderResult)
		}
		ctx, cancel := context.WithTimeout(r.ctx, reportTimeout)
		_, err := r.front.peers.relayClient(owner).Report(ctx, connect.NewRequest(req))
		cancel()
		if err == nil {
			continue // a deposed owner ignores results, so they are not sent again
		}
		r.front.metrics.Increment("reportsFailed", nil)
		r.requeueResults(epoch, batch)
		sleep(r.ctx, reportRetryDelay)
	}
}

// takeResults returns the results for the next report. If there are none, it decrements
// reportsInFlight and the caller must return.
func (r *relay) takeResults() (epoch uint64, owner netip.AddrPort, batch []unreportedResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := now()
	for len(r.results) > 0 && len(batch) < maxReportResults {
		if at.Sub(r.results[0].completedAt) <= maxResultAge {
			batch = append(batch, r.results[0])
		} else {
			r.front.metrics.Increment("resultsDropped", nil)
		}
		r.results = r.results[1:]
	}
	if len(batch) == 0 || r.ctx.Err() != nil {
		r.reportsInFlight--
		batch = nil
	}
	return r.epoch, r.owner, batch
}

// requeueResults puts back results that the owner may not have received.
func (r *relay) requeueResults(epoch uint64, batch []unreportedResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch == r.epoch {
		r.results = append(batch, r.results...)
	}
}
