package daemon

import (
	"fmt"
	"maps"
	"time"

	"github.com/uber-go/tally/v4"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/batch/scheduler"
	"bamboofall.example/bamboofall/internal/entry/metricset"
	"bamboofall.example/bamboofall/internal/entry/node"
	"bamboofall.example/bamboofall/internal/request/router"
)

// latencyBuckets are the upper bounds of the latency histogram's buckets.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 24)

// metrics holds a daemon's metrics.
type metrics struct {
	*metricset.Set
	dataCentre string
}

func newMetrics(dataCentre string) *metrics {
	return &metrics{metricset.New(nil), dataCentre}
}

func (m *metrics) recordRouter(c router.Counters) {
	m.SetTotal("requestsArrived", nil, c.Arrived())
	m.SetTotal("requestsForwarded", nil, c.Forwarded())
	for o, n := range c.Outcomes {
		m.SetTotal("requestOutcomes", map[string]string{"outcome": o.String()}, n)
	}
	setTotalsByReason(m, "requestRefusals", c.Refusals)
	setTotalsByReason(m, "requestUnknowns", c.Unknowns)
	setTotalsByReason(m, "requestRetries", c.Retries)
}

func setTotalsByReason[K ~string](m *metrics, name string, totals map[K]int64) {
	for reason, n := range totals {
		m.SetTotal(name, map[string]string{"reason": string(reason)}, n)
	}
}

func (m *metrics) recordNode(c node.Counters, b scheduler.Counters) {
	for name, n := range map[string]int64{
		"shardClaims": c.Claims, "shardHandovers": c.Handovers, "shardActivations": c.Activations,
		"logAppendFailures": c.AppendFailures, "logReadFailures": c.ReadFailures, "logGaps": c.Gaps,
		"snapshotsTaken": c.SnapshotsRestored, "checkpointsWritten": c.CheckpointsWritten,
		"tasksStarted": b.Started, "tasksFinished": b.Finished, "taskFailures": b.Failed,
		"taskEvictions": b.Evicted, "taskLapses": b.Lapsed, "jobThrottles": b.Throttled,
		"workerQuarantines": b.Quarantined, "taskMoves": b.Moved, "reportNonsense": b.InvalidReports,
		"workerStaleTokens": b.StaleTokens, "workerRoundFailures": b.SyncFailures,
	} {
		m.SetTotal(name, nil, n)
	}
	setTotalsByReason(m, "voidRecords", c.VoidRecords)
	setTotalsByReason(m, "operatorRefusals", c.OperationsRefused)
	setTotalsByReason(m, "taskDeferrals", b.Deferred)
}

// recordLatency records the latency of an answered request.
func (m *metrics) recordLatency(req router.Request, reply router.Reply, took time.Duration) {
	if reply.Outcome != bamboofall.OutcomeAnswered {
		return
	}
	tags := map[string]string{"service": req.Service, "kind": req.Kind, "dataCentre": m.dataCentre}
	m.Scope.Tagged(tags).Histogram("requestLatency", latencyBuckets).RecordDuration(took)
}

// recordFailedAttempt counts an attempt that ended without an answer, by how it
// ended.
func (m *metrics) recordFailedAttempt(a router.Send, res router.SendResult) {
	if res.Status == router.SendAnswered {
		return
	}
	tags := map[string]string{"service": a.Request.Service, "end": fmt.Sprint(res.Status)}
	m.Scope.Tagged(tags).Counter("attemptFailures").Inc(1)
}

// bucketLines formats the non-empty buckets of a histogram.
func bucketLines(h tally.HistogramSnapshot) []string {
	var lines []string
	for bound, n := range h.Durations() {
		if n > 0 {
			tags := maps.Clone(h.Tags())
			tags["le"] = bound.String()
			lines = append(lines, fmt.Sprintf("%s%s %d", h.Name(), metricset.FormatTags(tags), n))
		}
	}
	return lines
}
