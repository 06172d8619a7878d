package front

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/state/lease"
)

func TestOwnerIsSlowOnlyAfterThreeLateWindows(t *testing.T) {
	m := newMetrics("a")
	d := newDelayMonitor(m)
	lateWindow := func() time.Duration {
		for range 10 {
			d.recordWait(delayEvent, cell.SlowOwnerDelay*6/5)
		}
		d.recordWait(delayOrder, time.Millisecond)
		delay, _ := d.closeWindow()
		return delay
	}
	assert.Assert(t, lateWindow() < cell.SlowOwnerDelay)
	assert.Assert(t, lateWindow() < cell.SlowOwnerDelay)
	assert.Assert(t, lateWindow() >= cell.SlowOwnerDelay, "not slow after three late windows")
	delay, _ := d.closeWindow()
	assert.Assert(t, delay < cell.SlowOwnerDelay, "still slow after a window without waits")
}

// Silent workers or an unreachable data centre must not classify the owner as slow. A
// saturated link must, as it delays even the fastest responses.
func TestOwnerDelayIgnoresSlowWorkersIfOthersRespondFast(t *testing.T) {
	const timeout = 400 * time.Millisecond
	delay := func(fast, slow int) time.Duration {
		d := newDelayMonitor(newMetrics("a"))
		longest := time.Duration(0)
		for range 5 {
			for i := range fast {
				d.recordResponse(fmt.Sprintf("fast-%d", i), 10*time.Millisecond)
			}
			for i := range slow {
				d.recordResponse(fmt.Sprintf("slow-%d", i), timeout)
			}
			delay, _ := d.closeWindow()
			longest = max(longest, delay)
		}
		return longest
	}
	assert.Assert(t, delay(20, 5) < cell.SlowOwnerDelay)
	assert.Assert(t, delay(20, 40) < cell.SlowOwnerDelay, "slow with two of three data centres unreachable")
	assert.Equal(t, delay(0, minWorkersCalled-1), time.Duration(0), "delay measured with too few workers")
	assert.Assert(t, delay(0, 40) >= cell.SlowOwnerDelay)
	assert.Assert(t, delay(2, 40) >= cell.SlowOwnerDelay)

	d := newDelayMonitor(newMetrics("a"))
	for range 5 {
		for i := range 40 {
			d.recordResponse(fmt.Sprint(i), timeout)
		}
		d.closeWindow()
	}
	for range 5 {
		d.closeWindow()
	}
	last, _ := d.closeWindow()
	assert.Assert(t, last < cell.SlowOwnerDelay, "still slow after windows without responses")
}

// Log and metrics must show whether the owner or the workers are slow.
func TestSlowOwnerIsLoggedAtInterval(t *testing.T) {
	f := newTestCluster(t, 1, 0, time.Millisecond)
	fr := f.entries[0].Front
	o := newOwner(context.Background(), fr, lease.Record{Epoch: 7}, time.Time{}, lease.CellClock{}, 1)
	began := now()
	const duration = 10 * time.Second
	for elapsed := time.Duration(0); elapsed < duration; elapsed += delayWindow {
		o.delays.recordWait(delayOrder, time.Second)
		o.updateDelay(began.Add(elapsed))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := strings.Count(f.log.String(), `"msg":"owner slow"`); n != int(duration/slowLogInterval) {
			return poll.Continue("%d lines about a slow owner", n)
		}
		return poll.Success()
	})
	var metrics bytes.Buffer
	assert.NilError(t, fr.metrics.Write(&metrics, formatHistogram))
	for _, name := range []string{"ownerDelaySeconds", "ownerRing", "ownerOrdersUnderWay", "ownerOrderWait_bucket", "ownerEventWait_bucket", "ownerTickLate_bucket", "ownerAnswerTime_bucket", "ownerStep_bucket"} {
		assert.Assert(t, strings.Contains(metrics.String(), name), name)
	}
}

// If a busy loop handled only a few queued events per step, the queue would grow with
// the duration of a step.
func TestBacklogIsHandledBeforeNextStep(t *testing.T) {
	f := newTestCluster(t, 1, 0, time.Millisecond)
	o := newOwner(context.Background(), f.entries[0].Front, lease.Record{Epoch: 7}, time.Time{}, lease.CellClock{}, 1)
	handled := 0
	for range eventQueueSize {
		o.push(o.ctx, loopTopics, func(time.Time) { handled++ })
	}
	o.handleQueuedEvents()
	assert.Equal(t, handled, eventQueueSize)
}

// Each job waits for requests and ends of appends, so these must not wait for the results of
// orders for other jobs.
func TestRequestsAndAppendsAreHandledBeforeResults(t *testing.T) {
	f := newTestCluster(t, 1, 0, time.Millisecond)
	o := newOwner(context.Background(), f.entries[0].Front, lease.Record{Epoch: 7}, time.Time{}, lease.CellClock{}, 1)
	var handled []loopDuty
	for _, d := range []loopDuty{loopResults, loopTopics, loopResults, loopStored, loopRequests} {
		o.push(o.ctx, d, func(time.Time) { handled = append(handled, d) })
	}
	o.handleQueuedEvents()
	assert.DeepEqual(t, handled, []loopDuty{loopStored, loopRequests, loopResults, loopTopics, loopResults})
}

func TestProcessorProbeMeasuresWait(t *testing.T) {
	d := newDelayMonitor(newMetrics("a"))
	ctx, cancel := context.WithTimeout(t.Context(), 20*processorProbeInterval)
	defer cancel()
	assert.NilError(t, d.probeProcessor(ctx))
	assert.Assert(t, d.window[delayProcessor].n > 0)
}
