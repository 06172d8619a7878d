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

// Arrive takes a new request.
func (r *Router) Arrive(now time.Time, req Request) []Action {
	r.counters.arrived++
	p, reason := r.check(now, req)
	if reason != ReasonNone {
		return r.refuseNew(req, reason, 0)
	}
	if !req.Hop && !req.Far {
		if wait, ok := r.limits.allow(now, req); !ok {
			return r.refuseNew(req, ReasonLimited, wait)
		}
	}
	r.pending[req.ID] = p
	p.service.budget.Earn()
	if p.once {
		return r.arriveOnce(now, p)
	}
	return r.enqueue(now, p)
}

// check looks at everything that can be wrong with a request by itself.
func (r *Router) check(now time.Time, req Request) (*pending, Reason) {
	if r.revision == 0 {
		return nil, ReasonNotReady
	}
	s := r.services[req.Service]
	if s == nil || r.set.Services[req.Service] == nil {
		return nil, ReasonUnknownService
	}
	once, known := s.spec.RequestKind(req.Kind)
	if !known {
		return nil, ReasonUnknownKind
	}
	if req.Size > s.spec.MaxBody {
		return nil, ReasonBodyTooLarge
	}
	if limit := now.Add(s.spec.MaxDeadline); req.Deadline.After(limit) {
		req.Deadline = limit
	}
	if !now.Before(req.Deadline) {
		return nil, ReasonDeadlinePassed
	}
	t := r.set.Trades[req.Trade]
	if t == nil && (once || req.Trade != "") {
		return nil, ReasonUnknownTrade
	}
	if once && req.Key == "" {
		return nil, ReasonMissingKey
	}
	if len(r.pending) >= maxWaiting {
		return nil, ReasonQueueFull
	}
	if len(r.view.Homes) == 0 {
		return nil, ReasonNotReady
	}
	p := &pending{Request: req, service: s, class: s.spec.KindClass(req.Kind), once: once, weight: 1}
	if t != nil {
		p.weight = float64(t.Weight)
	}
	return p, ReasonNone
}

func (r *Router) refuseNew(req Request, reason Reason, after time.Duration) []Action {
	o := honest(req, bamboofall.OutcomeNotRun, reason == ReasonUnknownKind || reason == ReasonUnknownService)
	r.counters.replied(o, reason)
	return []Action{Reply{Request: req, Outcome: o, Reason: reason, RetryAfter: after}}
}

// honest returns what a caller may be told. "Not run" is said of a request, not
// of one try: if an earlier try with the key may exist, only the key's home can
// vouch for it. Between entry VMs the word is of the try.
func honest(req Request, o bamboofall.Outcome, vouched bool) bamboofall.Outcome {
	edge := !req.Hop && !req.Far
	if o == bamboofall.OutcomeNotRun && edge && req.Key != "" && !req.First && !vouched {
		return bamboofall.OutcomeUnknown
	}
	return o
}

// arriveOnce takes a request that must run at most once to its key's home.
func (r *Router) arriveOnce(now time.Time, p *pending) []Action {
	if p.HomeHeld {
		return r.enqueue(now, p)
	}
	home := r.set.Trades[p.Trade].DataCentre
	if home != r.cfg.DataCentre {
		if p.Hop || p.Far {
			return r.finish(now, p, bamboofall.OutcomeNotRun, ReasonNotHome, nil)
		}
		peer, ok := r.peers.anyIn(home, p.avoidPeer)
		if !ok {
			return r.park(now, p)
		}
		return r.forward(p, peer, 0)
	}
	shard := ledger.ShardOf(p.Trade+"/"+p.Key, len(r.view.Homes))
	if m := r.memories[shard]; m != nil && now.Before(r.view.FenceUntil) {
		return r.begin(now, p, m, shard)
	}
	return r.toHome(now, p, shard)
}

// toHome forwards a request to the owner of its key's shard.
func (r *Router) toHome(now time.Time, p *pending, shard int) []Action {
	if p.Hop {
		return r.finish(now, p, bamboofall.OutcomeNotRun, ReasonNotHome, nil)
	}
	home := r.view.Homes[shard]
	if home.Owner == r.cfg.VM || home.Owner == p.avoidPeer || !r.peers.alive(home.Owner) {
		return r.park(now, p)
	}
	return r.forward(p, home.Owner, home.Token)
}

// park lets a request wait for a home that is moving. A planned move takes less
// than a second.
func (r *Router) park(now time.Time, p *pending) []Action {
	if p.parkedTill.IsZero() {
		p.parkedTill = now.Add(min(p.Deadline.Sub(now)/parkPart, maxPark))
	}
	p.avoidPeer = ""
	r.parked[p.ID] = p
	return nil
}

// unpark looks again at the requests that wait for a home.
func (r *Router) unpark(now time.Time) []Action {
	var out []Action
	for _, id := range slices.Sorted(maps.Keys(r.parked)) {
		p := r.parked[id]
		delete(r.parked, id)
		if now.Before(p.parkedTill) {
			out = append(out, r.arriveOnce(now, p)...)
			continue
		}
		out = append(out, r.finish(now, p, r.safeOutcome(p), ReasonHomeUnreachable, nil)...)
	}
	return out
}

