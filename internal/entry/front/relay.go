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
	// relayCalls bounds the calls to workers that a relay has under way: a worker
	// has about two, one of which waits.
	relayCalls = 1024
	// relayQueue bounds the orders that wait for a call to end.
	relayQueue = 4096
	// reportResults bounds the results of a report: those of workers with many
	// tasks take a few kilobytes each.
	reportResults = 128
	// reportsUnderWay bounds the reports that are not acknowledged: with one, a
	// result would wait for a round trip between data centres.
	reportsUnderWay = 2
	// reportTimeout bounds a report, reportRetry is the time to the next try.
	reportTimeout = 500 * time.Millisecond
	reportRetry   = 50 * time.Millisecond
	// reportFor is how long a result is reported that the owner does not take:
	// by then it has asked again.
	reportFor = 2 * time.Second
)

// relay carries orders out for an owner on another VM. Use newRelay.
type relay struct {
	f *Front
	// ctx ends with the process. It is set before the first order comes.
	ctx context.Context

	// limit bounds the calls under way.
	limit int

	mu sync.Mutex
	// epoch is the newest that is known. Orders of older ones are dropped.
	epoch uint64
	owner netip.AddrPort
	// calls is the number of calls under way.
	calls   int
	queue   []carried
	results []reported
	// reports is the number of reports under way.
	reports int
}

// carried is an order with the owner's number.
type carried struct {
	cell.Order
	id      uint64
	epoch   uint64
	arrived time.Time
}

// reported is a result that the owner has not taken.
type reported struct {
	*jobpb.OrderResult
	made time.Time
}

func newRelay(f *Front) *relay { return &relay{f: f, limit: relayCalls} }

// Carry implements the Relays service.
func (s *relaysServer) Carry(_ context.Context, r *connect.Request[jobpb.CarryRequest]) (*connect.Response[jobpb.CarryResponse], error) {
	owner, err := netip.ParseAddrPort(r.Msg.GetOwner())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	taken := s.f.relay.take(now(), owner, r.Msg)
	return connect.NewResponse(&jobpb.CarryResponse{Deposed: !taken}), nil
}

// take takes a batch over. It returns false if a later owner is known.
func (r *relay) take(at time.Time, owner netip.AddrPort, m *jobpb.CarryRequest) bool {
	r.fence(m.GetEpoch())
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.GetEpoch() < r.epoch {
		return false
	}
	r.owner = owner
	for _, o := range m.GetOrders() {
		order, err := decodeOrder(o, m.GetPayloads())
		c := carried{Order: order, id: o.GetId(), epoch: m.GetEpoch(), arrived: at}
		switch {
		case err != nil:
			r.f.log.Event("order rejected", logrus.Fields{"epoch": c.epoch, "worker": o.GetWorker(), "error": err.Error()})
			r.add(at, c, bamboofall.HoldReport{}, r.notSent(order, err.Error()))
		case r.calls < r.limit:
			r.calls++
			go r.work(c)
		case len(r.queue) < relayQueue:
			r.queue = append(r.queue, c)
		default:
			r.add(at, c, bamboofall.HoldReport{}, r.notSent(order, "too many orders wait"))
		}
	}
	return true
}

func (r *relay) notSent(o cell.Order, reason string) error {
	return notSentBy(orderCall(o.Kind), r.f.set.Peers.String(), reason)
}

// fence drops what was to be done for owners before an epoch.
func (r *relay) fence(epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch <= r.epoch {
		return
	}
	if dropped := len(r.queue); dropped > 0 {
		r.f.log.Event("orders dropped", logrus.Fields{"epoch": r.epoch, "later": epoch, "orders": dropped})
	}
	r.epoch, r.queue, r.results = epoch, nil, nil
}

func (r *relay) fenced(epoch uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return epoch < r.epoch
}

// work carries an order out, and then others that wait.
func (r *relay) work(c carried) {
	for {
		report, err := r.carryOut(c)
		r.mu.Lock()
		r.add(now(), c, report, err)
		if len(r.queue) == 0 || r.ctx.Err() != nil {
			r.calls--
			r.mu.Unlock()
			return
		}
		c = r.queue[0]
		r.queue = r.queue[1:]
		r.mu.Unlock()
	}
}

func (r *relay) carryOut(c carried) (bamboofall.HoldReport, error) {
	if err := r.withhold(&c); err != nil {
		return bamboofall.HoldReport{}, err
	}
	// The order is looked at once more when its bytes leave: it may have waited for a
	// connection.
	ctx := httpclient.WithHooks(r.ctx, &httpclient.Hooks{Leave: func() error { return r.withhold(&c) }})
	return r.f.perform(ctx, &c.Order)
}

// withhold returns why an order must not be sent any more, or nil.
func (r *relay) withhold(c *carried) error {
	switch {
	case r.fenced(c.epoch):
		return r.notSent(c.Order, "another owner has taken over")
	case now().Sub(c.arrived) > staleOrder:
		return r.notSent(c.Order, "it waited too long at the relay")
	}
	return nil
}

// add queues a result for the owner. The caller has locked the relay.
func (r *relay) add(at time.Time, c carried, report bamboofall.HoldReport, err error) {
	if c.epoch != r.epoch {
		return
	}
	r.results = append(r.results, reported{encodeResult(c.id, report, err), at})
	if r.reports < reportsUnderWay {
		r.reports++
		go r.report()
	}
}

// report gives results to the owner until there are none.
func (r *relay) report() {
	for {
		epoch, owner, batch := r.takeResults()
		if len(batch) == 0 {
			return
		}
		req := &jobpb.ReportRequest{Epoch: epoch, Relay: r.f.set.Peers.String()}
		for _, b := range batch {
			req.Results = append(req.Results, b.OrderResult)
		}
		ctx, cancel := context.WithTimeout(r.ctx, reportTimeout)
		_, err := r.f.peers.relay(owner).Report(ctx, connect.NewRequest(req))
		cancel()
		if err == nil {
			continue // an owner that has been replaced wants no results
		}
		r.f.metrics.Count("reportsFailed", nil)
		r.putBack(epoch, batch)
		sleep(r.ctx, reportRetry)
	}
}

// takeResults takes the results of the next report. If there are none, the report
// ends.
func (r *relay) takeResults() (epoch uint64, owner netip.AddrPort, batch []reported) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := now()
	for len(r.results) > 0 && len(batch) < reportResults {
		if at.Sub(r.results[0].made) <= reportFor {
			batch = append(batch, r.results[0])
		} else {
			r.f.metrics.Count("resultsDropped", nil)
		}
		r.results = r.results[1:]
	}
	if len(batch) == 0 || r.ctx.Err() != nil {
		r.reports--
		batch = nil
	}
	return r.epoch, r.owner, batch
}

// putBack queues results again that the owner may not have got.
func (r *relay) putBack(epoch uint64, batch []reported) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch == r.epoch {
		r.results = append(batch, r.results...)
	}
}
