package cell_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

var errUnanswered = &bamboofall.UnknownOutcomeError{Call: "order", Err: errors.New("no answer")}

// tokenOf returns the fencing token of an order.
func tokenOf(o cell.Order) bamboofall.Token {
	if o.Kind == cell.OrderHold {
		return o.Hold.Token
	}
	return o.Start.Token
}

// runOf returns the run that a start order begins.
func runOf(start cell.Order) bamboofall.RunningTask {
	return bamboofall.RunningTask{Task: start.Start.Task, Run: start.Start.Run}
}

func doneEnd(number uint64, start cell.Order) bamboofall.End {
	return bamboofall.End{Number: number, Task: start.Start.Task, Run: start.Start.Run, Cause: bamboofall.EndDone}
}

// A hold call that acknowledges run ends is executed late by a process that has started since. The
// start of any run whose end it could make that process forget must fence it.
func TestStartFencesEarlierAcknowledgement(t *testing.T) {
	d := newManualCell(t)
	first := d.next(cell.OrderStart)
	d.StartAnswered(d.now, first, d.meta(), nil)
	d.HoldAnswered(d.now, d.next(cell.OrderHold), bamboofall.HoldReport{ResponseMeta: d.meta(), Ends: []bamboofall.End{doneEnd(1, first)}}, nil)
	acknowledging := d.next(cell.OrderHold)
	assert.Equal(t, acknowledging.Hold.AcknowledgedEnd, uint64(1))
	d.submit("0000000000000002")
	assert.Assert(t, tokenOf(d.next(cell.OrderStart)) > tokenOf(acknowledging))
}

// The same for a run that was ordered before: the acknowledgement waits for the answer to its
// start, and for a report if the answer does not show which process gave it.
func TestAcknowledgementWaitsForStartsUnderWay(t *testing.T) {
	d := newManualCell(t)
	first := d.next(cell.OrderStart)
	d.StartAnswered(d.now, first, d.meta(), nil)
	hold := d.next(cell.OrderHold)
	d.submit("0000000000000002")
	second := d.next(cell.OrderStart)
	ends := []bamboofall.End{doneEnd(1, first)}
	d.HoldAnswered(d.now, hold, bamboofall.HoldReport{ResponseMeta: d.meta(), Ends: ends}, nil)
	hold = d.next(cell.OrderHold)
	assert.Equal(t, hold.Hold.AcknowledgedEnd, uint64(0), "the start may yet reach another process")

	unnamed := bamboofall.ResponseMeta{Clock: d.meta().Clock}
	d.StartAnswered(d.now, second, unnamed, nil)
	d.HoldAnswered(d.now, hold, bamboofall.HoldReport{ResponseMeta: d.meta(), Ends: ends}, nil)
	hold = d.next(cell.OrderHold)
	assert.Equal(t, hold.Hold.AcknowledgedEnd, uint64(0), "the answer to the start may be another process's")

	d.HoldAnswered(d.now, hold, bamboofall.HoldReport{ResponseMeta: d.meta(), Ends: ends, Running: []bamboofall.RunningTask{runOf(second)}}, nil)
	assert.Equal(t, d.next(cell.OrderHold).Hold.AcknowledgedEnd, uint64(1))
}

// Starts under way must not keep run ends from being acknowledged for ever: a worker lists 500 at
// most.
func TestStartsUnderWayDelayAcknowledgementBriefly(t *testing.T) {
	d := newManualCell(t)
	first := d.next(cell.OrderStart)
	d.StartAnswered(d.now, first, d.meta(), nil)
	running := []bamboofall.RunningTask{}
	var underWay []cell.Order
	for n := range 150 { // 3 s
		submit(d.Cell, fmt.Sprintf("%016x", 2+n), "q", bamboofall.Step{Count: 1, Size: bamboofall.Resources{MilliProcessors: 1}, Estimate: time.Hour})
		d.step()
		var starts []cell.Order
		for _, o := range d.open {
			if o.Kind == cell.OrderStart {
				starts = append(starts, o)
				continue
			}
			if o.Hold.AcknowledgedEnd > 0 {
				return
			}
			report := bamboofall.HoldReport{ResponseMeta: d.meta(), Running: running, Ends: []bamboofall.End{doneEnd(1, first)}}
			d.HoldAnswered(d.now, o, report, nil)
		}
		d.open = nil
		for _, o := range underWay { // answered after the next start was ordered
			d.StartAnswered(d.now, o, d.meta(), nil)
			running = append(running, runOf(o))
		}
		underWay = starts
	}
	t.Fatal("the end was not acknowledged within 3 s")
}

