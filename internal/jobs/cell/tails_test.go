package cell_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
)

// After a handover, the size of a recorded worker is unknown until the platform lists it.
// What such a worker reports must leave the interference model intact.
func TestTailOfWorkerOfUnknownSizeIsNotLearned(t *testing.T) {
	next, announce := cellAfterHandover(t, bamboofall.Step{
		Count: 1, Size: bamboofall.Resources{MilliProcessors: 1000}, Standing: true, TailTarget: 50 * time.Millisecond, Image: "serving",
	}, testWorker(1))
	var learned *jobpb.Learned
	for d := time.Duration(0); d < 12*time.Second; d += 100 * time.Millisecond {
		now := testStart.Add(d)
		if d == 6*time.Second {
			announce(next)
		}
		for _, o := range next.Step(now).Orders {
			assert.Equal(t, o.Kind, cell.OrderHold)
			next.HoldAnswered(now, o, bamboofall.HoldReport{
				ResponseMeta: bamboofall.ResponseMeta{Clock: d + time.Second, Born: testStart},
				Running:      []bamboofall.RunningTask{{Task: bamboofall.TaskName{Job: "0000000000000001"}, Run: 1, ProgressPercent: 100, Gauge: 20}},
			}, nil)
		}
		// The learned state is stored with other changes only.
		submit(next, fmt.Sprintf("%016x", now.UnixMilli()), "q", bamboofall.Step{Count: 1, Size: bamboofall.Resources{MilliProcessors: 64_000}})
		records, number, err := next.Flush()
		assert.NilError(t, err)
		next.Stored(now, number)
		for _, r := range records {
			if r.Key == "l" {
				learned = &jobpb.Learned{}
				assert.NilError(t, proto.Unmarshal(r.Value, learned))
			}
		}
	}
	assert.Equal(t, len(learned.GetFits()), 1)
	// Not even equal to itself if an observation had an infinite share.
	fit := learned.GetFits()[0]
	assert.Assert(t, fit.GetOwnMean() > 1 && fit.GetOwnMean() < 3 && fit.GetOwnVariance() > 0 && fit.GetOwnVariance() < 1, "own headroom %v, variance %v", fit.GetOwnMean(), fit.GetOwnVariance())
	for _, p := range fit.GetPressures() {
		assert.Assert(t, p.GetValue() >= 0 && p.GetVariance() > 0 && p.GetVariance() < 10, "pressure %v of variance %v", p.GetValue(), p.GetVariance())
	}
}
