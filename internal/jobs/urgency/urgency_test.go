package urgency

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestTierTellsWhatAJobCanReach(t *testing.T) {
	accepted, due := at(0), at(3000)
	assert.Equal(t, TierOf(at(1000), accepted, due, 2*time.Second), InTime)
	assert.Equal(t, TierOf(at(1001), accepted, due, 2*time.Second), Late)
	assert.Equal(t, TierOf(at(7000), accepted, due, 2*time.Second), Late)
	assert.Equal(t, TierOf(at(7001), accepted, due, 2*time.Second), Over)
}

func TestJobsThatCanBeInTimeGoFirst(t *testing.T) {
	keys := []Key{
		{2, InTime, at(500), "batch, near"}, {0, Over, at(100), "urgent, over"}, {0, Late, at(200), "urgent, late"},
		{0, InTime, at(900), "urgent, far"}, {0, InTime, at(800), "urgent, near"}, {2, Late, at(100), "batch, late"},
	}
	slices.SortFunc(keys, Key.Compare)
	var names []string
	for _, k := range keys {
		names = append(names, k.Name)
	}
	assert.DeepEqual(t, names, []string{"urgent, near", "urgent, far", "urgent, late", "urgent, over", "batch, near", "batch, late"})
}
