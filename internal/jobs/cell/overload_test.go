package cell

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOwnerDelayExpires(t *testing.T) {
	c := New(Config{})
	now := time.Unix(1000, 0)
	assert.Assert(t, !c.ownerSlow(now))
	c.SetOwnerDelay(now, SlowOwnerDelay)
	assert.Assert(t, c.ownerSlow(now))
	assert.Assert(t, c.ownerSlow(now.Add(ownerDelayTTL)))
	assert.Assert(t, !c.ownerSlow(now.Add(ownerDelayTTL+time.Millisecond)), "the delay did not expire")
	c.SetOwnerDelay(now, SlowOwnerDelay-time.Millisecond)
	assert.Assert(t, !c.ownerSlow(now))
}

func TestCallRateFollowsAnswers(t *testing.T) {
	c := New(Config{})
	now := time.Unix(1000, 0)
	window := func(delay time.Duration, answers int, short bool) float64 {
		c.SetOwnerDelay(now, delay)
		for range answers {
			c.budget.answered++
		}
		c.budget.limited = short
		now = now.Add(rateInterval)
		c.SetOwnerDelay(now, delay)
		c.refill(now)
		return c.budget.rate
	}
	c.refill(now)
	assert.Equal(t, window(0, 0, false), float64(initialRate), "the rate changed although no call had to wait")
	assert.Equal(t, window(0, 0, true), rateGrowth*float64(initialRate))
	assert.Equal(t, window(SlowOwnerDelay, 1, true), minRateFactor*rateGrowth*float64(initialRate))
	const carried = 1000
	assert.Equal(t, window(SlowOwnerDelay, carried/4, true), max(rateHeadroom*carried, minRateFactor*minRateFactor*rateGrowth*float64(initialRate)))
	for range 20 {
		window(SlowOwnerDelay, 0, true)
	}
	assert.Equal(t, c.budget.rate, float64(minRate))
}

func TestStartsAndCallsShareUnusedBudget(t *testing.T) {
	c := New(Config{})
	now := time.Unix(1000, 0)
	c.refill(now)
	burst := initialRate * burstSeconds / 2
	assert.Equal(t, c.budget.starts, burst)
	c.budget.starts -= 100
	now = now.Add(20 * time.Millisecond)
	c.refill(now)
	assert.Equal(t, c.budget.calls, burst)
	assert.Assert(t, math.Abs(c.budget.starts-(burst-100+0.02*initialRate)) < 0.01, "starts did not get the whole rate: %v", c.budget.starts)
	c.budget.starts, c.budget.calls = burst, -1e6
	c.refill(now)
	assert.Equal(t, c.budget.calls, -float64(initialRate)/2, "the debt exceeds the calls of a second")
}
