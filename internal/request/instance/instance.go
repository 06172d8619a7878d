// Package instance keeps what an owner knows of its upstream instances and
// picks one for a request.
//
// The owner of an instance alone spends its slots, so a slot count in memory
// is exact. A slot is taken from the moment the request is handed over for
// sending until the answer is whole, or until the instance can no longer work
// on it. A choice looks at two instances with room, picked at random, and
// takes the one with less expected delay, so its cost does not grow with the
// number of instances. The number of slots in use follows the measured
// latency.
package instance

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
)

const (
	// latencyWeight is the weight of a new sample in the smoothed latency.
	latencyWeight = 0.1
	// slowFactor times the service's own latency is slow for an instance.
	slowFactor = 3
	// minLimit is the least number of slots that a working instance may use.
	minLimit = 1
	decrease = 0.9
	// maxFailures in a row take an instance out.
	maxFailures = 3
	firstRest   = time.Second
	maxRest     = 30 * time.Second
)

// Instance is an upstream instance of this owner.
type Instance struct {
	bamboofall.Instance
	VM      bamboofall.VMID
	Shard   int
	Leaving bool
	// UsableAt is when the previous owner's requests have ended for certain.
	UsableAt time.Time

	inflight int
	// held is the part of inflight that may be done: nobody waits for it, but
	// its end is not known.
	held     int
	latency  time.Duration
	limit    float64
	failures int
	rests    int
	restTill time.Time
	probing  bool
	// removed is set once this owner has no right to the instance any more.
	removed bool
	// slot is the place in the pool's list of instances with room, or -1.
	slot   int
	window Window
}

// Window holds the samples since the last observation.
type Window struct {
	Count int
	Sum   time.Duration
}

// Inflight returns the number of slots in use.
func (i *Instance) Inflight() int { return i.inflight }

// Latency returns the smoothed latency. Zero if unknown.
func (i *Instance) Latency() time.Duration { return i.latency }

// Resting reports whether the instance is out because it failed.
func (i *Instance) Resting(now time.Time) bool { return now.Before(i.restTill) }

// usable returns the number of slots that may be taken now.
func (i *Instance) usable(now time.Time) int {
	switch {
	case i.removed, i.Leaving, now.Before(i.UsableAt), now.Before(i.restTill):
		return 0
	case i.probing:
		return 1 - i.inflight
	}
	return min(i.Slots, int(i.limit+0.5)) - i.inflight
}

// Pool holds the instances of one service. Use NewPool.
type Pool struct {
	all map[string]*Instance
	// ids holds the names in order, so that a seed gives the same choices.
	ids  []string
	room []*Instance
	// latency is smoothed over all instances.
	latency time.Duration
	rand    *rand.Rand
	// owned is the number of slots that could be put to use at ownedAt.
	owned   int
	ownedAt time.Time
}

// NewPool returns an empty pool that draws from a random source.
func NewPool(r *rand.Rand) *Pool {
	return &Pool{all: make(map[string]*Instance), rand: r}
}

// Get returns an instance, or nil.
func (p *Pool) Get(id string) *Instance { return p.all[id] }

// IDs returns the names of the instances in order.
func (p *Pool) IDs() []string { return p.ids }

// All returns the instances by id. The caller must not change the map.
func (p *Pool) All() map[string]*Instance { return p.all }

// Latency returns the latency smoothed over all instances. Zero if unknown.
func (p *Pool) Latency() time.Duration { return p.latency }

// Set adds an instance, or updates what the platform says of it.
func (p *Pool) Set(now time.Time, want Instance) {
	i := p.all[want.ID]
	if i == nil {
		i = &Instance{limit: float64(want.Slots), slot: -1}
		p.all[want.ID] = i
		p.sortIDs()
	}
	i.Instance = want.Instance
	i.VM = want.VM
	i.Shard = want.Shard
	i.Leaving = want.Leaving
	i.UsableAt = want.UsableAt
	i.removed = false
	p.index(now, i)
}

// Remove drops an instance that this owner has no right to any more. Its
// requests in flight are still counted until they end.
func (p *Pool) Remove(id string) {
	i := p.all[id]
	if i == nil {
		return
	}
	i.removed = true
	p.ownedAt = time.Time{}
	p.unlist(i)
	if i.inflight == 0 {
		p.drop(id)
	}
}

func (p *Pool) drop(id string) {
	delete(p.all, id)
	p.sortIDs()
}

func (p *Pool) sortIDs() {
	p.ids = slices.Sorted(maps.Keys(p.all))
	p.ownedAt = time.Time{}
}

// index puts an instance into the list of those with room, or takes it out.
func (p *Pool) index(now time.Time, i *Instance) {
	if i.usable(now) <= 0 {
		p.unlist(i)
		return
	}
	if i.slot < 0 {
		i.slot = len(p.room)
		p.room = append(p.room, i)
	}
}

func (p *Pool) unlist(i *Instance) {
	if i.slot < 0 {
		return
	}
	last := p.room[len(p.room)-1]
	p.room[i.slot] = last
	last.slot = i.slot
	p.room = p.room[:len(p.room)-1]
	i.slot = -1
}

