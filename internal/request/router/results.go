package router

import (
	"maps"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
)

// Sent handles the result of an attempt. After a timeout it may be called a
// second time for the same attempt, when the instance answers late.
func (r *Router) Sent(now time.Time, id uint64, res SendResult) []Action {
	a := r.attempts[id]
	if a == nil {
		return r.releaseHeldSlot(now, id)
	}
	delete(r.attempts, id)
	r.recordResult(now, a, res)
	p := r.pending[a.request]
	if p == nil || p.attempt != a {
		return r.dispatch(now, a.service)
	}
	p.attempt = nil
	actions := r.resolveAttempt(now, p, a, res)
	return append(actions, r.dispatch(now, a.service)...)
}

// releaseHeldSlot releases the slot of an attempt that had timed out. The late
// answer is discarded.
func (r *Router) releaseHeldSlot(now time.Time, id uint64) []Action {
	a := r.held[id]
	if a == nil {
		return nil
	}
	delete(r.held, id)
	a.service.pool.ReleaseHeld(now, a.instance)
	return r.dispatch(now, a.service)
}

// recordResult updates the instance's statistics with the result of an attempt,
// and releases the slot unless the instance may still be working on it.
func (r *Router) recordResult(now time.Time, a *attempt, res SendResult) {
	pool := a.service.pool
	switch res.Status {
	case SendAnswered:
		pool.Succeeded(a.instance, res.Took)
		a.service.queue.RecordCost(a.kind, res.Took)
	case SendRefused, SendConnectFailed:
		pool.Failed(now, a.instance)
	case SendBroken:
		// The upstream may have closed a reused connection while it was idle.
		if res.Fresh {
			pool.Failed(now, a.instance)
		}
	case SendTimeout:
		if res.Fresh && a.fullTimeout {
			pool.Failed(now, a.instance)
		}
	}
	if res.Status == SendTimeout || res.Status == SendBroken {
		r.held[a.id] = a
		pool.Hold(a.instance)
		return
	}
	pool.Release(now, a.instance)
}

// resolveAttempt finishes or retries a request after an attempt.
func (r *Router) resolveAttempt(now time.Time, p *pending, a *attempt, res SendResult) []Action {
	reason := ReasonNone
	switch res.Status {
	case SendAnswered:
		return r.finish(now, p, bamboofall.OutcomeAnswered, ReasonNone, res.Answer)
	case SendRefused:
		reason = ReasonUpstreamRefused
	case SendConnectFailed:
		reason = ReasonConnectFailed
	case SendNotAttempted:
		reason = ReasonDecisionTooOld
	case SendBroken:
		reason = ReasonConnectionBroken
		p.mayHaveRun = true
	case SendTimeout:
		reason = ReasonAttemptTimeout
		p.mayHaveRun = true
	}
	p.avoidInstance = a.instance.ID
	return r.retry(now, p, reason)
}

// retry tries a request again if that is safe and if the deadline, the maximum
// number of attempts and the retry budget allow it.
func (r *Router) retry(now time.Time, p *pending, reason Reason) []Action {
	switch {
	case p.mayHaveRun && p.atMostOnce:
		return r.finish(now, p, bamboofall.OutcomeUnknown, ReasonNoAnswer, nil)
	case !now.Before(p.Deadline):
		return r.finish(now, p, r.unansweredOutcome(p), ReasonDeadlinePassed, nil)
	case p.attemptCount >= maxAttempts:
		return r.finish(now, p, r.unansweredOutcome(p), reason, nil)
	case !p.service.budget.Withdraw():
		return r.finish(now, p, r.unansweredOutcome(p), ReasonRetryBudget, nil)
	}
	r.counters.retried(reason)
	return r.enqueue(now, p)
}

// Forwarded handles the result of a forwarded request.
func (r *Router) Forwarded(now time.Time, id uint64, res PeerResult) []Action {
	p := r.pending[id]
	if p == nil || p.forwardedTo == "" {
		return nil
	}
	peer := p.forwardedTo
	p.forwardedTo = ""
	r.peers.removeInFlight(peer, p.Service)
	p.authoritative = res.Authoritative
	switch {
	case !res.Reached:
		r.peers.markSuspect(peer)
		return r.retryForward(now, p, peer, ReasonPeerLost)
	case res.Lost:
		r.peers.markSuspect(peer)
		p.mayHaveRun = true
		return r.retryForward(now, p, peer, ReasonPeerLost)
	case res.Outcome == bamboofall.OutcomeAnswered:
		return r.finish(now, p, res.Outcome, res.Reason, res.Answer)
	case res.Outcome == bamboofall.OutcomeNotRun && !p.mayHaveRun && p.mayTryOtherPeer(res.Reason):
		r.peers.markFull(peer, p.Service)
		return r.retryForward(now, p, peer, res.Reason)
	case res.Outcome == bamboofall.OutcomeUnknown:
		p.mayHaveRun = true
	}
	return r.finishWithRetryAfter(now, p, r.unansweredOutcome(p), res.Reason, res.RetryAfter, nil)
}

// mayTryOtherPeer reports whether another peer may accept a request that one
// refused. A key has a single home, so another VM does not help a request that
// was forwarded to its home. A request forwarded to balance the load is not
// taken back, because this VM has too few slots for it.
func (p *pending) mayTryOtherPeer(reason Reason) bool {
	switch reason {
	case ReasonNotHome, ReasonStopping:
		return true
	case ReasonNoInstances:
		return !p.atMostOnce || p.key != nil
	case ReasonQueueFull:
		return !p.rebalanced && (!p.atMostOnce || p.key != nil)
	}
	return false
}

// retryForward retries a request after a peer failed or refused to run it.
func (r *Router) retryForward(now time.Time, p *pending, peer bamboofall.VMID, reason Reason) []Action {
	p.avoidPeer = peer
	if p.atMostOnce && p.key == nil && !p.mayHaveRun {
		r.counters.retried(reason)
		return r.park(now, p)
	}
	p.attemptCount++
	return r.retry(now, p, reason)
}

// refreshInterval is the time between updates of the availability of all
// instances.
const refreshInterval = 50 * time.Millisecond

// Tick releases held slots, expires requests, and dispatches queued requests.
func (r *Router) Tick(now time.Time) []Action {
	for _, id := range slices.Sorted(maps.Keys(r.held)) {
		a := r.held[id]
		if !now.Before(a.endsBy) {
			delete(r.held, id)
			a.service.pool.ReleaseHeld(now, a.instance)
		}
	}
	actions := r.expireDuplicates(now)
	if now.Sub(r.lastRefresh) >= refreshInterval {
		r.lastRefresh = now
		return append(actions, r.dispatchAll(now)...)
	}
	for _, name := range r.serviceNames {
		actions = append(actions, r.dispatch(now, r.services[name])...)
	}
	return actions
}

// expireDuplicates finishes the requests past their deadline that wait for
// another request with the same key.
func (r *Router) expireDuplicates(now time.Time) []Action {
	var expired []uint64
	for id, p := range r.pending {
		isDuplicate := p.queued == nil && p.attempt == nil && p.forwardedTo == "" && r.parked[id] == nil
		if isDuplicate && !now.Before(p.Deadline) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	var actions []Action
	for _, id := range expired {
		if p := r.pending[id]; p != nil {
			actions = append(actions, r.finish(now, p, bamboofall.OutcomeUnknown, ReasonNoAnswer, nil)...)
		}
	}
	return actions
}
