package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// newServingProgress returns the progress of an owner that has just made a step.
func newServingProgress(at time.Time, workers, silent int) *ownerProgress {
	p := &ownerProgress{claimedAt: at.Add(-time.Minute)}
	p.restoredAt.set(at.Add(-50 * time.Second))
	p.steppedAt.set(at)
	p.loop.Store(&loopState{cell: cell.Status{Known: workers, Silent: silent}})
	return p
}

// In an idle cell a dead worker is called several times a second and the others hardly
// ever, so its failures alone say nothing about the owner.
func TestUnansweredCallsAreStallOnlyIfMostWorkersAreSilent(t *testing.T) {
	began := now()
	for _, c := range []struct {
		silent int
		want   duty
	}{{1, dutyDecide}, {2, dutyCall}, {3, dutyCall}} {
		p := newServingProgress(began, 3, c.silent)
		at := began
		for ; at.Before(began.Add(6 * time.Second)); at = at.Add(500 * time.Millisecond) {
			p.steppedAt.set(at)
			p.callFailed(at)
		}
		d, stalled := p.longestStall(at)
		assert.Equal(t, d, c.want, "%d of 3 workers silent", c.silent)
		assert.Equal(t, d == dutyCall, stalled == 6*time.Second)
		p.workerAnswered()
		d, _ = p.longestStall(at)
		assert.Equal(t, d, dutyDecide)
	}
}

// A restore of many records takes longer than a stall, and makes progress.
func TestRestoreStallsSinceLastProgress(t *testing.T) {
	began := now()
	p := &ownerProgress{claimedAt: began}
	p.restoringAt.set(began)
	p.restoringAt.set(began.Add(8 * time.Second))
	d, stalled := p.longestStall(began.Add(10 * time.Second))
	assert.Equal(t, d, dutyRestore)
	assert.Equal(t, stalled, 2*time.Second)
}
