package front

import (
	"fmt"
	"maps"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"bamboofall.example/bamboofall/internal/entry/metricset"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// latencyBuckets are the upper bounds of the buckets of latency histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// metrics holds the metrics of an entry VM.
type metrics struct {
	*metricset.Set
}

func newMetrics(dataCentre string) *metrics {
	return &metrics{metricset.New(map[string]string{"dataCentre": dataCentre})}
}

func (m *metrics) recordLatency(name string, d time.Duration) {
	m.Scope.Histogram(name, latencyBuckets).RecordDuration(d)
}

// updateCellCounters exports the counters of the cell.
func (m *metrics) updateCellCounters(c cell.Counters) {
	for name, total := range map[string]int64{
		"jobsAccepted": c.Accepted, "jobsRefused": c.Refused, "jobsCompleted": c.Completed, "jobsFailed": c.Failed,
		"jobsCancelled": c.Cancelled, "tasksStarted": c.Started, "tasksDone": c.Done, "taskFailures": c.TaskFailures,
		"runsLost": c.LostRuns, "runsStopped": c.Stopped, "startsRejected": c.StartsRejected, "startsUnanswered": c.StartsUnanswered,
		"holdFailures": c.HoldFailures, "workersSuspected": c.Quarantines, "paceOrders": c.Paced, "runsAdopted": c.Adopted,
		"runsOrphaned": c.OrphanedRuns,
	} {
		m.SetTotal(name, nil, total)
	}
}

func (f *Front) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/metrics" {
		http.NotFound(w, r)
		return
	}
	f.metrics.SetTotal("logLinesLeftOut", nil, f.log.Dropped())
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// An error means that the reader has disconnected.
	_ = f.metrics.Write(w, formatHistogram)
}

// formatHistogram formats a histogram as cumulative buckets.
func formatHistogram(h tally.HistogramSnapshot) []string {
	var lines []string
	total := int64(0)
	for _, bound := range latencyBuckets.AsDurations() {
		total += h.Durations()[bound]
		tags := maps.Clone(h.Tags())
		tags["le"] = fmt.Sprintf("%g", bound.Seconds())
		lines = append(lines, fmt.Sprintf("%s_bucket%s %d", h.Name(), metricset.FormatTags(tags), total))
	}
	return lines
}
