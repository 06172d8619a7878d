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
	// carryTimeout bounds a call with a batch. The relay answers before it carries
	// anything out.
	carryTimeout = 600 * time.Millisecond
	// watchRelays is the time between looks at what only time changes.
	watchRelays = 50 * time.Millisecond
)

// relays hands an owner's orders to other entry VMs and takes their results. It
// belongs to the owner's loop. Use newRelays.
type relays struct {
	o       *owner
	table   *dispatch.Table
	book    *dispatch.Book[*queuedOrder]
	watched time.Time
	counts  relayCounts
}

// The ways of orders in metrics.
const (
	wayDirect  = "direct"
	wayRelayed = "relayed"
)

// relayCounts counts what went by which way.
type relayCounts struct {
	direct, relayed, batches, results, late, missing, unqueued, lost int64
}

func newRelays(o *owner) *relays {
	f := o.front
	own := dispatch.VM{Address: f.set.Peers, Process: f.process, DataCentre: f.set.DataCentre, Capacity: assumed(capacityOf(f.set.Machine))}
	r := &relays{
		o: o, table: dispatch.NewTable(own, f.workersPerCore), book: dispatch.NewBook[*queuedOrder](platform.OrderLimit),
	}
	for _, way := range [...]string{wayDirect, wayRelayed} {
		f.metrics.Scope.Tagged(map[string]string{"way": way}).Counter("ordersSent")
	}
	return r
}

// order gives an order to its relay, or carries it out from here.
func (r *relays) order(at time.Time, order cell.Order) {
	q := &queuedOrder{Order: order, decided: at, handed: time.Now()}
	vm, relayed := r.table.Way(order.Worker.ID)
	switch {
	case !relayed:
		r.counts.direct++
		r.o.sender.add(q)
	case r.book.Add(vm.Address, q, order.Hold.Wait):
		r.counts.relayed++
	default:
		r.counts.unqueued++
		r.end(at, q, notSentBy(orderCall(order.Kind), vm.Address.String(), "too many orders wait in the owner"))
	}
}

// end gives the failure of an order to the cell.
func (r *relays) end(at time.Time, q *queuedOrder, err error) {
	r.o.underWay.Add(-1)
	r.o.countWithheld(err)
	r.o.result(at, q.Order, bamboofall.HoldReport{}, err)
}

// step sends what waits, and gives up what is overdue.
func (r *relays) step(at time.Time) {
	if at.Sub(r.watched) >= watchRelays {
		r.watched = at
		for _, order := range r.book.Overdue(at) {
			r.counts.missing++
			r.end(at, order, lostBy(orderCall(order.Kind), "a relay", "there was no result"))
		}
		for _, address := range r.book.Quiet(at) {
			r.lose(at, address, "there were no results")
		}
		r.assign(at)
	}
	for _, address := range r.book.Ready() {
		r.send(at, address)
	}
}

// assign brings the table up to date.
func (r *relays) assign(at time.Time) {
	for _, e := range r.table.Assign(at) {
		r.note(e)
		if e.Change == dispatch.RelaySilent {
			r.takeBack(at, e.VM.Address, "the relay is silent")
		}
	}
}

// heard takes over an announcement.
func (r *relays) heard(at time.Time, vm dispatch.VM) {
	for _, e := range r.table.Heard(at, vm) {
		r.note(e)
		if e.Change == dispatch.RelayRestarted {
			r.takeBack(at, vm.Address, "the relay was restarted")
		}
	}
}

func (r *relays) note(e dispatch.Event) {
	r.o.front.log.Event(e.Change.String(), logrus.Fields{
		"epoch": r.o.record.Epoch, "relay": e.VM.Address, "process": e.VM.Process, "dataCentre": e.VM.DataCentre, "capacity": e.VM.Capacity,
	})
}

// lose leaves a relay out for a while, as it failed.
func (r *relays) lose(at time.Time, relay netip.AddrPort, why string) {
	carried := r.table.Loads()[relay]
	if r.table.LeaveOut(at, relay) {
		r.counts.lost++
		r.o.front.log.Event("relay left out", logrus.Fields{"epoch": r.o.record.Epoch, "relay": relay, "workers": carried, "error": why})
	}
	r.assign(at)
	r.takeBack(at, relay, why)
}

// takeBack takes the orders from a relay. What may be repeated goes another way,
// the outcome of others is unknown.
func (r *relays) takeBack(at time.Time, relay netip.AddrPort, why string) {
	unsent, sent := r.book.Lost(relay)
	for _, order := range unsent {
		r.order(at, order.Order)
	}
	for _, order := range sent {
		if repeatable(order) {
			r.order(at, order.Order)
		} else {
			r.end(at, order, lostBy(orderCall(order.Kind), relay.String(), why))
		}
	}
}

