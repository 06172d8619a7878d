package cell_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// A worker rejects a run whose number is not higher than that of a run that ended there,
// so a successor must not use the numbers of its predecessor again.
func TestSuccessorContinuesAboveRunNumbersOfTaskThatKeptFailing(t *testing.T) {
	const failures = 1100 // more than are reserved for an epoch
	gang := standingStep
	gang.Gang = true
	for name, step := range map[string]bamboofall.Step{"single": standingStep, "gang": gang} {
		stored := make(map[string][]byte)
		newCell := func(epoch uint64) *cell.Cell {
			c := cell.New(cell.Config{Epoch: epoch, Lease: 5 * time.Second, EndedJobRetention: time.Minute, RemoteFactor: 2})
			c.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}})
			return c
		}
		now := testStart
		// run steps a cell whose workers fail each run, until it has ordered starts, and
		// returns the first and the highest run number.
		run := func(c *cell.Cell, starts int) (first, highest uint32) {
			ends := make(map[string][]bamboofall.End)
			for seen := 0; seen < starts; now = now.Add(20 * time.Millisecond) {
				assert.Assert(t, now.Before(testStart.Add(10*time.Hour)), "%s: %d starts in ten hours", name, seen)
				for _, o := range c.Step(now).Orders {
					meta := bamboofall.ResponseMeta{Clock: now.Sub(testStart) + time.Second, Born: testStart}
					at := o.Worker.ID
					switch o.Kind {
					case cell.OrderStart:
						if seen == 0 {
							first = o.Start.Run
						}
						seen++
						highest = max(highest, o.Start.Run)
						ends[at] = append(ends[at], bamboofall.End{
							Number: uint64(len(ends[at]) + 1), Task: o.Start.Task, Run: o.Start.Run, Cause: bamboofall.EndFailed,
						})
						c.StartAnswered(now, o, meta, nil)
					case cell.OrderHold:
						unseen := ends[at][min(int(o.Hold.AcknowledgedEnd), len(ends[at])):]
						c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta, Ends: slices.Clone(unseen)}, nil)
					}
				}
				records, number, err := c.Flush()
				assert.NilError(t, err)
				c.Stored(now, number)
				for _, r := range records {
					stored[r.Key] = r.Value
				}
			}
			return first, highest
		}
		former := newCell(1)
		former.SetWorker(now, testWorker(1))
		former.SetWorker(now, testWorker(2))
		submit(former, "0000000000000001", "q", step)
		_, highest := run(former, failures)

		next := newCell(2)
		records := storedRecords(stored)
		assert.Equal(t, len(next.Restore(now, records)), 0)
		next.SetWorker(now, testWorker(1))
		next.SetWorker(now, testWorker(2))
		first, _ := run(next, 1)
		assert.Assert(t, first > highest, "%s: the successor begins at run %d, its predecessor reached %d", name, first, highest)
	}
}
