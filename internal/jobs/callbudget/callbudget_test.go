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
	window := func(level Level, answers int, short bool) float64 {
		for range answers {
			b.Answered()
		}
		b.limited = short
		now = now.Add(rateInterval)
		b.Refill(now, level)
		return b.rate
	}
	b.Refill(now, Light)
	assert.Equal(t, window(Light, 0, false), float64(initialRate), "the rate changed although no call had to wait")
	assert.Equal(t, window(Light, 0, true), rateGrowth*float64(initialRate))
	assert.Equal(t, window(Slow, 1, true), minRateFactor*rateGrowth*float64(initialRate))
	const carried = 1000
	assert.Equal(t, window(Slow, carried/4, true), max(rateHeadroom*carried, minRateFactor*minRateFactor*rateGrowth*float64(initialRate)))
	for range 20 {
		window(Slow, 0, true)
	}
	assert.Equal(t, b.rate, float64(minRate))
}

func TestStartsAndCallsShareUnusedBudget(t *testing.T) {
	b := Budget{}
	now := time.Unix(1000, 0)
	b.Refill(now, Light)
	burst := initialRate * burstSeconds / 2
	assert.Equal(t, b.starts, burst)
	for range 100 {
		b.Start(0)
	}
	now = now.Add(20 * time.Millisecond)
	b.Refill(now, Light)
	assert.Equal(t, b.calls, burst)
	assert.Assert(t, math.Abs(b.starts-(burst-100+0.02*initialRate)) < 0.01, "starts did not get the whole rate: %v", b.starts)
	b.starts, b.calls = burst, -1e6
	b.Refill(now, Light)
	assert.Equal(t, b.calls, -float64(initialRate)/2, "the debt exceeds the calls of a second")
}

func TestLimitedWhileCallsWait(t *testing.T) {
	b := Budget{}
	now := time.Unix(1000, 0)
	b.Refill(now, Light)
	assert.Assert(t, b.MayStart() && b.MayCall() && !b.Limited())
	for b.MayCall() {
		b.Call()
	}
	assert.Assert(t, b.Limited())
	for range 2 {
		now = now.Add(rateInterval)
		b.Refill(now, Light)
	}
	assert.Assert(t, !b.Limited())
}

// While work waits for longer than QueueingTarget, the rate falls slowly to what is called,
// and does not rise although calls have to wait.
func TestFullOwnerLowersRateSlowly(t *testing.T) {
	now := time.Unix(1000, 0)
	b := Budget{}
	b.Refill(now, Light)
	window := func(calls int) float64 {
		for range calls {
			b.Call()
		}
		b.limited = true
		now = now.Add(rateInterval)
		b.Refill(now, Full)
		return b.rate
	}
	perWindow := int(initialRate * rateInterval.Seconds())
	assert.Equal(t, window(perWindow), fullHeadroom*float64(initialRate))
	assert.Equal(t, window(0), minFullFactor*fullHeadroom*float64(initialRate))
	for range 100 {
		window(0)
	}
	assert.Equal(t, b.rate, float64(minRate))
}

func TestStartRateLeavesOutMoreUrgentStarts(t *testing.T) {
	now := time.Unix(1000, 0)
	b := Budget{}
	b.Refill(now, Light)
	for range 40 {
		for range 100 {
			b.Start(0)
		}
		for range 50 {
			b.Start(2)
		}
		b.limited = true
		now = now.Add(rateInterval)
		b.Refill(now, Full)
	}
	near := func(priority int, want float64) {
		t.Helper()
		rate, limited := b.StartRate(priority)
		assert.Assert(t, limited)
		assert.Assert(t, math.Abs(rate-want) < 1, "%v starts per second for priority %d", rate, priority)
	}
	near(0, 600)
	near(1, 200)
	near(2, 200)
	near(3, minStartRate)
	for range 4 {
		b.limited = true
		now = now.Add(rateInterval)
		b.Refill(now, Light)
	}
	_, limited := b.StartRate(0)
	assert.Assert(t, !limited, "limited although the rate rises")
	b.limited = true
	now = now.Add(rateInterval)
	b.Refill(now, Full)
	for range 2 {
		now = now.Add(rateInterval)
		b.Refill(now, Light)
	}
	_, limited = b.StartRate(0)
	assert.Assert(t, !limited, "limited although no call has to wait")
}
