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

// twoZoneCell is a cell with two workers in data centre a and two in b, which run all that is
// ordered until it is stopped.
type twoZoneCell struct {
	*cell.Cell
	t       *testing.T
	now     time.Time
	running map[string][]bamboofall.RunningTask
}

func newTwoZoneCell(t *testing.T, evacuated ...bamboofall.DataCentre) *twoZoneCell {
	c := &twoZoneCell{newTestCell(), t, testStart, make(map[string][]bamboofall.RunningTask)}
	c.SetEvacuated(testStart, evacuated)
	for n := range 4 {
		w := testWorker(n)
		w.Zone = []bamboofall.DataCentre{"a", "a", "b", "b"}[n]
		c.SetWorker(testStart, w)
	}
	return c
}

// step steps the cell and stores its records. It returns the starts, which are not answered.
func (c *twoZoneCell) step() (starts []cell.Order) {
	c.now = c.now.Add(20 * time.Millisecond)
	for _, o := range c.Step(c.now).Orders {
		id := o.Worker.ID
		switch o.Kind {
		case cell.OrderStart:
			starts = append(starts, o)
		case cell.OrderStop:
			c.running[id] = slices.DeleteFunc(c.running[id], func(r bamboofall.RunningTask) bool { return r.Task == o.Start.Task })
			c.StopAnswered(c.now, o, c.meta(), nil)
		case cell.OrderHold:
			for i := range c.running[id] {
				c.running[id][i].ProgressPercent = int(c.now.Sub(testStart) / time.Second)
			}
			c.HoldAnswered(c.now, o, bamboofall.HoldReport{ResponseMeta: c.meta(), Running: slices.Clone(c.running[id])}, nil)
		}
	}
	_, number, err := c.Flush()
	assert.NilError(c.t, err)
	c.Stored(c.now, number)
	return starts
}

func (c *twoZoneCell) meta() bamboofall.ResponseMeta {
	return bamboofall.ResponseMeta{Clock: c.now.Sub(testStart) + time.Second, Born: testStart}
}

func (c *twoZoneCell) carryOut(o cell.Order) {
	c.running[o.Worker.ID] = append(c.running[o.Worker.ID], bamboofall.RunningTask{Task: o.Start.Task, Run: o.Start.Run})
	c.StartAnswered(c.now, o, c.meta(), nil)
}

// run carries out all starts for some time, and returns their data centres.
func (c *twoZoneCell) run(d time.Duration) map[bamboofall.DataCentre]int {
	starts := make(map[bamboofall.DataCentre]int)
	for until := c.now.Add(d); c.now.Before(until); {
		for _, o := range c.step() {
			starts[o.DataCentre]++
			c.carryOut(o)
		}
	}
	return starts
}

type startsByZone = map[bamboofall.DataCentre]int

var wholeWorker = bamboofall.Step{Count: 4, Size: bamboofall.Resources{MilliProcessors: 30_000}, Estimate: time.Minute}

func TestNothingStartsInEvacuatedDataCentre(t *testing.T) {
	c := newTwoZoneCell(t, "a") // before any worker is known, as after a handover
	submit(c.Cell, "0000000000000001", "q", wholeWorker)
	assert.DeepEqual(t, c.run(2*time.Second), startsByZone{"b": 2})
	c.SetEvacuated(c.now, []bamboofall.DataCentre{"b"})
	assert.DeepEqual(t, c.run(100*time.Millisecond), startsByZone{"a": 2})
	c.run(2 * time.Second)
	assert.Equal(t, c.Counters().Stopped, int64(0), "what runs there runs on")
}

// A data centre is evacuated while starts there await the store, and while orders are queued.
func TestStartsThatWereNotSentAreWithdrawn(t *testing.T) {
	c := newTwoZoneCell(t)
	c.run(200 * time.Millisecond)
	submit(c.Cell, "0000000000000001", "q", wholeWorker)
	c.Step(c.now) // places the tasks; the release of the step is not stored
	c.SetEvacuated(c.now, []bamboofall.DataCentre{"a"})
	assert.DeepEqual(t, c.run(time.Second), startsByZone{"b": 2})

	d := newManualCell(t)
	start := d.next(cell.OrderStart)
	d.SetEvacuated(d.now, []bamboofall.DataCentre{start.DataCentre})
	assert.Assert(t, start.Withdrawn())
	d.StartAnswered(d.now, start, bamboofall.ResponseMeta{}, withheldError(bamboofall.WithheldEvacuated))
	for range 20 {
		d.step()
		for _, o := range d.open {
			assert.Assert(t, o.Kind != cell.OrderStart)
		}
	}
	d.SetEvacuated(d.now, nil)
	assert.Equal(t, d.next(cell.OrderStart).Start.Task, start.Start.Task)
}

