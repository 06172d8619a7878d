package cell_test

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// The trial of a suspect starts at a worker that has restarted without the owner's notice. Its
// job must not fail for the end of the former process, unless the run ended with it.
func TestTrialAtWorkerThatRestartedUnnoticedIsNotGivenUp(t *testing.T) {
	refused := &bamboofall.NotDoneError{Call: "order", NoListener: true}
	reset := &bamboofall.UnknownOutcomeError{Call: "hold", Err: syscall.ECONNRESET}
	for name, test := range map[string]struct {
		runs, cut bool
		want      string
	}{
		"the new process runs it":                {runs: true, want: "running"},
		"the new process does not list it":       {want: "failed"},
		"the new process is cut off for a lease": {runs: true, cut: true, want: "running"},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := testWorker(1), testWorker(2)
			c, u := newTestCell(first), newUnnamedWorkers()
			u.born[first.ID] = first.Born
			now := testStart
			next := func() []cell.Order {
				now = now.Add(20 * time.Millisecond)
				return stepAndStore(t, c, now)
			}
			run := func(d time.Duration) {
				for until := now.Add(d); now.Before(until); {
					for _, o := range next() {
						u.answer(c, now, o)
					}
				}
			}
			submit(c, soundJob, "q", standingStep)
			run(100 * time.Millisecond)
			assert.Equal(t, len(u.running[first.ID]), 1)

			// The first crash makes the task a suspect.
			delete(u.running, first.ID)
			for range 10 {
				for _, o := range next() {
					assert.Equal(t, o.Kind, cell.OrderHold)
					c.HoldAnswered(now, o, bamboofall.HoldReport{}, refused)
				}
			}
			first.Born = now
			c.SetWorker(now, first)
			c.RemoveWorker(now, first.ID)

			second.Born, u.born[second.ID] = now, now
			c.SetWorker(now, second)
			for _, o := range next() {
				if o.Worker.ID == second.ID {
					u.answer(c, now, o)
				}
			}
			second.Born = now.Add(time.Millisecond)
			u.born[second.ID] = second.Born
			// Hold calls go out on connections of the former process.
			var holds []cell.Order
			for len(u.running[second.ID]) == 0 || len(holds) == 0 {
				assert.Assert(t, now.Sub(testStart) < 20*time.Second)
				for _, o := range next() {
					switch {
					case o.Worker.ID != second.ID:
					case o.Kind == cell.OrderHold:
						holds = append(holds, o)
					default:
						u.answer(c, now, o)
					}
				}
			}
			for _, o := range holds {
				c.HoldAnswered(now, o, bamboofall.HoldReport{}, reset)
			}
			if !test.runs {
				delete(u.running, second.ID)
			}
			c.SetWorker(now, second)
			if test.cut {
				delete(u.running, second.ID)
				for until := now.Add(6 * time.Second); now.Before(until); {
					for _, o := range next() {
						assert.Equal(t, o.Kind, cell.OrderHold)
						c.HoldAnswered(now, o, bamboofall.HoldReport{}, reset)
					}
				}
			}
			run(3 * time.Second)
			assert.Equal(t, jobState(c, soundJob), test.want)
			assert.Equal(t, u.runsOf(bamboofall.TaskName{Job: soundJob}) == 1, test.runs)
		})
	}
}
