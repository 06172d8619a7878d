package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestADelayOfTheOwnerHoldsForAWhile(t *testing.T) {
	c := New(Config{})
	now := time.Unix(1000, 0)
	assert.Assert(t, !c.ownerSlow(now))
	c.SetOwnerDelay(now, slowOwner)
	assert.Assert(t, c.ownerSlow(now))
	assert.Assert(t, c.ownerSlow(now.Add(ownerDelayFor)))
	assert.Assert(t, !c.ownerSlow(now.Add(ownerDelayFor+time.Millisecond)), "nothing was told since")
	c.SetOwnerDelay(now, slowOwner-time.Millisecond)
	assert.Assert(t, !c.ownerSlow(now))
}
