package front

import (
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/jobspec"
	"bamboofall.example/bamboofall/internal/jobs/taskroom"
	"bamboofall.example/bamboofall/internal/wire/httpserver"
	"bamboofall.example/bamboofall/internal/wire/intake"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
	"bamboofall.example/bamboofall/platform"
)

const (
	// maxPeerMessage bounds a message of another entry VM, in bytes. The largest are
	// batches of orders.
	maxPeerMessage = 4 << 20
	// probeBodyBytes bounds the body of a probe, which has none.
	probeBodyBytes = 4 << 10
	// refusalLogInterval is the least time between two lines about refusals.
	refusalLogInterval = 10 * time.Second
)

// maxBodyBytes returns the size of the largest request body in force, in bytes.
func maxBodyBytes(conf *bamboofall.Configuration) int64 {
	if conf == nil || conf.Limits.BodyBytes <= 0 {
		return defaultMaxBodyBytes
	}
	return conf.Limits.BodyBytes
}

func (f *Front) maxCallerBody() int64 { return maxBodyBytes(f.config.Load()) }

func maxPeerBody() int64 { return maxPeerMessage }

func maxProbeBody() int64 { return probeBodyBytes }

// mayDefer reports whether a call may be stored for the next owner, which cannot refuse it.
func (s *serverIntake) mayDefer(at time.Time, deferred *jobpb.Deferred) bool {
	if deferred.GetJob() == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deferral.Take(at, jobspec.Decode(deferred.GetJob()))
}

// giveBack undoes mayDefer for a call that was not stored.
func (s *serverIntake) giveBack(takenAt time.Time, deferred *jobpb.Deferred) {
	if deferred.GetJob() == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deferral.GiveBack(takenAt, jobspec.Decode(deferred.GetJob()))
}

// serverIntake holds the limits of this process's servers, and counts what they refuse.
type serverIntake struct {
	plan    intake.Plan
	metrics *metrics
	log     *Log

	mu sync.Mutex
	// deferral bounds the tasks of deferred jobs.
	deferral *taskroom.Deferral
	servers  map[string]*httpserver.Server
	// refused counts refusals by server and reason since loggedAt, when the last line
	// about them was written.
	refused  map[string]int
	loggedAt time.Time
}

func newServerIntake(plan intake.Plan, room taskroom.Room, m *metrics, log *Log) *serverIntake {
	return &serverIntake{plan: plan, deferral: room.Deferral(), metrics: m, log: log, servers: make(map[string]*httpserver.Server), refused: make(map[string]int)}
}

// options returns the options of a server.
func (s *serverIntake) options(name string, limits intake.Limits, maxBody func() int64) httpserver.Options {
	return httpserver.Options{
		Limits: limits, MaxBody: maxBody,
		Body:    func(r httpserver.Refusal) []byte { return platform.EncodeRefusal(r.Reason, r.RetryAfter) },
		Refused: func(r httpserver.Refusal) { s.count(now(), name, r) },
	}
}

func (s *serverIntake) add(name string, server *httpserver.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers[name] = server
}

// count counts a refusal, and logs all of them once in a while.
func (s *serverIntake) count(at time.Time, server string, r httpserver.Refusal) {
	s.metrics.Increment("requestsRefused", map[string]string{"server": server, "reason": r.Reason})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[server+" "+r.Reason]++
	if at.Sub(s.loggedAt) < refusalLogInterval {
		return
	}
	fields := make(logrus.Fields, len(s.refused)+1)
	for name, n := range s.refused {
		fields[name] = n
	}
	s.loggedAt = at
	clear(s.refused)
	s.log.Event("clients over the limits", fields)
}

// runningServers returns the servers by name. Their locks are not taken under that of s,
// which they take to count refusals.
func (s *serverIntake) runningServers() map[string]*httpserver.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.servers)
}

// freeSockets returns the number of sockets that clients of the servers leave.
func (s *serverIntake) freeSockets() int {
	free := s.plan.Sockets
	for _, server := range s.runningServers() {
		free -= server.Usage().Connections + 1
	}
	return free
}

// updateGauges exports what the clients of each server hold.
func (s *serverIntake) updateGauges() {
	for name, server := range s.runningServers() {
		usage := server.Usage()
		scope := s.metrics.Scope.Tagged(map[string]string{"server": name})
		scope.Gauge("openConnections").Update(float64(usage.Connections))
		scope.Gauge("requestBytesHeld").Update(float64(usage.RequestBytes))
	}
}
