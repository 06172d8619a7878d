package sim

import (
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// sendOrder sends an order to its worker. With an OwnerVM the order is first queued
// for the owner's processor and link, and is withheld if it was withdrawn or has
// become stale meanwhile.
func (w *World) sendOrder(owner *cell.Cell, order cell.Order) {
	m := w.machineOf(owner)
	if m == nil {
		w.callWorker(owner, order, callTimeout, 0, func(_ bamboofall.HoldReport, deliver func()) { deliver() })
		return
	}
	decided := w.now
	m.enqueue(orderCost, func() {
		if w.machine != m || w.cell != owner {
			return
		}
		age := w.now.Sub(decided)
		m.recordWait(waitOrder, age)
		withheld := &bamboofall.WithheldError{Cause: bamboofall.WithheldStale, Age: age}
		if order.Withdrawn() {
			withheld.Cause = bamboofall.WithheldWithdrawn
		}
		if order.Withdrawn() || age > staleOrderAge {
			w.Stats.StaleOrders++
			w.deliverResult(owner, order, bamboofall.ResponseMeta{}, bamboofall.HoldReport{}, &bamboofall.NotDoneError{Call: "order", Reason: withheld.Error(), Err: withheld})
			return
		}
		w.callWorker(owner, order, ownerCallTimeout, m.transmit(&m.uplinkFreeAt, orderBytes), func(report bamboofall.HoldReport, deliver func()) {
			w.schedule(m.transmit(&m.downlinkFreeAt, reportBytes(report)), func() { m.enqueue(answerCost, deliver) })
		})
	})
}

// deliverResult passes the result of an order to the owner that sent it.
func (w *World) deliverResult(owner *cell.Cell, order cell.Order, s bamboofall.ResponseMeta, report bamboofall.HoldReport, err error) {
	w.handleEvent(owner, eventCost, func() {
		switch order.Kind {
		case cell.OrderStart:
			owner.StartAnswered(w.now, order, s, err)
		case cell.OrderStop:
			owner.StopAnswered(w.now, order, s, err)
		case cell.OrderPace:
			owner.PaceAnswered(w.now, order, s, err)
		case cell.OrderHold:
			owner.HoldAnswered(w.now, order, report, err)
		}
	})
}

// callWorker simulates the call that sends an order to its worker: network latency,
// execution at the worker, and latency of the answer. The order leaves the owner
// after sendDelay. Receive is called when the answer has arrived and calls deliver
// once the owner has read it.
func (w *World) callWorker(owner *cell.Cell, order cell.Order, timeout, sendDelay time.Duration, receive func(report bamboofall.HoldReport, deliver func())) {
	worker := w.workerByID(order.Worker.ID)
	sent, m := w.now, w.machineOf(owner)
	latency := func() time.Duration { return time.Millisecond + time.Duration(w.random.IntN(4000))*time.Microsecond }
	answered, relay := false, w.drawRelayFault()
	answer := func(s bamboofall.ResponseMeta, report bamboofall.HoldReport, err error) {
		if answered {
			if relay != (relayFault{}) && order.Kind == cell.OrderHold && err == nil && (w.cell == owner || w.formerOwner == owner) {
				w.deliverLate(owner, order, report)
			}
			return
		}
		answered = true
		if m != nil && order.Hold.Wait == 0 {
			m.recordAnswer(order.Worker.ID, w.now.Sub(sent))
		}
		if w.cell != owner && w.formerOwner != owner {
			return
		}
		w.deliverResult(owner, order, s, report, err)
	}
	unknown := &bamboofall.UnknownOutcomeError{Call: "order", Err: errNoAnswer}
	w.schedule(timeout+order.Hold.Wait, func() {
		if !answered {
			w.Stats.Timeouts++
		}
		answer(bamboofall.ResponseMeta{}, bamboofall.HoldReport{}, unknown)
	})
	if !w.applyRelayFault(relay, answer) || worker == nil {
		return
	}
	if order.Kind != cell.OrderHold && w.random.Float64() < worker.LateOrderShare {
		born := worker.born
		w.schedule(2*time.Second+time.Duration(w.random.IntN(10_000))*time.Millisecond, func() {
			// An order received before a crash is not executed after it.
			if worker.up && worker.born.Equal(born) {
				worker.handle(order, func(bamboofall.ResponseMeta, bamboofall.HoldReport, error) {})
			}
		})
		return
	}
	arrive := sendDelay + relay.sendDelay + latency()
	if left := worker.restartAt.Sub(w.now); !worker.up && left > 0 && left < timeout {
		arrive += left // connecting is retried until the worker has restarted
	}
	respond := func(s bamboofall.ResponseMeta, r bamboofall.HoldReport, err error) {
		incarnation := worker.incarnation
		w.schedule(relay.answerDelay+latency(), func() {
			if worker.Partitioned {
				return
			}
			// An owner that knows of a restart does not take ends of the former process, and
			// cannot acknowledge them any more.
			if worker.incarnation == incarnation || relay.answerDelay == 0 {
				w.auditReport(owner, worker, r)
			}
			receive(r, func() { answer(s, r, err) })
		})
	}
	var connect func()
	connect = func() {
		process := worker.processAtAddress()
		switch {
		case worker.restarting:
			w.schedule(worker.restartAt.Sub(w.now), connect)
		case worker.unreachableFrom(owner) || process != nil && process.unreachableFrom(owner):
		case process == worker && relay.givenUpAfter > 0 && worker.born.After(sent.Add(relay.givenUpAfter)):
			// Not carried out: the former process may have confirmed a stop meanwhile.
		case process == worker && worker.loseAcknowledgement(order.Hold):
		case process == worker:
			worker.handle(order, respond)
		case process != nil:
			respond(bamboofall.ResponseMeta{}, bamboofall.HoldReport{}, &bamboofall.RejectedError{Call: "order", Cause: bamboofall.RejectWrongProcess, ResponseMeta: bamboofall.ResponseMeta{Clock: process.clock()}})
		case worker.refusing:
			respond(bamboofall.ResponseMeta{}, bamboofall.HoldReport{}, &bamboofall.NotDoneError{Call: "order", Reason: "connection refused", NoListener: true})
		}
	}
	w.schedule(arrive, connect)
}

// unreachableFrom reports whether calls of an owner do not reach the worker's address.
func (x *Worker) unreachableFrom(owner *cell.Cell) bool {
	present := owner == x.world.cell
	return x.Partitioned || x.PartitionedFromOwner && present || x.PartitionedFromFormerOwner && !present
}