// A gang of which one start is withheld is started elsewhere as a whole.
func TestGangIsWithdrawnAsAWhole(t *testing.T) {
	c := newTwoZoneCell(t)
	c.run(200 * time.Millisecond)
	gang := wholeWorker
	gang.Count, gang.Gang, gang.Size.MilliProcessors = 3, true, 16_000
	submit(c.Cell, "0000000000000001", "q", gang)
	var starts []cell.Order
	for len(starts) == 0 {
		starts = c.step()
	}
	assert.Equal(t, len(starts), 3)
	evacuated := starts[0].DataCentre
	withheld := 0
	for _, o := range starts { // the sender knows of the evacuation before the cell does
		if o.DataCentre == evacuated && withheld == 0 {
			withheld++
			c.StartAnswered(c.now, o, bamboofall.ResponseMeta{}, withheldError(bamboofall.WithheldEvacuated))
			continue
		}
		c.carryOut(o)
	}
	c.SetEvacuated(c.now, []bamboofall.DataCentre{evacuated})
	other := map[bamboofall.DataCentre]bamboofall.DataCentre{"a": "b", "b": "a"}[evacuated]
	assert.DeepEqual(t, c.run(3*time.Second), startsByZone{other: 3})
}

// An evacuation is taken back before the starts that it withdrew are withheld.
func TestGangIsWithdrawnAfterShortEvacuation(t *testing.T) {
	c := newTwoZoneCell(t)
	c.run(200 * time.Millisecond)
	gang := wholeWorker
	gang.Gang = true
	submit(c.Cell, "0000000000000001", "q", gang)
	var starts []cell.Order
	for len(starts) == 0 {
		starts = c.step()
	}
	c.SetEvacuated(c.now, []bamboofall.DataCentre{"a"})
	c.SetEvacuated(c.now, nil)
	for _, o := range starts {
		if o.Withdrawn() {
			c.StartAnswered(c.now, o, bamboofall.ResponseMeta{}, withheldError(bamboofall.WithheldWithdrawn))
			continue
		}
		c.carryOut(o)
	}
	assert.DeepEqual(t, c.run(3*time.Second), startsByZone{"a": 2, "b": 2})
}

// A submission that nothing can run is refused at once, with the reason.
func TestSubmissionIsRefusedWhileAllIsEvacuated(t *testing.T) {
	c := newTwoZoneCell(t)
	c.run(200 * time.Millisecond)
	c.SetEvacuated(c.now, []bamboofall.DataCentre{"a", "b"})
	for _, standing := range []bool{false, true} {
		step := wholeWorker
		step.Standing = standing
		_, refusal := c.Submit(c.now, &bamboofall.Job{ID: "0000000000000001", Queue: "q", Steps: []bamboofall.Step{step}})
		assert.Assert(t, refusal != nil)
		assert.Equal(t, refusal.Reason, cell.ReasonEvacuated)
		assert.Assert(t, refusal.RetryAfter > 0)
	}
	c.SetEvacuated(c.now, []bamboofall.DataCentre{"a"})
	submit(c.Cell, "0000000000000001", "q", wholeWorker)
	assert.DeepEqual(t, c.run(time.Second), startsByZone{"b": 2})
}

// The work that fits in time is that of the remaining room, from the evacuation on.
func TestAdmissionReckonsWithRemainingRoom(t *testing.T) {
	accepted := func(evacuated ...bamboofall.DataCentre) (n int) {
		c := newTwoZoneCell(t)
		c.run(200 * time.Millisecond)
		c.SetEvacuated(c.now, evacuated)
		for i := range 100 {
			_, refusal := c.Submit(c.now, &bamboofall.Job{ID: bamboofall.JobID(fmt.Sprintf("%016x", i)), Queue: "q", Steps: []bamboofall.Step{{
				Count: 4, Size: bamboofall.Resources{MilliProcessors: 16_000}, Estimate: time.Second,
			}}})
			if refusal != nil {
				break
			}
			n++
			c.run(20 * time.Millisecond)
		}
		return n
	}
	all, half := accepted(), accepted("a")
	assert.Assert(t, half < all && half >= all/2-1, "%d of %d", half, all)
}
