package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/state/lease"
)

// lostWorker is a worker that was lost before a handover and ran a standing task. The
// platform does not list it any more.
type lostWorker struct {
	// openRecord is set if the worker's record does not list its runs.
	openRecord bool
	// formerLeases is the time from the handover to the end of all leases of the former
	// owner, negative if they ended before it.
	formerLeases time.Duration
	// ownerDelay is the new owner's own delay.
	ownerDelay time.Duration
	// marked is the time from the former owner's start until the handover, if records tell
	// when leases end, or zero.
	marked time.Duration
	// result returns the result of a call to the worker, made some time after the handover.
	result func(at time.Duration) error
}

// formerRecords returns the records of the former owner, which found the worker silent
// unless its record is to stay open.
func (l lostWorker) formerRecords(t *testing.T, lost bamboofall.Worker) []bamboofall.StoredRecord {
	t.Helper()
	var clock lease.CellClock
	if l.marked > 0 {
		clock = lease.NewCellClock(0, testStart)
	}
	former := newCellWithClock(clock, lost)
	submit(former, "0000000000000001", "q", standingStep)
	values := make(map[string][]byte)
	var running []bamboofall.RunningTask
	for d := time.Duration(0); d < time.Second; d += 20 * time.Millisecond {
		now := testStart.Add(d)
		for _, o := range former.Step(now).Orders {
			meta := bamboofall.ResponseMeta{Clock: d + time.Second, Born: testStart}
			switch {
			case o.Kind == cell.OrderStart:
				running = append(running, bamboofall.RunningTask{Task: o.Start.Task, Run: o.Start.Run, ProgressPercent: 100})
				former.StartAnswered(now, o, meta, nil)
			case o.Kind == cell.OrderHold && d >= time.Second/2 && !l.openRecord:
				former.HoldAnswered(now, o, bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: "hold"})
			case o.Kind == cell.OrderHold:
				former.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta, Running: running}, nil)
			}
		}
		flushed, number, err := former.Flush()
		assert.NilError(t, err)
		former.Stored(now, number)
		for _, r := range flushed {
			values[r.Key] = r.Value
		}
	}
	return storedRecords(values)
}

// restart returns the time from the handover to the start of the task at another worker,
// or zero if it is not started.
func (l lostWorker) restart(t *testing.T) time.Duration {
	t.Helper()
	lost, other := testWorker(1), testWorker(2)
	stored := l.formerRecords(t, lost)
	c := cell.New(cell.Config{
		Epoch: 2, Lease: 5 * time.Second, FormerLeasesEnd: testStart.Add(l.formerLeases), EndedJobRetention: time.Minute, RemoteFactor: 2,
		Clock: lease.NewCellClock(0, testStart.Add(-l.marked)),
	})
	c.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}})
	assert.Equal(t, len(c.Restore(testStart, stored)), 0)
	c.SetWorker(testStart, other)
	for d := time.Duration(0); d < 30*time.Second; d += 20 * time.Millisecond {
		now := testStart.Add(d)
		c.SetClaimConfirmed(now)
		if l.ownerDelay > 0 {
			c.SetOwnerDelay(now, l.ownerDelay)
		}
		for _, o := range c.Step(now).Orders {
			meta := bamboofall.ResponseMeta{Clock: d + time.Second, Born: testStart}
			switch {
			case o.Kind == cell.OrderStart && o.Worker.ID == other.ID:
				return d
			case o.Kind == cell.OrderHold && o.Worker.ID == other.ID:
				c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta}, nil)
			case o.Kind == cell.OrderHold:
				c.HoldAnswered(now, o, bamboofall.HoldReport{}, l.result(d))
			}
		}
		_, number, err := c.Flush()
		assert.NilError(t, err)
		c.Stored(now, number)
	}
	return 0
}

// Tasks of a worker that was silent before the handover are restarted once its own leases
// have ended, and not only with those of all workers.
func TestTasksOfLostWorkerRestartWhenItsLeasesHaveEnded(t *testing.T) {
	// The worker is silent from 0.5 s on, at most holdWait after its last lease was granted.
	const lastGrant, slack = time.Second / 2, 200 * time.Millisecond
	leases := lastGrant + cell.MaxLeaseDuration(5*time.Second)
	unanswered := &bamboofall.UnknownOutcomeError{Call: "hold"}
	for _, marked := range []time.Duration{2 * time.Second, 4 * time.Second, 10 * time.Second} {
		at := lostWorker{formerLeases: 12 * time.Second, marked: marked, result: always(unanswered)}.restart(t)
		end := max(0, leases-marked)
		assert.Assert(t, at >= end-slack && at < end+slack, "handover after %v: restarted after %v, leases end after %v", marked, at, end)
	}
	at := lostWorker{openRecord: true, formerLeases: 12 * time.Second, marked: 4 * time.Second, result: always(unanswered)}.restart(t)
	assert.Assert(t, at > 12*time.Second, "a worker that was not silent may have later leases: restarted after %v", at)
}

