package daemon

import (
	"fmt"
	"io"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/batch/scheduler"
	"bamboofall.example/bamboofall/internal/entry/node"
	"bamboofall.example/bamboofall/internal/request/router"
)

// latencyBuckets are the upper ends of the latency histogram's buckets.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 24)

// metrics holds the counters of a daemon. The scope is tally's test scope: the
// one that can be read without a reporter to another system.
type metrics struct {
	scope      tally.TestScope
	dataCentre string
	mu         sync.Mutex
	// seen holds the last value of counters that the state machines keep.
	seen map[string]int64
}

func newMetrics(dataCentre string) *metrics {
	return &metrics{dataCentre: dataCentre, scope: tally.NewTestScope("", nil), seen: make(map[string]int64)}
}

// raise moves a counter up to a total that a state machine keeps.
func (m *metrics) raise(name string, tags map[string]string, total int64) {
	id := name + tagText(tags)
	m.mu.Lock()
	by := total - m.seen[id]
	m.seen[id] = total
	m.mu.Unlock()
	if by > 0 {
		m.scope.Tagged(tags).Counter(name).Inc(by)
	}
}

func (m *metrics) takeRouter(c router.Counters) {
	m.raise("requestsArrived", nil, c.Arrived())
	m.raise("requestsForwarded", nil, c.Forwarded())
	for o, n := range c.Outcomes {
		m.raise("requestOutcomes", map[string]string{"outcome": o.String()}, n)
	}
	raiseAll(m, "requestRefusals", c.Refusals)
	raiseAll(m, "requestUnknowns", c.Unknowns)
	raiseAll(m, "requestRetries", c.Retries)
}

func raiseAll[K ~string](m *metrics, name string, totals map[K]int64) {
	for reason, n := range totals {
		m.raise(name, map[string]string{"reason": string(reason)}, n)
	}
}

func (m *metrics) takeNode(c node.Counters, b scheduler.Counters) {
	for name, n := range map[string]int64{
		"shardClaims": c.Claims, "shardHandovers": c.Handovers, "shardActivations": c.Activations,
		"logAppendFailures": c.AppendFailures, "logReadFailures": c.ReadFailures, "logGaps": c.Gaps,
		"snapshotsTaken": c.SnapshotsTaken, "checkpointsWritten": c.CheckpointsWritten,
		"tasksStarted": b.Started, "tasksFinished": b.Finished, "taskFailures": b.Failed,
		"taskEvictions": b.Evicted, "taskLapses": b.Lapsed, "jobThrottles": b.Throttled,
		"workerQuarantines": b.Quarantined, "taskMoves": b.Moved, "reportNonsense": b.Nonsense,
		"workerStaleTokens": b.StaleTokens, "workerRoundFailures": b.SyncFailures,
	} {
		m.raise(name, nil, n)
	}
	raiseAll(m, "voidRecords", c.VoidRecords)
	raiseAll(m, "operatorRefusals", c.QuestionsRefused)
	raiseAll(m, "taskDeferrals", b.Deferred)
}

func (m *metrics) call(req router.Request, reply router.Reply, took time.Duration) {
	if reply.Outcome != bamboofall.OutcomeAnswered {
		return
	}
	tags := map[string]string{"service": req.Service, "kind": req.Kind, "dataCentre": m.dataCentre}
	m.scope.Tagged(tags).Histogram("requestLatency", latencyBuckets).RecordDuration(took)
}

func (m *metrics) attempt(a router.Send, res router.SendResult) {
	if res.Status == router.SendAnswered {
		return
	}
	tags := map[string]string{"service": a.Request.Service, "end": fmt.Sprint(res.Status)}
	m.scope.Tagged(tags).Counter("attemptFailures").Inc(1)
}

func tagText(tags map[string]string) string {
	if len(tags) == 0 {
		return ""
	}
	parts := make([]string, 0, len(tags))
	for k, v := range tags {
		parts = append(parts, fmt.Sprintf("%s=%q", k, v))
	}
	sort.Strings(parts)
	return "{" + strings.Join(parts, ",") + "}"
}

// write prints all metrics, a line each.
func (m *metrics) write(w io.Writer) {
	snapshot := m.scope.Snapshot()
	var lines []string
	for _, c := range snapshot.Counters() {
		lines = append(lines, fmt.Sprintf("%s%s %d", c.Name(), tagText(c.Tags()), c.Value()))
	}
	for _, h := range snapshot.Histograms() {
		for bound, n := range h.Durations() {
			if n > 0 {
				tags := maps.Clone(h.Tags())
				tags["le"] = bound.String()
				lines = append(lines, fmt.Sprintf("%s%s %d", h.Name(), tagText(tags), n))
			}
		}
	}
	sort.Strings(lines)
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
}
