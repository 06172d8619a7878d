package sim

import (
	"time"

	"bamboofall.example/bamboofall"
)

// lateHold is a hold call that is executed late and not answered.
type lateHold struct {
	order bamboofall.HoldOrder
	// due is the earliest time at which it is executed.
	due time.Time
}

// loseAcknowledgement restarts a worker right before a hold call arrives that acknowledges run
// ends, for a share of these calls. The new process executes the call late. It reports whether it
// has done so.
func (x *Worker) loseAcknowledgement(order bamboofall.HoldOrder) bool {
	const minDelay, maxDelay = 50 * time.Millisecond, 3 * time.Second
	w := x.world
	if order.AcknowledgedEnd == 0 || w.LostAcknowledgementShare == 0 || w.random.Float64() >= w.LostAcknowledgementShare {
		return false
	}
	x.Restart(0, WaitingCallsHang)
	x.lateHolds = append(x.lateHolds, lateHold{order, w.now.Add(minDelay + time.Duration(w.random.Int64N(int64(maxDelay-minDelay))))})
	return true
}

// executeLateHolds executes the late hold calls that are due. It is called when a run has ended,
// so that they may make the worker forget an end that no answer has listed.
func (x *Worker) executeLateHolds() {
	late := x.lateHolds
	x.lateHolds = nil
	for _, h := range late {
		switch {
		case x.world.now.Before(h.due) || len(x.waitingHolds) > 0:
			x.lateHolds = append(x.lateHolds, h)
		case h.order.Token < x.token:
			x.world.Stats.LateHoldsRejected++
		default:
			x.world.Stats.LateHoldsExecuted++
			h.order.Wait = 0
			x.handleHold(h.order, func(bamboofall.ResponseMeta, bamboofall.HoldReport, error) {})
		}
	}
}
