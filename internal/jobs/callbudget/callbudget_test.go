package callbudget

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRateFollowsAnswers(t *testing.T) {
	b := Budget{}
	now := time.Unix(1000, 0)
	window := func(slow bool, answers int, short bool) float64 {
		for range answers {
			b.Answered()
		}
		b.limited = short
		now = now.Add(rateInterval)
		b.Refill(now, slow)
		return b.rate
	}
	b.Refill(now, false)
	assert.Equal(t, window(false, 0, false), float64(initialRate), "the rate changed although no call had to wait")
	assert.Equal(t, window(false, 0, true), rateGrowth*float64(initialRate))
	assert.Equal(t, window(true, 1, true), minRateFactor*rateGrowth*float64(initialRate))
	const carried = 1000
	assert.Equal(t, window(true, carried/4, true), max(rateHeadroom*carried, minRateFactor*minRateFactor*rateGrowth*float64(initialRate)))
	for range 20 {
		window(true, 0, true)
	}
	assert.Equal(t, b.rate, float64(minRate))
}

func TestStartsAndCallsShareUnusedBudget(t *testing.T) {
	b := Budget{}
	now := time.Unix(1000, 0)
	b.Refill(now, false)
	burst := initialRate * burstSeconds / 2
	assert.Equal(t, b.starts, burst)
	for range 100 {
		b.Start()
	}
	now = now.Add(20 * time.Millisecond)
	b.Refill(now, false)
	assert.Equal(t, b.calls, burst)
	assert.Assert(t, math.Abs(b.starts-(burst-100+0.02*initialRate)) < 0.01, "starts did not get the whole rate: %v", b.starts)
	b.starts, b.calls = burst, -1e6
	b.Refill(now, false)
	assert.Equal(t, b.calls, -float64(initialRate)/2, "the debt exceeds the calls of a second")
}

func TestLimitedWhileCallsWait(t *testing.T) {
	b := Budget{}
	now := time.Unix(1000, 0)
	b.Refill(now, false)
	assert.Assert(t, b.MayStart() && b.MayCall() && !b.Limited())
	for b.MayCall() {
		b.Call()
	}
	assert.Assert(t, b.Limited())
	for range 2 {
		now = now.Add(rateInterval)
		b.Refill(now, false)
	}
	assert.Assert(t, !b.Limited())
}
