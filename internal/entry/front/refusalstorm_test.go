package front

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/platform/standin"
)

var (
	refusalStorms        = flag.Uint64("refusal-storms", 1, "storms of outages of the store")
	refusalStormFirst    = flag.Uint64("refusal-storm-first", 1, "seed of the first storm")
	refusalStormDuration = flag.Duration("refusal-storm-duration", 5*time.Second, "duration of a storm")
)

// A job that each attempt was refused must never run and an accepted one must, whatever the store
// does: it refuses, resets, is silent, loses answers or executes calls late, for all calls or
// appends to some topics, beside the loss of an owner.
func TestRefusedJobsDoNotRunInStormOfRefusals(t *testing.T) {
	for seed := *refusalStormFirst; seed < *refusalStormFirst+*refusalStorms; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { playRefusalStorm(t, seed) })
	}
}

// stormAnswers holds the statuses of all attempts by job.
type stormAnswers struct {
	mu       sync.Mutex
	statuses map[string][]int
}

func (a *stormAnswers) add(job string, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.statuses[job] = append(a.statuses[job], status)
}

func playRefusalStorm(t *testing.T, seed uint64) {
	s := &restartStorm{testCluster: newTestCluster(t, 3, 4, 20*time.Millisecond), seed: seed}
	first := s.waitForOwner(-1)
	over, end := context.WithTimeout(t.Context(), *refusalStormDuration)
	defer end()
	s.over = over
	answers := &stormAnswers{statuses: make(map[string][]int)}
	s.tasks.Go(s.failStoreRepeatedly)
	if r := s.random("owner"); r.float() < 0.5 {
		s.tasks.Go(func() {
			sleep(over, r.between(*refusalStormDuration/4, *refusalStormDuration))
			s.entries[first].stop()
		})
	}
	r := s.random("callers")
	for n := 0; over.Err() == nil; n++ {
		at, retries, job, timeout := r.intN(len(s.entries)), r.intN(3), id(n), r.between(300*time.Millisecond, 3*time.Second)
		s.tasks.Go(func() { s.submitUntilAnswered(answers, job, at, retries, timeout) })
		time.Sleep(25 * time.Millisecond)
	}
	s.tasks.Wait()
	s.store.SetFault(nil)
	counts := make(map[string]int)
	for job, statuses := range answers.statuses {
		refused := true
		for _, status := range statuses {
			refused = refused && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
			if status == http.StatusOK {
				s.accepted = append(s.accepted, job)
				break
			}
		}
		counts[fmt.Sprintf("%d", statuses[len(statuses)-1])]++
		if refused {
			counts["refused throughout"]++
			defer func() { assert.Check(t, s.audit.StartsOf(job) == 0, "job %s started: %v", job, statuses) }()
		}
	}
	s.waitForEnds()
	for _, job := range s.accepted {
		assert.Check(t, s.audit.StartsOf(job) >= 1, "job %s was accepted: %v", job, answers.statuses[job])
	}
	t.Logf("%d jobs: %v, %d taken back", len(answers.statuses), counts, s.withdrawn())
	assert.DeepEqual(t, s.audit.Violations(), []string(nil))
}

// failStoreRepeatedly makes the store fail in different ways for different times.
func (s *restartStorm) failStoreRepeatedly() {
	r := s.random("store")
	for s.over.Err() == nil {
		fault := []standin.Fault{standin.FaultRefused, standin.FaultReset, standin.FaultLost, standin.FaultLate, standin.FaultSilent}[r.intN(5)]
		topics := []map[string]bool{nil, {topicCells: true}, {topicInbox: true}, {topicCells: true, topicInbox: true}}[r.intN(4)]
		share := r.between(0, 2*time.Second).Seconds() // above 1: all calls
		s.store.SetFault(func(call *http.Request) standin.Fault {
			if topics != nil && (call.URL.Path != "/v1/log-append" || !topics[call.URL.Query().Get("topic")]) || r.float() > share {
				return standin.FaultNone
			}
			return fault
		})
		sleep(s.over, r.between(200*time.Millisecond, 2500*time.Millisecond))
		s.store.SetFault(nil)
		sleep(s.over, r.between(0, time.Second))
	}
}

// submitUntilAnswered submits a job, again at other entry VMs while it is refused.
func (s *restartStorm) submitUntilAnswered(answers *stormAnswers, job string, at, retries int, timeout time.Duration) {
	const body = `{"task_spec":"x","steps":[{"count":1,"cpu":200,"memory_request_mb":16,"estimated_ms":50}]}`
	for n := range retries + 1 {
		status := s.callWithin(timeout, (at+n)%len(s.entries), http.MethodPost, job, body)
		answers.add(job, status)
		if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			return
		}
		sleep(s.over, 200*time.Millisecond)
	}
}
