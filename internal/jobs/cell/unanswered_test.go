package cell_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

const (
	// standingRestartBound is the longest time between two runs of a standing task while
	// there is capacity.
	standingRestartBound = 9 * time.Second
	// orderTimeout is how long an answer may take beyond the wait of a hold call.
	orderTimeout = 400 * time.Millisecond
	// orderLatency is the time until an order has arrived and its answer is back.
	orderLatency = 10 * time.Millisecond
)

// standingTask simulates a cell with two workers and a standing task. Orders wait in the
// owner for ownerDelay. Calls to the worker with the first run get no answer after
// diesAt, or if loses returns true, in which case they are carried out.
type standingTask struct {
	ownerDelay time.Duration
	// upAfter is the time until a run of the task is up.
	upAfter time.Duration
	// diesAt is when the worker with the first run dies, if ever.
	diesAt time.Duration
	loses  func(o cell.Order, sent time.Duration) bool
	// lost is the error of calls without an answer.
	lost error
	// lateBy is how long after the call was given up a lost answer to a hold call arrives, if
	// ever.
	lateBy time.Duration
}

// standingOutcome is what became of the runs of a standingTask.
type standingOutcome struct {
	// starts are the times at which starts reached a worker.
	starts []time.Duration
	// stops are the times at which stops reached a worker.
	stops []time.Duration
	// lapsedAt is when the lease of the first run ended at its worker, or zero.
	lapsedAt time.Duration
	// quarantined counts the workers taken for suspect.
	quarantined int
}

