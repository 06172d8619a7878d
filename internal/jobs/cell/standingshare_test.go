package cell_test

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// runKnownRed enables the tests that KNOWN-RED.txt lists.
var runKnownRed = flag.Bool("red", false, "run the tests that are known to fail")

// An owner that is late has accepted standing tasks that it has not placed yet. They take their
// share of the processors all the same: more of them would leave urgent jobs without room.
func TestAcceptedStandingTasksCountBeforeTheyArePlaced(t *testing.T) {
	if !*runKnownRed {
		t.Skip("known to fail, see KNOWN-RED.txt; run with -red")
	}
	c := cell.New(cell.Config{Epoch: 1, Lease: 5 * time.Second, EndedJobRetention: time.Minute, RemoteFactor: 2})
	c.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}})
	for n := range 2 {
		c.SetWorker(testStart, testWorker(n))
	}
	answer(c, c.Step(testStart), testStart)
	submitHalf := func(id bamboofall.JobID) *cell.Refusal {
		_, refusal := c.Submit(testStart, &bamboofall.Job{ID: id, Queue: "q", Steps: []bamboofall.Step{{
			Count: 2, Size: bamboofall.Resources{MilliProcessors: 16_000}, Standing: true,
		}}})
		return refusal
	}
	assert.Assert(t, submitHalf("0000000000000001") == nil)
	refusal := submitHalf("0000000000000002")
	assert.Assert(t, refusal != nil, "accepted beside tasks that are not placed yet")
	assert.Equal(t, refusal.Reason, cell.ReasonStandingShare)
}
