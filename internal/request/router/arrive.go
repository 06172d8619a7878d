package router

import (
	"maps"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/request/fairqueue"
	"bamboofall.example/bamboofall/internal/request/idempotency"
	"bamboofall.example/bamboofall/internal/state/ledger"
)

// Arrive accepts a new request.
func (r *Router) Arrive(now time.Time, req Request) []Action {
	r.counters.arrived++
	p, reason := r.check(now, req)
	if reason != ReasonNone {
		return r.refuse(req, reason, 0)
	}
	if !req.ForwardedLocally && !req.ForwardedRemotely {
		if wait, ok := r.limits.allow(now, req); !ok {
			return r.refuse(req, ReasonLimited, wait)
		}
	}
	r.pending[req.ID] = p
	p.service.budget.Deposit()
	if p.atMostOnce {
		return r.routeToHome(now, p)
	}
	return r.enqueue(now, p)
}

// check validates a request and limits its deadline. It returns the reason if
// the request must be refused.
func (r *Router) check(now time.Time, req Request) (*pending, Reason) {
	if r.revision == 0 {
		return nil, ReasonNotReady
	}
	s := r.services[req.Service]
	if s == nil || r.objects.Services[req.Service] == nil {
		return nil, ReasonUnknownService
	}
	atMostOnce, known := s.spec.RequestKind(req.Kind)
	if !known {
		return nil, ReasonUnknownKind
	}
	if req.Size > s.spec.MaxBody {
		return nil, ReasonBodyTooLarge
	}
	if latest := now.Add(s.spec.MaxDeadline); req.Deadline.After(latest) {
		req.Deadline = latest
	}
	if !now.Before(req.Deadline) {
		return nil, ReasonDeadlinePassed
	}
	trade := r.objects.Trades[req.Trade]
	if trade == nil && (atMostOnce || req.Trade != "") {
		return nil, ReasonUnknownTrade
	}
	if atMostOnce && req.Key == "" {
		return nil, ReasonMissingKey
	}
	if len(r.pending) >= maxPending {
		return nil, ReasonQueueFull
	}
	if len(r.view.Homes) == 0 {
		return nil, ReasonNotReady
	}
	p := &pending{Request: req, service: s, class: s.spec.KindClass(req.Kind), atMostOnce: atMostOnce, weight: 1}
	if trade != nil {
		p.weight = float64(trade.Weight)
	}
	return p, ReasonNone
}

// refuse replies NotRun to a request that was not accepted.
func (r *Router) refuse(req Request, reason Reason, retryAfter time.Duration) []Action {
	outcome := callerOutcome(req, bamboofall.OutcomeNotRun, reason == ReasonUnknownKind || reason == ReasonUnknownService)
	r.counters.replied(outcome, reason)
	return []Action{Reply{Request: req, Outcome: outcome, Reason: reason, RetryAfter: retryAfter}}
}

// callerOutcome returns the outcome to report for a request. NotRun covers the
// request with all its attempts, so if the caller may have sent the key before,
// only the home of the key can report it. Between entry VMs, NotRun covers just
// the forwarded attempt.
func callerOutcome(req Request, outcome bamboofall.Outcome, authoritative bool) bamboofall.Outcome {
	fromCaller := !req.ForwardedLocally && !req.ForwardedRemotely
	if outcome == bamboofall.OutcomeNotRun && fromCaller && req.Key != "" && !req.First && !authoritative {
		return bamboofall.OutcomeUnknown
	}
	return outcome
}

// routeToHome sends a request that must run at most once to the home of its
// key.
func (r *Router) routeToHome(now time.Time, p *pending) []Action {
	if p.KeyBegun {
		return r.enqueue(now, p)
	}
	home := r.objects.Trades[p.Trade].DataCentre
	if home != r.cfg.DataCentre {
		if p.ForwardedLocally || p.ForwardedRemotely {
			return r.finish(now, p, bamboofall.OutcomeNotRun, ReasonNotHome, nil)
		}
		peer, ok := r.peers.randomIn(home, p.avoidPeer)
		if !ok {
			return r.park(now, p)
		}
		return r.forward(p, peer, 0)
	}
	shard := ledger.ShardOf(p.Trade+"/"+p.Key, len(r.view.Homes))
	if store := r.keyStores[shard]; store != nil && now.Before(r.view.FenceUntil) {
		return r.begin(now, p, store, shard)
	}
	return r.forwardToOwner(now, p, shard)
}

