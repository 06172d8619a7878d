package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// resizedCell runs a cell whose workers carry out all orders.
type resizedCell struct {
	*cell.Cell
	t   *testing.T
	now time.Time
	// born is when the processes of all workers started.
	born time.Time
	// storeDown is set while nothing is stored.
	storeDown bool
	// silent is the ID of a worker that leaves all calls unanswered, or empty.
	silent  string
	running map[string][]bamboofall.RunningTask
	jobs    int
	notes   []cell.Note
}

// newResizedCell returns a cell with a number of workers that have answered.
func newResizedCell(t *testing.T, workers int) *resizedCell {
	t.Helper()
	r := &resizedCell{Cell: newTestCell(), t: t, now: testStart, born: testStart, running: make(map[string][]bamboofall.RunningTask)}
	for n := range workers {
		r.resize(n+1, 32_000)
	}
	r.run(200 * time.Millisecond)
	return r
}

// resize announces the capacity of a worker.
func (r *resizedCell) resize(n int, milliProcessors int64) {
	w := testWorker(n)
	w.Room.MilliProcessors, w.Clock = milliProcessors, r.clock()
	r.SetWorker(r.now, w)
}

// clock returns the clock of all workers.
func (r *resizedCell) clock() time.Duration { return 10*time.Second + r.now.Sub(testStart) }

// submitStep submits a job with a step. It reports whether the job was accepted.
func (r *resizedCell) submitStep(s bamboofall.Step) bool {
	r.jobs++
	_, refusal := r.Submit(r.now, &bamboofall.Job{ID: bamboofall.JobID(fmt.Sprintf("%016x", r.jobs)), Queue: "q", Steps: []bamboofall.Step{s}})
	return refusal == nil
}

// countRunning returns the number of runs of a job.
func (r *resizedCell) countRunning(job int) (n int) {
	for _, runs := range r.running {
		for _, run := range runs {
			if string(run.Task.Job) == fmt.Sprintf("%016x", job) {
				n++
			}
		}
	}
	return n
}

// run steps the cell for a time.
func (r *resizedCell) run(d time.Duration) {
	r.t.Helper()
	const interval = 20 * time.Millisecond
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(interval) {
		out := r.Step(r.now)
		r.notes = append(r.notes, out.Notes...)
		for _, o := range out.Orders {
			r.carryOut(o)
		}
		if r.storeDown {
			continue
		}
		_, number, err := r.Flush()
		assert.NilError(r.t, err)
		r.Stored(r.now, number)
	}
}

func (r *resizedCell) carryOut(o cell.Order) {
	meta := bamboofall.ResponseMeta{Clock: r.clock(), Born: r.born}
	at := o.Worker.ID
	if at == r.silent {
		r.leaveUnanswered(o)
		return
	}
	switch o.Kind {
	case cell.OrderStart:
		r.running[at] = append(r.running[at], bamboofall.RunningTask{Task: o.Start.Task, Run: o.Start.Run, ProgressPercent: 100})
		r.StartAnswered(r.now, o, meta, nil)
	case cell.OrderStop:
		r.running[at] = slices.DeleteFunc(r.running[at], func(t bamboofall.RunningTask) bool { return t.Task == o.Start.Task })
		r.StopAnswered(r.now, o, meta, nil)
	case cell.OrderHold:
		r.HoldAnswered(r.now, o, bamboofall.HoldReport{ResponseMeta: meta, Running: slices.Clone(r.running[at])}, nil)
	}
}

func (r *resizedCell) leaveUnanswered(o cell.Order) {
	unanswered := &bamboofall.UnknownOutcomeError{Call: "call"}
	switch o.Kind {
	case cell.OrderStart:
		r.StartAnswered(r.now, o, bamboofall.ResponseMeta{}, unanswered)
	case cell.OrderStop:
		r.StopAnswered(r.now, o, bamboofall.ResponseMeta{}, unanswered)
	case cell.OrderPace:
		r.PaceAnswered(r.now, o, bamboofall.ResponseMeta{}, unanswered)
	case cell.OrderHold:
		r.HoldAnswered(r.now, o, bamboofall.HoldReport{}, unanswered)
	}
}

