package front

import (
	"fmt"
	"maps"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"bamboofall.example/bamboofall/internal/entry/metricset"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/jobs/stage"
	"bamboofall.example/bamboofall/internal/jobs/usage"
)

// latencyBuckets are the upper bounds of the buckets of latency histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// metrics holds the metrics of an entry VM.
type metrics struct {
	*metricset.Set
	statusMu sync.Mutex
	// statusNames are the names of the gauges that updateStatus has set.
	statusNames map[string]bool
}

func newMetrics(dataCentre string) *metrics {
	return &metrics{Set: metricset.New(map[string]string{"dataCentre": dataCentre}), statusNames: make(map[string]bool)}
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
		"runsOrphaned": c.OrphanedRuns, "workersCrashed": c.WorkersCrashed, "tasksSuspected": c.TasksSuspected, "tasksGivenUp": c.TasksGivenUp,
		"placementsJudged": c.PlacementsJudged, "placementsOver": c.PlacementsOver,
		"jobsWithdrawn": c.Withdrawn,
	} {
		m.SetTotal(name, nil, total)
	}
}

// updateUsage exports the processor time of workers by what became of it, in seconds.
func (m *metrics) updateUsage(account usage.Account) {
	account.Each(func(k usage.Kind, o usage.Outcome, d time.Duration) {
		m.SetTotal("processorSeconds", map[string]string{"kind": k.String(), "outcome": o.String()}, int64(d.Seconds()))
	})
}

// updateStages exports how many jobs or tasks of each queue have passed each stage, and the
// time that they spent there in milliseconds.
func (m *metrics) updateStages(account *stage.Account) {
	account.Each(func(queue string, s stage.Stage, f stage.Figure) {
		tags := map[string]string{"queue": queue, "stage": s.String()}
		m.SetTotal("stagesPassed", tags, f.Count)
		m.SetTotal("stageMilliseconds", tags, f.Total.Milliseconds())
	})
}

// updateWork exports the time that the owner's loop has spent on each duty in milliseconds.
func (m *metrics) updateWork(spent [numLoopDuties]time.Duration) {
	for d, total := range spent {
		m.SetTotal("ownerLoopMilliseconds", map[string]string{"duty": loopDuty(d).String()}, total.Milliseconds())
	}
}

// updateStatus exports a status as gauges. Gauges that the status does not have become
// NaN, as zero would be the value of something that has just happened.
func (m *metrics) updateStatus(status map[string]float64) {
	m.statusMu.Lock()
	defer m.statusMu.Unlock()
	for name := range m.statusNames {
		if _, known := status[name]; !known {
			m.Scope.Gauge(name).Update(math.NaN())
		}
	}
	for name, value := range status {
		m.statusNames[name] = true
		m.Scope.Gauge(name).Update(value)
	}
}

func (f *Front) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/metrics" {
		http.NotFound(w, r)
		return
	}
	f.metrics.SetTotal("logLinesLeftOut", nil, f.log.Dropped())
	f.metrics.updateStatus(f.status(now()))
	f.intake.updateGauges()
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
