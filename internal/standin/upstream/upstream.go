// Package upstream is a stand-in for an upstream instance of a service.
//
// It counts its slots honestly: a request holds one from its start to the end
// of the work, whether or not anyone waits for the answer any more. It decides
// nothing but how long the work takes.
package upstream

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/standin/audit"
)

// Faults are the faults in force. The zero value has none.
type Faults struct {
	// Refuses means that the instance refuses every request before it starts.
	Refuses bool
	// Slow multiplies the time of the work. Zero means one.
	Slow float64
	// Silent means that connections opened before get no answer any more. New
	// ones work.
	Silent bool
	// Truncates means that answers break off in the middle.
	Truncates bool
}

// Load returns the noise of the batch tasks beside the instance: the inflation
// of its latency.
type Load func() float64

// Instance is an upstream instance. Use New. It is safe for concurrent use.
type Instance struct {
	mu       sync.Mutex
	spec     bamboofall.Instance
	audit    *audit.Audit
	load     Load
	limit    time.Duration
	rand     *rand.Rand
	faults   Faults
	silentAt time.Time
	busy     int
}

// New returns an idle instance that gives up on a request after a limit. The
// load may be nil.
func New(spec bamboofall.Instance, a *audit.Audit, load Load, limit time.Duration, seed uint64) *Instance {
	return &Instance{spec: spec, audit: a, load: load, limit: limit, rand: rand.New(rand.NewPCG(seed, 7))}
}

// SetFaults puts faults in force.
func (i *Instance) SetFaults(now time.Time, f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if f.Silent && !i.faults.Silent {
		i.silentAt = now
	}
	i.faults = f
}

// Faults returns the faults in force.
func (i *Instance) Faults() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// Silent reports whether a connection opened at a moment has gone silent.
func (i *Instance) Silent(opened time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults.Silent && !opened.After(i.silentAt)
}

// Begin starts a request and returns how long the work takes. It reports false
// if the instance refuses it. End must be called after the work.
func (i *Instance) Begin(id, key string, mean time.Duration) (time.Duration, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.Refuses {
		return 0, false
	}
	i.busy++
	if i.busy > i.spec.Slots {
		i.audit.Overcommitted(fmt.Sprintf("%s has %d requests for %d slots", i.spec.ID, i.busy, i.spec.Slots))
	}
	i.audit.RequestRan(id, key)
	work := float64(mean) * (0.5 + 0.5*i.rand.ExpFloat64())
	if i.faults.Slow > 0 {
		work *= i.faults.Slow
	}
	if i.load != nil {
		work *= 1 + i.load()
	}
	return min(time.Duration(work), i.limit), true
}

// End ends a request.
func (i *Instance) End() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.busy--
}