// Half of what standing tasks reserve counts as idle. An overfull worker must get no
// best-effort tasks even so.
func TestOverfullWorkerGetsNoBestEffortTasks(t *testing.T) {
	r := newResizedCell(t, 1)
	assert.Assert(t, r.submitStep(bamboofall.Step{Count: 4, Size: bamboofall.Resources{MilliProcessors: 6000}, Standing: true}))
	r.run(time.Second)
	r.resize(1, 20_000)
	submit(r.Cell, "0000000000000002", "q", bamboofall.Step{Count: 1, Size: bamboofall.Resources{MilliProcessors: 2000}, Estimate: time.Second, BestEffort: true})
	r.run(time.Second)
	assert.Equal(t, r.countRunning(2), 0)
	r.resize(1, 24_000)
	r.run(100 * time.Millisecond)
	assert.Equal(t, r.countRunning(2), 1, "not started once the worker has grown")
}

// Tasks that wait must start as soon as a worker has grown, and nothing of what runs may
// be stopped when it shrinks.
func TestTasksStartOnceWorkerHasGrown(t *testing.T) {
	for _, gang := range []bool{false, true} {
		r := newResizedCell(t, 2)
		r.resize(2, 0)
		assert.Assert(t, r.submitStep(bamboofall.Step{Count: 8, Size: bamboofall.Resources{MilliProcessors: 3000}, Standing: true}))
		r.run(time.Second)
		r.resize(1, 16_000)
		r.run(6 * time.Second)
		assert.Equal(t, r.countRunning(1), 8)
		submit(r.Cell, "0000000000000002", "q", bamboofall.Step{Count: 4, Size: bamboofall.Resources{MilliProcessors: 3000}, Estimate: time.Second, Gang: gang})
		r.run(6 * time.Second)
		assert.Equal(t, r.countRunning(2), 0)
		r.resize(2, 12_000)
		r.run(60 * time.Millisecond)
		assert.Equal(t, r.countRunning(2), 4, "gang %t", gang)
	}
}

// A worker with more reserved than it has must not count against the capacity of others:
// no job may be refused for capacity that is there.
func TestOverfullWorkerTakesNoCapacityFromOthers(t *testing.T) {
	for _, bestEffort := range []bool{false, true} {
		r := newResizedCell(t, 1)
		assert.Assert(t, r.submitStep(bamboofall.Step{Count: 4, Size: bamboofall.Resources{MilliProcessors: 6000}, Standing: true}))
		r.run(time.Second)
		for n := 2; n <= 3; n++ {
			r.SetWorker(r.now, testWorker(n))
		}
		r.run(200 * time.Millisecond)
		r.resize(1, 0)
		r.resize(3, 0)
		r.resize(2, 12_000)
		accepted := r.submitStep(bamboofall.Step{Count: 4, Size: bamboofall.Resources{MilliProcessors: 3000}, Estimate: 2 * time.Second, BestEffort: bestEffort})
		assert.Assert(t, accepted, "best-effort %t", bestEffort)
		r.run(200 * time.Millisecond)
		assert.Equal(t, r.countRunning(2), 4)
	}
}

// A task can be placed while the store is away. If its worker shrinks before the start is
// ordered, the task must start elsewhere.
func TestTaskPlacedBeforeWorkerShrankStartsElsewhere(t *testing.T) {
	r := newResizedCell(t, 2)
	r.resize(2, 8000)
	r.storeDown = true
	assert.Assert(t, r.submitStep(bamboofall.Step{Count: 2, Size: bamboofall.Resources{MilliProcessors: 12_000}, Estimate: time.Second}))
	r.run(100 * time.Millisecond)
	r.resize(1, 16_000)
	r.resize(2, 16_000)
	r.storeDown = false
	r.run(time.Second)
	assert.Equal(t, len(r.running["i-1"]), 1)
	assert.Equal(t, len(r.running["i-2"]), 1)
}

