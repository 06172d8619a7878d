package metricset

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

func TestGaugesAndCountersPrecedeHistograms(t *testing.T) {
	s := New(nil)
	s.Scope.Histogram("a", tally.DurationBuckets{time.Second}).RecordDuration(time.Millisecond)
	s.Increment("c", nil)
	s.Increment("b", map[string]string{"x": "1"})
	s.Scope.Gauge("e").Update(2)
	s.Scope.Gauge("d").Update(1)
	var text strings.Builder
	assert.NilError(t, s.Write(&text, func(h tally.HistogramSnapshot) []string { return []string{fmt.Sprint(h.Name(), " histogram")} }))
	assert.Equal(t, text.String(), "d 1\ne 2\nb{x=\"1\"} 1\nc 1\na histogram\n")
}