// begin asks the home's memory about a request.
func (r *Router) begin(now time.Time, p *pending, m *memory, shard int) []Action {
	if p.Hop && p.Token != 0 && p.Token != m.token {
		return r.finish(now, p, bamboofall.OutcomeNotRun, ReasonNotHome, nil)
	}
	k := idempotency.Key{Service: p.Service, Trade: p.Trade, Key: p.Key}
	decision, answer := m.keys.Begin(now, k, p.Content, p.ID, p.First, r.homeSince[p.Trade])
	switch decision {
	case idempotency.Run:
		p.key = &k
		p.shard = shard
		return r.enqueue(now, p)
	case idempotency.Wait:
		return nil
	case idempotency.Repeat:
		return r.finish(now, p, bamboofall.OutcomeAnswered, ReasonNone, answer)
	case idempotency.Ran:
		return r.finish(now, p, bamboofall.OutcomeUnknown, ReasonAlreadyRun, nil)
	case idempotency.CannotKnow:
		return r.finish(now, p, bamboofall.OutcomeUnknown, ReasonCannotKnow, nil)
	case idempotency.Reused:
		p.vouched = true
		return r.finish(now, p, bamboofall.OutcomeNotRun, ReasonKeyReused, nil)
	}
	return r.finish(now, p, bamboofall.OutcomeNotRun, ReasonKeyMemoryFull, nil)
}

// enqueue lets a request wait for a slot, or sends it on to a peer with room.
func (r *Router) enqueue(now time.Time, p *pending) []Action {
	s := p.service
	if !s.pool.HasRoom() || s.queue.Len() > 0 || !now.Before(r.view.FenceUntil) {
		if peer, ok := r.peerWithRoom(now, p); ok {
			return r.forward(p, peer, 0)
		}
	}
	if !r.view.Listed[p.Service] {
		return r.finish(now, p, bamboofall.OutcomeNotRun, ReasonNoInstances, nil)
	}
	it := &fairqueue.Item{
		ID: p.ID, Class: p.class, Kind: p.Kind, Trade: p.Trade, Weight: p.weight, Deadline: p.Deadline,
	}
	if !s.queue.Push(now, it) {
		return r.finishAfter(now, p, bamboofall.OutcomeNotRun, ReasonQueueFull, s.queue.Wait(it), nil)
	}
	p.queued = it
	return r.pump(now, s)
}

// peerWithRoom returns the entry VM that should take a request instead.
func (r *Router) peerWithRoom(now time.Time, p *pending) (bamboofall.VMID, bool) {
	own := r.ownSlots(now, p.service)
	stranded := p.key != nil && own == 0
	if (p.Hop || p.Far) && !stranded || p.once && p.key == nil {
		return "", false
	}
	left := p.Deadline.Sub(now) - 2*p.service.pool.Latency()
	if peer, ok := r.peers.pick(p.Service, r.cfg.DataCentre, left, p.avoidPeer, own == 0); ok {
		return peer, true
	}
	if p.tries > 0 {
		return "", false
	}
	peer, ok := r.peers.spill(p.Service, r.cfg.DataCentre, own)
	p.spilled = ok
	return peer, ok
}

func (r *Router) ownSlots(now time.Time, s *service) int {
	if !now.Before(r.view.FenceUntil) {
		return 0
	}
	return s.pool.Owned(now)
}

func (r *Router) forward(p *pending, peer bamboofall.VMID, token bamboofall.Token) []Action {
	p.forwarded = peer
	r.counters.forwarded++
	to := r.peers.sent(peer, p.Service)
	far := to.DataCentre != r.cfg.DataCentre
	return []Action{Forward{
		Request: p.Request, Peer: peer, Address: to.Address, Token: token, HomeHeld: p.key != nil, Hop: !far, Far: far,
	}}
}

// safeOutcome returns what may be said of a request that gets no answer.
func (r *Router) safeOutcome(p *pending) bamboofall.Outcome {
	if p.mayHaveRun {
		return bamboofall.OutcomeUnknown
	}
	return bamboofall.OutcomeNotRun
}

// finish replies to a request and settles its key.
func (r *Router) finish(now time.Time, p *pending, o bamboofall.Outcome, reason Reason, a *idempotency.Answer) []Action {
	return r.finishAfter(now, p, o, reason, 0, a)
}

func (r *Router) finishAfter(now time.Time, p *pending, o bamboofall.Outcome, reason Reason, after time.Duration, a *idempotency.Answer) []Action {
	delete(r.pending, p.ID)
	vouched := p.vouched || p.key != nil || !p.once
	told := honest(p.Request, o, vouched)
	r.counters.replied(told, reason)
	out := []Action{Reply{
		Request: p.Request, Outcome: told, Reason: reason, RetryAfter: after, Answer: a, Vouched: vouched,
	}}
	if p.key == nil {
		return out
	}
	m := r.memories[p.shard]
	if m == nil {
		return out
	}
	for _, id := range m.keys.Settle(*p.key, o, a) {
		if w := r.pending[id]; w != nil {
			out = append(out, r.finishWaiting(now, w, o, reason, a)...)
		}
	}
	return out
}

// finishWaiting replies to a repeat of a request that has just ended. One that
// was not run may be tried again by its caller.
func (r *Router) finishWaiting(now time.Time, p *pending, o bamboofall.Outcome, reason Reason, a *idempotency.Answer) []Action {
	if !now.Before(p.Deadline) && o == bamboofall.OutcomeAnswered {
		o, reason, a = bamboofall.OutcomeUnknown, ReasonDeadlinePassed, nil
	}
	return r.finish(now, p, o, reason, a)
}