// No member of a gang may start if another one cannot.
func TestGangPlacedBeforeWorkerShrankStartsAsWhole(t *testing.T) {
	r := newResizedCell(t, 3)
	r.resize(3, 0)
	r.storeDown = true
	assert.Assert(t, r.submitStep(bamboofall.Step{Count: 4, Size: bamboofall.Resources{MilliProcessors: 12_000}, Estimate: time.Second, Gang: true}))
	r.run(100 * time.Millisecond)
	r.resize(1, 12_000)
	r.storeDown = false
	r.run(time.Second)
	assert.Equal(t, r.countRunning(1), 0)
	r.resize(3, 12_000)
	r.run(100 * time.Millisecond)
	assert.Equal(t, r.countRunning(1), 4)
}

func TestChangeOfCapacityIsLogged(t *testing.T) {
	r := newResizedCell(t, 1)
	resized := func() (details []string) {
		for _, n := range r.notes {
			if n.Event == "worker resized" {
				assert.Equal(t, n.Worker, "i-1")
				details = append(details, n.Detail)
			}
		}
		return details
	}
	r.resize(1, 32_000)
	r.run(100 * time.Millisecond)
	assert.Equal(t, len(resized()), 0)
	r.resize(1, 16_000)
	r.run(100 * time.Millisecond)
	assert.DeepEqual(t, resized(), []string{"32000 milliprocessors, 131072 MB to 16000 milliprocessors, 131072 MB; reserved 0 milliprocessors, 0 MB"})
}

// A task can be placed while the store is away. If its worker begins to drain before the
// start is ordered, the task must start elsewhere.
func TestTaskPlacedBeforeWorkerDrainedStartsElsewhere(t *testing.T) {
	for _, gang := range []bool{false, true} {
		r := newResizedCell(t, 2)
		r.resize(2, 0)
		r.storeDown = true
		assert.Assert(t, r.submitStep(bamboofall.Step{Count: 2, Size: bamboofall.Resources{MilliProcessors: 12_000}, Estimate: time.Second, Gang: gang}))
		r.run(100 * time.Millisecond)
		draining := testWorker(1)
		draining.Draining, draining.Remaining = true, 10*time.Second
		r.SetWorker(r.now, draining)
		r.resize(2, 32_000)
		r.storeDown = false
		r.run(time.Second)
		assert.Equal(t, len(r.running["i-1"]), 0, "gang %t", gang)
		assert.Equal(t, len(r.running["i-2"]), 2, "gang %t", gang)
	}
}

// While the list of workers is out of date, tasks are neither placed nor ordered, and none
// is stopped to be moved. A worker that has announced itself since gets tasks.
func TestNothingStartsByAnOutdatedList(t *testing.T) {
	r := newResizedCell(t, 2)
	r.WorkersRead(r.now)
	r.resize(2, 0)
	assert.Assert(t, r.submitStep(bamboofall.Step{Count: 1, Size: bamboofall.Resources{MilliProcessors: 1000}, Standing: true}))
	r.run(time.Second)
	r.resize(2, 32_000)
	r.storeDown = true
	assert.Assert(t, r.submitStep(bamboofall.Step{Count: 1, Size: bamboofall.Resources{MilliProcessors: 1000}, Estimate: time.Second}))
	r.run(3400 * time.Millisecond)
	draining := testWorker(1)
	draining.Draining, draining.Remaining = true, 10*time.Second
	r.SetWorker(r.now, draining)
	submit(r.Cell, "0000000000000003", "q", bamboofall.Step{Count: 1, Size: bamboofall.Resources{MilliProcessors: 1000}, Estimate: time.Second})
	r.storeDown = false
	r.run(time.Second)
	r.WorkersRead(r.now)
	r.run(500 * time.Millisecond)
	assert.Equal(t, r.countRunning(1), 1)
	assert.Equal(t, len(r.running["i-1"]), 1)
	assert.Equal(t, r.countRunning(2)+r.countRunning(3), 0)
	r.resize(2, 32_000)
	r.run(100 * time.Millisecond)
	assert.Equal(t, len(r.running["i-1"]), 0)
	assert.Equal(t, len(r.running["i-2"]), 3)
}

