package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// A start that did not reach an idle worker counts as a granted lease. It must not keep
// later tasks from the worker.
func TestIdleWorkerIsUsedAfterOrdersThatWereNotSent(t *testing.T) {
	for name, err := range map[string]error{
		"withheld": withheldError(bamboofall.WithheldUnconfirmed),
		"relay":    &bamboofall.NotDoneError{Call: "order", Err: relayFailed},
	} {
		t.Run(name, func(t *testing.T) {
			d := newManualCell(t)
			start, hold := d.next(cell.OrderStart), d.next(cell.OrderHold)
			d.StartAnswered(d.now, start, bamboofall.ResponseMeta{}, err)
			d.HoldAnswered(d.now, hold, bamboofall.HoldReport{}, err)
			_, known := d.Cancel(d.now, "0000000000000001")
			assert.Assert(t, known)
			var running []bamboofall.RunningTask
			starts := func(within time.Duration) (n int) {
				for until := d.now.Add(within); d.now.Before(until); {
					d.step()
					for _, o := range d.open {
						if o.Kind == cell.OrderHold {
							d.HoldAnswered(d.now, o, bamboofall.HoldReport{ResponseMeta: d.meta(), Running: running}, nil)
							continue
						}
						assert.Equal(t, o.Kind, cell.OrderStart)
						n++
						running = append(running, bamboofall.RunningTask{Task: o.Start.Task, Run: o.Start.Run})
						d.StartAnswered(d.now, o, d.meta(), nil)
					}
					d.open = nil
				}
				return n
			}
			assert.Equal(t, starts(6*time.Second), 0)
			d.submit("0000000000000002")
			assert.Equal(t, starts(time.Second), 1)
		})
	}
}
