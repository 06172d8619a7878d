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
	// minAttemptTimeout is the shortest timeout of an attempt, unless the deadline
	// is earlier.
	minAttemptTimeout = 50 * time.Millisecond
	// attemptLatencyFactor times the service's mean latency is the usual timeout
	// of an attempt that may be retried.
	attemptLatencyFactor = 8
	// The time until the deadline divided by attemptDeadlineDivisor is the least
	// timeout of an attempt.
	attemptDeadlineDivisor = 8
	// A connection without an answer for stallLatencyFactor times the service's
	// mean latency, and at least minStallTimeout, is taken to be stalled.
	stallLatencyFactor = 3
	minStallTimeout    = 20 * time.Millisecond
	// A request waits for a home that is moving for the time until its deadline
	// divided by parkDeadlineDivisor, and at most for maxParkTime.
	parkDeadlineDivisor = 2
	maxParkTime         = 3 * time.Second
	// maxAttempts is the maximum number of attempts per request.
	maxAttempts = 3
	// slotReleaseMargin is added to Service.MaxWork, the time after which an
	// instance stops working on a request, before the slot is reused.
	slotReleaseMargin = 500 * time.Millisecond
	// maxPending is the maximum number of requests without a reply.
	maxPending = 20_000
)

// Config holds the identity and the random seed of a router.
type Config struct {
	VM         bamboofall.VMID
	DataCentre bamboofall.DataCentre
	// Seed seeds the choice among instances and peers.
	Seed uint64
}

// Router is the request scheduler of an entry VM. Use New. It is not safe for
// concurrent use.
type Router struct {
	cfg Config
	// objects is the configuration in force, at revision.
	objects  *object.Set
	revision uint64
	view     View
	services map[string]*service
	// serviceNames holds the keys of services in sorted order.
	serviceNames []string
	// pending holds the requests without a reply, by request ID.
	pending map[uint64]*pending
	// attempts holds the attempts whose result has not been reported, by attempt
	// ID.
	attempts map[uint64]*attempt
	// parked holds the requests that wait for their key's home to change.
	parked map[uint64]*pending
	// keyStores holds the idempotency keys of the shards that this VM owns.
	keyStores map[int]*keyStore
	// homeSince is when this data centre last became the home of a trade.
	homeSince     map[string]time.Time
	peers         *peers
	limits        *rateLimits
	rand          *rand.Rand
	lastAttemptID uint64
	// lastRefresh is when the availability of all instances was last updated.
	lastRefresh time.Time
	// held holds the attempts that ended without an answer and whose slots may
	// still be in use.
	held     map[uint64]*attempt
	counters Counters
}

// keyStore holds the idempotency keys of a shard for one term of ownership.
type keyStore struct {
	token bamboofall.Token
	keys  *idempotency.Store
}

// service is the state of one service.
type service struct {
	spec   *object.Service
	queue  *fairqueue.Queue
	pool   *instance.Pool
	budget *retry.Budget
	// baseline estimates the mean latency of an undisturbed instance. It is zero
	// until the first observation.
	baseline time.Duration
}

// pending is a request without a reply.
type pending struct {
	Request
	service    *service
	class      bamboofall.Class
	atMostOnce bool
	weight     float64
	// queued is the request's entry in the service's queue, or nil.
	queued *fairqueue.Item
	// attempt is the attempt in progress, or nil.
	attempt *attempt
	// parkedUntil is when the request stops waiting for its key's home. It is set
	// when the request is first parked.
	parkedUntil time.Time
	// forwardedTo is the peer that the request is forwarded to, or empty.
	forwardedTo bamboofall.VMID
	// attemptCount counts the attempts at instances and the retries after a failed
	// forward.
	attemptCount int
	// mayHaveRun is set if an earlier attempt may have run the request.
	mayHaveRun bool
	// avoidInstance is the instance of the last failed attempt, which a retry
	// avoids if it can.
	avoidInstance string
	// avoidPeer is the peer that last failed or refused the request.
	avoidPeer bamboofall.VMID
	// rebalanced is set if the request was forwarded to balance the load.
	rebalanced bool
	// authoritative is set if the outcome was decided by the home of the key.
	authoritative bool
	// key is set while this VM, as the home, has recorded that the key is in
	// progress. It belongs to shard.
	key   *idempotency.Key
	shard int
}

