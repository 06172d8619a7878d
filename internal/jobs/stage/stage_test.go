package stage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAccountSumsUpTimesByQueueAndStage(t *testing.T) {
	var a Account
	assert.Equal(t, a.String(), "")
	a.Add("short", Acceptance, 10*time.Millisecond)
	a.Add("short", Acceptance, 30*time.Millisecond)
	a.Add("short", Confirmation, 5*time.Millisecond)
	a.Add("long", Placement, time.Second)
	assert.Equal(t, a.String(), "queue long: placement 1 mean 1s longest 1s; queue short: acceptance 2 mean 20ms longest 30ms confirmation 1 mean 5ms longest 5ms")
	a.Reset()
	assert.Equal(t, a.String(), "")
}
