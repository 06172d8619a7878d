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
	// maxRelayCalls bounds the calls to workers that a relay has under way: a worker
	// has about two, one of which waits.
	maxRelayCalls = 1024
	// maxRelayQueue bounds the orders that wait for a call to end.
	maxRelayQueue = 4096
	// maxReportResults bounds the results of a report: those of workers with many
	// tasks take a few kilobytes each.
	maxReportResults = 128
	// maxReportsInFlight bounds the reports that are not acknowledged: with one, a
	// result would wait for a round trip between data centres.
	maxReportsInFlight = 2
	// reportTimeout bounds a report, reportRetry is the time to the next try.
	reportTimeout    = 500 * time.Millisecond
	reportRetryDelay = 50 * time.Millisecond
	// maxResultAge is how long a result is reported that the owner does not take:
	// by then it has asked again.
	maxResultAge = 2 * time.Second
)

// relay carries orders out for an owner on another VM. Use newRelay.
type relay struct {
	front *Front
	// ctx ends with the process. It is set before the first order comes.
	ctx context.Context

	// maxCalls bounds the calls under way.
	maxCalls int

	mu sync.Mutex
	// epoch is the newest that is known. Orders of older ones are dropped.
	epoch uint64
	owner netip.AddrPort
	// callsInFlight is the number of callsInFlight under way.
	callsInFlight int
	queue         []relayedOrder
	results       []unreportedResult
	// reportsInFlight is the number of reportsInFlight under way.
	reportsInFlight int
}

// relayedOrder is an order with the owner's number.
type relayedOrder struct {
	cell.Order
	id         uint64
	epoch      uint64
	receivedAt time.Time
}

// unreportedResult is a result that the owner has not taken.
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

// acceptBatch takes a batch over. It returns false if a later owner is known.
func (r *relay) acceptBatch(at time.Time, owner netip.AddrPort, batch *jobpb.CarryRequest) bool {
	r.fence(batch.GetEpoch())
	r.mu.Lock()
	defer r.mu.Unlock()
	if batch.GetEpoch() < r.epoch {
		return false
	}
	r.owner = owner
	for _, o := range batch.GetOrders() {
		order, err := decodeOrder(o, batch.GetPayloads())
		c := relayedOrder{Order: order, id: o.GetId(), epoch: batch.GetEpoch(), receivedAt: at}
		switch {
		case err != nil:
			r.front.log.Event("order rejected", logrus.Fields{"epoch": c.epoch, "worker": o.GetWorker(), "error": err.Error()})
			r.addResult(at, c, bamboofall.HoldReport{}, r.notSentError(order, err.Error()))
		case r.callsInFlight < r.maxCalls:
			r.callsInFlight++
			go r.runOrders(c)
		case len(r.queue) < maxRelayQueue:
			r.queue = append(r.queue, c)
		default:
			r.addResult(at, c, bamboofall.HoldReport{}, r.notSentError(order, "too many orders wait"))
		}
	}
	return true
}

func (r *relay) notSentError(o cell.Order, reason string) error {
	return notSentError(callName(o.Kind), r.front.settings.Peers.String(), reason)
}

// fence drops what was to be done for owners before an epoch.
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

// runOrders carries an order out, and then others that wait.
func (r *relay) runOrders(c relayedOrder) {
	for {
		report, err := r.execute(c)
		r.mu.Lock()
		r.addResult(now(), c, report, err)
		if len(r.queue) == 0 || r.ctx.Err() != nil {
			r.callsInFlight--
			r.mu.Unlock()
			return
		}
		c = r.queue[0]
		r.queue = r.queue[1:]
		r.mu.Unlock()
	}
}

func (r *relay) execute(c relayedOrder) (bamboofall.HoldReport, error) {
	if err := r.checkSend(&c); err != nil {
		return bamboofall.HoldReport{}, err
	}
	// The order is looked at once more when its bytes leave: it may have waited for a
	// connection.
	ctx := httpclient.WithHooks(r.ctx, &httpclient.Hooks{Leave: func() error { return r.checkSend(&c) }})
	return r.front.callWorker(ctx, &c.Order)
}

// checkSend returns why an order must not be sent any more, or nil.
func (r *relay) checkSend(c *relayedOrder) error {
	switch {
	case r.isFenced(c.epoch):
		return r.notSentError(c.Order, "another owner has taken over")
	case now().Sub(c.receivedAt) > maxOrderAge:
		return r.notSentError(c.Order, "it waited too long at the relay")
	}
	return nil
}

// addResult queues a result for the owner. The caller has locked the relay.
func (r *relay) addResult(at time.Time, c relayedOrder, report bamboofall.HoldReport, err error) {
	if c.epoch != r.epoch {
		return
	}
	r.results = append(r.results, unreportedResult{encodeResult(c.id, report, err), at})
	if r.reportsInFlight < maxReportsInFlight {
		r.reportsInFlight++
		go r.sendReports()
	}
}

// sendReports gives results to the owner until there are none.
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
			continue // an owner that has been replaced wants no results
		}
		r.front.metrics.Count("reportsFailed", nil)
		r.requeueResults(epoch, batch)
		sleep(r.ctx, reportRetryDelay)
	}
}

// takeResults takes the results of the next report. If there are none, the report
// ends.
func (r *relay) takeResults() (epoch uint64, owner netip.AddrPort, batch []unreportedResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := now()
	for len(r.results) > 0 && len(batch) < maxReportResults {
		if at.Sub(r.results[0].completedAt) <= maxResultAge {
			batch = append(batch, r.results[0])
		} else {
			r.front.metrics.Count("resultsDropped", nil)
		}
		r.results = r.results[1:]
	}
	if len(batch) == 0 || r.ctx.Err() != nil {
		r.reportsInFlight--
		batch = nil
	}
	return r.epoch, r.owner, batch
}

// requeueResults queues results again that the owner may not have got.
func (r *relay) requeueResults(epoch uint64, batch []unreportedResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch == r.epoch {
		r.results = append(batch, r.results...)
	}
}
