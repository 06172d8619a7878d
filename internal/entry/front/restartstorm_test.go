package front

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
	"bamboofall.example/bamboofall/platform"
	"bamboofall.example/bamboofall/platform/standin"
)

var (
	restartStorms        = flag.Uint64("restart-storms", 1, "storms of worker restarts and faults of orders, beside those that failed once")
	restartStormFirst    = flag.Uint64("restart-storm-first", 1, "seed of the first storm")
	restartStormLateAcks = flag.Bool("restart-storm-late-acks", true, "execute calls that acknowledge run ends late, too, some of them by a process that starts as they arrive")
	restartStormDuration = flag.Duration("restart-storm-duration", 3*time.Second, "duration of a storm")
)

// restartStormSeeds are the seeds of storms without late acknowledgements that failed once: 38
// with ends acknowledged unseen.
var restartStormSeeds = []uint64{38}

// Two runs of a task, or a start after its end, must not result from workers that restart in
// place, from orders that fail, are executed late or answered late, or from relays that fail.
func TestTasksRunOnceInStormOfRestarts(t *testing.T) {
	for _, seed := range restartStormSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { playRestartStorm(t, seed, false) })
	}
	for seed := *restartStormFirst; seed < *restartStormFirst+*restartStorms; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { playRestartStorm(t, seed, *restartStormLateAcks) })
	}
}

// restartStorm injects faults into a cluster. The seed determines the faults of each worker's
// calls in their order, but not their times.
type restartStorm struct {
	*testCluster
	seed uint64
	// series is set if workers restart several times within the timeout of an order. Orders
	// under way are lost then: no owner can prevent that a start reaches a third process after
	// the second one has confirmed that it is stopped.
	series bool
	// lateAcks is set if calls that acknowledge run ends are executed late, too.
	lateAcks bool
	// evacuations is set if data centres are evacuated in the storm.
	evacuations *evacuationAudit
	// over ends when no more faults are injected.
	over  context.Context
	tasks sync.WaitGroup

	mu       sync.Mutex
	accepted []string
}

// random returns the source of random numbers of one part of the storm.
func (s *restartStorm) random(part string) *lockedRand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(part))
	return &lockedRand{random: rand.New(rand.NewPCG(s.seed, h.Sum64()))}
}

// lockedRand is a source of random numbers for concurrent use.
type lockedRand struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (r *lockedRand) float() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64()
}

func (r *lockedRand) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// between returns a random duration.
func (r *lockedRand) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(r.float()*float64(longest-shortest))
}

const (
	stormWorkers     = 8
	stormJobInterval = 40 * time.Millisecond
	// longestStormDelay is longer than the timeout of an order, and than the time until a
	// worker is silent.
	longestStormDelay = 3 * time.Second
)

func playRestartStorm(t *testing.T, seed uint64, lateAcks bool) {
	playStorm(t, seed, lateAcks, *restartStormDuration, nil)
}

// playStorm plays a storm. Data centres are evacuated in it if evacuations is set.
func playStorm(t *testing.T, seed uint64, lateAcks bool, duration time.Duration, evacuations *evacuationAudit) {
	setup := (&restartStorm{seed: seed}).random("setup")
	entries, options := 3, []Option{}
	if setup.float() < 0.3 {
		entries = 1
	}
	relayed := entries > 1 && setup.float() < 0.7
	if relayed {
		options = append(options, WithWorkersPerCore(twoWorkersPerEntry))
	}
	s := &restartStorm{testCluster: newTestCluster(t, entries, stormWorkers, time.Minute, options...), seed: seed, series: setup.float() < 0.5, lateAcks: lateAcks, evacuations: evacuations}
	durations := func(task string) time.Duration {
		r := s.random(task)
		return r.between(10*time.Millisecond, 300*time.Millisecond)
	}
	for _, w := range s.workers {
		w.SetTaskDurations(durations, 30*time.Millisecond)
	}
	if evacuations != nil {
		evacuations.spread(s.testCluster)
	}
	first := s.waitForOwner(-1)
	s.waitForAnswers()
	over, end := context.WithTimeout(t.Context(), duration)
	defer end()
	s.over = over
	if relayed && setup.float() < 0.6 {
		s.startFailingRelay(first, s.entries[(first+1)%entries].relay)
	}
	for _, w := range s.workers {
		w.SetFault(s.faults(w))
		s.tasks.Go(func() { s.restartRepeatedly(w) })
	}
	s.tasks.Go(s.submitJobs)
	if evacuations != nil {
		s.tasks.Go(s.evacuateRepeatedly)
	}
	if entries > 1 && setup.float() < 0.5 {
		sleep(over, duration/2)
		s.entries[first].stop()
	}
	s.tasks.Wait()
	for _, w := range s.workers {
		w.SetFault(nil)
		s.list(w)
	}
	s.waitForEnds()
	fenced := 0
	for _, w := range s.workers {
		fenced += w.FencedCalls()
	}
	t.Logf("%d entry VMs, relayed %t, series %t: %d jobs accepted, %d starts, %d calls fenced", entries, relayed, s.series, len(s.accepted), s.audit.Starts(), fenced)
	assert.DeepEqual(t, s.audit.Violations(), []string(nil))
}

