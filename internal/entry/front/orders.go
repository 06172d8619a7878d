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

// maxOrderAge is the age from which an order is no longer sent. An order can reach it if
// the VM was suspended after the order was decided.
const maxOrderAge = 500 * time.Millisecond

// execute sends an order to its worker and passes the result to the loop. It calls
// releaseSlot once the order only waits for a connection or a response, or has ended.
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
	o.push(o.ctx, loopResults, func(at time.Time) { o.applyResult(at, q.Order, report, err) })
}

func (o *owner) countWithheld(err error) {
	var withheld *bamboofall.WithheldError
	if errors.As(err, &withheld) {
		o.front.metrics.Increment("ordersWithheld", map[string]string{"cause": string(withheld.Cause)})
	}
}

// withSendHooks returns the context for the worker call of an order. The order is
// checked again right before its bytes are written, as it may have waited for a
// connection. HandedOff is called when the order starts to wait for a connection, or
// before its bytes are written.
func (o *owner) withSendHooks(q *queuedOrder, handedOff func()) context.Context {
	return httpclient.WithHooks(o.ctx, &httpclient.Hooks{
		Connecting: handedOff,
		BeforeSend: func() error {
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

// checkSend returns a *bamboofall.NotDoneError if an order must not be sent any more, or
// nil.
func (o *owner) checkSend(q *queuedOrder) error {
	age := now().Sub(q.decidedAt)
	withheld := &bamboofall.WithheldError{Age: age}
	switch {
	case o.isReleasing() || !o.front.mayAct(o.record.Epoch):
		withheld.Cause = bamboofall.WithheldUnconfirmed
	case o.front.evacuations.isEvacuated(&q.Order):
		withheld.Cause = bamboofall.WithheldEvacuated
	case q.Withdrawn():
		withheld.Cause = bamboofall.WithheldWithdrawn
	case age > maxOrderAge:
		withheld.Cause = bamboofall.WithheldStale
	default:
		return nil
	}
	return &bamboofall.NotDoneError{Call: "order", Reason: withheld.Error(), Err: withheld}
}

// callWorker makes the worker call of an order. Only hold orders return more than a
// ResponseMeta.
func (f *Front) callWorker(ctx context.Context, order *cell.Order) (report bamboofall.HoldReport, err error) {
	start := order.Start
	switch order.Kind {
	case cell.OrderStart:
		began := now()
		report.ResponseMeta, err = f.workers.Start(ctx, order.Worker, start)
		f.metrics.recordLatency("startOrder", now().Sub(began))
	case cell.OrderStop:
		report.ResponseMeta, err = f.workers.Stop(ctx, order.Worker, start.Task, start.Run, start.Token)
	case cell.OrderPace:
		report.ResponseMeta, err = f.workers.Pace(ctx, order.Worker, start.Task, start.Run, order.Percent, start.Token)
	case cell.OrderHold:
		report, err = f.workers.Hold(ctx, order.Worker, order.Hold)
	default:
		err = &bamboofall.NotDoneError{Call: "order", Reason: "unknown order kind"}
	}
	return report, err
}

func (o *owner) countRejected(err error) {
	var rejected *bamboofall.RejectedError
	if errors.As(err, &rejected) {
		o.front.metrics.Increment("ordersRejected", map[string]string{"cause": string(rejected.Cause)})
	}
}

// applyResult passes the result of an order to the cell.
func (o *owner) applyResult(at time.Time, order cell.Order, report bamboofall.HoldReport, err error) {
	o.recordReached(at, err)
	o.countRejected(err)
	switch order.Kind {
	case cell.OrderStart:
		o.cell.StartAnswered(at, order, report.ResponseMeta, err)
	case cell.OrderStop:
		o.cell.StopAnswered(at, order, report.ResponseMeta, err)
	case cell.OrderPace:
		o.cell.PaceAnswered(at, order, report.ResponseMeta, err)
	case cell.OrderHold:
		o.cell.HoldAnswered(at, order, report, err)
	}
}

// recordReached records whether a worker answered. An order that this VM withheld says
// nothing about its connection to workers.
func (o *owner) recordReached(at time.Time, err error) {
	var withheld *bamboofall.WithheldError
	var rejected *bamboofall.RejectedError
	switch {
	case err == nil, errors.As(err, &rejected):
		o.progress.workerAnswered()
	case !errors.As(err, &withheld):
		o.progress.callFailed(at)
	}
}
