package cell_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// A start order that is still queued in the owner must not be sent once the job is
// cancelled.
func TestStartIsWithdrawnWhenJobIsCancelled(t *testing.T) {
	d := newManualCell(t)
	start := d.next(cell.OrderStart)
	assert.Assert(t, !start.Withdrawn())
	d.Cancel(d.now, "0000000000000001")
	assert.Assert(t, start.Withdrawn())
	stop := d.next(cell.OrderStop)
	assert.Assert(t, !stop.Withdrawn())
	d.StartAnswered(d.now, start, bamboofall.ResponseMeta{}, withheldError(bamboofall.WithheldWithdrawn))
	d.StopAnswered(d.now, stop, d.meta(), nil)
	d.submit("0000000000000002")
	next := d.next(cell.OrderStart)
	assert.Equal(t, next.Start.Task.Job, bamboofall.JobID("0000000000000002"))
	assert.Assert(t, !next.Withdrawn())
}

// A start order that is still queued in the owner must not be sent once its task was
// started again.
func TestStartIsWithdrawnBeforeTaskIsRestarted(t *testing.T) {
	d := newManualCell(t)
	start := d.next(cell.OrderStart)
	born := d.now
	room := bamboofall.Resources{MilliProcessors: 32_000, MemoryBytes: 128 << 30}
	d.SetWorker(d.now, bamboofall.Worker{WorkerRef: start.Worker, Born: born, Service: "s", Room: room})
	for range 100 {
		d.step()
		open := d.open
		d.open = nil
		for _, o := range open {
			if o.Kind == cell.OrderHold {
				d.HoldAnswered(d.now, o, bamboofall.HoldReport{ResponseMeta: bamboofall.ResponseMeta{Clock: d.now.Sub(born) + 1, Born: born}}, nil)
				continue
			}
			assert.Assert(t, o.Kind != cell.OrderStart || start.Withdrawn())
		}
	}
}
