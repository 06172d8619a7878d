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

func TestOneLateWindowDoesNotMakeAnOwnerSlow(t *testing.T) {
	m := newMetrics("a")
	d := newDelays(m)
	late := func() time.Duration {
		for range 10 {
			d.waited(waitEvent, cell.SlowOwner*6/5)
		}
		d.waited(waitOrder, time.Millisecond)
		return d.close()
	}
	assert.Assert(t, late() < cell.SlowOwner)
	assert.Assert(t, late() < cell.SlowOwner)
	assert.Assert(t, late() >= cell.SlowOwner, "three in a row do")
	assert.Assert(t, d.close() < cell.SlowOwner, "it is over as soon as nothing waits")
}

// Neither a worker that is silent nor a data centre that is cut off makes an owner
// slow, but a link that is full delays even the fastest answers.
func TestOnlyWhatAnswersHaveInCommonIsTheOwners(t *testing.T) {
	const timeout = 400 * time.Millisecond
	delay := func(fast, slow int) time.Duration {
		d := newDelays(newMetrics("a"))
		longest := time.Duration(0)
		for range 5 {
			for i := range fast {
				d.answered(fmt.Sprintf("fast-%d", i), 10*time.Millisecond)
			}
			for i := range slow {
				d.answered(fmt.Sprintf("slow-%d", i), timeout)
			}
			longest = max(longest, d.close())
		}
		return longest
	}
	assert.Assert(t, delay(20, 5) < cell.SlowOwner)
	assert.Assert(t, delay(20, 40) < cell.SlowOwner, "two of three data centres are cut off")
	assert.Equal(t, delay(0, answersLeast-1), time.Duration(0), "few workers were called")
	assert.Assert(t, delay(0, 40) >= cell.SlowOwner)
	assert.Assert(t, delay(2, 40) >= cell.SlowOwner)

	d := newDelays(newMetrics("a"))
	for range 5 {
		for i := range 40 {
			d.answered(fmt.Sprint(i), timeout)
		}
		d.close()
	}
	for range 5 {
		d.close()
	}
	assert.Assert(t, d.close() < cell.SlowOwner, "nothing is told any more")
}

// An operator must see whether the owner is slow, or the workers are.
func TestASlowOwnerIsReportedAgainAndAgainButNotOften(t *testing.T) {
	f := newFleet(t, 1, 0, time.Millisecond)
	fr := f.fronts[0].Front
	o := newOwner(context.Background(), fr, lease.Record{Epoch: 7}, time.Time{}, 1)
	began := now()
	const watched = 10 * time.Second
	for passed := time.Duration(0); passed < watched; passed += delayWindow {
		o.delays.waited(waitOrder, time.Second)
		o.watchDelay(began.Add(passed))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := strings.Count(f.log.String(), `"msg":"owner slow"`); n != int(watched/slowEvery) {
			return poll.Continue("%d lines", n)
		}
		return poll.Success()
	})
	var page bytes.Buffer
	assert.NilError(t, fr.metrics.Write(&page, bucketLines))
	for _, name := range []string{"ownerDelaySeconds", "ownerRing", "ownerOrdersUnderWay", "ownerOrderWait_bucket", "ownerEventWait_bucket", "ownerTickLate_bucket", "ownerAnswerTime_bucket", "ownerStep_bucket"} {
		assert.Assert(t, strings.Contains(page.String(), name), name)
	}
}

// A loop that was busy once took the events that had gathered a few at a time, and
// made a step after each few: the longer a step took, the more events waited.
func TestALoopThatIsBehindTakesAllEventsBeforeAStep(t *testing.T) {
	f := newFleet(t, 1, 0, time.Millisecond)
	o := newOwner(context.Background(), f.fronts[0].Front, lease.Record{Epoch: 7}, time.Time{}, 1)
	taken := 0
	for range ownerRing {
		o.push(o.ctx, func(time.Time) { taken++ })
	}
	o.drainEvents()
	assert.Equal(t, taken, ownerRing)
}