// An order that a later order of the same owner has overtaken is rejected by its token. This must
// not be taken for a successor's claim, and the acknowledgement must be repeated.
func TestOvertakenOrderIsNoDeposition(t *testing.T) {
	d, overtaken := overtakenAcknowledgement(t)
	d.HoldAnswered(d.now, overtaken, bamboofall.HoldReport{}, fenced)
	out := d.Step(d.now)
	assert.Assert(t, !out.Deposed)
	assert.Assert(t, hasNote(out, "order overtaken"))
	assert.Equal(t, len(out.Orders), 1, "no order is sent at once")
	again := out.Orders[0]
	assert.Equal(t, again.Hold.AcknowledgedEnd, uint64(1))
	d.HoldAnswered(d.now, again, bamboofall.HoldReport{ResponseMeta: d.meta()}, nil)
	assert.Assert(t, !d.Step(d.now).Deposed)
}

// A successor's claim must be known at once all the same: the next order is rejected as well.
func TestDepositionIsKnownAfterOvertakenOrder(t *testing.T) {
	d, overtaken := overtakenAcknowledgement(t)
	d.HoldAnswered(d.now, overtaken, bamboofall.HoldReport{}, fenced)
	again := d.Step(d.now).Orders[0]
	d.HoldAnswered(d.now, again, bamboofall.HoldReport{}, fenced)
	out := d.Step(d.now)
	assert.Assert(t, out.Deposed)
	assert.Assert(t, hasNote(out, "fenced"))
}

// An order that no later one of the same owner can have overtaken is rejected.
func TestDepositionIsKnownFromLastOrder(t *testing.T) {
	d := newManualCell(t)
	d.StartAnswered(d.now, d.next(cell.OrderStart), bamboofall.ResponseMeta{}, fenced)
	assert.Assert(t, d.Step(d.now).Deposed)
}

var fenced = &bamboofall.RejectedError{Call: "order", Cause: bamboofall.RejectFenced}

// overtakenAcknowledgement returns a cell and an open hold order that acknowledges a run end and
// that the start of another run has overtaken.
func overtakenAcknowledgement(t *testing.T) (*manualCell, cell.Order) {
	t.Helper()
	d := newManualCell(t)
	first := d.next(cell.OrderStart)
	d.StartAnswered(d.now, first, d.meta(), nil)
	d.HoldAnswered(d.now, d.next(cell.OrderHold), bamboofall.HoldReport{ResponseMeta: d.meta(), Ends: []bamboofall.End{doneEnd(1, first)}}, nil)
	acknowledging := d.next(cell.OrderHold)
	d.submit("0000000000000002")
	d.StartAnswered(d.now, d.next(cell.OrderStart), d.meta(), nil)
	return d, acknowledging
}

func hasNote(out cell.Output, event string) bool {
	return slices.ContainsFunc(out.Notes, func(n cell.Note) bool { return n.Event == event })
}

// Orders that were not answered may be executed seconds later: a start after the task has ended
// elsewhere, a stop or a pace of a later run, a renewal of leases by a former clock. Any later
// order must fence them.
func TestUnansweredOrdersAreFenced(t *testing.T) {
	for _, kind := range []cell.OrderKind{cell.OrderStart, cell.OrderStop, cell.OrderPace, cell.OrderHold} {
		t.Run(kind.String(), func(t *testing.T) {
			d, late := unansweredOrder(t, kind)
			next := d.next(cell.OrderHold)
			assert.Assert(t, tokenOf(next) > tokenOf(late))
		})
	}
}

