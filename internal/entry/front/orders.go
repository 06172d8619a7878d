package front

import (
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// staleOrder is the age at which an order is not sent any more: the process may
// have slept since it was decided.
const staleOrder = 500 * time.Millisecond

// carryOut sends an order to its worker and gives the result back. Handed is when
// the loop handed the order over.
func (o *owner) carryOut(order cell.Order, decided, handed time.Time) {
	defer o.underWay.Add(-1)
	o.delays.waited(waitOrder, time.Since(handed))
	f := o.front
	ctx := o.ctx
	var sighting bamboofall.Sighting
	var report bamboofall.HoldReport
	var err error
	began := now()
	switch {
	case closed(f.releasing) || !f.mayAct(o.record.Epoch):
		err = &bamboofall.NotDoneError{Call: "order", Reason: "the owner is not confirmed"}
	case began.Sub(decided) > staleOrder:
		err = &bamboofall.NotDoneError{Call: "order", Reason: "the process has slept"}
	default:
		s := order.Start
		switch order.Kind {
		case cell.OrderStart:
			sighting, err = f.workers.Start(ctx, order.Worker, s)
			f.metrics.took("startOrder", now().Sub(began))
		case cell.OrderStop:
			sighting, err = f.workers.Stop(ctx, order.Worker, s.Task, s.Run, s.Token)
		case cell.OrderPace:
			sighting, err = f.workers.Pace(ctx, order.Worker, s.Task, s.Run, order.Percent, s.Token)
		case cell.OrderHold:
			report, err = f.workers.Hold(ctx, order.Worker, order.Hold)
		}
	}
	o.push(ctx, func(at time.Time) {
		switch order.Kind {
		case cell.OrderStart:
			o.cell.Started(at, order, sighting, err)
		case cell.OrderStop:
			o.cell.Stopped(at, order, sighting, err)
		case cell.OrderPace:
			o.cell.Paced(at, order, sighting, err)
		case cell.OrderHold:
			o.cell.Held(at, order, report, err)
		}
	})
}
