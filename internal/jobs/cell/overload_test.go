package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOwnerDelayExpires(t *testing.T) {
	const ttl = 2 * time.Second
	c := New(Config{})
	now := time.Unix(1000, 0)
	assert.Assert(t, !c.ownerSlow(now))
	c.SetOwnerDelay(now, SlowOwnerDelay)
	assert.Assert(t, c.ownerSlow(now))
	assert.Assert(t, c.ownerSlow(now.Add(ttl)))
	assert.Assert(t, !c.ownerSlow(now.Add(ttl+time.Millisecond)), "the delay did not expire")
	c.SetOwnerDelay(now, SlowOwnerDelay-time.Millisecond)
	assert.Assert(t, !c.ownerSlow(now))
}
