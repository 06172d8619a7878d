package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
)

const (
	// actionSettleTime is the time from one mitigating action to the next. It exceeds
	// the lag of the workers' reports and the window of the latency statistics, so that
	// the effect of the first action is visible.
	actionSettleTime = 4 * time.Second
	// calmPeriod is how long the services on a worker must be calm before its throttles
	// are relaxed.
	calmPeriod = 20 * time.Second
	// maxToleratedInflation is the tolerated inflation of services for Config.TailWeight 0,
	// and minToleratedInflation for 1. Package interference defines inflation.
	maxToleratedInflation = 2.0
	minToleratedInflation = 0.1
	// calmFraction is the part of the tolerated inflation below which services are
	// calm. The gap between the two thresholds avoids oscillation.
	calmFraction = 0.5
	// relaxFraction is the part of the tolerated inflation that may be predicted for a
	// relaxed throttle or a new task.
	relaxFraction = 0.8
	// minRequests is the minimum number of requests for a meaningful observation.
	minRequests = 20

	// Throttle shares are in thousandths of the processors that a task asks for. A
	// throttle step multiplies the share by throttleFactor, also in thousandths, down
	// to minShare.
	throttleFactor = 500
	minShare       = 250
	fullShare      = 1000

	// maxUnknownTasks is the maximum number of tasks of a job on a worker with a busy
	// service while the effect of the job on the service is unknown.
	maxUnknownTasks = 2
	// banTime is how long a worker gets no new tasks of a job after tasks of the job
	// were evicted because they slowed a service.
	banTime = time.Minute
	// busyWindow is how long a service counts as busy after an observation.
	busyWindow = 10 * time.Second
)

// mitigation is the state of the actions against batch tasks that slow the services on
// a worker. The first actions throttle a job, the last one evicts tasks of it; later the
// learned scores keep the job away from the service.
type mitigation struct {
	// nextActionAt is when the next action may be taken.
	nextActionAt time.Time
	// calmSince is the start of the current calm period, or of the last relaxation
	// within it. Zero if the services are not calm.
	calmSince time.Time
}

// Observation is the latency of a service's instance on a worker, as measured by its
// callers.
type Observation struct {
	Service string
	VM      bamboofall.VMID
	// Mean is the mean latency of Count requests.
	Mean time.Duration
	// Baseline is the latency of the service without disturbance by batch tasks.
	Baseline time.Duration
	// Target is the latency target of the service.
	Target time.Duration
	Count  int
}

// toleratedInflation returns the inflation of services that is tolerated. It falls
// exponentially with Config.TailWeight.
func (s *Scheduler) toleratedInflation() float64 {
	return maxToleratedInflation * math.Pow(minToleratedInflation/maxToleratedInflation, s.cfg.TailWeight)
}

// Observe updates the scores from observations, and throttles or evicts tasks that slow
// services too much.
func (s *Scheduler) Observe(now time.Time, observations []Observation) Output {
	s.out = Output{}
	for _, o := range observations {
		w := s.workers[o.VM]
		if w == nil || s.shards[w.shard] == nil || o.Count < minRequests || o.Baseline <= 0 {
			continue
		}
		w.servicesBusyAt = now
		inflation := max(float64(o.Mean)/float64(o.Baseline)-1, 0)
		shares := s.runningShares(w)
		s.scores.Learn(o.Service, shares, inflation)
		s.mitigate(now, w, o, inflation, shares)
	}
	return s.out
}

// runningShares returns, by job, the sum of the processor shares of its tasks that run
// on a worker. Standing tasks do not count, because they are as urgent as the services.
func (s *Scheduler) runningShares(w *worker) map[string]float64 {
	shares := make(map[string]float64)
	for id, r := range w.reported {
		t := s.ledger.Task(id)
		if t != nil && r.Status == bamboofall.AttemptRunning && !t.Run.Submit.GetStanding() {
			shares[t.Run.Submit.GetJob()] += w.share(t.Run.Submit.GetJob())
		}
	}
	return shares
}

// share returns the fraction of its processors that a task of a job may use on the
// worker, from 0 to 1.
func (w *worker) share(job string) float64 {
	if t := w.throttles[job]; t > 0 {
		return float64(t) / fullShare
	}
	return 1
}