func always(err error) func(time.Duration) error {
	return func(time.Duration) error { return err }
}

// until returns a result that changes some time after the handover.
func until(change time.Duration, before, after error) func(time.Duration) error {
	return func(at time.Duration) error {
		if at < change {
			return before
		}
		return after
	}
}

// Tasks of a lost worker are restarted once the leases of the former owner have ended,
// however the calls to the worker fail, or as soon as another process answers at its
// address, as the worker's own has ended then.
func TestTasksOfLostWorkerRestartAfterHandover(t *testing.T) {
	const former, slack = 7 * time.Second, time.Second
	unanswered := &bamboofall.UnknownOutcomeError{Call: "hold"}
	reused := &bamboofall.RejectedError{Call: "hold", Cause: bamboofall.RejectWrongProcess}
	reusedByOlder := &bamboofall.RejectedError{
		Call: "hold", Cause: bamboofall.RejectWrongProcess, ResponseMeta: bamboofall.ResponseMeta{Born: testStart.Add(-time.Minute)},
	}
	reusedByLater := &bamboofall.RejectedError{
		Call: "hold", Cause: bamboofall.RejectWrongProcess, ResponseMeta: bamboofall.ResponseMeta{Born: testStart.Add(time.Minute)},
	}
	rejected := &bamboofall.RejectedError{Call: "hold", Cause: bamboofall.RejectLeaseExpired}
	overloaded := &bamboofall.NotDoneError{Call: "hold", Overloaded: true}
	relayFailed := &bamboofall.NotDoneError{Call: "hold", Err: &bamboofall.RelayError{}}
	for name, l := range map[string]struct {
		lostWorker
		// earliest is the earliest time of the restart.
		earliest time.Duration
	}{
		"unreachable":                                   {lostWorker{result: always(unanswered)}, former},
		"unreachable, open record":                      {lostWorker{openRecord: true, result: always(unanswered)}, former},
		"address reused":                                {lostWorker{result: always(reused)}, 0},
		"address reused by an older worker":             {lostWorker{result: always(reusedByOlder)}, 0},
		"address reused by a later worker":              {lostWorker{result: always(reusedByLater)}, 0},
		"address reused, open record":                   {lostWorker{openRecord: true, result: always(reused)}, 0},
		"address reused by a later worker, open record": {lostWorker{openRecord: true, result: always(reusedByLater)}, 0},
		"address reused, slow owner":                    {lostWorker{ownerDelay: 2 * cell.SlowOwnerDelay, result: always(reused)}, 0},
		"address reused later":                          {lostWorker{result: until(former/2, unanswered, reused)}, former / 2},
		"address reused, relay fails at first":          {lostWorker{result: until(former/2, relayFailed, reused)}, former / 2},
		"relay fails":                                   {lostWorker{result: always(relayFailed)}, former},
		"rejected":                                      {lostWorker{result: always(rejected)}, former},
		"rejected, slow owner":                          {lostWorker{ownerDelay: 2 * cell.SlowOwnerDelay, result: always(rejected)}, former},
		"rejected as overloaded":                        {lostWorker{result: always(overloaded)}, former},
	} {
		t.Run(name, func(t *testing.T) {
			l.formerLeases = former
			at := l.restart(t)
			assert.Assert(t, at > l.earliest && at < l.earliest+slack, "restarted after %v", at)
		})
	}
}

// The same if the leases ended before the new owner could make its first call, as the
// handover took long.
func TestTasksOfLostWorkerRestartAfterLateHandover(t *testing.T) {
	const slack = time.Second
	unanswered := &bamboofall.UnknownOutcomeError{Call: "hold"}
	reused := &bamboofall.RejectedError{Call: "hold", Cause: bamboofall.RejectWrongProcess}
	relayFailed := &bamboofall.NotDoneError{Call: "hold", Err: &bamboofall.RelayError{}}
	unconfirmed := withheldError(bamboofall.WithheldUnconfirmed)
	for name, l := range map[string]lostWorker{
		"unreachable":              {result: always(unanswered)},
		"unreachable, open record": {openRecord: true, result: always(unanswered)},
		"unreachable, slow owner":  {ownerDelay: 2 * cell.SlowOwnerDelay, result: always(unanswered)},
		"address reused":           {result: always(reused)},
		"relay fails":              {result: always(relayFailed)},
	} {
		t.Run(name, func(t *testing.T) {
			l.formerLeases = -2 * time.Second
			at := l.restart(t)
			assert.Assert(t, at > 0 && at < slack, "restarted after %v", at)
		})
	}
	t.Run("calls withheld", func(t *testing.T) {
		const former, resumed = 2 * time.Second, 4 * time.Second
		at := lostWorker{formerLeases: former, result: until(resumed, unconfirmed, unanswered)}.restart(t)
		assert.Assert(t, at > former && at < resumed+slack, "restarted after %v", at)
	})
}

