package admission

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Where whole tasks leave a third of the processors unused, the share approaches two thirds, and
// it holds for the room that is left when workers are lost.
func TestUsableShareIsLearned(t *testing.T) {
	u := NewUsableShare(false)
	for range 40 {
		u.Observe(66, 100)
	}
	assert.Assert(t, u.Of(100) > 65.9 && u.Of(100) < 66.1, "%v", u.Of(100))
	u.Observe(0, 0)
	assert.Assert(t, u.Of(75) > 49 && u.Of(75) < 50, "%v", u.Of(75))
}
