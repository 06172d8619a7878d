package suspicion

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestHealthAvoidsWorkerForAWhile(t *testing.T) {
	var h Health
	assert.Assert(t, h.Accepts(start))
	h.Avoid(start)
	assert.Assert(t, !h.Accepts(start.Add(avoidFor-time.Millisecond)))
	assert.Assert(t, h.Accepts(start.Add(avoidFor)))
}

func TestHealthDoesNotAcceptWhileSuspect(t *testing.T) {
	var h Health
	h.RecordFailure(start, true)
	assert.Assert(t, !h.Accepts(start))
}

func TestSlowdownFollowsRunTimes(t *testing.T) {
	var h Health
	h.RecordRunTime(2)
	assert.Equal(t, h.Slowdown(), slowdownWeight)
	h.RecordSlowRun(3)
	assert.Equal(t, h.Slowdown(), 2.0)
	h.RecordSlowRun(2)
	assert.Equal(t, h.Slowdown(), 2.0)
}
