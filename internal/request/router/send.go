package router

import (
	"time"

	"bamboofall.example/bamboofall/internal/request/fairqueue"
	"bamboofall.example/bamboofall/internal/request/instance"
)

// pump sends waiting requests while there is room.
func (r *Router) pump(now time.Time, s *service) []Action {
	var out []Action
	for _, it := range s.queue.Expire(now) {
		p := r.pending[it.ID]
		p.queued = nil
		out = append(out, r.finish(now, p, r.safeOutcome(p), ReasonDeadlinePassed, nil)...)
	}
	if r.ownSlots(now, s) == 0 {
		return append(out, r.sendAway(now, s)...)
	}
	for s.queue.Len() > 0 && s.pool.HasRoom() {
		it := s.queue.Pop(now)
		p := r.pending[it.ID]
		p.queued = nil
		if p.Deadline.Sub(now) < s.pool.Latency()/2 {
			out = append(out, r.finish(now, p, r.safeOutcome(p), ReasonDeadlinePassed, nil)...)
			continue
		}
		i := s.pool.Pick(now, !p.once, p.avoid)
		if i == nil {
			// Only instances on trial have room, and the request may not be
			// risked on them.
			out = append(out, r.requeue(now, p, it)...)
			break
		}
		out = append(out, r.send(now, p, i))
	}
	return out
}

// sendAway gives the waiting requests of a VM that lost its instances to peers.
// Those that peers had forwarded go back to them.
func (r *Router) sendAway(now time.Time, s *service) []Action {
	var out []Action
	for s.queue.Len() > 0 {
		it := s.queue.Pop(now)
		p := r.pending[it.ID]
		p.queued = nil
		if (p.Hop || p.Far) && p.key == nil {
			out = append(out, r.finish(now, p, r.safeOutcome(p), ReasonNoInstances, nil)...)
			continue
		}
		peer, ok := r.peerWithRoom(now, p)
		if !ok {
			return append(out, r.requeue(now, p, it)...)
		}
		out = append(out, r.forward(p, peer, 0)...)
	}
	return out
}

func (r *Router) requeue(now time.Time, p *pending, it *fairqueue.Item) []Action {
	again := *it
	if !p.service.queue.Push(now, &again) {
		return r.finish(now, p, r.safeOutcome(p), ReasonQueueFull, nil)
	}
	p.queued = &again
	return nil
}

// send takes a request to an instance on which a slot is taken.
func (r *Router) send(now time.Time, p *pending, i *instance.Instance) Action {
	r.next++
	a := &attempt{
		id: r.next, request: p.ID, service: p.service, instance: i, kind: p.Kind, sent: now,
		endsBy: now.Add(p.service.spec.MaxWork + slotMargin),
	}
	r.attempts[a.id] = a
	p.attempt = a
	p.tries++
	timeout := r.attemptTime(now, p)
	a.fair = timeout >= attemptFactor*p.service.pool.Latency()
	before := p.Deadline
	if r.view.FenceUntil.Before(before) {
		before = r.view.FenceUntil
	}
	return Send{
		Request: p.Request, Attempt: a.id, Instance: i.Instance, Before: before, Timeout: timeout,
		GiveUp:   a.endsBy.Sub(now),
		Patience: max(patienceFactor*p.service.pool.Latency(), minPatience),
	}
}

// attemptTime returns how long an attempt may take. An idempotent request
// keeps time for a second one.
func (r *Router) attemptTime(now time.Time, p *pending) time.Duration {
	left := p.Deadline.Sub(now)
	usual := p.service.pool.Latency()
	if p.once || usual == 0 || p.tries >= maxAttempts {
		return left
	}
	return min(left, max(minAttempt, attemptFactor*usual, left/attemptPart))
}
