package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
)

const (
	// judgeAfter is how long an action works before it is judged. It is longer
	// than the lag of the reports and the window of the latencies.
	judgeAfter = 4 * time.Second
	// calmFor is how long a worker must be calm before a throttle is eased.
	calmFor = 20 * time.Second
	// maxToleration is the inflation that is tolerated if tail latency counts
	// nothing, minToleration if it alone counts.
	maxToleration = 2.0
	minToleration = 0.1
	// calmPart of the tolerated inflation is calm. The gap keeps the ladder
	// from swinging.
	calmPart = 0.5
	// easePart of the tolerated inflation may be expected after a step down.
	easePart = 0.8
	// minSamples is the least number of requests that tell something.
	minSamples = 20

	throttleStep  = 500
	throttleLeast = 250
	throttleNone  = 1000

	// strangers is the number of tasks of a job that a worker gets beside a
	// busy service before it is known how they get on.
	strangers = 2
	// barFor is how long a job is kept off a worker from which its tasks were
	// evicted for the sake of a service.
	barFor = time.Minute
	// busyFor is how long an observation shows that a service is busy.
	busyFor = 10 * time.Second
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

// tolerated returns the inflation that the operators' weight allows. Equal
// steps of the weight divide it by equal factors.
func (s *Scheduler) tolerated() float64 {
	return maxToleration * math.Pow(minToleration/maxToleration, s.cfg.TailWeight)
}

// Observe takes what callers saw, learns from it and acts on it.
func (s *Scheduler) Observe(now time.Time, seen []Observation) Output {
	s.out = Output{}
	for _, o := range seen {
		w := s.workers[o.VM]
		if w == nil || s.shards[w.shard] == nil || o.Count < minSamples || o.Usual <= 0 {
			continue
		}
		w.busyAt = now
		inflation := max(float64(o.Mean)/float64(o.Usual)-1, 0)
		tasks := s.tasksAt(w)
		s.scores.Learn(o.Service, tasks, inflation)
		s.press(now, w, o, inflation, tasks)
	}
	return s.out
}

// tasksAt returns, for each job, the sum of the shares of its tasks that run at
// a worker. Standing work does not count: it is as urgent as the services.
func (s *Scheduler) tasksAt(w *worker) map[string]float64 {
	tasks := make(map[string]float64)
	for id, r := range w.running {
		t := s.ledger.Task(id)
		if t != nil && r.Status == bamboofall.AttemptRunning && !t.Run.Submit.GetStanding() {
			tasks[t.Run.Submit.GetJob()] += w.share(t.Run.Submit.GetJob())
		}
	}
	return tasks
}

// share returns the part of its processors that a job may use at a worker.
func (w *worker) share(job string) float64 {
	if t := w.throttle[job]; t > 0 {
		return float64(t) / throttleNone
	}
	return 1
}

// harm returns the inflation to expect of the worst-off service on a worker if
// one more task of a job comes.
func (s *Scheduler) harm(now time.Time, w *worker, job string) float64 {
	if len(w.vm.Instances) == 0 {
		return 0
	}
	tasks := make(map[string]float64)
	for id := range w.open {
		if t := s.ledger.Task(id); t != nil && !t.Run.Submit.GetStanding() {
			tasks[t.Run.Submit.GetJob()] += w.share(t.Run.Submit.GetJob())
		}
	}
	for id := range w.reserved {
		if t := s.ledger.Task(id); t != nil && !w.open[id] && !t.Run.Submit.GetStanding() {
			tasks[t.Run.Submit.GetJob()] += w.share(t.Run.Submit.GetJob())
		}
	}
	if now.Before(w.barred[job]) {
		return math.Inf(1)
	}
	tasks[job] += w.share(job)
	worst := 0.0
	for _, i := range w.vm.Instances {
		busy := !w.busyAt.IsZero() && now.Sub(w.busyAt) < busyFor
		if busy && !s.scores.Known(i.Service, job) && tasks[job] > strangers {
			return math.Inf(1)
		}
		worst = max(worst, s.scores.Predict(i.Service, tasks))
	}
	return worst
}

// press climbs the ladder while a service suffers, and steps down in calm.
func (s *Scheduler) press(now time.Time, w *worker, o Observation, inflation float64, tasks map[string]float64) {
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
	job, found := s.scores.Worst(o.Service, tasks)
	if !found {
		return
	}
	w.pressure.judgeAt = now.Add(judgeAfter)
	s.climb(now, w, o, inflation, job)
}

// climb takes the next step against a job at a worker.
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
	s.evictSome(now, w, o, inflation, job)
}

// evictSome evicts as many tasks of a job as it takes to make the service calm,
// by what the pair's score promises.
func (s *Scheduler) evictSome(now time.Time, w *worker, o Observation, inflation float64, job string) {
	per := s.scores.Score(o.Service, job) * w.share(job)
	left := 1
	if per > 0 {
		left = max(int(math.Ceil((inflation-s.tolerated()*calmPart)/per)), 1)
	}
	w.barred[job] = now.Add(barFor)
	for _, t := range s.openAt(w.vm.ID) {
		if left == 0 {
			break
		}
		if t.Run.Submit.GetJob() != job || w.evict[t.ID] || t.Run.Old(now) {
			continue
		}
		w.evict[t.ID] = true
		left--
		s.note("task", taskName(t.ID), "evicted from %s: slows %s by %.0f%%", w.vm.ID, o.Service, inflation*100)
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
	for _, job := range slices.Sorted(maps.Keys(w.throttle)) {
		if !s.wouldStayCalm(w, job) {
			continue
		}
		w.throttle[job] *= 2
		if w.throttle[job] >= throttleNone {
			delete(w.throttle, job)
		}
		s.note("vm", string(w.vm.ID), "eases the throttle of %s after %v of calm", job, calmFor)
	}
}

// wouldStayCalm reports whether the services on a worker are expected to bear
// twice the present share of a job. It keeps the ladder from swinging.
func (s *Scheduler) wouldStayCalm(w *worker, job string) bool {
	tasks := s.tasksAt(w)
	tasks[job] *= 2
	for _, i := range w.vm.Instances {
		if s.scores.Predict(i.Service, tasks) > s.tolerated()*easePart {
			return false
		}
	}
	return true
}
