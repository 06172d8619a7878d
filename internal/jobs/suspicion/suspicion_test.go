package suspicion

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestOneFailureIsForgiven(t *testing.T) {
	var w Worker
	assert.Assert(t, !w.Failed(start, false))
	assert.Assert(t, w.Takes(start))
}

func TestFailuresInRowPauseAWorker(t *testing.T) {
	var w Worker
	w.Failed(start, false)
	assert.Assert(t, w.Failed(start, false))
	assert.Assert(t, !w.Takes(start.Add(firstPause-time.Millisecond)))
	assert.Assert(t, w.Takes(start.Add(firstPause)))
}

func TestAStalledRunPausesAtOnce(t *testing.T) {
	var w Worker
	assert.Assert(t, w.Failed(start, true))
	assert.Assert(t, !w.Takes(start))
}

// A worker full of standing tasks never gets empty. It must be tried again all
// the same, with one task at a time.
func TestASuspectWorkerIsTriedWithOneTaskAtATime(t *testing.T) {
	var w Worker
	w.Failed(start, true)
	at := start.Add(firstPause)
	assert.Assert(t, w.Takes(at))
	w.Given(at)
	assert.Assert(t, !w.Takes(at))
	at = at.Add(probePause)
	assert.Assert(t, w.Takes(at))
	w.Succeeded()
	w.Given(at)
	assert.Assert(t, w.Takes(at))
}

func TestPausesGrowToABound(t *testing.T) {
	var w Worker
	at := start
	for range 10 {
		w.Failed(at, true)
		at = at.Add(maxPause)
		assert.Assert(t, w.Takes(at))
	}
}

func TestOverdueAndWorthCopy(t *testing.T) {
	const expected = time.Second
	assert.Assert(t, !Overdue(2*time.Second, expected))
	assert.Assert(t, Overdue(5*time.Second, expected))
	assert.Assert(t, !WorthCopy(1500*time.Millisecond, expected))
	assert.Assert(t, WorthCopy(2100*time.Millisecond, expected))
}
