package pressure

import "time"

const (
	// levelGain and slopeGain are the weights of a report in the smoothed own headroom of
	// a task and in its change.
	levelGain = 0.7
	slopeGain = 0.25
	// maxSlope bounds the change of an own headroom, per second.
	maxSlope = 0.6
	// maxTrackAge is the age from which on a report says nothing about the present load.
	maxTrackAge = 2500 * time.Millisecond
)

// Track follows the own headroom of a serving task, which is its headroom without
// best-effort neighbours, by double exponential smoothing. The zero value is that of a
// task without a report.
type Track struct {
	// at is when the task last reported, headroom and neighbours are what it reported.
	at         time.Time
	headroom   float64
	neighbours Shares
	// own is the smoothed own headroom and slope its change per second.
	own, slope float64
}

// update adds a report.
func (t *Track) update(now time.Time, headroom, own float64, neighbours Shares) {
	elapsed := now.Sub(t.at)
	if t.at.IsZero() || elapsed > maxTrackAge || elapsed <= 0 {
		t.own, t.slope = own, 0
	} else {
		expected := t.own + t.slope*elapsed.Seconds()
		t.slope = max(-maxSlope, min(maxSlope, t.slope+slopeGain*(own-expected)/elapsed.Seconds()))
		t.own = expected + levelGain*(own-expected)
	}
	t.at, t.headroom, t.neighbours = now, headroom, neighbours
}

// OwnHeadroom returns the own headroom of a task as of its last report. It reports false
// without a recent report.
func (t *Track) OwnHeadroom(now time.Time) (float64, bool) {
	if t.at.IsZero() || now.Sub(t.at) > maxTrackAge {
		return 0, false
	}
	return t.own, true
}