// attempt is one attempt to send a request to an instance.
type attempt struct {
	id       uint64
	request  uint64
	service  *service
	instance *instance.Instance
	kind     string
	sent     time.Time
	// endsBy is the time after which the instance can no longer be working on the
	// attempt.
	endsBy time.Time
	// fullTimeout is set if the timeout was long enough for a healthy instance to
	// answer, so that a timeout counts as a failure of the instance.
	fullTimeout bool
}

// New returns a router without configuration, which refuses every request.
func New(cfg Config) *Router {
	r := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1))
	empty, _ := object.NewSet(nil)
	return &Router{
		cfg:       cfg,
		objects:   empty,
		services:  make(map[string]*service),
		pending:   make(map[uint64]*pending),
		attempts:  make(map[uint64]*attempt),
		parked:    make(map[uint64]*pending),
		held:      make(map[uint64]*attempt),
		keyStores: make(map[int]*keyStore),
		homeSince: make(map[string]time.Time),
		peers:     newPeers(r),
		limits:    newRateLimits(),
		rand:      r,
		counters:  newCounters(),
	}
}

// Configure replaces the configuration. It ignores a revision older than the
// one in force.
func (r *Router) Configure(now time.Time, set *object.Set, revision uint64) []Action {
	if revision < r.revision {
		return nil
	}
	r.revision = revision
	for name, t := range set.Trades {
		old := r.objects.Trades[name]
		if t.DataCentre == r.cfg.DataCentre && (old == nil || old.DataCentre != t.DataCentre) {
			r.homeSince[name] = now
		}
	}
	r.objects = set
	for _, name := range slices.Sorted(maps.Keys(set.Services)) {
		spec := set.Services[name]
		s := r.services[name]
		if s == nil {
			s = &service{queue: fairqueue.New(), pool: instance.NewPool(r.rand), budget: retry.New()}
			r.services[name] = s
			r.serviceNames = slices.Sorted(maps.Keys(r.services))
		}
		s.spec = spec
	}
	r.limits.configure(set, r.view.EntryVMs)
	r.syncInstances(now)
	return r.dispatchAll(now)
}

// SetView replaces the state of the control plane.
func (r *Router) SetView(now time.Time, v View) []Action {
	r.view = v
	for shard := range r.keyStores {
		if v.Active[shard] != r.keyStores[shard].token {
			delete(r.keyStores, shard)
		}
	}
	for shard, token := range v.Active {
		if r.keyStores[shard] == nil {
			r.keyStores[shard] = &keyStore{token, idempotency.New(now)}
		}
	}
	r.limits.configure(r.objects, v.EntryVMs)
	r.peers.update(v.Peers)
	r.syncInstances(now)
	return append(r.unpark(now), r.dispatchAll(now)...)
}

// ShardInflight returns the number of slots in use at the instances of a shard,
// plus the requests whose keys are in progress in it. A shard may be handed
// over once it is zero.
func (r *Router) ShardInflight(shard int) int {
	inflight := 0
	for _, s := range r.services {
		for _, i := range s.pool.All() {
			if i.Shard == shard {
				inflight += i.Inflight()
			}
		}
	}
	for _, p := range r.pending {
		if p.key != nil && p.shard == shard {
			inflight++
		}
	}
	return inflight
}

// Pending returns the number of requests without a reply.
func (r *Router) Pending() int { return len(r.pending) }

// syncInstances updates the pools to the instances in the view.
func (r *Router) syncInstances(now time.Time) {
	current := make(map[string]bool, len(r.view.Instances))
	for _, owned := range r.view.Instances {
		s := r.services[owned.Service]
		if s == nil {
			continue
		}
		current[owned.ID] = true
		usableAt := owned.ActiveSince
		if !owned.HandedOver {
			usableAt = usableAt.Add(s.spec.MaxWork)
		}
		s.pool.Set(now, instance.Instance{
			Instance: owned.Instance, VM: owned.VM, Shard: owned.Shard, Leaving: owned.Leaving, UsableAt: usableAt,
		})
	}
	for _, s := range r.services {
		for _, id := range s.pool.IDs() {
			if !current[id] {
				s.pool.Remove(id)
			}
		}
	}
}

// dispatchAll updates which instances have free slots and dispatches the
// requests of every service.
func (r *Router) dispatchAll(now time.Time) []Action {
	var actions []Action
	for _, name := range r.serviceNames {
		s := r.services[name]
		s.pool.Refresh(now)
		actions = append(actions, r.dispatch(now, s)...)
	}
	return actions
}