// predictedInflation returns the predicted inflation of the most affected service on a
// worker if it gets one more task of a job. It is infinite if the job is banned, or if
// too many of its tasks would run while their effect is unknown.
func (s *Scheduler) predictedInflation(now time.Time, w *worker, job string) float64 {
	if len(w.vm.Instances) == 0 {
		return 0
	}
	shares := make(map[string]float64)
	for id := range w.open {
		if t := s.ledger.Task(id); t != nil && !t.Run.Submit.GetStanding() {
			shares[t.Run.Submit.GetJob()] += w.share(t.Run.Submit.GetJob())
		}
	}
	for id := range w.reserved {
		if t := s.ledger.Task(id); t != nil && !w.open[id] && !t.Run.Submit.GetStanding() {
			shares[t.Run.Submit.GetJob()] += w.share(t.Run.Submit.GetJob())
		}
	}
	if now.Before(w.bannedUntil[job]) {
		return math.Inf(1)
	}
	shares[job] += w.share(job)
	worst := 0.0
	for _, i := range w.vm.Instances {
		busy := !w.servicesBusyAt.IsZero() && now.Sub(w.servicesBusyAt) < busyWindow
		if busy && !s.scores.Known(i.Service, job) && shares[job] > maxUnknownTasks {
			return math.Inf(1)
		}
		worst = max(worst, s.scores.Predict(i.Service, shares))
	}
	return worst
}

// mitigate takes the next action against the most harmful job if the service is slowed
// too much, and relaxes throttles if it is calm.
func (s *Scheduler) mitigate(now time.Time, w *worker, o Observation, inflation float64, shares map[string]float64) {
	suffers := inflation > s.toleratedInflation() || o.Mean > o.Target && inflation > minToleratedInflation
	if !suffers {
		if inflation < s.toleratedInflation()*calmFraction {
			s.relax(now, w)
		} else {
			w.mitigation.calmSince = time.Time{}
		}
		return
	}
	w.mitigation.calmSince = time.Time{}
	if now.Before(w.mitigation.nextActionAt) {
		return
	}
	job, found := s.scores.Worst(o.Service, shares)
	if !found {
		return
	}
	w.mitigation.nextActionAt = now.Add(actionSettleTime)
	s.escalate(now, w, o, inflation, job)
}

// escalate throttles a job on a worker further, or evicts tasks of it if the throttle is
// at its minimum.
func (s *Scheduler) escalate(now time.Time, w *worker, o Observation, inflation float64, job string) {
	share := w.throttles[job]
	if share == 0 {
		share = fullShare
	}
	if share > minShare {
		w.throttles[job] = max(share*throttleFactor/fullShare, minShare)
		s.counters.Throttled++
		s.note("vm", string(w.vm.ID), "throttled %s to %d/1000 of its processors: %s is %.0f%% slower", job, w.throttles[job], o.Service, inflation*100)
		s.syncSoon(now, w.vm.ID)
		return
	}
	s.evictForService(now, w, o, inflation, job)
}

// evictForService evicts as many tasks of a job as are needed, according to its score, to
// make the service calm.
func (s *Scheduler) evictForService(now time.Time, w *worker, o Observation, inflation float64, job string) {
	inflationPerTask := s.scores.Score(o.Service, job) * w.share(job)
	remaining := 1
	if inflationPerTask > 0 {
		remaining = max(int(math.Ceil((inflation-s.toleratedInflation()*calmFraction)/inflationPerTask)), 1)
	}
	w.bannedUntil[job] = now.Add(banTime)
	for _, t := range s.openTasksAt(w.vm.ID) {
		if remaining == 0 {
			break
		}
		if t.Run.Submit.GetJob() != job || w.evicting[t.ID] || t.Run.Aged(now) {
			continue
		}
		w.evicting[t.ID] = true
		remaining--
		s.note("task", taskName(t.ID), "evicted from %s because service %s is %.0f%% slower", w.vm.ID, o.Service, inflation*100)
	}
	s.syncSoon(now, w.vm.ID)
}

// relax doubles the throttled shares after each calm period, until they are full.
func (s *Scheduler) relax(now time.Time, w *worker) {
	if w.mitigation.calmSince.IsZero() {
		w.mitigation.calmSince = now
	}
	if len(w.throttles) == 0 || now.Sub(w.mitigation.calmSince) < calmPeriod {
		return
	}
	w.mitigation.calmSince = now
	for _, job := range slices.Sorted(maps.Keys(w.throttles)) {
		if !s.canRelax(w, job) {
			continue
		}
		w.throttles[job] *= 2
		if w.throttles[job] >= fullShare {
			delete(w.throttles, job)
		}
		s.note("vm", string(w.vm.ID), "throttle of %s relaxed after services were calm for %v", job, calmPeriod)
	}
}

// canRelax reports whether the services on a worker are predicted to tolerate twice the
// current share of a job. Without this check, throttling and relaxation would alternate.
func (s *Scheduler) canRelax(w *worker, job string) bool {
	shares := s.runningShares(w)
	shares[job] *= 2
	for _, i := range w.vm.Instances {
		if s.scores.Predict(i.Service, shares) > s.toleratedInflation()*relaxFraction {
			return false
		}
	}
	return true
}