// faults returns a function that selects the fault of each call to a worker.
func (s *restartStorm) faults(w *testWorker) func(standin.WorkerCall) standin.WorkerFault {
	r := s.random("orders " + w.id)
	delay := func(longest time.Duration) func() {
		d := r.between(0, longest)
		return func() { time.Sleep(d) }
	}
	lateAck := s.lateAcknowledgements(w)
	return func(c standin.WorkerCall) (fault standin.WorkerFault) {
		if s.evacuations != nil {
			s.evacuations.called(w, c)
		}
		if fault, late := lateAck(c); late {
			return fault
		}
		x := r.float()
		if c.Kind != standin.CallStart {
			x *= 2
		}
		switch {
		case s.over.Err() != nil:
		case x >= 0.12 && x < 0.26 && c.Acknowledged > 0 && !s.lateAcks:
		case x < 0.03:
			fault.Status = http.StatusServiceUnavailable
		case x < 0.05:
			fault.Status = http.StatusTooManyRequests
		case x < 0.08:
			fault.NotExecuted = true
		case x < 0.12:
			fault.Broken = true
		case x < 0.17:
			fault.Broken, fault.BeforeExecution, fault.SameProcess = true, delay(longestStormDelay), true
		case x < 0.20:
			fault.BeforeExecution, fault.SameProcess = delay(longestStormDelay), true
		case x < 0.26: // a process that starts meanwhile may execute it
			fault.BeforeExecution, fault.SameProcess = delay(platform.OrderTimeout), s.series
		case x < 0.32:
			fault.BeforeAnswer = delay(platform.OrderTimeout)
		case x < 0.34:
			fault.BeforeAnswer = delay(longestStormDelay)
		}
		return fault
	}
}

// lateAcknowledgements returns a function that restarts a worker as some of the calls arrive that
// acknowledge run ends. The new process executes such a call late, while other hold calls are
// delayed, so that ends are not listed yet.
func (s *restartStorm) lateAcknowledgements(w *testWorker) func(standin.WorkerCall) (fault standin.WorkerFault, late bool) {
	const share = 0.1
	r := s.random("acknowledgements " + w.id)
	var pending atomic.Bool
	return func(c standin.WorkerCall) (fault standin.WorkerFault, late bool) {
		switch {
		case !s.lateAcks || s.over.Err() != nil || c.Kind != standin.CallHold:
		case c.Acknowledged > 0 && r.float() < share && pending.CompareAndSwap(false, true):
			w.silence()
			w.Restart()
			d := r.between(100*time.Millisecond, longestStormDelay)
			fault.Broken, fault.BeforeExecution = true, func() {
				time.Sleep(d)
				pending.Store(false)
			}
			return fault, true
		case pending.Load():
			d := r.between(0, platform.OrderTimeout)
			fault.BeforeExecution = func() { time.Sleep(d) }
			return fault, true
		}
		return fault, false
	}
}

