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
	// latencySampleWeight is the weight of a new sample in the smoothed latency.
	latencySampleWeight = 0.1
	// slowLatencyFactor times the service's own latency is slow for an instance.
	slowLatencyFactor = 3
	// minConcurrencyLimit is the least number of slots that a working instance may use.
	minConcurrencyLimit = 1
	limitDecreaseFactor = 0.9
	// failuresBeforeEjection in a row take an instance out.
	failuresBeforeEjection = 3
	minEjection            = time.Second
	maxEjection            = 30 * time.Second
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
	held             int
	latency          time.Duration
	concurrencyLimit float64
	failures         int
	ejections        int
	ejectedUntil     time.Time
	probing          bool
	// removed is set once this owner has no right to the instance any more.
	removed bool
	// availableIndex is the place in the pool's list of instances with room, or -1.
	availableIndex int
	window         LatencyWindow
}

// LatencyWindow holds the samples since the last observation.
type LatencyWindow struct {
	Count int
	Sum   time.Duration
}

// Inflight returns the number of slots in use.
func (i *Instance) Inflight() int { return i.inflight }

// Latency returns the smoothed latency. Zero if unknown.
func (i *Instance) Latency() time.Duration { return i.latency }

// Ejected reports whether the instance is out because it failed.
func (i *Instance) Ejected(now time.Time) bool { return now.Before(i.ejectedUntil) }

// freeSlots returns the number of slots that may be taken now.
func (i *Instance) freeSlots(now time.Time) int {
	switch {
	case i.removed, i.Leaving, now.Before(i.UsableAt), now.Before(i.ejectedUntil):
		return 0
	case i.probing:
		return 1 - i.inflight
	}
	return min(i.Slots, int(i.concurrencyLimit+0.5)) - i.inflight
}

// Pool holds the instances of one service. Use NewPool.
type Pool struct {
	all map[string]*Instance
	// ids holds the names in order, so that a seed gives the same choices.
	ids       []string
	available []*Instance
	// latency is smoothed over all instances.
	latency time.Duration
	rand    *rand.Rand
	// ownedSlots is the number of slots that could be put to use at ownedAt.
	ownedSlots   int
	ownedSlotsAt time.Time
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
func (p *Pool) Set(now time.Time, update Instance) {
	i := p.all[update.ID]
	if i == nil {
		i = &Instance{concurrencyLimit: float64(update.Slots), availableIndex: -1}
		p.all[update.ID] = i
		p.sortIDs()
	}
	i.Instance = update.Instance
	i.VM = update.VM
	i.Shard = update.Shard
	i.Leaving = update.Leaving
	i.UsableAt = update.UsableAt
	i.removed = false
	p.updateAvailability(now, i)
}

// Remove drops an instance that this owner has no right to any more. Its
// requests in flight are still counted until they end.
func (p *Pool) Remove(id string) {
	i := p.all[id]
	if i == nil {
		return
	}
	i.removed = true
	p.ownedSlotsAt = time.Time{}
	p.removeAvailable(i)
	if i.inflight == 0 {
		p.forget(id)
	}
}

func (p *Pool) forget(id string) {
	delete(p.all, id)
	p.sortIDs()
}

func (p *Pool) sortIDs() {
	p.ids = slices.Sorted(maps.Keys(p.all))
	p.ownedSlotsAt = time.Time{}
}

// updateAvailability puts an instance into the list of those with room, or takes it out.
func (p *Pool) updateAvailability(now time.Time, i *Instance) {
	if i.freeSlots(now) <= 0 {
		p.removeAvailable(i)
		return
	}
	if i.availableIndex < 0 {
		i.availableIndex = len(p.available)
		p.available = append(p.available, i)
	}
}

func (p *Pool) removeAvailable(i *Instance) {
	if i.availableIndex < 0 {
		return
	}
	last := p.available[len(p.available)-1]
	p.available[i.availableIndex] = last
	last.availableIndex = i.availableIndex
	p.available = p.available[:len(p.available)-1]
	i.availableIndex = -1
}

// Refresh looks again at all instances: some may have rested enough.
func (p *Pool) Refresh(now time.Time) {
	for _, id := range p.ids {
		p.updateAvailability(now, p.all[id])
	}
}

// HasFreeSlot reports whether an instance has a free slot.
func (p *Pool) HasFreeSlot() bool { return len(p.available) > 0 }

// Pick takes a slot for a request, or returns nil if no instance has room. An
// instance that may be faulty is tried with idempotent requests only. The
// instance to avoid, if there is another one, may be empty.
func (p *Pool) Pick(now time.Time, idempotent bool, avoid string) *Instance {
	best := p.candidate(now, idempotent, avoid)
	other := p.candidate(now, idempotent, avoid)
	if best == nil || other != nil && p.expectedDelay(other) < p.expectedDelay(best) {
		best = other
	}
	if best == nil {
		best = p.firstEligible(now, idempotent || p.allProbing(now), avoid)
	}
	if best == nil {
		return nil
	}
	best.inflight++
	p.updateAvailability(now, best)
	return best
}

func (p *Pool) candidate(now time.Time, idempotent bool, avoid string) *Instance {
	if len(p.available) == 0 {
		return nil
	}
	i := p.available[p.rand.IntN(len(p.available))]
	if !p.eligible(now, i, idempotent, avoid) {
		return nil
	}
	return i
}

func (p *Pool) eligible(now time.Time, i *Instance, idempotent bool, avoid string) bool {
	if i.freeSlots(now) <= 0 || i.probing && !idempotent {
		return false
	}
	return i.ID != avoid || len(p.available) == 1
}

// firstEligible looks at all instances with room, for when the random choice met only
// such as were not allowed.
func (p *Pool) firstEligible(now time.Time, idempotent bool, avoid string) *Instance {
	for _, i := range p.available {
		if p.eligible(now, i, idempotent, avoid) {
			return i
		}
	}
	return nil
}

// allProbing reports whether every instance that may be used is on trial. Then
// a request that must run at most once is better risked than refused.
func (p *Pool) allProbing(now time.Time) bool {
	for _, id := range p.ids {
		i := p.all[id]
		if !i.probing && !i.removed && !i.Leaving && !now.Before(i.UsableAt) {
			return false
		}
	}
	return true
}

// expectedDelay returns the expected expectedDelay of one more request.
func (p *Pool) expectedDelay(i *Instance) float64 {
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
			p.forget(i.ID)
		}
		return
	}
	p.updateAvailability(now, i)
}

