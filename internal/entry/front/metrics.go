package front

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// latencyBuckets are the upper ends of the buckets of a latency histogram.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// metrics holds the counters of an entry VM. The scope is tally's test scope:
// the one that can be read without a reporter to another system.
type metrics struct {
	scope tally.TestScope
	mu    sync.Mutex
	seen  map[string]int64
}

func newMetrics(dataCentre string) *metrics {
	return &metrics{scope: tally.NewTestScope("", map[string]string{"dataCentre": dataCentre}), seen: make(map[string]int64)}
}

func (m *metrics) count(name string, tags map[string]string) {
	m.scope.Tagged(tags).Counter(name).Inc(1)
}

func (m *metrics) took(name string, d time.Duration) {
	m.scope.Histogram(name, latencyBuckets).RecordDuration(d)
}

// raise moves a counter up to a total that is kept elsewhere. A total below the
// last one is of a new cell and counts from zero.
func (m *metrics) raise(name string, total int64) {
	m.mu.Lock()
	by := total - m.seen[name]
	if by < 0 {
		by = total
	}
	m.seen[name] = total
	m.mu.Unlock()
	if by > 0 {
		m.scope.Counter(name).Inc(by)
	}
}

// takeCell takes over the counters of the cell.
func (m *metrics) takeCell(c cell.Counters) {
	for name, total := range map[string]int64{
		"jobsAccepted": c.Accepted, "jobsRefused": c.Refused, "jobsCompleted": c.Completed, "jobsFailed": c.Failed,
		"jobsCancelled": c.Cancelled, "tasksStarted": c.Started, "tasksDone": c.Done, "taskFailures": c.TaskFailures,
		"runsLost": c.Lapsed, "runsStopped": c.Stopped, "startsRejected": c.StartsRejected, "startsUnanswered": c.StartsUnknown,
		"holdFailures": c.HoldFailures, "workersSuspected": c.Quarantines, "paceOrders": c.Paced, "runsAdopted": c.Adopted,
		"runsOrphaned": c.Orphans,
	} {
		m.raise(name, total)
	}
}

func (f *Front) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/metrics" {
		http.NotFound(w, r)
		return
	}
	f.metrics.raise("logLinesLeftOut", f.log.LeftOut())
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	f.metrics.write(w)
}

// write prints the counters and histograms as text, a line each.
func (m *metrics) write(w io.Writer) {
	var lines []string
	snapshot := m.scope.Snapshot()
	for _, c := range snapshot.Counters() {
		lines = append(lines, fmt.Sprintf("%s%s %d", c.Name(), tagText(c.Tags()), c.Value()))
	}
	for _, h := range snapshot.Histograms() {
		total := int64(0)
		for _, bound := range latencyBuckets.AsDurations() {
			total += h.Durations()[bound]
			tags := map[string]string{"le": fmt.Sprintf("%g", bound.Seconds())}
			for k, v := range h.Tags() {
				tags[k] = v
			}
			lines = append(lines, fmt.Sprintf("%s_bucket%s %d", h.Name(), tagText(tags), total))
		}
	}
	sort.Strings(lines)
	for _, l := range lines {
		// The reader has gone if this fails.
		if _, err := fmt.Fprintln(w, l); err != nil {
			return
		}
	}
}

func tagText(tags map[string]string) string {
	if len(tags) == 0 {
		return ""
	}
	var parts []string
	for k, v := range tags {
		parts = append(parts, fmt.Sprintf("%s=%q", k, v))
	}
	sort.Strings(parts)
	return "{" + strings.Join(parts, ",") + "}"
}
