package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A best-effort task that was paused for a serving task must go on once no serving task is
// left at its worker.
func TestPausedTaskGoesOnAfterServingTaskHasLeft(t *testing.T) {
	u := newUnannouncedCell(t, 60*time.Millisecond)
	u.submitBestEffort()
	u.runBestEffort("i-1", 1)
	u.runUntil(5 * time.Second)
	_, paused := u.paces[0]
	assert.Assert(t, paused)
	u.Cancel(testStart.Add(u.elapsed), "0000000000000001")
	u.running["i-1"] = u.running["i-1"][1:]
	u.running["i-2"] = nil
	clear(u.paces)
	u.runUntil(10 * time.Second)
	_, resumed := u.paces[100]
	assert.Assert(t, resumed, "paces ordered afterwards: %v", u.paces)
}
