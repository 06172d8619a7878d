package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// A worker crashes under two runs of a task. It restarts once more, without the owner's notice,
// before it begins the third run. That restart must not count as a third crash.
func TestTaskIsNotGivenUpForCrashBeforeItsRun(t *testing.T) {
	w := testWorker(1)
	c := newTestCell(w)
	u := newUnnamedWorkers()
	u.born[w.ID] = testStart
	now := testStart
	step := func() []cell.Order {
		now = now.Add(20 * time.Millisecond)
		return stepAndStore(t, c, now)
	}
	restart := func() {
		w.Born = now
		u.born[w.ID] = now
		u.running[w.ID] = nil
	}
	for range 5 {
		for _, o := range step() {
			u.answer(c, now, o)
		}
	}
	submit(c, "0000000000000001", "q", finiteStep)
	for starts := 0; starts < 3; {
		for _, o := range step() {
			if o.Kind == cell.OrderStart {
				starts++
				if starts == 3 {
					restart()
				}
			}
			u.answer(c, now, o)
			if o.Kind == cell.OrderStart {
				if starts < 3 {
					now = now.Add(100 * time.Millisecond)
					restart()
				}
				c.SetWorker(now, w)
			}
		}
		state, known := c.Lookup("0000000000000001")
		assert.Assert(t, known)
		assert.Assert(t, state != bamboofall.JobFailed, "after start %d", starts)
		assert.Assert(t, now.Sub(testStart) < 20*time.Second, "only %d starts", starts)
	}
	for range 10 {
		for _, o := range step() {
			u.answer(c, now, o)
		}
	}
	state, _ := c.Lookup("0000000000000001")
	assert.Equal(t, state, bamboofall.JobRunning)
	assert.Equal(t, len(u.running[w.ID]), 1)
}