// The same for orders to a process that has ended: the first order to the next one must fence
// them, also if an answer shows the restart that does not name the process.
func TestFirstOrderToNewProcessFencesEarlierOrders(t *testing.T) {
	for _, named := range []bool{true, false} {
		t.Run(fmt.Sprintf("named %t", named), func(t *testing.T) {
			d := newManualCell(t)
			first := d.next(cell.OrderStart)
			d.StartAnswered(d.now, first, d.meta(), nil)
			former := d.next(cell.OrderHold)
			if named {
				w := testWorker(1)
				w.Born = d.now
				d.SetWorker(d.now, w)
				assert.Assert(t, tokenOf(d.next(cell.OrderHold)) > tokenOf(former))
				return
			}
			d.submit("0000000000000002")
			d.StartAnswered(d.now, d.next(cell.OrderStart), bamboofall.ResponseMeta{Clock: time.Millisecond}, nil)
			assert.Assert(t, tokenOf(d.next(cell.OrderHold)) > tokenOf(former))
		})
	}
}

// The outcome of a start is known from the first report to a later order. Before, its task waited
// for a stop to be confirmed and for another report.
func TestUnansweredStartIsSettledByNextReport(t *testing.T) {
	d := newManualCell(t)
	d.SetWorker(d.now, testWorker(2))
	d.failOnSilence = false
	var start *cell.Order
	for range 50 {
		d.step()
		open := d.open
		d.open = nil
		for _, o := range open {
			switch {
			case o.Kind == cell.OrderHold:
				d.HoldAnswered(d.now, o, bamboofall.HoldReport{ResponseMeta: d.meta()}, nil)
			case o.Kind == cell.OrderStart && start == nil:
				start = &o
				d.StartAnswered(d.now, o, bamboofall.ResponseMeta{}, errUnanswered)
			case o.Kind == cell.OrderStart:
				assert.Equal(t, o.Start.Task, start.Start.Task)
				assert.Assert(t, o.Start.Run > start.Start.Run)
				return
			default:
				t.Fatalf("unexpected %v order", o.Kind)
			}
		}
	}
	t.Fatal("the task was not started again within a second")
}

// A report to an order before the unanswered start must not settle it: the start may still be
// executed.
func TestReportToEarlierOrderDoesNotSettleStart(t *testing.T) {
	d := newManualCell(t)
	d.StartAnswered(d.now, d.next(cell.OrderStart), d.meta(), nil)
	hold := d.next(cell.OrderHold)
	d.submit("0000000000000002")
	start := d.next(cell.OrderStart)
	d.StartAnswered(d.now, start, bamboofall.ResponseMeta{}, errUnanswered)
	d.HoldAnswered(d.now, hold, bamboofall.HoldReport{ResponseMeta: d.meta()}, nil)
	for _, o := range d.Step(d.now).Orders {
		assert.Assert(t, o.Kind != cell.OrderStart || o.Start.Task != start.Start.Task, "started again")
	}
}

// The platform may drop the entry of a worker for a while though its process lives and has seen
// the highest token.
func TestTokensOfRemovedWorkerDoNotFall(t *testing.T) {
	d := newManualCell(t)
	first := d.next(cell.OrderStart)
	d.StartAnswered(d.now, first, d.meta(), nil)
	d.HoldAnswered(d.now, d.next(cell.OrderHold), bamboofall.HoldReport{ResponseMeta: d.meta(), Ends: []bamboofall.End{doneEnd(1, first)}}, nil)
	d.HoldAnswered(d.now, d.next(cell.OrderHold), bamboofall.HoldReport{ResponseMeta: d.meta()}, nil)
	d.submit("0000000000000002")
	second := d.next(cell.OrderStart)
	d.StartAnswered(d.now, second, d.meta(), nil)
	last := d.next(cell.OrderHold)
	d.HoldAnswered(d.now, last, bamboofall.HoldReport{ResponseMeta: d.meta(), Ends: []bamboofall.End{doneEnd(2, second)}}, nil)
	last = d.next(cell.OrderHold)
	d.HoldAnswered(d.now, last, bamboofall.HoldReport{ResponseMeta: d.meta()}, nil)
	d.RemoveWorker(d.now, "i-1")
	for range 2000 { // 40 s
		d.step()
		for _, o := range d.open {
			d.HoldAnswered(d.now, o, bamboofall.HoldReport{ResponseMeta: d.meta()}, nil)
			last = o
		}
		d.open = nil
	}
	known, _ := d.Workers()
	assert.Equal(t, known, 0, "the worker is not removed")
	d.SetWorker(d.now, testWorker(1))
	assert.Assert(t, tokenOf(d.next(cell.OrderHold)) >= tokenOf(last))
}

