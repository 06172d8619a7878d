package estimate_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/batch/estimate"
)

func size(processors, memory int64) bamboofall.Resources {
	return bamboofall.Resources{MilliProcessors: processors, MemoryBytes: memory, Accelerators: 1}
}

func TestSizeFollowsMeasuredPeaks(t *testing.T) {
	declared := size(1000, 1000)
	e := estimate.New()
	assert.Equal(t, e.Size("job", declared), declared, "without samples the declared size counts")
	e.Learn("job", size(2000, 100))
	assert.Equal(t, e.Size("job", declared).MilliProcessors, int64(2300), "an underestimate is corrected by one sample, with a margin")
	assert.Assert(t, e.Size("job", declared).MemoryBytes > 900, "an overestimate is corrected gradually")
	for range 20 {
		e.Learn("job", size(2000, 100))
	}
	assert.Equal(t, e.Size("job", declared), size(2300, 115))
	e.Learn("job", size(-5, 1))
	assert.Equal(t, e.Size("job", declared), size(2300, 115), "negative samples are ignored")
}
