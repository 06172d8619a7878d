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

// A worker with more runs than fit into a record becomes silent, or drains. The record that listed
// them exceeded the store's limit, and the owner repeated its append for good: nothing was stored
// any more. Such a record stays open, and a successor takes every started task for one that may
// run at the worker.
func TestRecordOfWorkerWithManyRunsStaysBelowLimit(t *testing.T) {
	const limit, fewRuns, manyRuns = 4 << 10, 20, 300
	for name, test := range map[string]struct {
		runs             int
		drains, isClosed bool
	}{
		"silent, few runs":  {fewRuns, false, true},
		"silent, many runs": {manyRuns, false, false},
		"drains, few runs":  {fewRuns, true, true},
		"drains, many runs": {manyRuns, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := testWorker(1)
			c := cell.New(cell.Config{Epoch: 1, Lease: 5 * time.Second, EndedJobRetention: time.Minute, RemoteFactor: 2, MaxRecordBytes: limit})
			c.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}})
			c.SetWorker(testStart, w)
			u, now, lost := newUnnamedWorkers(), testStart, false
			u.born[w.ID] = testStart
			last := &jobpb.Worker{}
			step := func() {
				now = now.Add(20 * time.Millisecond)
				c.SetClaimConfirmed(now)
				for _, o := range c.Step(now).Orders {
					if lost && o.Kind == cell.OrderHold {
						c.HoldAnswered(now, o, bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: "hold"})
						continue
					}
					u.answer(c, now, o)
				}
				records, number, err := c.Flush()
				assert.NilError(t, err)
				for _, r := range records {
					assert.Assert(t, len(r.Key)+len(r.Value) <= limit, "record %s has %d bytes", r.Key, len(r.Value))
					if r.Key == "w"+w.ID {
						last.Reset()
						assert.NilError(t, proto.Unmarshal(r.Value, last))
					}
				}
				c.Stored(now, number)
			}
			standing := bamboofall.Step{Count: 20, Size: bamboofall.Resources{MilliProcessors: 1}, Standing: true}
			for n := range test.runs / standing.Count {
				submit(c, jobID(n), "q", standing)
			}
			for range 100 {
				step()
			}
			assert.Equal(t, len(u.running[w.ID]), test.runs)
			if test.drains {
				w.Draining, w.Remaining = true, 10*time.Second
				c.SetWorker(now, w)
			}
			lost = !test.drains
			for range 20 {
				step()
			}
			assert.Equal(t, last.GetSilent(), test.isClosed)
			assert.Equal(t, len(last.GetRuns()) == test.runs, test.isClosed)
		})
	}
}

func jobID(n int) string { return fmt.Sprintf("%016x", 1+n) }