// A worker becomes silent, and an owner takes over with its closed record. Then the worker
// is announced with a later start time, while calls to it still fail. Its runs have ended
// with the former process: their tasks must be restarted at once.
func TestTasksOfLostWorkerRestartOnceItHasRestarted(t *testing.T) {
	const restarted, slack = 3 * time.Second, 500 * time.Millisecond
	lost, other := testWorker(1), testWorker(2)
	stored := lostWorker{}.formerRecords(t, lost)
	c := cell.New(cell.Config{
		Epoch: 2, Lease: 5 * time.Second, FormerLeasesEnd: testStart.Add(20 * time.Second), EndedJobRetention: time.Minute, RemoteFactor: 2,
	})
	c.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}})
	assert.Equal(t, len(c.Restore(testStart, stored)), 0)
	c.SetWorker(testStart, other)
	startedAt := time.Duration(0)
	for d := time.Duration(0); d < 15*time.Second && startedAt == 0; d += 20 * time.Millisecond {
		now := testStart.Add(d)
		c.SetClaimConfirmed(now)
		if d == restarted {
			again := lost
			again.Born = now
			c.SetWorker(now, again)
		}
		for _, o := range c.Step(now).Orders {
			meta := bamboofall.ResponseMeta{Clock: d + time.Second, Born: testStart}
			switch {
			case o.Kind == cell.OrderStart && o.Worker.ID == other.ID:
				startedAt = d
			case o.Kind == cell.OrderHold && o.Worker.ID == other.ID:
				c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta}, nil)
			case o.Kind == cell.OrderHold:
				c.HoldAnswered(now, o, bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: "hold"})
			}
		}
		_, number, err := c.Flush()
		assert.NilError(t, err)
		c.Stored(now, number)
	}
	assert.Assert(t, startedAt >= restarted && startedAt < restarted+slack, "restarted after %v", startedAt)
}

// The clock of a VM is set back, and a worker restarts there with an earlier start time
// than its former process. Reports of the process that was called no longer come: its
// standing tasks must be restarted.
func TestTasksOfWorkerRestartedWithEarlierStartTimeRestart(t *testing.T) {
	const restarted, limit = 2 * time.Second, 8 * time.Second
	lost, other := testWorker(1), testWorker(2)
	c := newTestCell(lost)
	submit(c, "0000000000000001", "q", standingStep)
	var running []bamboofall.RunningTask
	startedAt := time.Duration(0)
	for d := time.Duration(0); d < 20*time.Second && startedAt == 0; d += 20 * time.Millisecond {
		now := testStart.Add(d)
		c.SetClaimConfirmed(now)
		meta := bamboofall.ResponseMeta{Clock: d + time.Second, Born: testStart}
		if d == restarted {
			c.SetWorker(now, other)
		}
		for _, o := range c.Step(now).Orders {
			switch {
			case o.Kind == cell.OrderStart && o.Worker.ID == other.ID:
				startedAt = d
			case o.Kind == cell.OrderHold && o.Worker.ID == other.ID:
				c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta}, nil)
			case o.Kind == cell.OrderStart:
				running = append(running, bamboofall.RunningTask{Task: o.Start.Task, Run: o.Start.Run, ProgressPercent: 100})
				c.StartAnswered(now, o, meta, nil)
			case o.Kind == cell.OrderHold && d < restarted:
				c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta, Running: running}, nil)
			case o.Kind == cell.OrderHold:
				earlier := bamboofall.ResponseMeta{Clock: d - restarted + time.Second, Born: testStart.Add(-time.Minute)}
				c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: earlier}, nil)
			}
		}
		_, number, err := c.Flush()
		assert.NilError(t, err)
		c.Stored(now, number)
	}
	assert.Assert(t, startedAt > restarted && startedAt < limit, "restarted after %v", startedAt)
}
