package cell_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// filler is a job whose tasks do not fail.
const filler = "00000000000000ff"

// lastRunCell is a cell with four workers of 32 processors and jobs with four tasks, whose first
// runs fail, one at each worker. Another failure fails a job.
type lastRunCell struct {
	*cell.Cell
	t   *testing.T
	now time.Time
	// running and failed hold what runs and what has failed, by worker. Restarts counts the
	// second runs.
	running  map[string][]bamboofall.RunningTask
	failed   map[string][]bamboofall.End
	restarts int
}

func newLastRunCell(t *testing.T, s bamboofall.Step) *lastRunCell {
	d := &lastRunCell{
		Cell: newTestCell(testWorker(1), testWorker(2), testWorker(3), testWorker(4)), t: t, now: testStart,
		running: make(map[string][]bamboofall.RunningTask), failed: make(map[string][]bamboofall.End),
	}
	d.SetConfiguration(&bamboofall.Configuration{Version: 2, Queues: []bamboofall.Queue{
		{Name: "q", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 2, Slack: time.Hour},
		{Name: "first", Service: "s", MaxAttempts: 2, Stretch: 2, Slack: time.Hour},
	}})
	for i := range 4 / s.Count {
		submit(d.Cell, fmt.Sprintf("%016x", i+1), "q", s)
	}
	return d
}

// run steps the cell for a time.
func (d *lastRunCell) run(within time.Duration) {
	for until := d.now.Add(within); d.now.Before(until); d.now = d.now.Add(20 * time.Millisecond) {
		out := d.Step(d.now)
		meta := bamboofall.ResponseMeta{Clock: d.now.Sub(testStart) + time.Second, Born: testStart}
		for _, o := range out.Orders {
			id := o.Worker.ID
			switch o.Kind {
			case cell.OrderStart:
				d.StartAnswered(d.now, o, meta, nil)
				if o.Start.Task.Job != filler && o.Start.Run == 1 {
					d.failed[id] = []bamboofall.End{{Number: 1, Task: o.Start.Task, Run: 1, Cause: bamboofall.EndFailed}}
					continue
				}
				if o.Start.Task.Job != filler {
					d.restarts++
				}
				d.running[id] = append(d.running[id], bamboofall.RunningTask{Task: o.Start.Task, Run: o.Start.Run})
			case cell.OrderHold:
				var ends []bamboofall.End
				if o.Hold.AcknowledgedEnd == 0 {
					ends = d.failed[id]
				}
				d.HoldAnswered(d.now, o, bamboofall.HoldReport{ResponseMeta: meta, Running: d.running[id], Ends: ends}, nil)
			}
		}
		_, number, err := d.Flush()
		assert.NilError(d.t, err)
		d.Stored(d.now, number)
	}
}

// A gang whose workers have each failed once has no others to wait for. What was found to be a
// lack of room would be remembered until a worker gains some.
func TestGangOnLastRunStarts(t *testing.T) {
	d := newLastRunCell(t, bamboofall.Step{Count: 4, Size: bamboofall.Resources{MilliProcessors: 16_000}, Estimate: time.Second, MaxPerWorker: 1, Gang: true})
	d.run(4 * time.Second)
	assert.Equal(t, d.restarts, 4)
}

// Workers at which runs fail are the ones with room. A task waits for another, not for long.
func TestLastRunWaitsForOtherWorkerOneSecond(t *testing.T) {
	d := newLastRunCell(t, bamboofall.Step{Count: 1, Size: bamboofall.Resources{MilliProcessors: 20_000}, Estimate: time.Second})
	d.run(900 * time.Millisecond)
	assert.Equal(t, d.restarts, 0)
	d.run(600 * time.Millisecond)
	assert.Equal(t, d.restarts, 4)
}

// Tasks on their last run that no worker has room for are not checked again until one gains room.
func TestLastRunsWithoutRoomAreNotCheckedAgain(t *testing.T) {
	d := newLastRunCell(t, bamboofall.Step{Count: 1, Size: bamboofall.Resources{MilliProcessors: 20_000}, Estimate: time.Second})
	d.run(100 * time.Millisecond)
	submit(d.Cell, filler, "first", bamboofall.Step{Count: 4, Size: bamboofall.Resources{MilliProcessors: 30_000}, MaxPerWorker: 1, Estimate: time.Hour})
	d.run(400 * time.Millisecond)
	checks := d.FitChecks()
	for n := range 100 {
		// Another task that fits nowhere makes the owner look at what waits.
		submit(d.Cell, fmt.Sprintf("%016x", 256+n), "q", bamboofall.Step{Count: 1, Size: bamboofall.Resources{MilliProcessors: 30_000}, Estimate: time.Second})
		d.run(40 * time.Millisecond)
	}
	assert.Equal(t, d.restarts, 0)
	assert.Assert(t, d.FitChecks()-checks < 200, "%d checks", d.FitChecks()-checks)
}
