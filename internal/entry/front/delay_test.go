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
			d.recordWait(delayEvent, cell.SlowOwner*6/5)
		}
		d.recordWait(delayOrder, time.Millisecond)
		return d.closeWindow()
	}
	assert.Assert(t, lateWindow() < cell.SlowOwner)
	assert.Assert(t, lateWindow() < cell.SlowOwner)
	assert.Assert(t, lateWindow() >= cell.SlowOwner, "three in a row do")
	assert.Assert(t, d.closeWindow() < cell.SlowOwner, "it is over as soon as nothing waits")
}

// Neither a worker that is silent nor a data centre that is cut off makes an owner
// slow, but a link that is full delays even the fastest answers.
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
			longest = max(longest, d.closeWindow())
		}
		return longest
	}
	assert.Assert(t, delay(20, 5) < cell.SlowOwner)
	assert.Assert(t, delay(20, 40) < cell.SlowOwner, "two of three data centres are cut off")
	assert.Equal(t, delay(0, minWorkersCalled-1), time.Duration(0), "few workers were called")
	assert.Assert(t, delay(0, 40) >= cell.SlowOwner)
	assert.Assert(t, delay(2, 40) >= cell.SlowOwner)

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
	assert.Assert(t, d.closeWindow() < cell.SlowOwner, "nothing is told any more")
}

// An operator must see whether the owner is slow, or the workers are.
func TestSlowOwnerIsLoggedAtInterval(t *testing.T) {
	f := newTestCluster(t, 1, 0, time.Millisecond)
	fr := f.entries[0].Front
	o := newOwner(context.Background(), fr, lease.Record{Epoch: 7}, time.Time{}, 1)
	began := now()
	const duration = 10 * time.Second
	for elapsed := time.Duration(0); elapsed < duration; elapsed += delayWindow {
		o.delays.recordWait(delayOrder, time.Second)
		o.updateDelay(began.Add(elapsed))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := strings.Count(f.log.String(), `"msg":"owner slow"`); n != int(duration/slowLogInterval) {
			return poll.Continue("%d lines", n)
		}
		return poll.Success()
	})
	var page bytes.Buffer
	assert.NilError(t, fr.metrics.Write(&page, formatHistogram))
	for _, name := range []string{"ownerDelaySeconds", "ownerRing", "ownerOrdersUnderWay", "ownerOrderWait_bucket", "ownerEventWait_bucket", "ownerTickLate_bucket", "ownerAnswerTime_bucket", "ownerStep_bucket"} {
		assert.Assert(t, strings.Contains(page.String(), name), name)
	}
}

// A loop that was busy once took the events that had gathered a few at a time, and
// made a step after each few: the longer a step took, the more events waited.
func TestBacklogIsDrainedBeforeNextStep(t *testing.T) {
	f := newTestCluster(t, 1, 0, time.Millisecond)
	o := newOwner(context.Background(), f.entries[0].Front, lease.Record{Epoch: 7}, time.Time{}, 1)
	handled := 0
	for range eventQueueSize {
		o.push(o.ctx, func(time.Time) { handled++ })
	}
	o.drainEvents()
	assert.Equal(t, handled, eventQueueSize)
}