// Without a higher token an acknowledgement cannot be fenced. The owner must end its epoch and
// acknowledge nothing until then.
func TestUsedUpTokensEndEpoch(t *testing.T) {
	d := newManualCell(t)
	d.UseUpTokens("i-1")
	first := d.next(cell.OrderStart)
	d.StartAnswered(d.now, first, d.meta(), nil)
	ends := []bamboofall.End{doneEnd(1, first)}
	d.HoldAnswered(d.now, d.next(cell.OrderHold), bamboofall.HoldReport{ResponseMeta: d.meta(), Ends: ends}, nil)
	acknowledged, usedUp := 0, false
	for n := range 100 {
		d.now = d.now.Add(20 * time.Millisecond)
		_, number, err := d.Flush()
		assert.NilError(t, err)
		d.Stored(d.now, number)
		out := d.Step(d.now)
		usedUp = usedUp || out.TokensUsedUp
		for _, o := range out.Orders {
			if o.Hold.AcknowledgedEnd > 0 {
				acknowledged++
			}
			ends[0].Number = uint64(2 + n)
			d.HoldAnswered(d.now, o, bamboofall.HoldReport{ResponseMeta: d.meta(), Ends: ends}, nil)
		}
	}
	assert.Assert(t, usedUp)
	assert.Equal(t, acknowledged, 1)
}

// unansweredOrder returns a cell, and an order of a kind that has just timed out.
func unansweredOrder(t *testing.T, kind cell.OrderKind) (*manualCell, cell.Order) {
	t.Helper()
	d := newManualCell(t)
	d.failOnSilence = false
	first := d.next(cell.OrderStart)
	var late cell.Order
	switch kind {
	case cell.OrderStart:
		late = first
		d.StartAnswered(d.now, late, bamboofall.ResponseMeta{}, errUnanswered)
	case cell.OrderStop:
		d.StartAnswered(d.now, first, d.meta(), nil)
		d.Cancel(d.now, first.Start.Task.Job)
		late = d.next(cell.OrderStop)
		d.StopAnswered(d.now, late, bamboofall.ResponseMeta{}, errUnanswered)
	case cell.OrderPace:
		late = d.nextPace(first)
		d.PaceAnswered(d.now, late, bamboofall.ResponseMeta{}, errUnanswered)
	case cell.OrderHold:
		d.StartAnswered(d.now, first, d.meta(), nil)
		late = d.next(cell.OrderHold)
		d.HoldAnswered(d.now, late, bamboofall.HoldReport{}, errUnanswered)
	}
	for _, o := range d.open { // those that were under way
		if o.Kind == cell.OrderHold {
			d.HoldAnswered(d.now, o, bamboofall.HoldReport{ResponseMeta: d.meta()}, nil)
		}
	}
	d.open = nil
	return d, late
}

// nextPace starts a best-effort task beside a serving task whose tail latency is above its target,
// and returns the order that slows it.
func (d *manualCell) nextPace(first cell.Order) cell.Order {
	d.t.Helper()
	submit(d.Cell, "0000000000000002", "q", bamboofall.Step{
		Count: 1, Size: bamboofall.Resources{MilliProcessors: 1000}, Standing: true, TailTarget: 50 * time.Millisecond, Image: "a",
	})
	submit(d.Cell, "0000000000000003", "q", bamboofall.Step{Count: 1, Size: bamboofall.Resources{MilliProcessors: 1000}, Estimate: time.Hour, BestEffort: true, Image: "b"})
	running := []bamboofall.RunningTask{runOf(first)}
	d.StartAnswered(d.now, first, d.meta(), nil)
	for range 500 {
		d.step()
		open := d.open
		d.open = nil
		for i, o := range open {
			switch o.Kind {
			case cell.OrderStart:
				d.StartAnswered(d.now, o, d.meta(), nil)
				running = append(running, runOf(o))
			case cell.OrderHold:
				for i := range running {
					running[i].ProgressPercent, running[i].Gauge = 100, 200
				}
				d.HoldAnswered(d.now, o, bamboofall.HoldReport{ResponseMeta: d.meta(), Running: running}, nil)
			case cell.OrderPace:
				d.open = append(d.open, open[i+1:]...)
				return o
			}
		}
	}
	d.t.Fatal("no pace order")
	return cell.Order{}
}
