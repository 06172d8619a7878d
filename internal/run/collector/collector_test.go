package collector

import (
	"math"
	"runtime/debug"
	"testing"

	"gotest.tools/v3/assert"
)

func TestConfigureLimitsHeapToShareOfMemory(t *testing.T) {
	previousPercent, previousLimit := debug.SetGCPercent(-1), debug.SetMemoryLimit(-1)
	t.Cleanup(func() {
		debug.SetGCPercent(previousPercent)
		debug.SetMemoryLimit(previousLimit)
	})
	const unchanged = -1 // returns the limit without changing it
	Configure(200 << 20)
	assert.Equal(t, debug.SetMemoryLimit(unchanged), int64(80<<20))
	Configure(0)
	assert.Equal(t, debug.SetMemoryLimit(unchanged), int64(math.MaxInt64))
	assert.Equal(t, debug.SetGCPercent(gcPercent), gcPercent)
}
