package scheduler

import (
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/state/ledger"
)

const (
	// judgeAfter is how long an action works before it is judged. It is longer
	// than the lag of the reports and the window of the latencies.
	judgeAfter = 4 * time.Second
	// calmFor is how long a worker must be calm before a throttle is eased.
	calmFor = 20 * time.Second
	// maxToleration is the inflation that is tolerated if tail latency counts
	// nothing, minToleration if it alone counts.
	maxToleration = 3.0
	minToleration = 0.2
	// calmPart of the tolerated inflation is calm. The gap keeps the ladder
	// from swinging.
	calmPart = 0.5
	// minSamples is the least number of requests that tell something.
	minSamples = 5

	throttleStep  = 500
	throttleLeast = 250
	throttleNone  = 1000
)

// pressure is the state of the ladder at one worker: throttle, then evict. The
// scores then keep the pair apart.
type pressure struct {
	// judgeAt is when the last action may be judged.
	judgeAt time.Time
	// calmSince is when the services were last seen to suffer, or zero.
	calmSince time.Time
}

// Observation is what callers saw of a service's instance on a worker.
type Observation struct {
	Service string
	VM      bamboofall.VMID
	Mean    time.Duration
	Usual   time.Duration
	Target  time.Duration
	Count   int
}

// tolerated returns the inflation that the operators' weight allows.
func (s *Scheduler) tolerated() float64 {
	return maxToleration - (maxToleration-minToleration)*s.cfg.TailWeight
}

// maxHarm is the learned inflation above which a pair is avoided.
func (s *Scheduler) maxHarm() float64 { return s.tolerated() }

// Observe takes what callers saw, learns from it and acts on it.
func (s *Scheduler) Observe(now time.Time, seen []Observation) Output {
	s.out = Output{}
	for _, o := range seen {
		w := s.workers[o.VM]
		if w == nil || s.shards[w.shard] == nil || o.Count < minSamples || o.Usual <= 0 {
			continue
		}
		inflation := max(float64(o.Mean)/float64(o.Usual)-1, 0)
		jobs := s.jobsAt(w)
		s.scores.Learn(o.Service, jobs, inflation)
		s.press(now, w, o, inflation, jobs)
	}
	return s.out
}

// jobsAt counts the running tasks of each job at a worker.
func (s *Scheduler) jobsAt(w *worker) map[string]int {
	jobs := make(map[string]int)
	for id, r := range w.running {
		t := s.ledger.Task(id)
		if t != nil && r.Status == bamboofall.AttemptRunning {
			jobs[t.Run.Submit.GetJob()]++
		}
	}
	return jobs
}

// press climbs the ladder while a service suffers, and steps down in calm.
func (s *Scheduler) press(now time.Time, w *worker, o Observation, inflation float64, jobs map[string]int) {
	suffers := inflation > s.tolerated() || o.Mean > o.Target && inflation > minToleration
	if !suffers {
		if inflation < s.tolerated()*calmPart {
			s.ease(now, w)
		} else {
			w.pressure.calmSince = time.Time{}
		}
		return
	}
	w.pressure.calmSince = time.Time{}
	if now.Before(w.pressure.judgeAt) {
		return
	}
	job, found := s.scores.Worst(o.Service, jobs, func(string) bool { return true })
	if !found {
		return
	}
	w.pressure.judgeAt = now.Add(judgeAfter)
	s.climb(now, w, o, inflation, job)
}

func (s *Scheduler) climb(now time.Time, w *worker, o Observation, inflation float64, job string) {
	share := w.throttle[job]
	if share == 0 {
		share = throttleNone
	}
	if share > throttleLeast {
		w.throttle[job] = max(share*throttleStep/throttleNone, throttleLeast)
		s.counters.Throttled++
		s.note("vm", string(w.vm.ID), "throttles %s to %d/1000: %s is %.0f%% slower", job, w.throttle[job], o.Service, inflation*100)
		s.kick(now, w.vm.ID)
		return
	}
	for _, t := range s.openAt(w.vm.ID) {
		if t.Run.Submit.GetJob() == job && !w.evict[t.ID] && t.Status == ledger.TaskOpen {
			w.evict[t.ID] = true
			s.note("task", taskName(t.ID), "evicted from %s: slows %s by %.0f%%", w.vm.ID, o.Service, inflation*100)
		}
	}
	s.kick(now, w.vm.ID)
}

// ease lifts throttles step by step once the services have been calm.
func (s *Scheduler) ease(now time.Time, w *worker) {
	if w.pressure.calmSince.IsZero() {
		w.pressure.calmSince = now
	}
	if len(w.throttle) == 0 || now.Sub(w.pressure.calmSince) < calmFor {
		return
	}
	w.pressure.calmSince = now
	for job, share := range w.throttle {
		w.throttle[job] = share * 2
		if w.throttle[job] >= throttleNone {
			delete(w.throttle, job)
		}
	}
	s.note("vm", string(w.vm.ID), "eases throttles after %v of calm", calmFor)
}