// forwardToOwner forwards a request to the owner of its key's shard.
func (r *Router) forwardToOwner(now time.Time, p *pending, shard int) []Action {
	if p.ForwardedLocally {
		return r.finish(now, p, bamboofall.OutcomeNotRun, ReasonNotHome, nil)
	}
	home := r.view.Homes[shard]
	if home.Owner == r.cfg.VM || home.Owner == p.avoidPeer || !r.peers.reachable(home.Owner) {
		return r.park(now, p)
	}
	return r.forward(p, home.Owner, home.Token)
}

// park lets a request wait until its home can be reached. A planned handover of
// a shard takes less than a second.
func (r *Router) park(now time.Time, p *pending) []Action {
	if p.parkedUntil.IsZero() {
		p.parkedUntil = now.Add(min(p.Deadline.Sub(now)/parkDeadlineDivisor, maxParkTime))
	}
	p.avoidPeer = ""
	r.parked[p.ID] = p
	return nil
}

// unpark routes the parked requests again and finishes those that have waited
// too long.
func (r *Router) unpark(now time.Time) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(r.parked)) {
		p := r.parked[id]
		delete(r.parked, id)
		if now.Before(p.parkedUntil) {
			actions = append(actions, r.routeToHome(now, p)...)
			continue
		}
		actions = append(actions, r.finish(now, p, r.unansweredOutcome(p), ReasonHomeUnreachable, nil)...)
	}
	return actions
}

// begin looks the request's key up in the home's store and acts on the result.
func (r *Router) begin(now time.Time, p *pending, store *keyStore, shard int) []Action {
	if p.ForwardedLocally && p.Token != 0 && p.Token != store.token {
		return r.finish(now, p, bamboofall.OutcomeNotRun, ReasonNotHome, nil)
	}
	k := idempotency.Key{Service: p.Service, Trade: p.Trade, Key: p.Key}
	decision, answer := store.keys.Begin(now, k, p.Content, p.ID, p.First, r.homeSince[p.Trade])
	switch decision {
	case idempotency.Proceed:
		p.key = &k
		p.shard = shard
		return r.enqueue(now, p)
	case idempotency.InProgress:
		return nil
	case idempotency.Replay:
		return r.finish(now, p, bamboofall.OutcomeAnswered, ReasonNone, answer)
	case idempotency.AlreadyRun:
		return r.finish(now, p, bamboofall.OutcomeUnknown, ReasonAlreadyRun, nil)
	case idempotency.HistoryTooShort:
		return r.finish(now, p, bamboofall.OutcomeUnknown, ReasonHomeMoved, nil)
	case idempotency.KeyReused:
		p.authoritative = true
		return r.finish(now, p, bamboofall.OutcomeNotRun, ReasonKeyReused, nil)
	}
	return r.finish(now, p, bamboofall.OutcomeNotRun, ReasonKeyMemoryFull, nil)
}

// enqueue queues a request for a slot of an instance, or forwards it to a peer
// with free slots.
func (r *Router) enqueue(now time.Time, p *pending) []Action {
	s := p.service
	if !s.pool.HasFreeSlot() || s.queue.Len() > 0 || !now.Before(r.view.FenceUntil) {
		if peer, ok := r.pickPeer(now, p); ok {
			return r.forward(p, peer, 0)
		}
	}
	if !r.view.Listed[p.Service] {
		return r.finish(now, p, r.unansweredOutcome(p), ReasonNoInstances, nil)
	}
	item := &fairqueue.Item{
		ID: p.ID, Class: p.class, Kind: p.Kind, Trade: p.Trade, Weight: p.weight, Deadline: p.Deadline,
	}
	if !s.queue.Push(now, item) {
		return r.finishWithRetryAfter(now, p, r.unansweredOutcome(p), ReasonQueueFull, s.queue.ExpectedWait(item), nil)
	}
	p.queued = item
	return r.dispatch(now, s)
}