func (s standingTask) run(t *testing.T, length time.Duration) standingOutcome {
	t.Helper()
	c := cell.New(cell.Config{Epoch: 1, Lease: 5 * time.Second, EndedJobRetention: time.Minute, RemoteFactor: 2})
	c.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}})
	c.SetWorker(testStart, testWorker(1))
	c.SetWorker(testStart, testWorker(2))
	submit(c, "0000000000000001", "q", bamboofall.Step{Count: 1, Size: bamboofall.Resources{MilliProcessors: 1000}, Standing: true, TailTarget: time.Second, Image: "serving"})

	var out standingOutcome
	const clockAtStart = time.Second
	runs := make(map[string]bamboofall.RunningTask)
	startedAt := make(map[string]time.Duration)
	ends := make(map[string][]bamboofall.End)
	// waiting holds the function that answers the last hold call which waits for an end.
	waiting := make(map[string]func(now time.Duration))
	first, lease := "", time.Duration(0)
	actions := make(map[time.Duration][]func(now time.Duration))
	at := func(d time.Duration, f func(now time.Duration)) { actions[d] = append(actions[d], f) }
	deliver := func(now time.Duration, o cell.Order, report bamboofall.HoldReport, err error) {
		switch o.Kind {
		case cell.OrderStart:
			c.StartAnswered(testStart.Add(now), o, report.ResponseMeta, err)
		case cell.OrderStop:
			c.StopAnswered(testStart.Add(now), o, report.ResponseMeta, err)
		case cell.OrderHold:
			c.HoldAnswered(testStart.Add(now), o, report, err)
		}
	}
	reportOf := func(id string, now time.Duration) bamboofall.HoldReport {
		report := bamboofall.HoldReport{ResponseMeta: bamboofall.ResponseMeta{Clock: now + clockAtStart, Born: testStart}, Ends: ends[id]}
		if r, ok := runs[id]; ok {
			if now-startedAt[id] >= s.upAfter {
				r.ProgressPercent = 100
			}
			report.Running = append(report.Running, r)
		}
		return report
	}
	send := func(now time.Duration, o cell.Order) {
		id, sent := o.Worker.ID, now
		dead := func(now time.Duration) bool { return s.diesAt > 0 && id == first && now >= s.diesAt }
		answered := now + o.Hold.Wait + orderLatency
		if dead(answered) || id == first && s.loses != nil && s.loses(o, now) {
			at(now+o.Hold.Wait+orderTimeout, func(now time.Duration) { deliver(now, o, bamboofall.HoldReport{}, s.lost) })
			if s.lateBy > 0 && !dead(answered) && o.Kind == cell.OrderHold {
				at(answered, func(now time.Duration) {
					report := reportOf(id, now)
					at(sent+o.Hold.Wait+orderTimeout+s.lateBy, func(now time.Duration) { c.LateHoldAnswered(testStart.Add(now), o, report) })
				})
			}
		} else {
			open := true
			answer := func(now time.Duration) {
				if !open {
					return
				}
				open = false
				deliver(now, o, reportOf(id, now), nil)
			}
			at(answered, answer)
			if o.Hold.Wait > 0 {
				waiting[id] = answer
			}
		}
		if dead(now) {
			return
		}
		switch o.Kind {
		case cell.OrderStart:
			if first == "" {
				first = id
			}
			out.starts = append(out.starts, now)
			runs[id], startedAt[id] = bamboofall.RunningTask{Task: o.Start.Task, Run: o.Start.Run, Gauge: 10}, now
		case cell.OrderStop:
			out.stops = append(out.stops, now)
			delete(runs, id)
			ends[id] = append(ends[id], bamboofall.End{Number: 1, Task: o.Start.Task, Run: o.Start.Run, Cause: bamboofall.EndStopped})
			if answer := waiting[id]; answer != nil {
				at(now+orderLatency, answer)
			}
		}
		if id == first {
			lease = max(lease, o.Hold.LeaseUntil, o.Start.LeaseUntil)
		}
	}
	for now := time.Duration(0); now < length; now += 10 * time.Millisecond {
		for _, f := range actions[now] {
			f(now)
		}
		delete(actions, now)
		if first != "" && out.lapsedAt == 0 && now+clockAtStart > lease {
			out.lapsedAt = now
			delete(runs, first)
		}
		if s.ownerDelay > 0 {
			c.SetOwnerDelay(testStart.Add(now), s.ownerDelay)
		}
		c.SetClaimConfirmed(testStart.Add(now))
		step := c.Step(testStart.Add(now))
		for _, n := range step.Notes {
			if n.Event == "worker suspect" {
				out.quarantined++
			}
		}
		for _, o := range step.Orders {
			at(now+max(10*time.Millisecond, s.ownerDelay), func(now time.Duration) { send(now, o) })
		}
		_, number, err := c.Flush()
		assert.NilError(t, err)
		c.Stored(testStart.Add(now), number)
	}
	return out
}

// lostAnswer and lostResult are the errors of a call without an answer from the worker
// and of one without a result from the relay.
var (
	lostAnswer = &bamboofall.UnknownOutcomeError{Call: "hold", Err: context.DeadlineExceeded}
	lostResult = &bamboofall.UnknownOutcomeError{Call: "hold", Err: relayFailed}
)

// testRestartBound checks the time until a standing task runs again after its worker died
// at any point between two hold calls.
func testRestartBound(t *testing.T, lost error) {
	for _, delay := range []time.Duration{0, 150 * time.Millisecond, 350 * time.Millisecond} {
		t.Run(fmt.Sprintf("owner delay %v", delay), func(t *testing.T) {
			longest, worst := time.Duration(0), time.Duration(0)
			for diesAt := 5 * time.Second; diesAt < 7500*time.Millisecond; diesAt += 100 * time.Millisecond {
				out := standingTask{ownerDelay: delay, diesAt: diesAt, lost: lost}.run(t, 35*time.Second)
				assert.Equal(t, len(out.starts), 2)
				if took := out.starts[1] - diesAt; took > longest {
					longest, worst = took, diesAt
				}
			}
			t.Logf("at most %v", longest)
			assert.Check(t, longest <= standingRestartBound, "started %v after its worker died at %v", longest, worst)
		})
	}
}

