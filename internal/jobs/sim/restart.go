package sim

import (
	"cmp"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// maxHold returns the longest lease that workers accept.
func (c *Config) maxHold() time.Duration { return cmp.Or(c.MaxHold, 6*time.Second) }

// WaitingCalls is what happens to the hold calls that wait at a worker when it restarts.
type WaitingCalls int

const (
	// WaitingCallsMove means that the calls wait on at the new process.
	WaitingCallsMove WaitingCalls = iota
	// WaitingCallsHang means that the calls are not answered.
	WaitingCallsHang
	// WaitingCallsBreak means that the connections of the calls are closed.
	WaitingCallsBreak
)

// Restart replaces the process of a worker by a new one under its ID, at its address. Calls
// that arrive while none is up reach the new one, and no call fails except for those that
// wait. The owner learns of the restart from the announcement and from reports only. It does
// nothing while the worker is down or draining.
func (x *Worker) Restart(down time.Duration, calls WaitingCalls) {
	if !x.up || x.draining {
		return
	}
	w := x.world
	x.breakGangs()
	waiting := x.waitingHolds
	x.restarting, x.restartAt = true, w.now.Add(down)
	x.dropRuns()
	x.up = false
	x.incarnation++
	incarnation := x.incarnation
	w.schedule(down, func() {
		if !x.restarting || x.incarnation != incarnation {
			return
		}
		x.restart()
		if calls == WaitingCallsMove {
			x.moveHolds(waiting)
		}
	})
	for _, h := range waiting {
		if calls != WaitingCallsMove {
			h.answered = true
		}
		if calls == WaitingCallsBreak {
			h.answer(bamboofall.ResponseMeta{}, bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: "order", Err: errConnectionClosed})
		}
	}
}

// moveHolds makes hold calls that waited at the former process arrive at the new one.
func (x *Worker) moveHolds(waiting []*waitingHold) {
	for _, h := range waiting {
		if h.answered {
			continue
		}
		h.answered = true
		order := cell.Order{Kind: cell.OrderHold, Hold: h.order}
		order.Hold.Wait = max(0, h.until.Sub(x.world.now))
		x.handle(order, h.answer)
	}
}
