package router

import (
	"maps"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
)

// Sent takes the end of an attempt. An attempt that timed out may end a second
// time, when the instance answers late.
func (r *Router) Sent(now time.Time, id uint64, res SendResult) []Action {
	a := r.attempts[id]
	if a == nil {
		return r.endedLate(now, id)
	}
	delete(r.attempts, id)
	r.judge(now, a, res)
	p := r.pending[a.request]
	if p == nil || p.attempt != a {
		return r.pump(now, a.service)
	}
	p.attempt = nil
	out := r.conclude(now, p, a, res)
	return append(out, r.pump(now, a.service)...)
}

// endedLate frees the slot of an attempt that had timed out. Its answer is of
// no use to anyone.
func (r *Router) endedLate(now time.Time, id uint64) []Action {
	a := r.lingering[id]
	if a == nil {
		return nil
	}
	delete(r.lingering, id)
	a.service.pool.ReleaseHeld(now, a.instance)
	return r.pump(now, a.service)
}

// judge records what an attempt says about its instance, and gives the slot
// back unless the instance may still be working.
func (r *Router) judge(now time.Time, a *attempt, res SendResult) {
	pool := a.service.pool
	switch res.Status {
	case SendAnswered:
		pool.Succeeded(a.instance, res.Took)
		a.service.queue.LearnCost(a.kind, res.Took)
	case SendRefused, SendUnconnected:
		pool.Failed(now, a.instance)
	case SendBroken:
		// A used connection may have been closed by the other end meanwhile.
		if res.Fresh {
			pool.Failed(now, a.instance)
		}
	case SendTimeout:
		if res.Fresh && a.fair {
			pool.Failed(now, a.instance)
		}
	}
	if res.Status == SendTimeout || res.Status == SendBroken {
		r.lingering[a.id] = a
		pool.Hold(a.instance)
		return
	}
	pool.Release(now, a.instance)
}

// conclude decides what an attempt means for its request.
func (r *Router) conclude(now time.Time, p *pending, a *attempt, res SendResult) []Action {
	reason := ReasonNone
	switch res.Status {
	case SendAnswered:
		return r.finish(now, p, bamboofall.OutcomeAnswered, ReasonNone, res.Answer)
	case SendRefused:
		reason = ReasonRefused
	case SendUnconnected:
		reason = ReasonConnect
	case SendStale:
		reason = ReasonStale
	case SendBroken:
		reason = ReasonBroken
		p.mayHaveRun = true
	case SendTimeout:
		reason = ReasonTimeout
		p.mayHaveRun = true
	}
	p.avoid = a.instance.ID
	return r.again(now, p, reason)
}

// again tries a request once more if that is safe, in time and in the budget.
func (r *Router) again(now time.Time, p *pending, reason Reason) []Action {
	switch {
	case p.mayHaveRun && p.once:
		return r.finish(now, p, bamboofall.OutcomeUnknown, ReasonNoAnswer, nil)
	case !now.Before(p.Deadline):
		return r.finish(now, p, r.safeOutcome(p), ReasonDeadlinePassed, nil)
	case p.tries >= maxAttempts:
		return r.finish(now, p, r.safeOutcome(p), reason, nil)
	case !p.service.budget.Spend():
		return r.finish(now, p, r.safeOutcome(p), ReasonRetryBudget, nil)
	}
	r.counters.retried(reason)
	return r.enqueueAgain(now, p)
}

// enqueueAgain is enqueue for a request that has been tried. What it may say
// when there is no room depends on the earlier attempts.
func (r *Router) enqueueAgain(now time.Time, p *pending) []Action {
	out := r.enqueue(now, p)
	if !p.mayHaveRun {
		return out
	}
	for i, action := range out {
		if reply, ok := action.(Reply); ok && reply.Request.ID == p.ID && reply.Outcome == bamboofall.OutcomeNotRun {
			reply.Outcome = bamboofall.OutcomeUnknown
			out[i] = reply
		}
	}
	return out
}

// Forwarded takes the answer of a peer.
func (r *Router) Forwarded(now time.Time, id uint64, res PeerResult) []Action {
	p := r.pending[id]
	if p == nil || p.forwarded == "" {
		return nil
	}
	peer := p.forwarded
	p.forwarded = ""
	r.peers.returned(peer, p.Service)
	p.vouched = res.Vouched
	switch {
	case !res.Reached:
		r.peers.doubt(peer)
		return r.forwardAgain(now, p, peer, ReasonPeerLost)
	case res.Lost:
		r.peers.doubt(peer)
		p.mayHaveRun = true
		return r.forwardAgain(now, p, peer, ReasonPeerLost)
	case res.Outcome == bamboofall.OutcomeAnswered:
		return r.finish(now, p, res.Outcome, res.Reason, res.Answer)
	case res.Outcome == bamboofall.OutcomeNotRun && !p.mayHaveRun && p.mayGoElsewhere(res.Reason):
		r.peers.full(peer, p.Service)
		return r.forwardAgain(now, p, peer, res.Reason)
	case res.Outcome == bamboofall.OutcomeUnknown:
		p.mayHaveRun = true
	}
	return r.finishAfter(now, p, r.safeOutcome(p), res.Reason, res.RetryAfter, nil)
}

// mayGoElsewhere reports whether a peer's refusal speaks of that peer only. A
// key has one home, so another VM helps only if the peer is not it. What was
// forwarded to even out a flood is not brought back into it.
func (p *pending) mayGoElsewhere(reason Reason) bool {
	switch reason {
	case ReasonNotHome, ReasonStopping:
		return true
	case ReasonNoInstances:
		return !p.once || p.key != nil
	case ReasonQueueFull:
		return !p.spilled && (!p.once || p.key != nil)
	}
	return false
}

func (r *Router) forwardAgain(now time.Time, p *pending, peer bamboofall.VMID, reason Reason) []Action {
	p.avoidPeer = peer
	if p.once && p.key == nil && !p.mayHaveRun {
		r.counters.retried(reason)
		return r.park(now, p)
	}
	p.tries++
	return r.again(now, p, reason)
}

// refreshEvery is the time between looks at all instances.
const refreshEvery = 50 * time.Millisecond

// Tick does what is due: deadlines, silent slots and rested instances.
func (r *Router) Tick(now time.Time) []Action {
	for _, id := range slices.Sorted(maps.Keys(r.lingering)) {
		a := r.lingering[id]
		if !now.Before(a.endsBy) {
			delete(r.lingering, id)
			a.service.pool.ReleaseHeld(now, a.instance)
		}
	}
	out := r.expireWaiting(now)
	if now.Sub(r.refreshed) >= refreshEvery {
		r.refreshed = now
		return append(out, r.pumpAll(now)...)
	}
	for _, name := range r.names {
		out = append(out, r.pump(now, r.services[name])...)
	}
	return out
}

// expireWaiting ends requests that wait for another one with their key.
func (r *Router) expireWaiting(now time.Time) []Action {
	var late []uint64
	for id, p := range r.pending {
		waits := p.queued == nil && p.attempt == nil && p.forwarded == "" && r.parked[id] == nil
		if waits && !now.Before(p.Deadline) {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	var out []Action
	for _, id := range late {
		if p := r.pending[id]; p != nil {
			out = append(out, r.finish(now, p, bamboofall.OutcomeUnknown, ReasonNoAnswer, nil)...)
		}
	}
	return out
}
