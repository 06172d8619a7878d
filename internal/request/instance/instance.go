// Package instance tracks the upstream instances of a service that this VM owns
// and selects one for each request.
//
// Only the owner of an instance uses its slots, so the count of slots in use is
// exact. A slot is in use from the moment the request is handed over for sending
// until the complete answer has arrived, or until the instance can no longer be
// working on the request.
//
// Pick compares two random instances with free slots and takes the one with the
// lower expected delay, so its cost does not grow with the number of instances.
// The concurrency limit of an instance adapts to its measured latency: it grows
// additively and shrinks multiplicatively. An instance that fails repeatedly is
// ejected for a time and must then answer a probe.
package instance

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
)

const (
	// latencySampleWeight is the weight of a new sample in the moving average.
	latencySampleWeight = 0.1
	// An answer that takes longer than slowLatencyFactor times the service's mean
	// latency lowers the concurrency limit if the limit was reached.
	slowLatencyFactor = 3
	// minConcurrencyLimit is the lowest concurrency limit of an instance.
	minConcurrencyLimit = 1
	// limitDecreaseFactor multiplies the concurrency limit after a slow answer.
	limitDecreaseFactor = 0.9
	// failuresBeforeEjection is the number of consecutive failures after which an
	// instance is ejected.
	failuresBeforeEjection = 3
	// minEjection is the duration of the first ejection. It doubles with each
	// ejection until the instance answers, up to maxEjection.
	minEjection = time.Second
	maxEjection = 30 * time.Second
)

// Instance is an upstream instance owned by this VM.
type Instance struct {
	bamboofall.Instance
	// VM is the VM on which the instance runs.
	VM      bamboofall.VMID
	Shard   int
	Leaving bool
	// UsableAt is when the requests of the previous owner have certainly ended.
	UsableAt time.Time

	// inflight is the number of slots in use.
	inflight int
	// held is the number of slots in inflight whose request was given up without
	// an answer, so that the instance may or may not have finished it.
	held int
	// latency is the moving average of the answer time. Zero if unknown.
	latency time.Duration
	// concurrencyLimit is the number of slots that may be in use, rounded to an
	// integer and bounded by Slots.
	concurrencyLimit float64
	// failures counts the consecutive failures since the last answer or ejection.
	failures int
	// ejections counts the ejections since the last answer.
	ejections    int
	ejectedUntil time.Time
	// probing is set from an ejection to the next answer. Once the ejection has
	// ended, the instance gets one request at a time.
	probing bool
	// removed is set once this VM no longer owns the instance.
	removed bool
	// availableIndex is the index in Pool.available, or -1.
	availableIndex int
	window         LatencyWindow
}

// LatencyWindow holds the samples since the previous observation.
type LatencyWindow struct {
	Count int
	Sum   time.Duration
}

// Inflight returns the number of slots in use.
func (i *Instance) Inflight() int { return i.inflight }

// Latency returns the moving average of the answer time, or zero if unknown.
func (i *Instance) Latency() time.Duration { return i.latency }

// Ejected reports whether the instance gets no requests because it failed.
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
	// ids holds the keys of all in sorted order, so that choices depend on the
	// seed only.
	ids []string
	// available holds the instances with free slots.
	available []*Instance
	// latency is the moving average of the answer time of all instances.
	latency time.Duration
	rand    *rand.Rand
	// ownedSlots is the number of slots that are not held, as counted at
	// ownedSlotsAt.
	ownedSlots   int
	ownedSlotsAt time.Time
}

// NewPool returns an empty pool that uses a random source.
func NewPool(r *rand.Rand) *Pool {
	return &Pool{all: make(map[string]*Instance), rand: r}
}

// Get returns an instance, or nil.
func (p *Pool) Get(id string) *Instance { return p.all[id] }

// IDs returns the IDs of the instances in sorted order.
func (p *Pool) IDs() []string { return p.ids }

// All returns the instances by ID. The caller must not modify the map.
func (p *Pool) All() map[string]*Instance { return p.all }

