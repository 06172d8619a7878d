// Package upstream simulates an upstream instance of a service.
//
// A request occupies a slot from its start until its work is done, even if the
// caller has given up on the answer. The instance chooses only how long the
// work takes.
package upstream

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/standin/audit"
)

// Faults are the faults injected into an instance. The zero value has none.
type Faults struct {
	// Refuses makes the instance refuse every request before it starts.
	Refuses bool
	// Slow multiplies the duration of the work. Zero means 1.
	Slow float64
	// Silent leaves requests unanswered on connections that were open when the
	// fault was injected. New connections work.
	Silent bool
	// Truncates makes answers break off in the middle.
	Truncates bool
}

// Inflation returns the relative increase of an instance's latency due to batch
// tasks on the same VM: 0.5 means 50 % more.
type Inflation func() float64

// Instance simulates one upstream instance. Use New. It is safe for concurrent
// use.
type Instance struct {
	mu        sync.Mutex
	spec      bamboofall.Instance
	audit     *audit.Audit
	inflation Inflation
	// maxWork is the time after which the instance aborts a request.
	maxWork time.Duration
	rand    *rand.Rand
	faults  Faults
	// silentSince is when the Silent fault was injected.
	silentSince time.Time
	usedSlots   int
}

// New returns an idle instance that aborts requests after maxWork. The
// inflation may be nil.
func New(spec bamboofall.Instance, a *audit.Audit, inflation Inflation, maxWork time.Duration, seed uint64) *Instance {
	return &Instance{spec: spec, audit: a, inflation: inflation, maxWork: maxWork, rand: rand.New(rand.NewPCG(seed, 7))}
}

// SetFaults replaces the injected faults as of now.
func (i *Instance) SetFaults(now time.Time, f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if f.Silent && !i.faults.Silent {
		i.silentSince = now
	}
	i.faults = f
}

// Faults returns the injected faults.
func (i *Instance) Faults() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// Silent reports whether a connection opened at the given time is affected by
// the Silent fault.
func (i *Instance) Silent(opened time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults.Silent && !opened.After(i.silentSince)
}

// Begin starts a request and returns how long its work takes, a random duration
// around mean. It returns false if the instance refuses the request; otherwise
// the caller calls End after the work. The id and key identify the call and, if
// not empty, its idempotency key for the audit.
func (i *Instance) Begin(id, key string, mean time.Duration) (time.Duration, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.Refuses {
		return 0, false
	}
	i.usedSlots++
	if i.usedSlots > i.spec.Slots {
		i.audit.Overcommitted(fmt.Sprintf("%s has %d requests for %d slots", i.spec.ID, i.usedSlots, i.spec.Slots))
	}
	i.audit.RequestRan(id, key)
	work := float64(mean) * (0.5 + 0.5*i.rand.ExpFloat64())
	if i.faults.Slow > 0 {
		work *= i.faults.Slow
	}
	if i.inflation != nil {
		work *= 1 + i.inflation()
	}
	return min(time.Duration(work), i.maxWork), true
}

// End releases the slot of a request.
func (i *Instance) End() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.usedSlots--
}
