package cell

import "time"

// minJudgedAge is the age from which on a reported tail latency, which covers half a second,
// shows what a run does to it. maxJudgedAge is the age from which on the load may have changed.
const (
	minJudgedAge = 500 * time.Millisecond
	maxJudgedAge = 1500 * time.Millisecond
)

// judgePlacement compares the tail latency expected when a best-effort task was placed with
// the highest one that its worker has reported since.
func (c *Cell) judgePlacement(now time.Time, a *attempt, reported float64) {
	age := now.Sub(a.startedAt)
	if a.expectedTail <= 0 || age < minJudgedAge {
		return
	}
	if reported > 0 && age <= maxJudgedAge {
		c.accuracy.Judge(a.expectedTail, reported)
		c.counters.PlacementsJudged, c.counters.PlacementsOver = c.accuracy.Totals()
	}
	a.expectedTail = 0
}
