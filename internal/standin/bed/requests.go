package bed

import (
	"fmt"
	"sort"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/request/idempotency"
	"bamboofall.example/bamboofall/internal/request/router"
	"bamboofall.example/bamboofall/internal/standin/upstream"
	"bamboofall.example/bamboofall/internal/wire/connpool"
)

// The steps of a request, in the order in which it passes them.
const (
	StepAccept  Step = "accept"
	StepForward Step = "forward"
	StepConnect Step = "connect"
	StepWrite   Step = "write"
	StepRun     Step = "serve"
	StepAnswer  Step = "answer"
	StepRelay   Step = "relay"
	StepReply   Step = "reply"
)

// ReasonNoConnection is the reason for a call whose entry VM refused the
// connection. The caller, not the router, sets it.
const ReasonNoConnection router.Reason = "noConnection"

// Call is a caller's request to a service.
type Call struct {
	Service, Kind, Trade string
	// Key is the idempotency key. Calls of a trade with the same key are the
	// same request. Empty means that the request has none.
	Key string
	// First states that the caller has not sent Key before.
	First bool
	// Deadline is the time from the call that the caller allows for an answer.
	Deadline time.Duration
}

// Told is the result of a call as the caller sees it.
type Told struct {
	Outcome bamboofall.Outcome
	Reason  router.Reason
	// Took is the latency of the call.
	Took time.Duration
	// RetryAfter is how long the caller is asked to wait before a retry.
	RetryAfter time.Duration
	// ID identifies the call in the audit and in the steps.
	ID string
}

// pendingCall is a request at an entry VM that has no reply yet. Its id is that
// of the caller's call, also at an entry VM to which the request was forwarded.
type pendingCall struct {
	id string
	// onReply is called with the router's reply.
	onReply func(router.Reply)
	// onEntryStop is called if the entry VM is killed before it has replied.
	onEntryStop func()
}

func sortedIDs(calls map[uint64]*pendingCall) []uint64 {
	ids := make([]uint64, 0, len(calls))
	for id := range calls {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Call makes a caller's request to an entry VM. It calls onEnd exactly once,
// when the call ends.
func (b *Bed) Call(to bamboofall.VMID, c Call, onEnd func(Told)) {
	b.callCount++
	id := fmt.Sprintf("call-%d", b.callCount)
	startedAt := b.now
	ended := false
	finish := func(outcome bamboofall.Outcome, reason router.Reason, retryAfter time.Duration, ownAnswer bool) {
		if ended {
			return
		}
		ended = true
		key := ""
		if c.Key != "" {
			key = expectedBody(id, c.Trade, c.Key)
		}
		b.Audit.CallEnded(id, key, outcome, ownAnswer)
		onEnd(Told{Outcome: outcome, Reason: reason, Took: b.now.Sub(startedAt), RetryAfter: retryAfter, ID: id})
	}
	e := b.entries[to]
	if e.stopped {
		// The audit does not compare this outcome: no entry VM returned it.
		ended = true
		onEnd(Told{Outcome: bamboofall.OutcomeNotRun, Reason: ReasonNoConnection, ID: id})
		return
	}
	// If the entry VM does not reply, the caller gives up one second after the
	// deadline.
	b.after(c.Deadline+time.Second, func() { finish(bamboofall.OutcomeUnknown, "callerGaveUp", 0, false) })
	pending := &pendingCall{
		id: id,
		onReply: func(r router.Reply) {
			ownAnswer := r.Answer != nil && string(r.Answer.Body) == expectedBody(id, c.Trade, c.Key)
			finish(r.Outcome, r.Reason, r.RetryAfter, ownAnswer)
		},
		onEntryStop: func() { finish(bamboofall.OutcomeUnknown, "connectionBroken", 0, false) },
	}
	b.traceStep(StepAccept, id)
	e.run(func() {
		if e.stopped {
			return
		}
		e.arrive(pending, router.Request{
			Service: c.Service, Kind: c.Kind, Trade: c.Trade, Key: c.Key, First: c.First,
			Deadline: b.now.Add(c.Deadline),
		})
	})
	if e.stopped {
		pending.onEntryStop()
	}
}

// arrive passes a request to the router under a new request ID.
func (e *Entry) arrive(c *pendingCall, req router.Request) {
	e.lastCallID++
	req.ID = e.lastCallID
	e.openCalls[req.ID] = c
	e.applyRouterActions(e.Router.Arrive(e.bed.now, req))
}

func (e *Entry) applyRouterActions(actions []router.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case router.Reply:
			e.reply(a)
		case router.Send:
			e.after(0, func() { e.send(a) })
		case router.Forward:
			e.forward(a)
		}
	}
}

