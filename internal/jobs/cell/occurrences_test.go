package cell_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// Occurrences may overlap, and a later one may be completed first. A new owner must not run
// that one again, nor count it for one that is still to come.
func TestLaterOccurrenceThatIsCompletedFirstIsNotRepeatedAfterHandover(t *testing.T) {
	const id, repetitions = "0000000000000001", 4
	newCell := func(epoch uint64) *cell.Cell {
		c := cell.New(cell.Config{Epoch: epoch, Lease: 5 * time.Second, EndedJobRetention: time.Minute, RemoteFactor: 2})
		c.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}})
		return c
	}
	c := newCell(1)
	c.SetWorker(testStart, testWorker(1))
	_, refusal := c.Submit(testStart, &bamboofall.Job{
		ID: id, Queue: "q", Steps: []bamboofall.Step{finiteStep}, FirstRun: testStart, Interval: time.Second, Repetitions: repetitions,
	})
	assert.Assert(t, refusal == nil, "%v", refusal)

	starts := make(map[int]int)
	lastEnd := uint64(0)
	var running []bamboofall.RunningTask
	var ends []bamboofall.End
	end := func(task bamboofall.TaskName, run uint32) {
		lastEnd++
		ends = append(ends, bamboofall.End{Number: lastEnd, Task: task, Run: run, Cause: bamboofall.EndDone})
	}
	stored := make(map[string][]byte)
	// The first occurrence takes until 8 s, each other one no time.
	const firstEndsAt, handoverAt = 8 * time.Second, 1500 * time.Millisecond
	var completedAt time.Duration
	for d := time.Duration(0); d < 12*time.Second; d += 50 * time.Millisecond {
		now := testStart.Add(d)
		if d == handoverAt {
			c = newCell(2)
			assert.Equal(t, len(c.Restore(now, storedRecords(stored))), 0)
			c.SetWorker(now, testWorker(1))
		}
		if d == firstEndsAt {
			running = nil
			end(bamboofall.TaskName{Job: id}, 1)
		}
		for _, o := range c.Step(now).Orders {
			meta := bamboofall.ResponseMeta{Clock: d + time.Second, Born: testStart}
			switch {
			case o.Kind == cell.OrderStart && o.Start.Task.Occurrence == 0:
				starts[0]++
				running = []bamboofall.RunningTask{{Task: o.Start.Task, Run: o.Start.Run, ProgressPercent: 50}}
				c.StartAnswered(now, o, meta, nil)
			case o.Kind == cell.OrderStart:
				starts[o.Start.Task.Occurrence]++
				end(o.Start.Task, o.Start.Run)
				c.StartAnswered(now, o, meta, nil)
			case o.Kind == cell.OrderHold:
				ends = slices.DeleteFunc(ends, func(e bamboofall.End) bool { return e.Number <= o.Hold.AcknowledgedEnd })
				c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta, Running: running, Ends: ends}, nil)
			}
		}
		records, number, err := c.Flush()
		assert.NilError(t, err)
		c.Stored(now, number)
		for _, r := range records {
			stored[r.Key] = r.Value
			if r.Value == nil {
				delete(stored, r.Key)
			}
		}
		if state, _ := c.Lookup(id); state == bamboofall.JobCompleted && completedAt == 0 {
			completedAt = d
		}
	}
	assert.Check(t, completedAt >= firstEndsAt, "shown as completed at %v", completedAt)
	assert.DeepEqual(t, starts, map[int]int{0: 1, 1: 1, 2: 1, 3: 1})
}
