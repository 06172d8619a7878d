package router

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/config/object"
	"bamboofall.example/bamboofall/internal/request/fairqueue"
	"bamboofall.example/bamboofall/internal/request/idempotency"
	"bamboofall.example/bamboofall/internal/request/instance"
	"bamboofall.example/bamboofall/internal/request/retry"
	"bamboofall.example/bamboofall/internal/state/ledger"
)

const (
	// minAttempt is the least time that an attempt gets.
	minAttempt = 50 * time.Millisecond
	// attemptFactor times the usual latency is the time of a first attempt.
	attemptFactor = 8
	// attemptPart of the time left is the least that an attempt gets.
	attemptPart = 8
	// patienceFactor times the usual latency without any answer makes open
	// connections doubtful.
	patienceFactor = 3
	minPatience    = 20 * time.Millisecond
	// parkPart of the time left, and no more than maxPark, is what a request
	// waits for its key's home to be settled.
	parkPart = 2
	maxPark  = 3 * time.Second
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3
	// slotMargin is added to the time for which a silent request holds a slot.
	slotMargin = 500 * time.Millisecond
	// maxWaiting bounds the requests that this VM holds.
	maxWaiting = 20_000
)

// Config is what a router knows from the start.
type Config struct {
	VM         bamboofall.VMID
	DataCentre bamboofall.DataCentre
	// Fence is the fence time of the data centre's owners.
	Fence time.Duration
	// Seed is the seed of the random source.
	Seed uint64
}

// Router is the state machine. Use New. It is not safe for concurrent use.
type Router struct {
	cfg      Config
	set      *object.Set
	revision uint64
	view     View
	services map[string]*service
	// names holds the names of the services in order.
	names    []string
	pending  map[uint64]*pending
	attempts map[uint64]*attempt
	parked   map[uint64]*pending
	memories map[int]*memory
	// homeSince is when a trade's home was last set to this data centre.
	homeSince map[string]time.Time
	peers     *peers
	limits    *limits
	rand      *rand.Rand
	next      uint64
	refreshed time.Time
	// lingering holds the attempts without an answer whose slots may be in use.
	lingering map[uint64]*attempt
	counters  Counters
}

// memory is the idempotency memory of a shard under one token.
type memory struct {
	token bamboofall.Token
	keys  *idempotency.Memory
}

// service is the state of one service.
type service struct {
	spec   *object.Service
	queue  *fairqueue.Queue
	pool   *instance.Pool
	budget *retry.Budget
	// baseline is the latency of the service when nothing disturbs it.
	baseline time.Duration
}

// pending is a request without a reply.
type pending struct {
	Request
	service *service
	class   bamboofall.Class
	once    bool
	weight  float64
	queued  *fairqueue.Item
	// attempt is the attempt under way, or nil.
	attempt *attempt
	// parkedTill is how long the request waits for its key's home. Zero if it
	// does not.
	parkedTill time.Time
	// forwarded is the peer that has the request, or empty.
	forwarded bamboofall.VMID
	tries     int
	// mayHaveRun is set once an attempt was written without a refusal.
	mayHaveRun bool
	avoid      string
	avoidPeer  bamboofall.VMID
	// spilled is set if the request was forwarded to even out the load.
	spilled bool
	// vouched is set if the key's home knows the request's fate.
	vouched bool
	// key is set while the request holds its key at this home.
	key   *idempotency.Key
	shard int
}

// attempt is a request sent to an instance.
type attempt struct {
	id       uint64
	request  uint64
	service  *service
	instance *instance.Instance
	kind     string
	sent     time.Time
	// endsBy is when the instance has given up working on it for certain.
	endsBy time.Time
	// fair is set if the attempt had the time that a sound instance needs.
	fair bool
}

// New returns a router without configuration. It refuses everything.
func New(cfg Config) *Router {
	r := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1))
	empty, _ := object.NewSet(nil)
	return &Router{
		cfg:       cfg,
		set:       empty,
		services:  make(map[string]*service),
		pending:   make(map[uint64]*pending),
		attempts:  make(map[uint64]*attempt),
		parked:    make(map[uint64]*pending),
		lingering: make(map[uint64]*attempt),
		memories:  make(map[int]*memory),
		homeSince: make(map[string]time.Time),
		peers:     newPeers(r),
		limits:    newLimits(),
		rand:      r,
		counters:  newCounters(),
	}
}

// Configure takes a set of objects over. An older revision is passed over.
func (r *Router) Configure(now time.Time, set *object.Set, revision uint64) []Action {
	if revision < r.revision {
		return nil
	}
	r.revision = revision
	for name, t := range set.Trades {
		old := r.set.Trades[name]
		if t.DataCentre == r.cfg.DataCentre && (old == nil || old.DataCentre != t.DataCentre) {
			r.homeSince[name] = now
		}
	}
	r.set = set
	for _, name := range slices.Sorted(maps.Keys(set.Services)) {
		spec := set.Services[name]
		s := r.services[name]
		if s == nil {
			s = &service{queue: fairqueue.New(), pool: instance.NewPool(r.rand), budget: retry.New()}
			r.services[name] = s
			r.names = slices.Sorted(maps.Keys(r.services))
		}
		s.spec = spec
	}
	r.limits.configure(set, r.view.Sharers)
	r.takeInstances(now)
	return r.pumpAll(now)
}

// SetView takes the control side's view over.
func (r *Router) SetView(now time.Time, v View) []Action {
	r.view = v
	for shard := range r.memories {
		if v.Active[shard] != r.memories[shard].token {
			delete(r.memories, shard)
		}
	}
	for shard, token := range v.Active {
		if r.memories[shard] == nil {
			r.memories[shard] = &memory{token, idempotency.New(now)}
		}
	}
	r.limits.configure(r.set, v.Sharers)
	r.peers.update(v.Peers)
	r.takeInstances(now)
	return append(r.unpark(now), r.pumpAll(now)...)
}

// ShardInflight returns the slots in use at instances of a shard. A shard may
// be handed over once it is zero.
func (r *Router) ShardInflight(shard int) int {
	n := 0
	for _, s := range r.services {
		for _, i := range s.pool.All() {
			if i.Shard == shard {
				n += i.Inflight()
			}
		}
	}
	for _, p := range r.pending {
		if p.key != nil && p.shard == shard {
			n++
		}
	}
	return n
}

// Pending returns the number of requests without a reply.
func (r *Router) Pending() int { return len(r.pending) }

func (r *Router) takeInstances(now time.Time) {
	mine := make(map[string]bool, len(r.view.Instances))
	for _, o := range r.view.Instances {
		s := r.services[o.Service]
		if s == nil {
			continue
		}
		mine[o.ID] = true
		usable := o.ActiveSince
		if !o.HandedOver {
			usable = usable.Add(s.spec.MaxWork)
		}
		s.pool.Set(now, instance.Instance{
			Instance: o.Instance, VM: o.VM, Shard: o.Shard, Leaving: o.Leaving, UsableAt: usable,
		})
	}
	for _, s := range r.services {
		for _, id := range s.pool.IDs() {
			if !mine[id] {
				s.pool.Remove(id)
			}
		}
	}
}

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

func (r *Router) pumpAll(now time.Time) []Action {
	var out []Action
	for _, name := range r.names {
		s := r.services[name]
		s.pool.Refresh(now)
		out = append(out, r.pump(now, s)...)
	}
	return out
}

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
