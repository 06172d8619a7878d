package callbudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDelayExpires(t *testing.T) {
	var d Delay
	now := time.Unix(1000, 0)
	assert.Assert(t, !d.Reported())
	assert.Equal(t, d.At(now), time.Duration(0))
	d.Report(now, time.Second)
	assert.Assert(t, d.Reported())
	assert.Equal(t, d.At(now.Add(delayTTL)), time.Second)
	assert.Equal(t, d.At(now.Add(delayTTL+time.Millisecond)), time.Duration(0))
	d.Report(now, -time.Second)
	assert.Equal(t, d.At(now), time.Duration(0))
}
