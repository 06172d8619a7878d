package pacing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestNext(t *testing.T) {
	for _, c := range []struct {
		name     string
		percent  int
		load     float64
		disturbs bool
		since    time.Duration
		want     int
	}{
		{"well below", 50, 0.5, true, 0, 75},
		{"at most full", Full, 0.1, true, 0, Full},
		{"in between", 50, 0.7, true, 0, 50},
		{"near its target", 100, 0.85, true, 0, 50},
		{"near, and little is left", 30, 0.85, true, 0, 0},
		{"over", 100, 1.2, true, 0, 0},
		{"over for another cause", 100, 1.2, false, time.Second, 100},
		{"over for long", 100, 1.2, false, 2 * time.Second, 0},
		{"near for another cause", 100, 0.9, false, 0, 100},
	} {
		assert.Equal(t, Next(c.percent, c.load, c.disturbs, c.since, 4*time.Second), c.want, c.name)
	}
}
