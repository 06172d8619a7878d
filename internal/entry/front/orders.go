package front

import (
	"context"
	"errors"
	"sync"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/wire/httpclient"
)

// staleOrder is the age at which an order is not sent any more: the process may
// have slept since it was decided.
const staleOrder = 500 * time.Millisecond

// carryOut sends an order to its worker and gives the result back. It calls left
// once the order waits for the other side, or ends.
func (o *owner) carryOut(q *queuedOrder, left func()) {
	defer o.underWay.Add(-1)
	defer left()
	waits := sync.OnceFunc(func() {
		o.delays.waited(waitOrder, time.Since(q.handed))
		left()
	})
	var report bamboofall.HoldReport
	err := o.withhold(q)
	if err != nil {
		waits()
	} else {
		report, err = o.front.perform(o.watch(q, waits), &q.Order)
	}
	o.countWithheld(err)
	o.push(o.ctx, func(at time.Time) { o.result(at, q.Order, report, err) })
}

func (o *owner) countWithheld(err error) {
	var withheld *bamboofall.WithheldError
	if errors.As(err, &withheld) {
		o.front.metrics.Count("ordersWithheld", map[string]string{"cause": string(withheld.Cause)})
	}
}

// watch returns a context for the call of an order. The order is looked at once
// more when its bytes leave: it may have waited for a connection.
func (o *owner) watch(q *queuedOrder, waits func()) context.Context {
	return httpclient.WithHooks(o.ctx, &httpclient.Hooks{
		Connecting: waits,
		Leave: func() error {
			waits()
			return o.withhold(q)
		},
	})
}

// withhold returns why an order must not be sent any more, as a
// *bamboofall.NotDoneError, or nil.
func (o *owner) withhold(q *queuedOrder) error {
	age := now().Sub(q.decided)
	withheld := &bamboofall.WithheldError{Age: age}
	switch {
	case o.givesUp() || !o.front.mayAct(o.record.Epoch):
		withheld.Cause = bamboofall.WithheldUnconfirmed
	case q.Withdrawn():
		withheld.Cause = bamboofall.WithheldWithdrawn
	case age > staleOrder:
		withheld.Cause = bamboofall.WithheldStale
	default:
		return nil
	}
	return &bamboofall.NotDoneError{Call: "order", Reason: withheld.Error(), Err: withheld}
}

// perform makes the call of an order. Only holds report more than the sighting.
func (f *Front) perform(ctx context.Context, order *cell.Order) (report bamboofall.HoldReport, err error) {
	s := order.Start
	switch order.Kind {
	case cell.OrderStart:
		began := now()
		report.Sighting, err = f.workers.Start(ctx, order.Worker, s)
		f.metrics.took("startOrder", now().Sub(began))
	case cell.OrderStop:
		report.Sighting, err = f.workers.Stop(ctx, order.Worker, s.Task, s.Run, s.Token)
	case cell.OrderPace:
		report.Sighting, err = f.workers.Pace(ctx, order.Worker, s.Task, s.Run, order.Percent, s.Token)
	case cell.OrderHold:
		report, err = f.workers.Hold(ctx, order.Worker, order.Hold)
	default:
		err = &bamboofall.NotDoneError{Call: "order", Reason: "unknown kind of order"}
	}
	return report, err
}

// result gives the result of an order to the cell.
func (o *owner) result(at time.Time, order cell.Order, report bamboofall.HoldReport, err error) {
	switch order.Kind {
	case cell.OrderStart:
		o.cell.Started(at, order, report.Sighting, err)
	case cell.OrderStop:
		o.cell.Stopped(at, order, report.Sighting, err)
	case cell.OrderPace:
		o.cell.Paced(at, order, report.Sighting, err)
	case cell.OrderHold:
		o.cell.Held(at, order, report, err)
	}
}
