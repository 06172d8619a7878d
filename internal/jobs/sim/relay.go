package sim

import (
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// relayFault is how a relay delays or loses a call. The zero value is a call without one.
type relayFault struct {
	// notSent is set if the relay does not send the order and says so.
	notSent bool
	// sendDelay and answerDelay are how long the relay keeps the order and the answer back.
	sendDelay, answerDelay time.Duration
	// givenUpAfter is when the owner gives the relay up, or zero. The order may be carried
	// out before or after that, and a report may still arrive.
	givenUpAfter time.Duration
}

// drawRelayFault draws the fault of a call by World.RelayFaultShare.
func (w *World) drawRelayFault() (f relayFault) {
	if w.RelayFaultShare == 0 || w.random.Float64() >= w.RelayFaultShare {
		return f
	}
	upTo := func(d time.Duration) time.Duration { return time.Duration(w.random.Int64N(int64(d))) }
	const maxDelay = 400 * time.Millisecond
	switch w.random.IntN(4) {
	case 0:
		f.notSent = true
	case 1:
		f.answerDelay = upTo(maxDelay)
	case 2:
		f.sendDelay, f.answerDelay = upTo(maxDelay), upTo(maxDelay)
	default:
		f.sendDelay, f.answerDelay, f.givenUpAfter = upTo(maxDelay), upTo(maxDelay), 1+upTo(maxDelay)
	}
	return f
}

var errRelay = &bamboofall.RelayError{Relay: "relay", Reason: "no result"}

// applyRelayFault gives an order up that a relay does not send, or of which it tells no result
// in time. It reports whether the order is sent.
func (w *World) applyRelayFault(f relayFault, answer reply) bool {
	if f.notSent {
		w.schedule(time.Millisecond, func() {
			answer(bamboofall.ResponseMeta{}, bamboofall.HoldReport{}, &bamboofall.NotDoneError{Call: "order", Reason: errRelay.Error(), Err: errRelay})
		})
		return false
	}
	if f.givenUpAfter > 0 {
		w.schedule(f.givenUpAfter, func() {
			answer(bamboofall.ResponseMeta{}, bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: "order", Err: errRelay})
		})
	}
	return true
}

// deliverLate passes a report that arrives after its call was given up to the owner.
func (w *World) deliverLate(owner *cell.Cell, order cell.Order, report bamboofall.HoldReport) {
	w.handleEvent(owner, eventCost, func() { owner.LateHoldAnswered(w.now, order, report) })
}
