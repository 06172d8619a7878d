package front

import (
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/jobs/dispatch"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
	"bamboofall.example/bamboofall/platform"
)

const (
	// batchTimeout is the timeout of a Carry call. A relay responds before it executes
	// the orders.
	batchTimeout = 600 * time.Millisecond
	// relayCheckInterval is the time between checks for overdue results, unresponsive
	// relays and reassignment.
	relayCheckInterval = 50 * time.Millisecond
)

// relayDispatcher sends the owner's orders to workers, directly or in batches via
// relays, and receives the results from relays. It is used by the owner's loop only. Use
// newRelayDispatcher.
type relayDispatcher struct {
	owner *owner
	// table assigns workers to relays, and tracker holds the orders sent via relays.
	table   *dispatch.RoutingTable
	tracker *dispatch.Tracker[*queuedOrder]
	// checkedAt is the time of the last check for overdue results and unresponsive
	// relays.
	checkedAt time.Time
	counts    relayCounts
}

// Values of the metrics tag "way".
const (
	routeDirect  = "direct"
	routeRelayed = "relayed"
)

// relayCounts are totals since the owner started: orders sent directly and via relays,
// batches, results, late and missing results, orders rejected by a full queue, and
// exclusions of relays.
type relayCounts struct {
	direct, relayed, batches, results, late, missing, unqueued, lost int64
}

func newRelayDispatcher(o *owner) *relayDispatcher {
	f := o.front
	own := dispatch.VM{Address: f.settings.Peers, Process: f.process, DataCentre: f.settings.DataCentre, Capacity: capacityOrDefault(vmCapacity(f.settings.Machine))}
	r := &relayDispatcher{
		owner: o, table: dispatch.NewRoutingTable(own, f.workersPerCore), tracker: dispatch.NewTracker[*queuedOrder](platform.OrderTimeout),
	}
	for _, way := range [...]string{routeDirect, routeRelayed} {
		f.metrics.Scope.Tagged(map[string]string{"way": way}).Counter("ordersSent")
	}
	return r
}

// route queues an order for its worker's relay, or for the owner's own sender.
func (r *relayDispatcher) route(at time.Time, order cell.Order) {
	q := &queuedOrder{Order: order, decidedAt: at, queuedAt: time.Now()}
	vm, relayed := r.table.RelayOf(order.Worker.ID)
	switch {
	case !relayed:
		r.counts.direct++
		r.owner.sender.add(q)
	case r.tracker.Add(vm.Address, q, order.Hold.Wait):
		r.counts.relayed++
	default:
		r.counts.unqueued++
		r.fail(at, q, notSentError(order.Kind.String(), vm.Address.String(), "the owner's queue for the relay is full"))
	}
}

// fail passes the failure of an order to the cell.
func (r *relayDispatcher) fail(at time.Time, q *queuedOrder, err error) {
	r.owner.inFlight.Add(-1)
	r.owner.countWithheld(err)
	r.owner.applyResult(at, q.Order, bamboofall.HoldReport{}, err)
}

// step abandons overdue orders, excludes unresponsive relays and sends the batches that
// are ready.
func (r *relayDispatcher) step(at time.Time) {
	if at.Sub(r.checkedAt) >= relayCheckInterval {
		r.checkedAt = at
		for _, order := range r.tracker.AbandonOverdue(at) {
			r.counts.missing++
			r.fail(at, order, unknownOutcomeError(order.Kind.String(), "a relay", "no result within the time limit"))
		}
		for _, address := range r.tracker.Unresponsive(at) {
			r.exclude(at, address, "no results within the time limit")
		}
		r.assign(at)
	}
	for _, address := range r.tracker.Ready() {
		r.sendBatch(at, address)
	}
}

// assign reassigns workers to relays.
func (r *relayDispatcher) assign(at time.Time) {
	for _, e := range r.table.Assign(at) {
		r.logChange(e)
		if e.Change == dispatch.RelayExpired {
			r.rerouteOrders(at, e.VM.Address, "no announcement from the relay within the time limit")
		}
	}
}

// applyAnnouncement updates the table of relays with an announcement.
func (r *relayDispatcher) applyAnnouncement(at time.Time, vm dispatch.VM) {
	for _, e := range r.table.HandleAnnouncement(at, vm) {
		r.logChange(e)
		if e.Change == dispatch.RelayRestarted {
			r.rerouteOrders(at, vm.Address, "the relay restarted")
		}
	}
}

func (r *relayDispatcher) logChange(e dispatch.Event) {
	r.owner.front.log.Event(e.Change.String(), logrus.Fields{
		"epoch": r.owner.record.Epoch, "relay": e.VM.Address, "process": e.VM.Process, "dataCentre": e.VM.DataCentre, "capacity": e.VM.Capacity,
	})
}

// exclude excludes a failed relay for a while and reroutes its orders.
func (r *relayDispatcher) exclude(at time.Time, relay netip.AddrPort, reason string) {
	workers := r.table.WorkersPerRelay()[relay]
	if r.table.Suspend(at, relay) {
		r.counts.lost++
		r.owner.front.log.Event("relay left out", logrus.Fields{"epoch": r.owner.record.Epoch, "relay": relay, "workers": workers, "error": reason})
	}
	r.assign(at)
	r.rerouteOrders(at, relay, reason)
}

