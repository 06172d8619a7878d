package cell_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

const heldID bamboofall.JobID = "0000000000000001"

// neverFlushed is the argument of Withdraw for jobs without records in a flush.
func neverFlushed(t *testing.T) func(...string) bool {
	return func(keys ...string) bool {
		t.Errorf("records %v taken back from a flush", keys)
		return false
	}
}

func submitHeld(t *testing.T, c *cell.Cell) uint64 {
	t.Helper()
	flush, refusal := c.Submit(testStart, &bamboofall.Job{ID: heldID, Queue: "q", Steps: []bamboofall.Step{standingStep}})
	assert.Assert(t, refusal == nil)
	return flush
}

// A job that was taken back must not be in a later flush but as deleted, and must not start.
func TestWithdrawnJobLeavesNothing(t *testing.T) {
	c := newTestCell(testWorker(1))
	now := testStart
	answer := func() (starts int) {
		for range 10 {
			now = now.Add(20 * time.Millisecond)
			for _, o := range c.Step(now).Orders {
				switch o.Kind {
				case cell.OrderHold:
					c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: bamboofall.ResponseMeta{Clock: now.Sub(testStart) + 1, Born: testStart}}, nil)
				case cell.OrderStart:
					starts++
				}
			}
		}
		return starts
	}
	answer()
	submitHeld(t, c)
	assert.Equal(t, answer(), 0) // placed, the start awaits the store
	assert.Assert(t, c.Withdraw(now, heldID, neverFlushed(t)))
	assert.Assert(t, !c.IsSubmitted(heldID) && c.PendingJobs("q") == 0)
	assert.Assert(t, !c.Withdraw(now, heldID, neverFlushed(t)))
	records, number, err := c.Flush()
	assert.NilError(t, err)
	for _, r := range records {
		assert.Assert(t, r.Key[1:] != string(heldID) || len(r.Value) == 0, "record %s", r.Key)
	}
	c.Stored(now, number)
	assert.Equal(t, answer(), 0)
	_, open := c.Jobs()
	assert.Equal(t, open, 0)

	// The caller tries again.
	flush := submitHeld(t, c)
	assert.Equal(t, answer(), 0)
	records, number, err = c.Flush()
	assert.NilError(t, err)
	assert.Equal(t, flush, number)
	assert.Assert(t, slices.ContainsFunc(records, func(r bamboofall.StoreRecord) bool {
		return r.Key == "j"+string(heldID) && len(r.Value) > 0
	}))
	c.Stored(now, number)
	assert.Equal(t, answer(), 1)
}

// A job is not taken back if it may be stored, is stored, was promised or was cancelled.
func TestJobThatMayBeStoredIsNotWithdrawn(t *testing.T) {
	c := newTestCell(testWorker(1))
	flush := submitHeld(t, c)
	_, _, err := c.Flush()
	assert.NilError(t, err)
	var asked []string
	sealed := func(keys ...string) bool {
		asked = keys
		return false
	}
	assert.Assert(t, !c.Withdraw(testStart, heldID, sealed))
	assert.DeepEqual(t, asked, []string{"j" + string(heldID), "p" + string(heldID)})
	again, refusal := c.Submit(testStart, &bamboofall.Job{ID: heldID, Queue: "q", Steps: []bamboofall.Step{standingStep}})
	assert.Assert(t, refusal == nil && again == flush, "a repeat waits for the same flush")
	c.Stored(testStart, flush)
	assert.Assert(t, !c.Withdraw(testStart, heldID, neverFlushed(t)))

	promised := newTestCell(testWorker(1))
	submitHeld(t, promised)
	submit(promised, string(heldID), "q", standingStep) // from the inbox
	assert.Assert(t, !promised.Withdraw(testStart, heldID, neverFlushed(t)))

	cancelled := newTestCell(testWorker(1))
	submitHeld(t, cancelled)
	_, known := cancelled.Cancel(testStart, heldID)
	assert.Assert(t, known && !cancelled.Withdraw(testStart, heldID, neverFlushed(t)))
}

// A repeated submission of a stored job must be answered although a later change of the job, such
// as its first start, is not stored yet.
func TestRepeatOfStoredJobDoesNotWaitForLaterChanges(t *testing.T) {
	c := newTestCell(testWorker(1))
	submitHeld(t, c)
	_, number, err := c.Flush()
	assert.NilError(t, err)
	c.Stored(testStart, number)
	c.Cancel(testStart, heldID)
	flush, refusal := c.Submit(testStart, &bamboofall.Job{ID: heldID, Queue: "q", Steps: []bamboofall.Step{standingStep}})
	assert.Assert(t, refusal == nil && c.IsStored(flush))
}