// pickPeer returns the peer that a request should be forwarded to, if any.
func (r *Router) pickPeer(now time.Time, p *pending) (bamboofall.VMID, bool) {
	ownSlots := r.ownSlots(now, p.service)
	homeWithoutSlots := p.key != nil && ownSlots == 0
	if (p.ForwardedLocally || p.ForwardedRemotely) && !homeWithoutSlots || p.atMostOnce && p.key == nil {
		return "", false
	}
	timeLeft := p.Deadline.Sub(now) - 2*p.service.pool.Latency()
	if peer, ok := r.peers.pickWithFreeSlots(p.Service, r.cfg.DataCentre, timeLeft, p.avoidPeer, ownSlots == 0); ok {
		return peer, true
	}
	if p.attemptCount > 0 {
		return "", false
	}
	peer, ok := r.peers.pickForRebalance(p.Service, r.cfg.DataCentre, ownSlots)
	p.rebalanced = ok
	return peer, ok
}

// ownSlots returns the number of slots that this VM may use for a service.
func (r *Router) ownSlots(now time.Time, s *service) int {
	if !now.Before(r.view.FenceUntil) {
		return 0
	}
	return s.pool.OwnedSlots(now)
}

// forward forwards a request to a peer. The token is zero unless the peer is
// addressed as the owner of the key's shard.
func (r *Router) forward(p *pending, peer bamboofall.VMID, token bamboofall.Token) []Action {
	p.forwardedTo = peer
	r.counters.forwarded++
	target := r.peers.addInFlight(peer, p.Service)
	remote := target.DataCentre != r.cfg.DataCentre
	return []Action{Forward{
		Request: p.Request, Peer: peer, Address: target.Address, Token: token, KeyBegun: p.key != nil, ForwardedLocally: !remote, ForwardedRemotely: remote,
	}}
}

// unansweredOutcome returns the outcome of a request that ends without an
// answer.
func (r *Router) unansweredOutcome(p *pending) bamboofall.Outcome {
	if p.mayHaveRun {
		return bamboofall.OutcomeUnknown
	}
	return bamboofall.OutcomeNotRun
}

// finish replies to a request and records the outcome of its key.
func (r *Router) finish(now time.Time, p *pending, outcome bamboofall.Outcome, reason Reason, answer *idempotency.Answer) []Action {
	return r.finishWithRetryAfter(now, p, outcome, reason, 0, answer)
}

// finishWithRetryAfter is finish with a time after which the caller may retry.
func (r *Router) finishWithRetryAfter(now time.Time, p *pending, outcome bamboofall.Outcome, reason Reason, retryAfter time.Duration, answer *idempotency.Answer) []Action {
	delete(r.pending, p.ID)
	authoritative := p.authoritative || p.key != nil || !p.atMostOnce
	reported := callerOutcome(p.Request, outcome, authoritative)
	r.counters.replied(reported, reason)
	actions := []Action{Reply{
		Request: p.Request, Outcome: reported, Reason: reason, RetryAfter: retryAfter, Answer: answer, Authoritative: authoritative,
	}}
	if p.key == nil {
		return actions
	}
	store := r.keyStores[p.shard]
	if store == nil {
		return actions
	}
	for _, id := range store.keys.Settle(*p.key, outcome, answer) {
		if duplicate := r.pending[id]; duplicate != nil {
			actions = append(actions, r.finishDuplicate(now, duplicate, outcome, reason, answer)...)
		}
	}
	return actions
}

// finishDuplicate replies to a request that waited for another one with the
// same key, which has just ended. After NotRun its caller may try again.
func (r *Router) finishDuplicate(now time.Time, p *pending, outcome bamboofall.Outcome, reason Reason, answer *idempotency.Answer) []Action {
	if !now.Before(p.Deadline) && outcome == bamboofall.OutcomeAnswered {
		outcome, reason, answer = bamboofall.OutcomeUnknown, ReasonDeadlinePassed, nil
	}
	return r.finish(now, p, outcome, reason, answer)
}
