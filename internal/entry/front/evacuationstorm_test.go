package front

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/platform/standin"
)

var (
	evacuationStorms     = flag.Uint64("evacuation-storms", 1, "storms of restarts and faults of orders in which data centres are evacuated")
	evacuationStormFirst = flag.Uint64("evacuation-storm-first", 1, "seed of the first of these storms")
)

const (
	evacuationStormDuration = 14 * time.Second
	// stormEvacuationTime is the time after which no start may arrive in an evacuated data centre.
	stormEvacuationTime = 3500 * time.Millisecond
)

// stormZones are the data centres of the workers of an evacuation storm.
var stormZones = []string{"a", "b", "c", "d"}

// evacuationAudit audits that no start arrives at the workers of a data centre that has been
// evacuated for stormEvacuationTime.
type evacuationAudit struct {
	zones map[*testWorker]string

	mu sync.Mutex
	// since holds when the evacuated data centres were evacuated.
	since map[string]time.Time
	// elsewhere counts the starts at other workers while a data centre has been evacuated for
	// that time.
	elsewhere  int
	violations []string
}

// spread spreads the workers over the data centres.
func (a *evacuationAudit) spread(f *testCluster) {
	a.zones, a.since = make(map[*testWorker]string), make(map[string]time.Time)
	for i, w := range f.workers {
		a.zones[w] = stormZones[i%len(stormZones)]
		w.SetZone(a.zones[w])
		f.list(w)
	}
}

// set evacuates a data centre, or ends its evacuation.
func (a *evacuationAudit) set(f *testCluster, zone string, evacuated bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f.evacuate(zone, evacuated)
	if !evacuated {
		delete(a.since, zone)
		return
	}
	a.since[zone] = time.Now()
}

// called audits a call of a worker as it arrives.
func (a *evacuationAudit) called(w *testWorker, c standin.WorkerCall) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.Kind != standin.CallStart {
		return
	}
	for zone, since := range a.since {
		switch {
		case time.Since(since) <= stormEvacuationTime:
		case zone == a.zones[w]:
			a.violations = append(a.violations, fmt.Sprintf("a start arrives at %s in data centre %s, %v after its evacuation", w.id, zone, time.Since(since)))
		default:
			a.elsewhere++
		}
	}
}

// evacuateRepeatedly evacuates one or two data centres at a time until the storm is over.
func (s *restartStorm) evacuateRepeatedly() {
	r := s.random("evacuations")
	for s.over.Err() == nil {
		first := r.intN(len(stormZones))
		zones := []string{stormZones[first]}
		if r.float() < 0.5 {
			zones = append(zones, stormZones[(first+1+r.intN(len(stormZones)-1))%len(stormZones)])
		}
		for _, zone := range zones {
			s.evacuations.set(s.testCluster, zone, true)
			sleep(s.over, r.between(0, time.Second))
		}
		if r.float() < 0.7 {
			sleep(s.over, r.between(stormEvacuationTime, 2*stormEvacuationTime))
		}
		if r.float() < 0.3 {
			s.store.Trim("keyed.op")
		}
		for _, zone := range zones {
			s.evacuations.set(s.testCluster, zone, false)
		}
		sleep(s.over, r.between(0, 500*time.Millisecond))
	}
}

// Nothing is ordered in an evacuated data centre while workers restart, orders fail or are delayed,
// relays fail, the store forgets its history and the owner dies.
func TestNothingStartsInEvacuatedDataCentresInStorm(t *testing.T) {
	for seed := *evacuationStormFirst; seed < *evacuationStormFirst+*evacuationStorms; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			audit := &evacuationAudit{}
			playStorm(t, seed, true, evacuationStormDuration, audit)
			assert.DeepEqual(t, audit.violations, []string(nil))
			assert.Assert(t, audit.elsewhere > 0, "no start was audited")
		})
	}
}
