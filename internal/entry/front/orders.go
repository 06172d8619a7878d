package front

import (
	"context"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/jobs/dispatch"
)

// staleOrder is the age at which an order is not sent any more: the process may
// have slept since it was decided.
const staleOrder = dispatch.StaleOrder

// carryOut sends an order to its worker and gives the result back. Handed is when
// the loop handed the order over.
func (o *owner) carryOut(order cell.Order, decided, handed time.Time) {
	defer o.underWay.Add(-1)
	o.delays.waited(waitOrder, time.Since(handed))
	f := o.front
	ctx := o.ctx
	var report bamboofall.HoldReport
	var err error
	began := now()
	switch {
	case o.givesUp() || !f.mayAct(o.record.Epoch):
		err = &bamboofall.NotDoneError{Call: "order", Reason: "the owner is not confirmed"}
	case began.Sub(decided) > staleOrder:
		err = &bamboofall.NotDoneError{Call: "order", Reason: "the process has slept"}
	default:
		report, err = f.perform(ctx, order)
	}
	o.push(ctx, func(at time.Time) { o.result(at, order, report, err) })
}

// perform makes the call of an order. Only holds report more than the sighting.
func (f *Front) perform(ctx context.Context, order cell.Order) (report bamboofall.HoldReport, err error) {
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