// send hands the next batch to a relay.
func (r *relays) send(at time.Time, relay netip.AddrPort) {
	f, o := r.o.front, r.o
	batch, withheld := r.book.Batch(at, relay, o.withhold)
	for _, w := range withheld {
		r.end(at, w.Order, w.Err)
	}
	if len(batch) == 0 {
		return
	}
	req, err := encodeBatch(o.record.Epoch, f.set.Peers, batch)
	if err != nil {
		f.log.Event("batch not made", logrus.Fields{"epoch": o.record.Epoch, "error": err.Error()})
		r.book.Acknowledged(relay)
		for _, order := range r.book.NotSent(batch) {
			r.end(at, order, notSentBy(orderCall(order.Kind), "the owner", err.Error()))
		}
		return
	}
	r.counts.batches++
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, carryTimeout)
		defer cancel()
		began := now()
		res, err := f.peers.relay(relay).Carry(ctx, connect.NewRequest(req))
		f.metrics.took("relayBatch", now().Sub(began))
		o.push(o.ctx, func(at time.Time) { r.sent(at, relay, batch, err, err == nil && res.Msg.GetDeposed()) })
	}()
}

// sent takes over what became of a batch.
func (r *relays) sent(at time.Time, relay netip.AddrPort, batch []dispatch.Order[*queuedOrder], err error, deposed bool) {
	r.book.Acknowledged(relay)
	switch {
	case deposed:
		for _, order := range r.book.NotSent(batch) {
			r.end(at, order, notSentBy(orderCall(order.Kind), relay.String(), "the relay knows a later owner"))
		}
	case err != nil && notSent(err):
		back := r.book.NotSent(batch)
		r.lose(at, relay, err.Error())
		for _, order := range back {
			r.order(at, order.Order)
		}
	case err != nil && r.book.Alive(at, relay):
		// The batch may have arrived. What cannot be repeated waits for its results.
		r.o.front.log.Event("batch unanswered", logrus.Fields{
			"epoch": r.o.record.Epoch, "relay": relay, "orders": len(batch), "error": err.Error(),
		})
		for _, b := range batch {
			if repeatable(b.Order) && r.book.GiveUp(b.ID) {
				r.order(at, b.Order.Order)
			}
		}
	case err != nil:
		r.lose(at, relay, err.Error())
	}
}

// repeatable reports whether an order may be carried out twice, and later than the
// orders that follow it.
func repeatable(q *queuedOrder) bool { return q.Kind == cell.OrderHold || q.Kind == cell.OrderStop }

// Report implements the Relays service.
func (s *relaysServer) Report(ctx context.Context, m *connect.Request[jobpb.ReportRequest]) (*connect.Response[jobpb.ReportResponse], error) {
	relay, err := netip.ParseAddrPort(m.Msg.GetRelay())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	o := s.f.owner.Load()
	if o == nil || o.record.Epoch != m.Msg.GetEpoch() {
		return connect.NewResponse(&jobpb.ReportResponse{NotOwner: true}), nil
	}
	if !o.events.Push(ctx, o.timed(func(at time.Time) { o.relays.take(at, relay, m.Msg.GetResults()) })) {
		return nil, connect.NewError(connect.CodeUnavailable, ctx.Err())
	}
	return connect.NewResponse(&jobpb.ReportResponse{}), nil
}

// take takes results over.
func (r *relays) take(at time.Time, relay netip.AddrPort, results []*jobpb.OrderResult) {
	for _, m := range results {
		order, verdict := r.book.Result(at, m.GetId())
		if verdict == dispatch.Unwanted {
			continue
		}
		report, err := decodeResult(m, orderCall(order.Kind), relay.String())
		r.counts.results++
		switch {
		case verdict == dispatch.Wanted:
			r.o.underWay.Add(-1)
			r.o.result(at, order.Order, report, err)
		case order.Kind == cell.OrderHold && err == nil:
			r.counts.late++
			r.o.cell.HeldLate(at, order.Order, report)
		}
	}
}

// count brings the counters up to date.
func (r *relays) count(m *metrics) {
	c := r.counts
	m.Raise("ordersSent", map[string]string{"way": wayDirect}, c.direct)
	m.Raise("ordersSent", map[string]string{"way": wayRelayed}, c.relayed)
	for name, total := range map[string]int64{
		"relayBatches": c.batches, "relayResults": c.results, "relayResultsLate": c.late, "relayResultsMissing": c.missing,
		"relayOrdersUnqueued": c.unqueued, "relaysLost": c.lost,
	} {
		m.Raise(name, nil, total)
	}
}