// rerouteOrders takes all orders from a relay. Unsent and repeatable orders are routed
// again, all others fail with an unknown outcome.
func (r *relayDispatcher) rerouteOrders(at time.Time, relay netip.AddrPort, reason string) {
	unsent, sent := r.tracker.RemoveOrders(relay)
	for _, order := range unsent {
		r.route(at, order.Order)
	}
	for _, order := range sent {
		if repeatable(order) {
			r.route(at, order.Order)
		} else {
			r.fail(at, order, unknownOutcomeError(order.Kind.String(), relay.String(), reason))
		}
	}
}

// sendBatch sends the next batch to a relay.
func (r *relayDispatcher) sendBatch(at time.Time, relay netip.AddrPort) {
	f, o := r.owner.front, r.owner
	batch, withheld := r.tracker.Batch(at, relay, o.checkSend)
	for _, w := range withheld {
		r.fail(at, w.Order, w.Err)
	}
	if len(batch) == 0 {
		return
	}
	req, err := encodeBatch(o.record.Epoch, f.settings.Peers, batch)
	if err != nil {
		f.log.Event("batch not made", logrus.Fields{"epoch": o.record.Epoch, "error": err.Error()})
		r.tracker.BatchAcknowledged(relay)
		for _, order := range r.tracker.RevertBatch(batch) {
			r.fail(at, order, notSentError(order.Kind.String(), "the owner", err.Error()))
		}
		return
	}
	r.counts.batches++
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, batchTimeout)
		defer cancel()
		began := now()
		res, err := f.peers.relayClient(relay).Carry(ctx, connect.NewRequest(req))
		f.metrics.recordLatency("relayBatch", now().Sub(began))
		o.push(o.ctx, loopResults, func(at time.Time) { r.finishBatch(at, relay, batch, err, err == nil && res.Msg.GetDeposed()) })
	}()
}

// finishBatch handles the response to a batch, or its failure.
func (r *relayDispatcher) finishBatch(at time.Time, relay netip.AddrPort, batch []dispatch.Order[*queuedOrder], err error, deposed bool) {
	r.tracker.BatchAcknowledged(relay)
	switch {
	case deposed:
		for _, order := range r.tracker.RevertBatch(batch) {
			r.fail(at, order, notSentError(order.Kind.String(), relay.String(), "the relay knows an owner with a higher epoch"))
		}
	case err != nil && hadNoEffect(err):
		notSent := r.tracker.RevertBatch(batch)
		r.exclude(at, relay, err.Error())
		for _, order := range notSent {
			r.route(at, order.Order)
		}
	case err != nil && r.tracker.Alive(at, relay):
		// The relay may have received the batch. Orders that are not repeatable wait
		// for their results.
		r.owner.front.log.Event("batch unanswered", logrus.Fields{
			"epoch": r.owner.record.Epoch, "relay": relay, "orders": len(batch), "error": err.Error(),
		})
		for _, b := range batch {
			if repeatable(b.Order) && r.tracker.Abandon(b.ID) {
				r.route(at, b.Order.Order)
			}
		}
	case err != nil:
		r.exclude(at, relay, err.Error())
	}
}

// repeatable reports whether an order may be executed twice, and after later orders for
// the same worker.
func repeatable(q *queuedOrder) bool { return q.Kind == cell.OrderHold || q.Kind == cell.OrderStop }

// Report implements the Relays service.
func (s *relaysServer) Report(ctx context.Context, m *connect.Request[jobpb.ReportRequest]) (*connect.Response[jobpb.ReportResponse], error) {
	relay, err := netip.ParseAddrPort(m.Msg.GetRelay())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	o := s.front.owner.Load()
	if o == nil || o.record.Epoch != m.Msg.GetEpoch() {
		return connect.NewResponse(&jobpb.ReportResponse{NotOwner: true}), nil
	}
	if !o.events.Push(ctx, o.measured(loopResults, func(at time.Time) { o.dispatcher.applyResults(at, relay, m.Msg.GetResults()) })) {
		return nil, connect.NewError(connect.CodeUnavailable, ctx.Err())
	}
	return connect.NewResponse(&jobpb.ReportResponse{}), nil
}

// applyResults passes the results that a relay reports to the cell.
func (r *relayDispatcher) applyResults(at time.Time, relay netip.AddrPort, results []*jobpb.OrderResult) {
	for _, m := range results {
		order, status := r.tracker.Result(at, m.GetId())
		if status == dispatch.ResultUnwanted {
			continue
		}
		report, err := decodeResult(m, order.Kind.String(), relay.String())
		r.counts.results++
		switch {
		case status == dispatch.ResultExpected:
			r.owner.inFlight.Add(-1)
			r.owner.applyResult(at, order.Order, report, err)
		case order.Kind == cell.OrderHold && err == nil:
			r.counts.late++
			r.owner.progress.workerAnswered()
			r.owner.cell.LateHoldAnswered(at, order.Order, report)
		}
	}
}

// updateMetrics exports the totals.
func (r *relayDispatcher) updateMetrics(m *metrics) {
	c := r.counts
	m.SetTotal("ordersSent", map[string]string{"way": routeDirect}, c.direct)
	m.SetTotal("ordersSent", map[string]string{"way": routeRelayed}, c.relayed)
	for name, total := range map[string]int64{
		"relayBatches": c.batches, "relayResults": c.results, "relayResultsLate": c.late, "relayResultsMissing": c.missing,
		"relayOrdersUnqueued": c.unqueued, "relaysLost": c.lost,
	} {
		m.SetTotal(name, nil, total)
	}
}