// restartRepeatedly restarts a worker in place from time to time, at times twice in a row, and
// announces it at once or later.
func (s *restartStorm) restartRepeatedly(w *testWorker) {
	r := s.random("restarts " + w.id)
	for {
		sleep(s.over, platform.OrderTimeout+r.between(50*time.Millisecond, 2*time.Second))
		if s.over.Err() != nil {
			return
		}
		w.restart()
		for s.series && r.float() < 0.35 {
			sleep(s.over, r.between(0, 60*time.Millisecond))
			w.restart()
		}
		if r.float() < 0.6 {
			sleep(s.over, r.between(0, 1500*time.Millisecond))
		}
		s.list(w)
	}
}

// submitJobs submits small jobs and cancels some of them.
func (s *restartStorm) submitJobs() {
	r := s.random("jobs")
	for n := 0; s.over.Err() == nil; n++ {
		job, at := id(n), r.intN(len(s.entries))
		body, err := json.Marshal(map[string]any{"task_spec": "x", "steps": []map[string]any{{
			"count": 1 + r.intN(3), "cpu": 500 + r.intN(5000), "memory_request_mb": 64, "estimated_ms": 150,
		}}})
		assert.Check(s.t, err)
		cancelAfter := time.Duration(-1)
		if r.float() < 0.25 {
			cancelAfter = r.between(0, 600*time.Millisecond)
		}
		s.tasks.Go(func() {
			if s.call(at, http.MethodPost, job, string(body)) != http.StatusOK {
				return
			}
			s.mu.Lock()
			s.accepted = append(s.accepted, job)
			s.mu.Unlock()
			if cancelAfter >= 0 {
				time.Sleep(cancelAfter)
				s.call(at, http.MethodDelete, job, "")
			}
		})
		time.Sleep(stormJobInterval)
	}
}

// call makes a call about a job and returns the status, or 0 if there was no response.
func (s *restartStorm) call(at int, method, job, body string) int {
	req, err := http.NewRequest(method, s.entries[at].url+"/q/"+job, strings.NewReader(body))
	if !assert.Check(s.t, err) {
		return 0
	}
	req.Host = "jobs.example"
	req.Header.Set("X-Bamboofall-Timeout-Ms", "3000")
	res, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
	if err != nil {
		return 0 // a stopped entry VM
	}
	defer res.Body.Close()
	return res.StatusCode
}

// startFailingRelay starts a relay that passes batches to target late, or not at all, or does
// not acknowledge them.
func (s *restartStorm) startFailingRelay(owner int, target *relay) {
	r := s.random("relay")
	s.startRelay(owner, func(b *jobpb.CarryRequest) {
		pass := func() { target.acceptBatch(now(), netip.MustParseAddrPort(b.GetOwner()), b) }
		x := r.float()
		switch {
		case s.over.Err() != nil:
			pass()
		case x < 0.05: // lost
			time.Sleep(platform.OrderTimeout)
		case x < 0.15: // acknowledged, passed on late
			time.AfterFunc(r.between(0, platform.OrderTimeout), pass)
		case x < 0.25: // passed on, acknowledged late
			pass()
			time.Sleep(r.between(0, 2*platform.OrderTimeout))
		default:
			pass()
		}
	})
}

// waitForEnds waits until every accepted job has ended.
func (s *restartStorm) waitForEnds() {
	s.t.Helper()
	ended := make(map[string]bool)
	for _, state := range []bamboofall.JobState{bamboofall.JobCompleted, bamboofall.JobFailed, bamboofall.JobCancelled} {
		ended[state.String()] = true
	}
	for _, job := range s.accepted {
		poll.WaitOn(s.t, func(poll.LogT) poll.Result {
			owner := s.ownerIndex()
			if owner < 0 {
				return poll.Continue("no owner")
			}
			status, body := s.request(owner, http.MethodGet, "/q/"+job, "")
			var answer struct{ State string }
			if status == http.StatusOK && json.Unmarshal([]byte(body), &answer) == nil && ended[answer.State] {
				return poll.Success()
			}
			return poll.Continue("job %s: status %d, body %s", job, status, body)
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	}
}