// Succeeded records an answer. It must come before Release.
func (p *Pool) Succeeded(i *Instance, took time.Duration) {
	i.failures = 0
	i.ejections = 0
	i.probing = false
	i.window.Count++
	i.window.Sum += took
	updateMean(&i.latency, took)
	updateMean(&p.latency, took)
	if took > slowLatencyFactor*p.latency && i.inflight >= int(i.concurrencyLimit) {
		i.concurrencyLimit = max(i.concurrencyLimit*limitDecreaseFactor, minConcurrencyLimit)
		return
	}
	i.concurrencyLimit = min(i.concurrencyLimit+1/(i.concurrencyLimit+1), float64(i.Slots))
}

// Failed records a failure that is the instance's own fault. It must come
// before Release.
func (p *Pool) Failed(now time.Time, i *Instance) {
	i.failures++
	if i.failures < failuresBeforeEjection && !i.probing {
		return
	}
	ejection := min(minEjection<<min(i.ejections, 5), maxEjection)
	i.ejectedUntil = now.Add(ejection)
	i.ejections++
	i.failures = 0
	i.probing = true
	p.updateAvailability(now, i)
}

func updateMean(mean *time.Duration, sample time.Duration) {
	if *mean == 0 {
		*mean = sample
	}
	*mean += time.Duration(latencySampleWeight * float64(sample-*mean))
}

// CountSlots returns the free slots and those that can be put to use, of the instances
// that are in use.
func (p *Pool) CountSlots(now time.Time) (free, owned int) {
	for _, i := range p.all {
		if i.removed || i.Leaving || i.Ejected(now) || now.Before(i.UsableAt) {
			continue
		}
		owned += i.Slots - i.held
		free += max(i.freeSlots(now), 0)
	}
	return free, owned
}

// ownedSlotsTTL is how long a count of the slots is good enough for a decision.
const ownedSlotsTTL = 10 * time.Millisecond

// OwnedSlots returns the slots that can be put to use, as they were counted a short
// time ago, so that a decision does not look at every instance.
func (p *Pool) OwnedSlots(now time.Time) int {
	if p.ownedSlotsAt.IsZero() || now.Sub(p.ownedSlotsAt) >= ownedSlotsTTL {
		_, p.ownedSlots = p.CountSlots(now)
		p.ownedSlotsAt = now
	}
	return p.ownedSlots
}

// TakeWindow returns the samples of an instance since the last call.
func (i *Instance) TakeWindow() LatencyWindow {
	w := i.window
	i.window = LatencyWindow{}
	return w
}
