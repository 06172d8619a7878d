package pacing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestNextPaceDependsOnTailAndInterference(t *testing.T) {
	for _, c := range []struct {
		name       string
		percent    int
		tail       float64
		interferes bool
		over       time.Duration
		want       int
	}{
		{"tail well below target", 50, 0.5, true, 0, 75},
		{"pace limited to full", Full, 0.1, true, 0, Full},
		{"tail between thresholds", 50, 0.7, true, 0, 50},
		{"tail near target", 100, 0.85, true, 0, 50},
		{"tail near target and pace below minimum", 30, 0.85, true, 0, 0},
		{"tail above target", 100, 1.2, true, 0, 0},
		{"tail above target without interference", 100, 1.2, false, time.Second, 100},
		{"tail above target for long without interference", 100, 1.2, false, 2 * time.Second, 0},
		{"tail near target without interference", 100, 0.9, false, 0, 100},
	} {
		assert.Equal(t, Next(c.percent, c.tail, c.interferes, c.over, 4*time.Second), c.want, c.name)
	}
}
