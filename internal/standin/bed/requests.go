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

// The steps of a request.
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

// ReasonNoConnection is the caller's own word for a try that found nobody.
const ReasonNoConnection router.Reason = "noConnection"

// Call is a caller's request.
type Call struct {
	Service, Kind, Trade string
	// Key is the idempotency key. Calls with the same key are the same request.
	Key      string
	First    bool
	Deadline time.Duration
}

// Told is what a caller learned.
type Told struct {
	Outcome bamboofall.Outcome
	Reason  router.Reason
	Took    time.Duration
	After   time.Duration
	// ID is the caller's mark of the request.
	ID string
}

// call is a request at an entry VM that has no reply yet.
type call struct {
	id string
	// reply is told the router's reply, broken that the VM died.
	reply  func(router.Reply)
	broken func()
}

func sortedIDs(calls map[uint64]*call) []uint64 {
	ids := make([]uint64, 0, len(calls))
	for id := range calls {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Call makes a caller's request to an entry VM and tells its end, once.
func (b *Bed) Call(to bamboofall.VMID, c Call, told func(Told)) {
	b.callers++
	id := fmt.Sprintf("call-%d", b.callers)
	begun := b.now
	ended := false
	end := func(o bamboofall.Outcome, reason router.Reason, after time.Duration, own bool) {
		if ended {
			return
		}
		ended = true
		key := ""
		if c.Key != "" {
			key = answerFor(id, c.Trade, c.Key)
		}
		b.Audit.CallerTold(id, key, o, own)
		told(Told{Outcome: o, Reason: reason, Took: b.now.Sub(begun), After: after, ID: id})
	}
	e := b.entries[to]
	if e.dead {
		// Nobody told the caller anything.
		ended = true
		told(Told{Outcome: bamboofall.OutcomeNotRun, Reason: ReasonNoConnection, ID: id})
		return
	}
	// A caller whose entry VM stays silent gives up after its deadline.
	b.after(c.Deadline+time.Second, func() { end(bamboofall.OutcomeUnknown, "callerGaveUp", 0, false) })
	one := &call{
		id: id,
		reply: func(r router.Reply) {
			own := r.Answer != nil && string(r.Answer.Body) == answerFor(id, c.Trade, c.Key)
			end(r.Outcome, r.Reason, r.RetryAfter, own)
		},
		broken: func() { end(bamboofall.OutcomeUnknown, "connectionBroken", 0, false) },
	}
	b.step(StepAccept, id)
	e.run(func() {
		if e.dead {
			return
		}
		e.arrive(one, router.Request{
			Service: c.Service, Kind: c.Kind, Trade: c.Trade, Key: c.Key, First: c.First,
			Deadline: b.now.Add(c.Deadline),
		})
	})
	if e.dead {
		one.broken()
	}
}

func (e *Entry) arrive(c *call, req router.Request) {
	e.nextCall++
	req.ID = e.nextCall
	e.calls[req.ID] = c
	e.doRequests(e.Router.Arrive(e.bed.now, req))
}

func (e *Entry) doRequests(actions []router.Action) {
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
	c := e.calls[r.Request.ID]
	if c == nil {
		return
	}
	e.bed.step(StepReply, c.id)
	e.after(0, func() {
		if e.calls[r.Request.ID] == c {
			delete(e.calls, r.Request.ID)
			c.reply(r)
		}
	})
}

// answerFor is the whole answer to a request. All calls with a key are one
// request.
func answerFor(id, trade, key string) string {
	if key == "" {
		return id
	}
	return trade + "/" + key
}

// connection is a connection to an instance.
type connection struct {
	opened time.Time
}

// send makes an attempt, as the daemon's sender does.
func (e *Entry) send(a router.Send) {
	b := e.bed
	c := e.calls[a.Request.ID]
	if c == nil || !b.now.Before(a.Before) {
		e.sent(a, router.SendResult{Status: router.SendStale})
		return
	}
	b.step(StepConnect, c.id)
	pool := e.connections[a.Instance.ID]
	if pool == nil {
		pool = &connpool.Pool[*connection]{}
		e.connections[a.Instance.ID] = pool
	}
	conn, old, _ := pool.Take(b.now, a.Patience)
	if !old {
		conn = &connection{b.now}
	}
	t := &try{entry: e, action: a, id: c.id, conn: conn, fresh: !old, pool: pool, sent: b.now}
	b.after(a.Timeout, t.timeOut)
	b.after(localDelay, t.arrive)
}

func (e *Entry) sent(a router.Send, r router.SendResult) {
	e.run(func() { e.doRequests(e.Router.Sent(e.bed.now, a.Attempt, r)) })
}

// try is one attempt on its way.
type try struct {
	entry    *Entry
	action   router.Send
	id       string
	conn     *connection
	pool     *connpool.Pool[*connection]
	fresh    bool
	sent     time.Time
	timedOut bool
	ended    bool
}

func (t *try) timeOut() {
	if t.ended {
		return
	}
	t.timedOut = true
	t.pool.Doubt(t.sent)
	t.entry.sent(t.action, router.SendResult{Status: router.SendTimeout, Fresh: t.fresh})
	t.entry.bed.after(t.action.GiveUp-t.action.Timeout, func() { t.end(router.SendResult{Status: router.SendTimeout}) })
}

func (t *try) end(r router.SendResult) {
	if t.ended {
		return
	}
	t.ended = true
	r.Fresh = t.fresh
	r.Took = t.entry.bed.now.Sub(t.sent)
	if !t.timedOut && (r.Status == router.SendAnswered || r.Status == router.SendRefused) {
		t.pool.Put(t.entry.bed.now, t.conn)
	}
	t.entry.sent(t.action, r)
}

// arrive is the request's arrival at the instance.
func (t *try) arrive() {
	b := t.entry.bed
	vm := b.hostOf(t.action.Instance.ID)
	inst := b.instances[t.action.Instance.ID]
	if b.gone[vm] {
		t.end(router.SendResult{Status: router.SendUnconnected})
		return
	}
	if inst.Silent(t.conn.opened) || !b.connected(t.entry.vm.ID, string(vm)) {
		return
	}
	b.step(StepWrite, t.id)
	key := ""
	if t.action.Request.Key != "" {
		key = t.action.Request.Trade + "/" + t.action.Request.Key
	}
	work, ok := inst.Begin(t.id, key, b.Options.Work[t.action.Request.Kind])
	if !ok {
		b.after(localDelay, func() { t.end(router.SendResult{Status: router.SendRefused}) })
		return
	}
	b.step(StepRun, t.id)
	b.after(work, func() { t.served(inst, vm) })
}

func (t *try) served(inst *upstream.Instance, vm bamboofall.VMID) {
	b := t.entry.bed
	inst.End()
	b.step(StepAnswer, t.id)
	if inst.Silent(t.conn.opened) || !b.connected(t.entry.vm.ID, string(vm)) {
		return
	}
	body := answerFor(t.id, t.action.Request.Trade, t.action.Request.Key)
	r := router.SendResult{
		Status: router.SendAnswered, Answer: &idempotency.Answer{Status: 200, Body: []byte(body)},
	}
	if b.gone[vm] || inst.Faults().Truncates {
		r = router.SendResult{Status: router.SendBroken}
	}
	b.after(localDelay, func() { t.end(r) })
}

func (b *Bed) hostOf(instance string) bamboofall.VMID {
	for _, vm := range b.vms {
		for _, i := range vm.Instances {
			if i.ID == instance {
				return vm.ID
			}
		}
	}
	return ""
}

// forward sends a request to another entry VM and brings its reply back.
func (e *Entry) forward(a router.Forward) {
	b := e.bed
	c := e.calls[a.Request.ID]
	if c == nil {
		return
	}
	b.step(StepForward, c.id)
	ended := false
	end := func(r router.PeerResult) {
		if !ended {
			ended = true
			e.run(func() { e.doRequests(e.Router.Forwarded(b.now, a.Request.ID, r)) })
		}
	}
	left := a.Request.Deadline.Sub(b.now)
	b.after(left+50*time.Millisecond, func() { end(router.PeerResult{Reached: true, Lost: true}) })
	b.reach(e, a.Peer, func(peer *Entry) {
		req := a.Request
		req.Hop, req.Far, req.HomeHeld, req.Token = a.Hop, a.Far, a.HomeHeld, a.Token
		req.Deadline = b.now.Add(left)
		peer.arrive(&call{
			id:     c.id,
			reply:  func(r router.Reply) { b.relay(e, peer, r, c.id, end) },
			broken: func() { end(router.PeerResult{Reached: true, Lost: true}) },
		}, req)
	}, func(refused bool) { end(router.PeerResult{Reached: !refused, Lost: true}) })
}

func (b *Bed) relay(to, from *Entry, r router.Reply, id string, end func(router.PeerResult)) {
	b.step(StepRelay, id)
	b.after(b.delay(from.vm.ID, to.vm.ID), func() {
		if !b.connected(from.vm.ID, string(to.vm.ID)) {
			return
		}
		end(router.PeerResult{
			Reached: true, Outcome: r.Outcome, Reason: r.Reason, RetryAfter: r.RetryAfter, Answer: r.Answer,
			Vouched: r.Vouched,
		})
	})
}
