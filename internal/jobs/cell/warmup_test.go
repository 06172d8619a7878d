package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
)

// A worker that comes back cold gets tasks last, and any that fit nowhere else.
func TestColdWorkersAreFilledLast(t *testing.T) {
	c := newTwoZoneCell(t)
	w := testWorker(0)
	w.Zone, w.ColdFor = "a", 12*time.Second
	c.SetWorker(c.now, w)
	c.run(200 * time.Millisecond)
	step := bamboofall.Step{Count: 12, Size: bamboofall.Resources{MilliProcessors: 8000}, Estimate: time.Minute}
	submit(c.Cell, "0000000000000001", "q", step)
	c.run(time.Second)
	assert.Equal(t, len(c.running["i-0"]), 0, "there is room at warm workers")
	step.Count = 3
	submit(c.Cell, "0000000000000002", "q", step)
	step.Count, step.Standing = 1, true
	submit(c.Cell, "0000000000000003", "q", step)
	c.run(500 * time.Millisecond)
	assert.Equal(t, len(c.running["i-0"]), 4, "tasks do not wait beside an idle worker")
}
