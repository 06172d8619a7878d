package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// A start that was not done after all, as its worker had restarted, must not delay the tasks of
// that worker once it is lost: it has given no lease.
func TestStartNotDoneAtFormerProcessExtendsNoLeases(t *testing.T) {
	const lease, longest, failsAfter = 5 * time.Second, 10 * time.Second, 4 * time.Second
	w, other := testWorker(1), testWorker(2)
	c := cell.New(cell.Config{Epoch: 1, Lease: lease, MaxLease: longest, EndedJobRetention: time.Minute, RemoteFactor: 2})
	c.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}})
	c.SetWorker(testStart, w)
	u := newUnnamedWorkers()
	u.born[w.ID], u.born[other.ID] = testStart, testStart
	now := testStart
	var pending []cell.Order
	var restartedAt, elsewhere time.Time
	lost := false
	for ; now.Sub(testStart) < 25*time.Second && elsewhere.IsZero(); now = now.Add(20 * time.Millisecond) {
		c.SetClaimConfirmed(now)
		switch {
		case now.Equal(testStart.Add(time.Second)):
			submit(c, "0000000000000001", "q", standingStep)
		case len(pending) == 1 && restartedAt.IsZero():
			restartedAt = now
			w.Born, u.born[w.ID] = now, now
			c.SetWorker(now, w)
		case !lost && !restartedAt.IsZero() && now.Sub(restartedAt) >= failsAfter:
			lost = true
			c.StartAnswered(now, pending[0], bamboofall.ResponseMeta{}, &bamboofall.NotDoneError{Call: "start"})
			c.SetWorker(now, other)
		}
		for _, o := range c.Step(now).Orders {
			switch {
			case o.Kind == cell.OrderStart && o.Worker.ID == other.ID && o.Start.Task.Job == "0000000000000002":
				elsewhere = now
			case o.Kind == cell.OrderStart && len(pending) == 0:
				pending = append(pending, o)
				submit(c, "0000000000000002", "q", standingStep)
			case o.Kind == cell.OrderHold && o.Worker.ID == w.ID && lost:
				c.HoldAnswered(now, o, bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: "hold"})
			default:
				u.answer(c, now, o)
			}
		}
		_, number, err := c.Flush()
		assert.NilError(t, err)
		c.Stored(now, number)
	}
	assert.Assert(t, !elsewhere.IsZero())
	took, bound := elsewhere.Sub(restartedAt), cell.MaxLeaseDuration(longest)+time.Second
	assert.Assert(t, took > failsAfter+time.Second && took < bound, "started elsewhere %v after the restart, bound %v", took, bound)
}
