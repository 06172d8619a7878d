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

// maxOrderAge is the age at which an order is not sent any more: the process may
// have slept since it was decided.
const maxOrderAge = 500 * time.Millisecond

// execute sends an order to its worker and gives the result back. It calls left
// once the order waits for the other side, or ends.
func (o *owner) execute(q *queuedOrder, releaseSlot func()) {
	defer o.inFlight.Add(-1)
	defer releaseSlot()
	handedOff := sync.OnceFunc(func() {
		o.delays.recordWait(delayOrder, time.Since(q.queuedAt))
		releaseSlot()
	})
	var report bamboofall.HoldReport
	err := o.checkSend(q)
	if err != nil {
		handedOff()
	} else {
		report, err = o.front.callWorker(o.withSendHooks(q, handedOff), &q.Order)
		if at := q.sentAt.Load(); at != nil && q.Hold.Wait == 0 {
			o.delays.recordResponse(q.Worker.ID, time.Since(*at))
		}
	}
	o.countWithheld(err)
	o.push(o.ctx, func(at time.Time) { o.applyResult(at, q.Order, report, err) })
}

func (o *owner) countWithheld(err error) {
	var withheld *bamboofall.WithheldError
	if errors.As(err, &withheld) {
		o.front.metrics.Count("ordersWithheld", map[string]string{"cause": string(withheld.Cause)})
	}
}

// withSendHooks returns a context for the call of an order. The order is looked at once
// more when its bytes leave: it may have waited for a connection.
func (o *owner) withSendHooks(q *queuedOrder, handedOff func()) context.Context {
	return httpclient.WithHooks(o.ctx, &httpclient.Hooks{
		Connecting: handedOff,
		Leave: func() error {
			handedOff()
			if err := o.checkSend(q); err != nil {
				return err
			}
			at := time.Now()
			q.sentAt.Store(&at)
			return nil
		},
	})
}

// checkSend returns why an order must not be sent any more, as a
// *bamboofall.NotDoneError, or nil.
func (o *owner) checkSend(q *queuedOrder) error {
	age := now().Sub(q.decidedAt)
	withheld := &bamboofall.WithheldError{Age: age}
	switch {
	case o.isReleasing() || !o.front.mayAct(o.record.Epoch):
		withheld.Cause = bamboofall.WithheldUnconfirmed
	case q.Withdrawn():
		withheld.Cause = bamboofall.WithheldWithdrawn
	case age > maxOrderAge:
		withheld.Cause = bamboofall.WithheldStale
	default:
		return nil
	}
	return &bamboofall.NotDoneError{Call: "order", Reason: withheld.Error(), Err: withheld}
}

// callWorker makes the call of an order. Only holds report more than the sighting.
func (f *Front) callWorker(ctx context.Context, order *cell.Order) (report bamboofall.HoldReport, err error) {
	s := order.Start
	switch order.Kind {
	case cell.OrderStart:
		began := now()
		report.Sighting, err = f.workers.Start(ctx, order.Worker, s)
		f.metrics.recordLatency("startOrder", now().Sub(began))
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

// applyResult gives the applyResult of an order to the cell.
func (o *owner) applyResult(at time.Time, order cell.Order, report bamboofall.HoldReport, err error) {
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
