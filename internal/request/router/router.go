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

func (r *Router) pumpAll(now time.Time) []Action {
	var out []Action
	for _, name := range r.names {
		s := r.services[name]
		s.pool.Refresh(now)
		out = append(out, r.pump(now, s)...)
	}
	return out
}
