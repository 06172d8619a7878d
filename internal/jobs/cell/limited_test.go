package cell_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// Best-effort tasks must be throttled before a serving task has missed its target for
// MaxTailViolation, even while calls are limited. Half of that time is left for the pace
// order and for reported figures that lag.
func TestLimitedOwnerMonitorsTailsOfMixedWorker(t *testing.T) {
	for _, delay := range []time.Duration{150 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) { testMonitorsMixedWorker(t, delay) })
	}
}

func testMonitorsMixedWorker(t *testing.T, delay time.Duration) {
	t.Helper()
	const maxTailViolation, others = 4 * time.Second, 400
	c := cell.New(cell.Config{Epoch: 1, Lease: 5 * time.Second, EndedJobRetention: time.Minute, RemoteFactor: 2, MaxTailViolation: maxTailViolation})
	c.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{
		{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second},
		{Name: "m", Service: "m", MaxAttempts: 3, Stretch: 2, Slack: time.Second},
	}})
	room := bamboofall.Resources{MilliProcessors: 32_000, MemoryBytes: 128 << 30}
	announce := func(id, service string) {
		c.SetWorker(testStart, bamboofall.Worker{
			WorkerRef: bamboofall.WorkerRef{ID: id, Address: netip.MustParseAddrPort("10.0.0.1:80")}, Born: testStart, Service: service, Room: room,
		})
	}
	for n := range others {
		announce(fmt.Sprintf("i-%03d", n), "s")
	}
	announce("i-mixed", "m")
	submit(c, "0000000000000001", "q", bamboofall.Step{Count: others, Size: bamboofall.Resources{MilliProcessors: 1000}, Standing: true, MaxPerWorker: 1})
	submit(c, "0000000000000002", "m", bamboofall.Step{Count: 1, Size: bamboofall.Resources{MilliProcessors: 1000}, Standing: true, Image: "serve", TailTarget: time.Second})
	submit(c, "0000000000000003", "m", bamboofall.Step{Count: 1, Size: bamboofall.Resources{MilliProcessors: 1000}, Estimate: time.Hour, BestEffort: true, Image: "fill"})
	running := make(map[string][]bamboofall.RunningTask)
	answers := make(map[time.Duration][]func(now time.Time))
	answeredAt := time.Duration(0)
	for d := time.Duration(0); d < 40*time.Second; d += 10 * time.Millisecond {
		now := testStart.Add(d)
		for _, f := range answers[d] {
			f(now)
		}
		delete(answers, d)
		_, number, err := c.Flush()
		assert.NilError(t, err)
		c.Stored(now, number)
		if d > 10*time.Second {
			c.SetOwnerDelay(now, delay)
		}
		for _, o := range c.Step(now).Orders {
			mixed := o.Worker.ID == "i-mixed"
			took := 50 * time.Millisecond
			if mixed {
				took += o.Hold.Wait // no run ends there
			}
			answers[d+took] = append(answers[d+took], func(now time.Time) {
				meta := bamboofall.ResponseMeta{Clock: now.Sub(testStart) + time.Second, Born: testStart}
				switch o.Kind {
				case cell.OrderStart:
					running[o.Worker.ID] = append(running[o.Worker.ID], bamboofall.RunningTask{Task: o.Start.Task, Run: o.Start.Run, ProgressPercent: 100})
					c.StartAnswered(now, o, meta, nil)
				case cell.OrderHold:
					c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta, Running: running[o.Worker.ID]}, nil)
				case cell.OrderPace:
					c.PaceAnswered(now, o, meta, nil)
				}
				if mixed && o.Kind == cell.OrderHold {
					at := now.Sub(testStart)
					assert.Check(t, d < 20*time.Second || at-answeredAt < maxTailViolation/2, "at %v the mixed worker had not answered for %v", at, at-answeredAt)
					answeredAt = at
				}
			})
		}
	}
	assert.Equal(t, len(running["i-mixed"]), 2)
	assert.Assert(t, answeredAt > 35*time.Second)
}
