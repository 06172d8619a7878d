package front

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bamboofall.example/bamboofall/internal/state/lease"
)

func TestOneLateWindowDoesNotMakeAnOwnerSlow(t *testing.T) {
	m := newMetrics("a")
	d := newDelays(m)
	late := func() time.Duration {
		for range 10 {
			d.waited(waitEvent, slowOwner*6/5)
		}
		d.waited(waitOrder, time.Millisecond)
		return d.close()
	}
	assert.Assert(t, late() < slowOwner)
	assert.Assert(t, late() < slowOwner)
	assert.Assert(t, late() >= slowOwner, "three in a row do")
	assert.Assert(t, d.close() < slowOwner, "it is over as soon as nothing waits")
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
	for _, name := range []string{"ownerDelaySeconds", "ownerRing", "ownerOrdersUnderWay", "ownerOrderWait_bucket", "ownerEventWait_bucket", "ownerTickLate_bucket", "ownerStep_bucket"} {
		assert.Assert(t, strings.Contains(page.String(), name), name)
	}
}