func (e *Entry) reply(r router.Reply) {
	c := e.openCalls[r.Request.ID]
	if c == nil {
		return
	}
	e.bed.traceStep(StepReply, c.id)
	e.after(0, func() {
		if e.openCalls[r.Request.ID] == c {
			delete(e.openCalls, r.Request.ID)
			c.onReply(r)
		}
	})
}

// expectedBody returns the body of the correct answer to a request: the call
// ID, or what is common to all calls with the same idempotency key.
func expectedBody(id, trade, key string) string {
	if key == "" {
		return id
	}
	return trade + "/" + key
}

// connection is a connection from an entry VM to an upstream instance.
type connection struct {
	opened time.Time
}

// send sends an attempt of a request to an instance, following the daemon's
// sender.
func (e *Entry) send(a router.Send) {
	b := e.bed
	c := e.openCalls[a.Request.ID]
	if c == nil || !b.now.Before(a.NotAfter) {
		e.reportSendResult(a, router.SendResult{Status: router.SendNotAttempted})
		return
	}
	b.traceStep(StepConnect, c.id)
	pool := e.pools[a.Instance.ID]
	if pool == nil {
		pool = &connpool.Pool[*connection]{}
		e.pools[a.Instance.ID] = pool
	}
	conn, reused, _ := pool.Take(b.now, a.StallTimeout)
	if !reused {
		conn = &connection{b.now}
	}
	attempt := &sendAttempt{entry: e, action: a, id: c.id, conn: conn, fresh: !reused, pool: pool, sentAt: b.now}
	b.after(a.Timeout, attempt.onTimeout)
	b.after(localDelay, attempt.reachInstance)
}

// reportSendResult passes the result of an attempt to the router.
func (e *Entry) reportSendResult(a router.Send, r router.SendResult) {
	e.run(func() { e.applyRouterActions(e.Router.Sent(e.bed.now, a.Attempt, r)) })
}

// sendAttempt is an attempt of a request at an instance.
type sendAttempt struct {
	entry  *Entry
	action router.Send
	id     string
	conn   *connection
	pool   *connpool.Pool[*connection]
	// fresh is whether the connection was opened for this attempt.
	fresh  bool
	sentAt time.Time
	// timedOut is set when the router has been told of the timeout; a late
	// answer is still reported until the action's MaxWait.
	timedOut bool
	ended    bool
}

// onTimeout reports the timeout, and the same result as final when MaxWait
// passes.
func (t *sendAttempt) onTimeout() {
	if t.ended {
		return
	}
	t.timedOut = true
	t.pool.RemoveUnansweredSince(t.sentAt)
	t.entry.reportSendResult(t.action, router.SendResult{Status: router.SendTimeout, Fresh: t.fresh})
	t.entry.bed.after(t.action.MaxWait-t.action.Timeout, func() { t.finish(router.SendResult{Status: router.SendTimeout}) })
}

// finish reports the final result once, and returns the connection to the pool
// if the answer came in time.
func (t *sendAttempt) finish(r router.SendResult) {
	if t.ended {
		return
	}
	t.ended = true
	r.Fresh = t.fresh
	r.Took = t.entry.bed.now.Sub(t.sentAt)
	if !t.timedOut && (r.Status == router.SendAnswered || r.Status == router.SendRefused) {
		t.pool.Put(t.entry.bed.now, t.conn)
	}
	t.entry.reportSendResult(t.action, r)
}

