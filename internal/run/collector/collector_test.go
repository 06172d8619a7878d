package collector

import (
	"math"
	"runtime/debug"
	"testing"

	"gotest.tools/v3/assert"
)

func TestTheLimitFollowsTheMemory(t *testing.T) {
	usualPercent, usualLimit := debug.SetGCPercent(-1), debug.SetMemoryLimit(-1)
	t.Cleanup(func() {
		debug.SetGCPercent(usualPercent)
		debug.SetMemoryLimit(usualLimit)
	})
	const all = -1 // reads the limit and leaves it
	Set(200 << 20)
	assert.Equal(t, debug.SetMemoryLimit(all), int64(80<<20))
	Set(0)
	assert.Equal(t, debug.SetMemoryLimit(all), int64(math.MaxInt64))
	assert.Equal(t, debug.SetGCPercent(percent), percent)
}
