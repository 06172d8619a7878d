// Package metricset holds the metrics of a process and formats them as text.
//
// It uses tally's test scope, as that is the only scope that can be read without a
// reporter to another system.
package metricset

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"

	"github.com/uber-go/tally/v4"
)

// Set is a set of metrics. Use New.
type Set struct {
	Scope tally.TestScope
	mu    sync.Mutex
	// lastTotals holds the last totals passed to SetTotal, by name and tags.
	lastTotals map[string]int64
}

// New returns an empty set whose metrics all have the given tags.
func New(tags map[string]string) *Set {
	return &Set{Scope: tally.NewTestScope("", tags), lastTotals: make(map[string]int64)}
}

// Increment increments a counter by one.
func (s *Set) Increment(name string, tags map[string]string) {
	s.Scope.Tagged(tags).Counter(name).Inc(1)
}

// SetTotal increases a counter to a total that is counted elsewhere. A total below the
// last one means that the count was reset, so it is added in full.
func (s *Set) SetTotal(name string, tags map[string]string, total int64) {
	id := name + FormatTags(tags)
	s.mu.Lock()
	increment := total - s.lastTotals[id]
	if increment < 0 {
		increment = total
	}
	s.lastTotals[id] = total
	s.mu.Unlock()
	if increment > 0 {
		s.Scope.Tagged(tags).Counter(name).Inc(increment)
	}
}

// Write writes all metrics as sorted lines: gauges, then counters, then histograms, so that
// a reader that takes only the beginning gets the state. Lines formats a histogram.
func (s *Set) Write(w io.Writer, lines func(tally.HistogramSnapshot) []string) error {
	snapshot := s.Scope.Snapshot()
	var gauges, counters, histograms []string
	for _, g := range snapshot.Gauges() {
		gauges = append(gauges, fmt.Sprintf("%s%s %g", g.Name(), FormatTags(g.Tags()), g.Value()))
	}
	for _, c := range snapshot.Counters() {
		counters = append(counters, fmt.Sprintf("%s%s %d", c.Name(), FormatTags(c.Tags()), c.Value()))
	}
	for _, h := range snapshot.Histograms() {
		histograms = append(histograms, lines(h)...)
	}
	for _, group := range [...][]string{gauges, counters, histograms} {
		sort.Strings(group)
		for _, line := range group {
			if _, err := fmt.Fprintln(w, line); err != nil {
				return fmt.Errorf("write metrics: %w", err)
			}
		}
	}
	return nil
}

// FormatTags formats tags as they follow a metric's name.
func FormatTags(tags map[string]string) string {
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
