package evacuation_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/admission"
	"bamboofall.example/bamboofall/internal/jobs/evacuation"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func record(dc bamboofall.DataCentre, offset int64) evacuation.Record {
	return evacuation.Record{DataCentre: dc, Evacuated: true, Offset: offset}
}

func deletion(dc bamboofall.DataCentre, offset int64) evacuation.Record {
	return evacuation.Record{DataCentre: dc, Offset: offset}
}

func TestNewestRecordsReplaceTheSet(t *testing.T) {
	var k evacuation.Tracker
	assert.DeepEqual(t, k.Apply(start, record("a", 3)), []evacuation.Change{{DataCentre: "a", Began: true}})
	assert.Equal(t, len(k.Apply(start.Add(time.Second), record("a", 4))), 0)
	k.Apply(start, record("b", 5))
	// The deletion of a and its record were trimmed before they were read.
	assert.DeepEqual(t, k.Replace(start.Add(9*time.Second), 40, []evacuation.Record{record("b", 5), record("c", 20)}), []evacuation.Change{
		{DataCentre: "c", Began: true}, {DataCentre: "a", Lasted: 9 * time.Second},
	})
	assert.DeepEqual(t, k.Evacuated(), []bamboofall.DataCentre{"b", "c"})
	assert.Equal(t, k.Longest(start.Add(10*time.Second)), 10*time.Second)
}

func TestOlderRecordsChangeNothing(t *testing.T) {
	var k evacuation.Tracker
	// The pages of newest records hold one that was appended after their read began.
	k.Replace(start, 10, []evacuation.Record{record("a", 13)})
	k.Apply(start, record("a", 11))
	k.Apply(start, deletion("a", 12))
	// Another read that began before the record of a.
	k.Replace(start, 12, nil)
	assert.DeepEqual(t, k.Evacuated(), []bamboofall.DataCentre{"a"})
	k.Apply(start, record("a", 13))
	k.Apply(start, deletion("a", 14))
	assert.Equal(t, len(k.Evacuated()), 0)
	assert.Equal(t, len(k.Replace(start, 12, []evacuation.Record{record("a", 11)})), 0, "an earlier read")
	assert.Equal(t, len(k.Evacuated()), 0)
}

// burst replays jobs of 1.4 s that arrive at four fifths of the room of four data centres,
// two of which are evacuated from 10 s to 20 s. An estimate of the room decides on
// admission. It returns the jobs that were in time, and those that were accepted and late
// or refused although they would have been in time.
func burst(estimate func(room, before float64) float64) (inTime, wrong int) {
	const (
		tick     = 10 * time.Millisecond
		run      = 1400 * time.Millisecond
		deadline = 2400 * time.Millisecond
		all      = 80.0 // concurrent jobs
	)
	known := all
	arrived := 0.0
	backlog := time.Duration(0) // processor time
	for at := time.Duration(0); at < 30*time.Second; at += tick {
		room := all
		if at >= 10*time.Second && at < 20*time.Second {
			room = all / 2
		}
		known = estimate(room, known)
		for arrived += 0.8 * all * float64(tick) / float64(run); arrived >= 1; arrived-- {
			d := admission.Decide(
				admission.Load{WorkAhead: backlog, MilliProcessors: int64(1000 * known)},
				admission.Job{Work: run, CriticalPath: run, TimeToExpiry: deadline, TimeToDue: deadline, FirstMilliProcessors: 1000},
			)
			fits := time.Duration(float64(backlog)/room)+run <= deadline
			switch {
			case d.Accept && fits:
				inTime++
			case d.Accept != fits:
				wrong++
			}
			if d.Accept {
				backlog += run
			}
		}
		backlog = max(0, backlog-time.Duration(room*float64(tick)))
	}
	return inTime, wrong
}

// Room that counts at once beats the room of the whole fleet, and a mean of it over the
// last seconds.
func TestRoomCountsAtOnce(t *testing.T) {
	former := 80.0
	inTime, wrong := burst(func(room, known float64) float64 {
		known = evacuation.Scale(known, int64(former), int64(room))
		former = room
		return known
	})
	for name, other := range map[string]func(room, known float64) float64{
		"whole fleet": func(float64, float64) float64 { return 80 },
		"mean":        func(room, known float64) float64 { return known + (room-known)/200 },
	} {
		otherInTime, otherWrong := burst(other)
		t.Logf("at once: %d in time, %d wrong; %s: %d, %d", inTime, wrong, name, otherInTime, otherWrong)
		assert.Check(t, inTime > otherInTime, name)
		assert.Check(t, wrong < otherWrong, name)
	}
}