// Refresh looks again at all instances: some may have rested enough.
func (p *Pool) Refresh(now time.Time) {
	for _, id := range p.ids {
		p.index(now, p.all[id])
	}
}

// HasRoom reports whether an instance has a free slot.
func (p *Pool) HasRoom() bool { return len(p.room) > 0 }

// Pick takes a slot for a request, or returns nil if no instance has room. An
// instance that may be faulty is tried with idempotent requests only. The
// instance to avoid, if there is another one, may be empty.
func (p *Pool) Pick(now time.Time, idempotent bool, avoid string) *Instance {
	best := p.candidate(now, idempotent, avoid)
	other := p.candidate(now, idempotent, avoid)
	if best == nil || other != nil && p.delay(other) < p.delay(best) {
		best = other
	}
	if best == nil {
		best = p.scan(now, idempotent || p.allOnTrial(now), avoid)
	}
	if best == nil {
		return nil
	}
	best.inflight++
	p.index(now, best)
	return best
}

func (p *Pool) candidate(now time.Time, idempotent bool, avoid string) *Instance {
	if len(p.room) == 0 {
		return nil
	}
	i := p.room[p.rand.IntN(len(p.room))]
	if !p.allowed(now, i, idempotent, avoid) {
		return nil
	}
	return i
}

func (p *Pool) allowed(now time.Time, i *Instance, idempotent bool, avoid string) bool {
	if i.usable(now) <= 0 || i.probing && !idempotent {
		return false
	}
	return i.ID != avoid || len(p.room) == 1
}

// scan looks at all instances with room, for when the random choice met only
// such as were not allowed.
func (p *Pool) scan(now time.Time, idempotent bool, avoid string) *Instance {
	for _, i := range p.room {
		if p.allowed(now, i, idempotent, avoid) {
			return i
		}
	}
	return nil
}

// allOnTrial reports whether every instance that may be used is on trial. Then
// a request that must run at most once is better risked than refused.
func (p *Pool) allOnTrial(now time.Time) bool {
	for _, id := range p.ids {
		i := p.all[id]
		if !i.probing && !i.removed && !i.Leaving && !now.Before(i.UsableAt) {
			return false
		}
	}
	return true
}

// delay returns the expected delay of one more request.
func (p *Pool) delay(i *Instance) float64 {
	latency := i.latency
	if latency == 0 {
		latency = p.latency
	}
	return float64(latency+time.Microsecond) * float64(i.inflight+1) / float64(i.Slots)
}

// Hold records that nobody waits any more for a request whose end is not
// known. It keeps its slot until ReleaseHeld.
func (p *Pool) Hold(i *Instance) { i.held++ }

// ReleaseHeld gives the slot of a held request back.
func (p *Pool) ReleaseHeld(now time.Time, i *Instance) {
	i.held--
	p.Release(now, i)
}

// Release gives a slot back.
func (p *Pool) Release(now time.Time, i *Instance) {
	i.inflight--
	if i.inflight == 0 && i.removed {
		if p.all[i.ID] == i {
			p.drop(i.ID)
		}
		return
	}
	p.index(now, i)
}

// Succeeded records an answer. It must come before Release.
func (p *Pool) Succeeded(i *Instance, took time.Duration) {
	i.failures = 0
	i.rests = 0
	i.probing = false
	i.window.Count++
	i.window.Sum += took
	smooth(&i.latency, took)
	smooth(&p.latency, took)
	if took > slowFactor*p.latency && i.inflight >= int(i.limit) {
		i.limit = max(i.limit*decrease, minLimit)
		return
	}
	i.limit = min(i.limit+1/(i.limit+1), float64(i.Slots))
}

// Failed records a failure that is the instance's own fault. It must come
// before Release.
func (p *Pool) Failed(now time.Time, i *Instance) {
	i.failures++
	if i.failures < maxFailures && !i.probing {
		return
	}
	rest := min(firstRest<<min(i.rests, 5), maxRest)
	i.restTill = now.Add(rest)
	i.rests++
	i.failures = 0
	i.probing = true
	p.index(now, i)
}

func smooth(mean *time.Duration, sample time.Duration) {
	if *mean == 0 {
		*mean = sample
	}
	*mean += time.Duration(latencyWeight * float64(sample-*mean))
}

// Room returns the free slots and those that can be put to use, of the instances
// that are in use.
func (p *Pool) Room(now time.Time) (free, owned int) {
	for _, i := range p.all {
		if i.removed || i.Leaving || i.Resting(now) || now.Before(i.UsableAt) {
			continue
		}
		owned += i.Slots - i.held
		free += max(i.usable(now), 0)
	}
	return free, owned
}

// ownedFor is how long a count of the slots is good enough for a decision.
const ownedFor = 10 * time.Millisecond

// Owned returns the slots that can be put to use, as they were counted a short
// time ago, so that a decision does not look at every instance.
func (p *Pool) Owned(now time.Time) int {
	if p.ownedAt.IsZero() || now.Sub(p.ownedAt) >= ownedFor {
		_, p.owned = p.Room(now)
		p.ownedAt = now
	}
	return p.owned
}

// TakeWindow returns the samples of an instance since the last call.
func (i *Instance) TakeWindow() Window {
	w := i.window
	i.window = Window{}
	return w
}
