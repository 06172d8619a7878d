package downtime_test

import (
	"cmp"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/internal/jobs/downtime"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestClockCountsFromFirstCheckThatFoundItemDown(t *testing.T) {
	var c downtime.Clock
	c.Observe(start, true)
	assert.Equal(t, c.Downtime(start.Add(time.Second)), time.Duration(0))
	c.Observe(start.Add(2*time.Second), false)
	c.Observe(start.Add(4*time.Second), false)
	assert.Equal(t, c.Downtime(start.Add(5*time.Second)), 3*time.Second)
	c.Observe(start.Add(6*time.Second), true)
	assert.Equal(t, c.Downtime(start.Add(6*time.Second)), time.Duration(0))
}

func TestLongestWithRoom(t *testing.T) {
	longest := func(items ...downtime.Item[string]) (time.Duration, downtime.Item[string], bool) {
		return downtime.Longest(items, cmp.Compare[string], func(name string) bool { return name != "large" })
	}
	large, a, b := downtime.Item[string]{"large", 9 * time.Second}, downtime.Item[string]{"a", 5 * time.Second}, downtime.Item[string]{"b", 5 * time.Second}
	total, first, found := longest(b, large, a)
	assert.Assert(t, found)
	assert.Equal(t, total, 9*time.Second)
	assert.Equal(t, first, a)
	total, _, found = longest(large)
	assert.Assert(t, !found)
	assert.Equal(t, total, 9*time.Second)
	_, _, found = longest()
	assert.Assert(t, !found)
}
