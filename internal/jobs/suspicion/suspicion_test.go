package suspicion

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestWorkerStaysAvailableAfterOneFailure(t *testing.T) {
	var w Worker
	assert.Assert(t, !w.RecordFailure(start, false))
	assert.Assert(t, w.Available(start))
}

func TestWorkerIsPausedAfterConsecutiveFailures(t *testing.T) {
	var w Worker
	w.RecordFailure(start, false)
	assert.Assert(t, w.RecordFailure(start, false))
	assert.Assert(t, !w.Available(start.Add(initialPause-time.Millisecond)))
	assert.Assert(t, w.Available(start.Add(initialPause)))
}

func TestWorkerIsPausedAfterOneStalledRun(t *testing.T) {
	var w Worker
	assert.Assert(t, w.RecordFailure(start, true))
	assert.Assert(t, !w.Available(start))
}

// A worker full of standing tasks never becomes empty. It must be probed all the
// same, with one task at a time.
func TestSuspectWorkerGetsOneTaskPerProbeInterval(t *testing.T) {
	var w Worker
	w.RecordFailure(start, true)
	at := start.Add(initialPause)
	assert.Assert(t, w.Available(at))
	w.RecordAssignment(at)
	assert.Assert(t, !w.Available(at))
	at = at.Add(probeInterval)
	assert.Assert(t, w.Available(at))
	w.RecordSuccess(at)
	w.RecordAssignment(at)
	assert.Assert(t, w.Available(at))
}

// At a worker where runs fail at once, each probe fails before the next one is due.
func TestFailureWithinProbeIntervalExtendsPause(t *testing.T) {
	var w Worker
	w.RecordFailure(start, true)
	assert.Assert(t, !w.RecordFailure(start.Add(time.Second), false), "a run from before the pause failed")
	at := start.Add(initialPause)
	w.RecordAssignment(at)
	at = at.Add(probeInterval / 4)
	assert.Assert(t, w.RecordFailure(at, false))
	assert.Assert(t, !w.Available(at.Add(2*initialPause-time.Millisecond)))
	assert.Assert(t, w.Available(at.Add(2*initialPause)))
}

func TestPauseNeverExceedsMaxPause(t *testing.T) {
	var w Worker
	at := start
	for range 10 {
		w.RecordFailure(at, true)
		at = at.Add(maxPause)
		assert.Assert(t, w.Available(at))
	}
}

func TestProgressDistinguishesStalledFromSlow(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name          string
		progress      Progress
		stalled, slow bool
	}{
		{"progress as expected", Progress{at(0), at(500), at(500), 50, time.Second}, false, false},
		{"worker that stopped reporting", Progress{at(0), at(500), at(500), 10, time.Second}, false, true},
		{"half as long again as declared", Progress{at(0), at(1000), at(1000), 66, time.Second}, false, false},
		{"six times as long as declared", Progress{at(0), at(1000), at(1000), 16, time.Second}, false, true},
		{"too little run time to judge", Progress{at(0), at(300), at(300), 5, time.Second}, false, false},
		{"no progress for 1.6 s", Progress{at(0), at(2600), at(1000), 40, time.Second}, true, true},
	} {
		assert.Equal(t, c.progress.Stalled(), c.stalled, c.name)
		assert.Equal(t, c.progress.Slow(), c.slow, c.name)
	}
	assert.Equal(t, Progress{at(0), at(1500), at(1500), 50, time.Second}.Factor(), 3.0)
}

// A run of ten minutes reports a new percentage only every six seconds.
func TestLongRunIsNotStalledBetweenPercents(t *testing.T) {
	p := Progress{OrderedAt: start, ProgressedAt: start, ReportedAt: start.Add(6 * time.Second), Percent: 1, Expected: 10 * time.Minute}
	assert.Assert(t, !p.Stalled())
	p.ReportedAt = start.Add(25 * time.Second)
	assert.Assert(t, p.Stalled())
}

// A worker at which all runs fail still completes those that it began before.
func TestEarlierRunDoesNotClearSuspicion(t *testing.T) {
	var w Worker
	for range provenAfterFailures {
		w.RecordFailure(start, false)
	}
	w.RecordSuccess(start.Add(-time.Second))
	assert.Assert(t, !w.Available(start.Add(time.Second)))
	w.RecordSuccess(start.Add(time.Millisecond))
	assert.Assert(t, w.Available(start.Add(time.Second)))
}
