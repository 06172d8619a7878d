package urgency

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestTierOfDependsOnCompletionTime(t *testing.T) {
	accepted, due := at(0), at(3000)
	assert.Equal(t, TierOf(at(1000), accepted, due, 2*time.Second), InTime)
	assert.Equal(t, TierOf(at(1001), accepted, due, 2*time.Second), Late)
	assert.Equal(t, TierOf(at(7000), accepted, due, 2*time.Second), Late)
	assert.Equal(t, TierOf(at(7001), accepted, due, 2*time.Second), Expired)
}

func TestCompareOrdersByPriorityTierAndDue(t *testing.T) {
	keys := []Key{
		{Priority: 2, Tier: InTime, Due: at(500), Name: "batch, near"}, {Priority: 0, Tier: Expired, Due: at(100), Name: "urgent, expired"}, {Priority: 0, Tier: Late, Due: at(200), Name: "urgent, late"},
		{Priority: 0, Tier: InTime, Due: at(900), Name: "urgent, far"}, {Priority: 0, Tier: InTime, Due: at(800), Name: "urgent, near"}, {Priority: 2, Tier: Late, Due: at(100), Name: "batch, late"},
	}
	slices.SortFunc(keys, Key.Compare)
	var names []string
	for _, k := range keys {
		names = append(names, k.Name)
	}
	assert.DeepEqual(t, names, []string{"urgent, near", "urgent, far", "urgent, late", "urgent, expired", "batch, near", "batch, late"})
}
