package cell_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// A start that waits in the owner must not leave it once the job is cancelled.
func TestAStartIsWithdrawnWithItsJob(t *testing.T) {
	d := newDriven(t)
	start := d.next(cell.OrderStart)
	assert.Assert(t, !start.Withdrawn())
	d.Cancel(d.now, "0000000000000001")
	assert.Assert(t, start.Withdrawn())
	stop := d.next(cell.OrderStop)
	assert.Assert(t, !stop.Withdrawn())
	d.Started(d.now, start, bamboofall.Sighting{}, withheld(bamboofall.WithheldWithdrawn))
	d.Stopped(d.now, stop, d.seen(), nil)
	d.submit("0000000000000002")
	next := d.next(cell.OrderStart)
	assert.Equal(t, next.Start.Task.Job, bamboofall.JobID("0000000000000002"))
	assert.Assert(t, !next.Withdrawn())
}

// A start that waits in the owner must not leave it once its task may be begun
// elsewhere.
func TestAStartIsWithdrawnWithTheLifeOfItsWorker(t *testing.T) {
	d := newDriven(t)
	start := d.next(cell.OrderStart)
	d.SetWorker(d.now, bamboofall.Worker{WorkerRef: start.Worker, Born: d.now, Service: "s", Room: bamboofall.Resources{MilliProcessors: 1000}})
	assert.Assert(t, start.Withdrawn())
}
