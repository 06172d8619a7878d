package usage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAccountSumsByKindAndOutcome(t *testing.T) {
	var a Account
	assert.Equal(t, a.String(), "")
	a.Add(BestEffort, InTime, 1500*time.Millisecond)
	a.Add(BestEffort, InTime, 2500*time.Millisecond)
	a.Add(BestEffort, Discarded, time.Second)
	assert.Equal(t, a.String(), "bestEffort inTime 4 late 0 expired 0 unfinished 0 discarded 1")
	a.Add(Reserved, Expired, 3*time.Second)
	assert.Equal(t, a.String(), "reserved inTime 0 late 0 expired 3 unfinished 0 discarded 0; bestEffort inTime 4 late 0 expired 0 unfinished 0 discarded 1")
	total := time.Duration(0)
	a.Each(func(_ Kind, _ Outcome, d time.Duration) { total += d })
	assert.Equal(t, total, 8*time.Second)
}