// reachInstance delivers the request to the instance.
func (t *sendAttempt) reachInstance() {
	b := t.entry.bed
	vm := b.vmOfInstance(t.action.Instance.ID)
	inst := b.instances[t.action.Instance.ID]
	if b.removed[vm] {
		t.finish(router.SendResult{Status: router.SendConnectFailed})
		return
	}
	if inst.Silent(t.conn.opened) || !b.connected(t.entry.vm.ID, string(vm)) {
		return
	}
	b.traceStep(StepWrite, t.id)
	key := ""
	if t.action.Request.Key != "" {
		key = t.action.Request.Trade + "/" + t.action.Request.Key
	}
	work, ok := inst.Begin(t.id, key, b.Options.Work[t.action.Request.Kind])
	if !ok {
		b.after(localDelay, func() { t.finish(router.SendResult{Status: router.SendRefused}) })
		return
	}
	b.traceStep(StepRun, t.id)
	b.after(work, func() { t.finishWork(inst, vm) })
}

// finishWork ends the instance's work and sends its answer.
func (t *sendAttempt) finishWork(inst *upstream.Instance, vm bamboofall.VMID) {
	b := t.entry.bed
	inst.End()
	b.traceStep(StepAnswer, t.id)
	if inst.Silent(t.conn.opened) || !b.connected(t.entry.vm.ID, string(vm)) {
		return
	}
	body := expectedBody(t.id, t.action.Request.Trade, t.action.Request.Key)
	r := router.SendResult{
		Status: router.SendAnswered, Answer: &idempotency.Answer{Status: 200, Body: []byte(body)},
	}
	if b.removed[vm] || inst.Faults().Truncates {
		r = router.SendResult{Status: router.SendBroken}
	}
	b.after(localDelay, func() { t.finish(r) })
}

// vmOfInstance returns the VM on which an instance runs, or "".
func (b *Bed) vmOfInstance(instance string) bamboofall.VMID {
	for _, vm := range b.vms {
		for _, i := range vm.Instances {
			if i.ID == instance {
				return vm.ID
			}
		}
	}
	return ""
}

// forward sends a request to another entry VM and passes the reply to the
// router.
func (e *Entry) forward(a router.Forward) {
	b := e.bed
	c := e.openCalls[a.Request.ID]
	if c == nil {
		return
	}
	b.traceStep(StepForward, c.id)
	ended := false
	finish := func(r router.PeerResult) {
		if !ended {
			ended = true
			e.run(func() { e.applyRouterActions(e.Router.Forwarded(b.now, a.Request.ID, r)) })
		}
	}
	remaining := a.Request.Deadline.Sub(b.now)
	b.after(remaining+50*time.Millisecond, func() { finish(router.PeerResult{Reached: true, Lost: true}) })
	b.callPeer(e, a.Peer, func(peer *Entry) {
		req := a.Request
		req.ForwardedLocally, req.ForwardedRemotely, req.KeyBegun, req.Token = a.ForwardedLocally, a.ForwardedRemotely, a.KeyBegun, a.Token
		req.Deadline = b.now.Add(remaining)
		peer.arrive(&pendingCall{
			id:          c.id,
			onReply:     func(r router.Reply) { b.returnReply(e, peer, r, c.id, finish) },
			onEntryStop: func() { finish(router.PeerResult{Reached: true, Lost: true}) },
		}, req)
	}, func(refused bool) { finish(router.PeerResult{Reached: !refused, Lost: true}) })
}

// returnReply sends the reply to a forwarded request back over the network.
func (b *Bed) returnReply(to, from *Entry, r router.Reply, id string, finish func(router.PeerResult)) {
	b.traceStep(StepRelay, id)
	b.after(b.networkDelay(from.vm.ID, to.vm.ID), func() {
		if !b.connected(from.vm.ID, string(to.vm.ID)) {
			return
		}
		finish(router.PeerResult{
			Reached: true, Outcome: r.Outcome, Reason: r.Reason, RetryAfter: r.RetryAfter, Answer: r.Answer,
			Authoritative: r.Authoritative,
		})
	})
}