// A slow owner must not delay the restart of a standing task beyond the bound. Each call
// to the dead worker granted it another lease.
func TestSlowOwnerRestartsStandingTaskOfDeadWorkerInTime(t *testing.T) {
	testRestartBound(t, lostAnswer)
}

// The same if the worker is called by way of a relay, whose failures count against no
// worker.
func TestStandingTaskBehindFailingRelayIsRestartedInTime(t *testing.T) {
	testRestartBound(t, lostResult)
}

// The worker must keep its leases as long as no more than two answers in a row are late or
// lost.
func TestLeaseSurvivesTwoLostAnswers(t *testing.T) {
	for name, lost := range map[string]error{"answer": lostAnswer, "result of a relay": lostResult} {
		for _, delay := range []time.Duration{0, 150 * time.Millisecond, 350 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, owner delay %v", name, delay), func(t *testing.T) {
				for from := 5 * time.Second; from < 7500*time.Millisecond; from += 100 * time.Millisecond {
					n := 0
					out := standingTask{ownerDelay: delay, lost: lost, loses: func(o cell.Order, sent time.Duration) bool {
						if o.Kind != cell.OrderHold || sent < from || n == 2 {
							return false
						}
						n++
						return true
					}}.run(t, 25*time.Second)
					assert.Equal(t, n, 2)
					assert.Check(t, out.lapsedAt == 0, "lost from %v on: the lease lapsed at %v", from, out.lapsedAt)
					assert.Check(t, len(out.starts) == 1 && len(out.stops) == 0, "lost from %v on: %+v", from, out)
				}
			})
		}
	}
}

// A worker whose answers all arrive after the calls were given up must keep its leases.
func TestLeaseSurvivesLateAnswers(t *testing.T) {
	for _, delay := range []time.Duration{150 * time.Millisecond, 350 * time.Millisecond} {
		for _, lateBy := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond} {
			out := standingTask{ownerDelay: delay, lost: lostAnswer, lateBy: lateBy, loses: func(o cell.Order, sent time.Duration) bool {
				return o.Kind == cell.OrderHold && sent > 5*time.Second
			}}.run(t, 40*time.Second)
			assert.Check(t, out.lapsedAt == 0 && len(out.starts) == 1, "owner delay %v, late by %v: %+v", delay, lateBy, out)
		}
	}
}

// A standing task that came up in time must not be stopped because the answer that reports
// it was lost.
func TestStandingTaskIsStoppedOnlyOnceReportedLate(t *testing.T) {
	for _, delay := range []time.Duration{0, 150 * time.Millisecond, 350 * time.Millisecond} {
		lostFirst := false
		out := standingTask{ownerDelay: delay, upAfter: 500 * time.Millisecond, lost: lostAnswer, loses: func(o cell.Order, _ time.Duration) bool {
			lose := o.Kind == cell.OrderHold && o.Hold.Wait > 0 && !lostFirst
			lostFirst = lostFirst || lose
			return lose
		}}.run(t, 12*time.Second)
		assert.Check(t, len(out.starts) == 1 && len(out.stops) == 0 && out.quarantined == 0, "owner delay %v: %+v", delay, out)
	}
}

// One that does not come up is stopped once a report shows it.
func TestStandingTaskThatDoesNotComeUpIsStopped(t *testing.T) {
	const startTimeout, longestWait = 4 * time.Second, 2 * time.Second
	for _, delay := range []time.Duration{0, 150 * time.Millisecond, 350 * time.Millisecond} {
		out := standingTask{ownerDelay: delay, upAfter: time.Hour}.run(t, 8*time.Second)
		assert.Equal(t, len(out.stops), 1, "owner delay %v: %+v", delay, out)
		assert.Equal(t, out.quarantined, 1)
		assert.Equal(t, len(out.starts), 2)
		took := out.stops[0] - out.starts[0]
		assert.Check(t, took <= startTimeout+longestWait+orderTimeout+2*delay, "owner delay %v: stopped after %v", delay, took)
	}
}
