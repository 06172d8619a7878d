package cell_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/state/lease"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
)

// A worker becomes silent while a start there waits for the store. A successor takes the
// runs in the closed record for all that may exist at the worker, so the task must not be
// started there any more.
func TestNoStartAtWorkerWhoseRecordIsClosed(t *testing.T) {
	silent, other := testWorker(1), testWorker(2)
	c := newTestCell(silent)
	now, lost := testStart, false
	var held []cell.Order
	startedAt := ""
	step := func() {
		now = now.Add(20 * time.Millisecond)
		for _, o := range c.Step(now).Orders {
			meta := bamboofall.ResponseMeta{Clock: now.Sub(testStart) + time.Second, Born: testStart}
			switch {
			case o.Kind == cell.OrderStart:
				startedAt = o.Worker.ID
			case lost && o.Worker.ID == silent.ID:
				held = append(held, o)
			default:
				c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta}, nil)
			}
		}
	}
	flush := func() (record *jobpb.Worker) {
		records, number, err := c.Flush()
		assert.NilError(t, err)
		for _, r := range records {
			if r.Key == "w"+silent.ID {
				record = &jobpb.Worker{}
				assert.NilError(t, proto.Unmarshal(r.Value, record))
			}
		}
		c.Stored(now, number)
		return record
	}
	step()
	flush()
	lost = true
	submit(c, "0000000000000001", "q", standingStep)
	for len(held) == 0 {
		step()
	}
	assert.Equal(t, startedAt, "", "started before the store has the record of the job")
	c.HoldAnswered(now, held[0], bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: "hold"})
	record := flush()
	assert.Assert(t, record.GetSilent() && len(record.GetRuns()) == 0, "%v", record)
	step()
	assert.Equal(t, startedAt, "", "started at a worker whose record lists no runs")
	c.SetWorker(now, other)
	for range 10 {
		step()
		flush()
	}
	assert.Equal(t, startedAt, other.ID)
}

// A silent worker, whose record tells when its leases end, answers again. As long as a
// successor may restore that record, the worker must not get a later lease.
func TestNoLeaseWhileRecordTellsTheirEnd(t *testing.T) {
	c := newCellWithClock(lease.NewCellClock(0, testStart), testWorker(1))
	submit(c, "0000000000000001", "q", standingStep)
	now, silent, storing := testStart, false, true
	var running []bamboofall.RunningTask
	leases, unstored := 0, uint64(0)
	run := func(d time.Duration) {
		for until := now.Add(d); now.Before(until); now = now.Add(20 * time.Millisecond) {
			for _, o := range c.Step(now).Orders {
				meta := bamboofall.ResponseMeta{Clock: now.Sub(testStart) + time.Second, Born: testStart}
				switch {
				case o.Kind == cell.OrderStart:
					running = append(running, bamboofall.RunningTask{Task: o.Start.Task, Run: o.Start.Run, ProgressPercent: 100})
					c.StartAnswered(now, o, meta, nil)
				case silent:
					c.HoldAnswered(now, o, bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: "hold"})
				default:
					if o.Hold.LeaseUntil > 0 {
						leases++
					}
					c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta, Running: running}, nil)
				}
			}
			if _, number, err := c.Flush(); storing {
				assert.NilError(t, err)
				c.Stored(now, number)
			} else {
				unstored = max(unstored, number)
			}
		}
	}
	run(time.Second)
	silent = true
	run(time.Second)
	silent, storing, leases = false, false, 0
	run(time.Second)
	assert.Equal(t, leases, 0, "leases before the record is reopened")
	storing = true
	c.Stored(now, unstored)
	run(time.Second)
	assert.Assert(t, leases > 0)
}

// A former owner may have throttled a best-effort run at a draining worker, whose record
// lists the run but not its pace.
func TestThrottledRunOfDrainingWorkerGetsFullPaceAfterHandover(t *testing.T) {
	worker := testWorker(1)
	former := newTestCell(worker)
	submit(former, "0000000000000001", "q", bamboofall.Step{
		Count: 1, Size: bamboofall.Resources{MilliProcessors: 1000}, Estimate: time.Minute, BestEffort: true, Image: "fill",
	})
	var running []bamboofall.RunningTask
	values := make(map[string][]byte)
	pace := -1
	run := func(c *cell.Cell, from, to time.Duration) {
		for d := from; d < to; d += 20 * time.Millisecond {
			now := testStart.Add(d)
			meta := bamboofall.ResponseMeta{Clock: d + time.Second, Born: testStart}
			for _, o := range c.Step(now).Orders {
				switch o.Kind {
				case cell.OrderStart:
					running = append(running, bamboofall.RunningTask{Task: o.Start.Task, Run: o.Start.Run, ProgressPercent: 1})
					c.StartAnswered(now, o, meta, nil)
				case cell.OrderHold:
					c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta, Running: running}, nil)
				case cell.OrderPace:
					pace = o.Percent
					c.PaceAnswered(now, o, meta, nil)
				}
			}
			records, number, err := c.Flush()
			assert.NilError(t, err)
			c.Stored(now, number)
			for _, r := range records {
				values[r.Key] = r.Value
			}
		}
	}
	run(former, 0, time.Second)
	assert.Equal(t, len(running), 1)
	worker.Draining, worker.Remaining = true, 9*time.Second
	former.SetWorker(testStart.Add(time.Second), worker)
	run(former, time.Second, 1500*time.Millisecond)

	next := cell.New(cell.Config{Epoch: 2, Lease: 5 * time.Second, FormerLeasesEnd: testStart.Add(9 * time.Second), EndedJobRetention: time.Minute, RemoteFactor: 2, MaxTailViolation: 4 * time.Second})
	next.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}})
	assert.Equal(t, len(next.Restore(testStart.Add(2*time.Second), storedRecords(values))), 0)
	next.SetWorker(testStart.Add(2*time.Second), worker)
	run(next, 2*time.Second, 3*time.Second)
	assert.Equal(t, pace, 100)
}