// Latency returns the moving average of the answer time of all instances, or
// zero if unknown.
func (p *Pool) Latency() time.Duration { return p.latency }

// Set adds an instance, or updates its attributes.
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

// Remove removes an instance that this VM no longer owns. Its requests in
// flight stay counted until they end.
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

// updateAvailability adds an instance to the list of those with free slots, or
// removes it.
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

// Refresh updates the availability of all instances, which changes when an
// ejection ends or UsableAt passes.
func (p *Pool) Refresh(now time.Time) {
	for _, id := range p.ids {
		p.updateAvailability(now, p.all[id])
	}
}

// HasFreeSlot reports whether an instance has a free slot.
func (p *Pool) HasFreeSlot() bool { return len(p.available) > 0 }

// Pick takes a slot for a request, or returns nil if no eligible instance has a
// free slot. Only idempotent requests probe an instance that was ejected,
// unless all instances are being probed. The instance avoid, which may be
// empty, is picked only if no other one has a free slot.
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

// candidate returns a random instance with free slots if it is eligible.
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

// eligible reports whether a request may be sent to an instance.
func (p *Pool) eligible(now time.Time, i *Instance, idempotent bool, avoid string) bool {
	if i.freeSlots(now) <= 0 || i.probing && !idempotent {
		return false
	}
	return i.ID != avoid || len(p.available) == 1
}

// firstEligible searches all instances with free slots, for when neither random
// candidate was eligible.
func (p *Pool) firstEligible(now time.Time, idempotent bool, avoid string) *Instance {
	for _, i := range p.available {
		if p.eligible(now, i, idempotent, avoid) {
			return i
		}
	}
	return nil
}

// allProbing reports whether every usable instance is being probed. Requests
// that must run at most once are then sent to such an instance rather than
// refused.
func (p *Pool) allProbing(now time.Time) bool {
	for _, id := range p.ids {
		i := p.all[id]
		if !i.probing && !i.removed && !i.Leaving && !now.Before(i.UsableAt) {
			return false
		}
	}
	return true
}

// expectedDelay estimates the answer time of one more request, in nanoseconds.
func (p *Pool) expectedDelay(i *Instance) float64 {
	latency := i.latency
	if latency == 0 {
		latency = p.latency
	}
	return float64(latency+time.Microsecond) * float64(i.inflight+1) / float64(i.Slots)
}

// Hold records that a request was given up while the instance may still be
// working on it. Its slot stays in use until ReleaseHeld.
func (p *Pool) Hold(i *Instance) { i.held++ }

// ReleaseHeld releases the slot of a held request.
func (p *Pool) ReleaseHeld(now time.Time, i *Instance) {
	i.held--
	p.Release(now, i)
}

// Release releases a slot.
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

// Succeeded records an answer. It must be called before Release.
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

// Failed records a failure that the instance caused. It must be called before
// Release.
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

// updateMean adds a sample to an exponentially weighted moving average.
func updateMean(mean *time.Duration, sample time.Duration) {
	if *mean == 0 {
		*mean = sample
	}
	*mean += time.Duration(latencySampleWeight * float64(sample-*mean))
}

// CountSlots returns the number of free slots and of slots that are not held,
// over the instances that may get requests now.
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

// ownedSlotsTTL is how long OwnedSlots returns the same count.
const ownedSlotsTTL = 10 * time.Millisecond

// OwnedSlots returns the number of slots that are not held. The count may be up
// to ownedSlotsTTL old, so that a decision does not iterate over all instances.
func (p *Pool) OwnedSlots(now time.Time) int {
	if p.ownedSlotsAt.IsZero() || now.Sub(p.ownedSlotsAt) >= ownedSlotsTTL {
		_, p.ownedSlots = p.CountSlots(now)
		p.ownedSlotsAt = now
	}
	return p.ownedSlots
}

// TakeWindow returns and clears the samples since the previous call.
func (i *Instance) TakeWindow() LatencyWindow {
	w := i.window
	i.window = LatencyWindow{}
	return w
}
