package router

import (
	"time"

	"bamboofall.example/bamboofall/internal/request/fairqueue"
	"bamboofall.example/bamboofall/internal/request/instance"
)

// dispatch expires queued requests and sends the others while instances have
// free slots.
func (r *Router) dispatch(now time.Time, s *service) []Action {
	var actions []Action
	for _, item := range s.queue.Expire(now) {
		p := r.pending[item.ID]
		p.queued = nil
		actions = append(actions, r.finish(now, p, r.unansweredOutcome(p), ReasonDeadlinePassed, nil)...)
	}
	if r.ownSlots(now, s) == 0 {
		return append(actions, r.drainToPeers(now, s)...)
	}
	for s.queue.Len() > 0 && s.pool.HasFreeSlot() {
		item := s.queue.Pop(now)
		p := r.pending[item.ID]
		p.queued = nil
		if p.Deadline.Sub(now) < s.pool.Latency()/2 {
			actions = append(actions, r.finish(now, p, r.unansweredOutcome(p), ReasonDeadlinePassed, nil)...)
			continue
		}
		target := s.pool.Pick(now, !p.atMostOnce, p.avoidInstance)
		if target == nil {
			// Only instances that are being probed have free slots, and a request that
			// must run at most once is not used as a probe.
			actions = append(actions, r.requeue(now, p, item)...)
			break
		}
		actions = append(actions, r.send(now, p, target))
	}
	return actions
}

// drainToPeers forwards the queued requests of a service after this VM lost its
// instances. Requests that were forwarded by peers are refused, so that those
// peers route them again.
func (r *Router) drainToPeers(now time.Time, s *service) []Action {
	var actions []Action
	for s.queue.Len() > 0 {
		item := s.queue.Pop(now)
		p := r.pending[item.ID]
		p.queued = nil
		if (p.ForwardedLocally || p.ForwardedRemotely) && p.key == nil {
			actions = append(actions, r.finish(now, p, r.unansweredOutcome(p), ReasonNoInstances, nil)...)
			continue
		}
		peer, ok := r.pickPeer(now, p)
		if !ok {
			return append(actions, r.requeue(now, p, item)...)
		}
		actions = append(actions, r.forward(p, peer, 0)...)
	}
	return actions
}

// requeue puts a request that was just popped back into the queue.
func (r *Router) requeue(now time.Time, p *pending, item *fairqueue.Item) []Action {
	requeued := *item
	if !p.service.queue.Push(now, &requeued) {
		return r.finish(now, p, r.unansweredOutcome(p), ReasonQueueFull, nil)
	}
	p.queued = &requeued
	return nil
}

// send starts an attempt at an instance whose slot has been taken.
func (r *Router) send(now time.Time, p *pending, target *instance.Instance) Action {
	r.lastAttemptID++
	a := &attempt{
		id: r.lastAttemptID, request: p.ID, service: p.service, instance: target, kind: p.Kind, sent: now,
		endsBy: now.Add(p.service.spec.MaxWork + slotReleaseMargin),
	}
	r.attempts[a.id] = a
	p.attempt = a
	p.attemptCount++
	timeout := r.attemptTimeout(now, p)
	a.fullTimeout = timeout >= attemptLatencyFactor*p.service.pool.Latency()
	notAfter := p.Deadline
	if r.view.FenceUntil.Before(notAfter) {
		notAfter = r.view.FenceUntil
	}
	return Send{
		Request: p.Request, Attempt: a.id, Instance: target.Instance, NotAfter: notAfter, Timeout: timeout,
		MaxWait:      a.endsBy.Sub(now),
		StallTimeout: max(stallLatencyFactor*p.service.pool.Latency(), minStallTimeout),
	}
}

// attemptTimeout returns the timeout of an attempt. For an idempotent request
// it leaves time for a retry.
func (r *Router) attemptTimeout(now time.Time, p *pending) time.Duration {
	timeLeft := p.Deadline.Sub(now)
	latency := p.service.pool.Latency()
	if p.atMostOnce || latency == 0 || p.attemptCount >= maxAttempts {
		return timeLeft
	}
	return min(timeLeft, max(minAttemptTimeout, attemptLatencyFactor*latency, timeLeft/attemptDeadlineDivisor))
}
