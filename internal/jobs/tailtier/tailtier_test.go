package tailtier

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestLaterTiersAllowHigherTails(t *testing.T) {
	for tier := Recent; tier < Crowded; tier++ {
		assert.Assert(t, tier.MaxTail() <= (tier+1).MaxTail(), "tier %d", tier)
	}
	assert.Equal(t, Waiting.MaxTail(), MaxExpected)
}
