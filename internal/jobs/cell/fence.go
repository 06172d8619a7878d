package cell

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/fencing"
)

const (
	// acknowledgementDelay is how long a hold call waits for the answers to starts, so that it
	// can acknowledge run ends.
	acknowledgementDelay = 20 * time.Millisecond
	// maxAcknowledgementDelay is how long starts may keep run ends from being acknowledged. The
	// worker gets no more starts then until they are.
	maxAcknowledgementDelay = time.Second
)

// fences holds what keeps a worker from executing orders out of their order.
type fences struct {
	// tokens chooses the tokens of the worker's orders.
	tokens fencing.Sequence
	// overtaken is set if the worker rejected an order that a later one may have overtaken, and
	// no order has been sent since to tell.
	overtaken bool
	// acknowledgementDueAt is when run ends could first have been acknowledged but for unnamed
	// runs, and holdUnacknowledgedAt when a hold call is made all the same. Both are zero if
	// nothing is delayed.
	acknowledgementDueAt, holdUnacknowledgedAt time.Time
}

// nextToken returns the token of the next order to a worker.
func (c *Cell) nextToken(w *worker) bamboofall.Token { return w.tokens.Next(c.cfg.Epoch) }

// fenceEarlier makes a process of the worker that executes any later order reject all orders so
// far, though they may still arrive or be executed late.
func (c *Cell) fenceEarlier(w *worker) {
	w.tokens.Raise()
	c.out.TokensUsedUp = c.out.TokensUsedUp || w.tokens.Exhausted()
}

// fenceUnanswered fences an order that the worker may yet execute.
func (c *Cell) fenceUnanswered(o Order, err error) {
	var unknown *bamboofall.UnknownOutcomeError
	if errors.As(err, &unknown) {
		c.fenceEarlier(o.worker)
	}
}

// token returns the fencing token of an order.
func (o *Order) token() bamboofall.Token {
	if o.Kind == OrderHold {
		return o.Hold.Token
	}
	return o.Start.Token
}

// orderFenced handles the rejection of an order by its token. If a later order of this owner may
// be the cause, another one is sent at once, which only the orders of a later owner can fence.
func (c *Cell) orderFenced(now time.Time, o Order) {
	w := o.worker
	if !w.tokens.Overtaken(o.token()) {
		c.out.Deposed = true
		c.note(Note{Event: "fenced", Worker: w.info.ID, Detail: fmt.Sprintf("the worker has seen the token of a later owner, it rejected %d", o.token())})
		return
	}
	c.note(Note{Event: "order overtaken", Worker: w.info.ID, Routine: true, Detail: fmt.Sprintf("the worker rejected a %v with token %d, which a later order overtook", o.Kind, o.token())})
	w.overtaken = true
	w.holdNow(now)
	c.queueHold(w)
	c.probe(now, w)
}

// hasUnnamedRuns reports whether the worker may have, or may yet begin, a run that its process is
// not known to have. A process that started since may have it, or its end.
func (w *worker) hasUnnamedRuns() bool {
	return w.needsReport() || slices.ContainsFunc(w.attempts, func(a *attempt) bool { return a.state == attemptStarting })
}

// endToAcknowledge returns the end up to which a hold order acknowledges run ends, or zero.
//
// The order may be executed late, by a process that has started since and that numbers its ends
// anew. So that this one does not forget ends unseen, it must not have begun any run before: runs
// ordered earlier must be known to be at the process that listed the ends, and the orders of later
// ones have a higher token.
func (w *worker) endToAcknowledge() uint64 {
	if w.listedEnd == 0 || w.listedEnd > w.storedEnd || w.restartUnnamed || w.hasUnnamedRuns() || w.tokens.Exhausted() {
		return 0
	}
	return w.listedEnd
}

// delaysAcknowledgement reports whether a due hold call waits for the answers to starts, so that
// it can acknowledge the stored run ends. It does not wait for runs that only a report can name.
func (c *Cell) delaysAcknowledgement(now time.Time, w *worker) bool {
	delayed := w.listedEnd > 0 && w.listedEnd <= w.storedEnd && w.hasUnnamedRuns()
	if delayed && w.acknowledgementDueAt.IsZero() {
		w.acknowledgementDueAt = now
	}
	if !delayed || w.needsReport() {
		w.holdUnacknowledgedAt = time.Time{}
		return false
	}
	if w.holdUnacknowledgedAt.IsZero() {
		w.holdUnacknowledgedAt = now.Add(c.scaleByOwnerDelay(now, acknowledgementDelay))
	}
	if now.Before(w.holdUnacknowledgedAt) {
		w.nextHoldAt = w.holdUnacknowledgedAt
		return true
	}
	w.holdUnacknowledgedAt = time.Time{}
	return false
}

// needsReport reports whether only a report can tell about one of the unnamed runs.
func (w *worker) needsReport() bool {
	return slices.ContainsFunc(w.attempts, func(a *attempt) bool {
		return a.state == attemptUnknown || a.state == attemptRunning && !a.named
	})
}

// endAcknowledgementDelay makes a hold call due that waits for the answers to starts, if these
// have come.
func (c *Cell) endAcknowledgementDelay(now time.Time, w *worker) {
	if !w.holdUnacknowledgedAt.IsZero() && (!w.hasUnnamedRuns() || w.needsReport()) {
		w.holdNow(now)
		c.queueHold(w)
	}
}

// acknowledgementOverdue reports whether the worker must get no more starts until its run ends
// are acknowledged.
func (w *worker) acknowledgementOverdue(now time.Time) bool {
	return !w.acknowledgementDueAt.IsZero() && now.Sub(w.acknowledgementDueAt) >= maxAcknowledgementDelay
}
