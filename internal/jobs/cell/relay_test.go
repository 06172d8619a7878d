package cell_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

var relayFailed = &bamboofall.RelayError{Relay: "10.0.0.9:7000", Reason: "the relay did not answer"}

// manualCell is a cell with one worker and a job with one task. Its orders stay open
// until the test answers them.
type manualCell struct {
	*cell.Cell
	t    *testing.T
	now  time.Time
	open []cell.Order
	// ownerDelay is the owner's own delay. failOnSilence makes step fail if a worker
	// becomes silent.
	ownerDelay    time.Duration
	failOnSilence bool
}

func newManualCell(t *testing.T) *manualCell {
	t.Helper()
	c := cell.New(cell.Config{Epoch: 1, Lease: 5 * time.Second, EndedJobRetention: time.Minute, RemoteFactor: 2})
	c.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}})
	c.SetWorker(testStart, bamboofall.Worker{
		WorkerRef: bamboofall.WorkerRef{ID: "i-1", Address: netip.MustParseAddrPort("10.0.0.1:80")}, Born: testStart, Service: "s",
		Room: bamboofall.Resources{MilliProcessors: 32_000, MemoryBytes: 128 << 30},
	})
	d := &manualCell{Cell: c, t: t, now: testStart, failOnSilence: true}
	d.HoldAnswered(d.now, d.next(cell.OrderHold), bamboofall.HoldReport{ResponseMeta: d.meta()}, nil)
	d.submit("0000000000000001")
	return d
}

func (d *manualCell) submit(id string) {
	submit(d.Cell, id, "q", bamboofall.Step{Count: 1, Size: bamboofall.Resources{MilliProcessors: 1000}, Estimate: time.Second})
}

func (d *manualCell) meta() bamboofall.ResponseMeta {
	return bamboofall.ResponseMeta{Clock: d.now.Sub(testStart) + time.Second, Born: testStart}
}

// step advances the time by 20 ms, stores the pending records and steps the cell.
func (d *manualCell) step() {
	d.now = d.now.Add(20 * time.Millisecond)
	_, number, err := d.Flush()
	assert.NilError(d.t, err)
	d.Stored(d.now, number)
	d.SetOwnerDelay(d.now, d.ownerDelay)
	out := d.Step(d.now)
	for _, n := range out.Notes {
		assert.Assert(d.t, !d.failOnSilence || n.Event != "worker silent", n.Detail)
	}
	d.open = append(d.open, out.Orders...)
}

// next returns the oldest open order of a kind, stepping until there is one.
func (d *manualCell) next(kind cell.OrderKind) cell.Order {
	d.t.Helper()
	for range 50 {
		for i, o := range d.open {
			if o.Kind == kind {
				d.open = slices.Delete(d.open, i, i+1)
				return o
			}
		}
		d.step()
	}
	d.t.Fatal("no open order of the kind after 50 steps")
	return cell.Order{}
}

// The failure of a relay must not make the workers behind it count as silent: nothing
// would be placed at any of them.
func TestRelayFailureDoesNotSilenceWorker(t *testing.T) {
	for name, err := range map[string]error{
		"not done": &bamboofall.NotDoneError{Call: "order", Reason: "it waited too long", Err: relayFailed},
		"unknown":  &bamboofall.UnknownOutcomeError{Call: "order", Err: relayFailed},
	} {
		t.Run(name, func(t *testing.T) {
			d := newManualCell(t)
			d.StartAnswered(d.now, d.next(cell.OrderStart), d.meta(), nil)
			d.HoldAnswered(d.now, d.next(cell.OrderHold), bamboofall.HoldReport{}, err)
			d.submit("0000000000000002")
			failed := d.now
			start := d.next(cell.OrderStart)
			assert.Equal(t, start.Start.Task.Job, bamboofall.JobID("0000000000000002"))
			assert.Assert(t, d.now.Sub(failed) <= 40*time.Millisecond)
			d.StartAnswered(d.now, start, d.meta(), nil)
			again := d.next(cell.OrderHold)
			assert.Equal(t, again.Hold.Wait, 2*time.Second, "a relay failure is not a lost answer")
		})
	}
}

func TestStartThatFailedAtRelayIsReorderedImmediately(t *testing.T) {
	d := newManualCell(t)
	first := d.next(cell.OrderStart)
	d.StartAnswered(d.now, first, bamboofall.ResponseMeta{}, &bamboofall.NotDoneError{Call: "order", Reason: "it waited too long", Err: relayFailed})
	failed := d.now
	again := d.next(cell.OrderStart)
	assert.Equal(t, again.Worker.ID, "i-1")
	assert.Assert(t, again.Start.Run > first.Start.Run)
	assert.Assert(t, d.now.Sub(failed) <= 40*time.Millisecond)
}

// The answer to a hold call can arrive after the call was given up, and carry run ends.
func TestLateAnswerIsApplied(t *testing.T) {
	d := newManualCell(t)
	start := d.next(cell.OrderStart)
	d.StartAnswered(d.now, start, d.meta(), nil)
	givenUp := d.next(cell.OrderHold)
	d.HoldAnswered(d.now, givenUp, bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: "order", Err: relayFailed})
	again := d.next(cell.OrderHold)
	ended := bamboofall.HoldReport{ResponseMeta: d.meta(), Ends: []bamboofall.End{{Number: 1, Task: start.Start.Task, Run: start.Start.Run, Cause: bamboofall.EndDone}}}
	d.LateHoldAnswered(d.now, givenUp, ended)
	_, open := d.Jobs()
	assert.Equal(t, open, 0)
	for range 20 {
		d.step()
	}
	assert.Equal(t, len(d.open), 0, "another order although the hold call is still open")
	d.HoldAnswered(d.now, again, ended, nil)
	assert.Equal(t, d.next(cell.OrderHold).Hold.AcknowledgedEnd, uint64(1))
}