// A gang that starts in part waits at its workers for the others.
func TestGangStartsOnceAllItsWorkersHaveAnnouncedThemselves(t *testing.T) {
	r := newResizedCell(t, 2)
	r.WorkersRead(r.now)
	r.storeDown = true
	assert.Assert(t, r.submitStep(bamboofall.Step{Count: 2, Size: bamboofall.Resources{MilliProcessors: 20_000}, Estimate: time.Second, Gang: true}))
	r.run(3400 * time.Millisecond)
	r.storeDown = false
	r.WorkersRead(r.now)
	r.run(100 * time.Millisecond)
	r.resize(1, 32_000)
	r.run(100 * time.Millisecond)
	assert.Equal(t, r.countRunning(1), 0)
	r.resize(2, 32_000)
	r.run(100 * time.Millisecond)
	assert.Equal(t, r.countRunning(1), 2)
}

// What a new owner reads first may have been written before an outage of the store.
func TestNewOwnerStartsNothingByOldAnnouncements(t *testing.T) {
	r := newResizedCell(t, 0)
	for n, age := range []time.Duration{3400 * time.Millisecond, 1000 * time.Millisecond} {
		w := testWorker(n + 1)
		w.Clock = r.clock() - age
		r.SetWorker(r.now, w)
	}
	r.WorkersRead(r.now)
	assert.Assert(t, r.submitStep(bamboofall.Step{Count: 3, Size: bamboofall.Resources{MilliProcessors: 20_000}, Estimate: time.Second}))
	r.run(200 * time.Millisecond)
	assert.Equal(t, len(r.running["i-1"]), 0)
	assert.Equal(t, len(r.running["i-2"]), 1)
	r.resize(1, 24_000)
	r.run(100 * time.Millisecond)
	assert.Equal(t, len(r.running["i-1"]), 1)
}

// Announcements without a clock do not tell their age.
func TestOutdatedListIsReliableOnceReadForLong(t *testing.T) {
	r := newResizedCell(t, 1)
	r.WorkersRead(r.now)
	r.run(3400 * time.Millisecond)
	assert.Assert(t, r.submitStep(bamboofall.Step{Count: 1, Size: bamboofall.Resources{MilliProcessors: 1000}, Estimate: time.Second}))
	for range 49 {
		r.WorkersRead(r.now)
		r.SetWorker(r.now, testWorker(1))
		r.run(100 * time.Millisecond)
	}
	assert.Equal(t, r.countRunning(1), 0)
	r.WorkersRead(r.now)
	r.run(300 * time.Millisecond)
	assert.Equal(t, r.countRunning(1), 1)
}

// A worker can answer before its first announcement is read, and it may be smaller than
// it was.
func TestNothingStartsByCapacityOfFormerProcess(t *testing.T) {
	r := newResizedCell(t, 1)
	assert.Assert(t, r.submitStep(bamboofall.Step{Count: 2, Size: bamboofall.Resources{MilliProcessors: 10_000}, Standing: true}))
	r.run(200 * time.Millisecond)
	assert.Equal(t, r.countRunning(1), 2)
	r.born = r.now
	clear(r.running)
	r.run(time.Second)
	assert.Equal(t, r.countRunning(1), 0)
	w := testWorker(1)
	w.Room.MilliProcessors, w.Born, w.Clock = 16_000, r.born, r.clock()
	r.SetWorker(r.now, w)
	r.run(300 * time.Millisecond)
	assert.Equal(t, r.countRunning(1), 1)
}
