package cell_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// unnamedWorkers answers orders at once, as workers whose answers to starts and stops do not
// name their process.
type unnamedWorkers struct {
	born    map[string]time.Time
	running map[string][]bamboofall.RunningTask
	stopped map[string][]bamboofall.End
}

func newUnnamedWorkers() *unnamedWorkers {
	return &unnamedWorkers{
		born: make(map[string]time.Time), running: make(map[string][]bamboofall.RunningTask), stopped: make(map[string][]bamboofall.End),
	}
}

func (u *unnamedWorkers) meta(now time.Time, id string) bamboofall.ResponseMeta {
	return bamboofall.ResponseMeta{Clock: now.Sub(u.born[id]) + time.Second}
}

// answer executes an order and passes the answer to the cell.
func (u *unnamedWorkers) answer(c *cell.Cell, now time.Time, o cell.Order) {
	id, meta := o.Worker.ID, u.meta(now, o.Worker.ID)
	isRun := func(p bamboofall.RunningTask) bool { return p.Task == o.Start.Task && p.Run == o.Start.Run }
	switch o.Kind {
	case cell.OrderStart:
		u.running[id] = append(u.running[id], bamboofall.RunningTask{Task: o.Start.Task, Run: o.Start.Run, ProgressPercent: 100})
		c.StartAnswered(now, o, meta, nil)
	case cell.OrderStop:
		if slices.ContainsFunc(u.running[id], isRun) {
			u.running[id] = slices.DeleteFunc(u.running[id], isRun)
			u.stopped[id] = append(u.stopped[id], bamboofall.End{
				Number: uint64(len(u.stopped[id]) + 1), Task: o.Start.Task, Run: o.Start.Run, Cause: bamboofall.EndStopped,
			})
		}
		c.StopAnswered(now, o, meta, nil)
	case cell.OrderHold:
		meta.Born = u.born[id]
		c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta, Running: u.running[id], Ends: u.stopped[id]}, nil)
	}
}

// runsOf returns the number of runs of a task at all workers.
func (u *unnamedWorkers) runsOf(task bamboofall.TaskName) int {
	n := 0
	for _, runs := range u.running {
		for _, p := range runs {
			if p.Task == task {
				n++
			}
		}
	}
	return n
}

// stepAndStore steps a cell, stores its flush and returns its orders.
func stepAndStore(t *testing.T, c *cell.Cell, now time.Time) []cell.Order {
	t.Helper()
	c.SetClaimConfirmed(now)
	orders := c.Step(now).Orders
	_, number, err := c.Flush()
	assert.NilError(t, err)
	c.Stored(now, number)
	return orders
}

// An idle worker restarts without the owner's notice and carries out two starts. Its answers
// name no process. When the restart becomes known, the runs must not be taken for runs of
// the former process and started a second time.
func TestTaskRunsOnceAtWorkerThatRestartedUnnoticed(t *testing.T) {
	for name, step := range map[string]bamboofall.Step{"finite": finiteStep, "standing": standingStep} {
		t.Run(name, func(t *testing.T) {
			idle := testWorker(1)
			c := newTestCell(idle)
			u := newUnnamedWorkers()
			u.born[idle.ID] = testStart
			now := testStart
			var tasks []bamboofall.TaskName
			next := func() []cell.Order {
				now = now.Add(20 * time.Millisecond)
				return stepAndStore(t, c, now)
			}
			run := func(d time.Duration) {
				for until := now.Add(d); now.Before(until); {
					for _, o := range next() {
						u.answer(c, now, o)
					}
					for _, task := range tasks {
						assert.Assert(t, u.runsOf(task) <= 1, "two runs of %v at once: %v", task, u.running)
					}
				}
			}
			run(100 * time.Millisecond)

			restarted := idle
			restarted.Born = now
			u.born[idle.ID] = restarted.Born
			step.Count = 2
			submit(c, "0000000000000001", "q", step)
			var unanswered []cell.Order
			for len(tasks) < 2 {
				for _, o := range next() {
					if o.Kind != cell.OrderStart {
						continue // no other call is answered before the restart is announced
					}
					tasks = append(tasks, o.Start.Task)
					if len(tasks) == 1 {
						u.answer(c, now, o)
						continue
					}
					unanswered = append(unanswered, o)
				}
			}
			other := testWorker(2)
			u.born[other.ID] = other.Born
			c.SetWorker(now, other)
			run(100 * time.Millisecond)
			c.SetWorker(now, restarted)
			for _, o := range unanswered {
				u.answer(c, now, o)
			}
			run(3 * time.Second)
			for _, task := range tasks {
				assert.Equal(t, u.runsOf(task), 1, "runs of %v", task)
			}
		})
	}
}

// The clock in the answer to a start shows that the process has been up since before its last
// report. A crash soon after it must not make the task wait for another report.
func TestRunNamedByClockIsLostWithItsProcess(t *testing.T) {
	w, other := testWorker(1), testWorker(2)
	w.Born = testStart.Add(-time.Minute)
	c, u := newTestCell(w), newUnnamedWorkers()
	u.born[w.ID], u.born[other.ID] = w.Born, other.Born
	now := testStart
	run := func(steps int, answers func(o cell.Order) bool) {
		for range steps {
			now = now.Add(20 * time.Millisecond)
			for _, o := range stepAndStore(t, c, now) {
				if answers(o) {
					u.answer(c, now, o)
				}
			}
		}
	}
	run(5, func(cell.Order) bool { return true })
	submit(c, "0000000000000001", "q", standingStep)
	run(5, func(o cell.Order) bool { return o.Kind == cell.OrderStart })
	c.SetWorker(now, other)
	run(5, func(o cell.Order) bool { return o.Worker.ID == other.ID })
	delete(u.running, w.ID)
	w.Born = now
	c.SetWorker(now, w)
	run(5, func(o cell.Order) bool { return o.Worker.ID == other.ID })
	assert.Equal(t, len(u.running[other.ID]), 1, "not started elsewhere at once")
}
