// Package evacuation tracks which data centres operators have evacuated: nothing may be
// started at their workers. What runs there runs on.
//
// The load pattern is a burst of jobs while half of the data centres are evacuated. Jobs
// that are accepted by the room of the whole fleet are then all late, and those that are
// accepted by a mean of the room over the last seconds are late at the beginning of the
// evacuation and refused in vain after its end. So room counts, and estimates that were
// measured in the former room are scaled, at the moment of the change.
//
// The records may be read by several readers, in pages that are no snapshot and again
// after that, so each change is applied by the offset of its record.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
)

// Record is the newest known record of the evacuation of a data centre.
type Record struct {
	DataCentre bamboofall.DataCentre
	// Evacuated is false for the deletion of the record.
	Evacuated bool
	Offset    int64
}

// Change is the beginning or the end of an evacuation.
type Change struct {
	DataCentre bamboofall.DataCentre
	Began      bool
	// Lasted is how long the evacuation that has ended was known.
	Lasted time.Duration
}

// Tracker holds the evacuations that a reader of the records knows. The zero value knows
// none.
type Tracker struct {
	known map[bamboofall.DataCentre]entry
	// end is the offset up to which all records are known.
	end int64
}

type entry struct {
	offset int64
	began  time.Time
}

// Apply applies a record. An older record than the known one changes nothing.
func (t *Tracker) Apply(now time.Time, r Record) []Change {
	e, evacuated := t.known[r.DataCentre]
	if r.Offset < t.end || evacuated && r.Offset < e.offset {
		return nil
	}
	t.end = r.Offset + 1
	if !r.Evacuated {
		if !evacuated {
			return nil
		}
		delete(t.known, r.DataCentre)
		return []Change{{DataCentre: r.DataCentre, Lasted: now.Sub(e.began)}}
	}
	return t.set(now, r)
}

// Replace replaces all evacuations by the newest records, whose read began when the topic
// ended at an offset. A read that began before what is known changes nothing.
func (t *Tracker) Replace(now time.Time, end int64, newest []Record) (changes []Change) {
	if end < t.end {
		return nil
	}
	t.end = end
	listed := make(map[bamboofall.DataCentre]bool, len(newest))
	for _, r := range newest {
		if r.Evacuated {
			listed[r.DataCentre] = true
			changes = append(changes, t.set(now, r)...)
		}
	}
	for _, dc := range t.Evacuated() {
		if !listed[dc] && t.known[dc].offset < end {
			changes = append(changes, Change{DataCentre: dc, Lasted: now.Sub(t.known[dc].began)})
			delete(t.known, dc)
		}
	}
	return changes
}

func (t *Tracker) set(now time.Time, r Record) []Change {
	if t.known == nil {
		t.known = make(map[bamboofall.DataCentre]entry)
	}
	e, evacuated := t.known[r.DataCentre]
	e.offset = max(e.offset, r.Offset)
	if !evacuated {
		e.began = now
	}
	t.known[r.DataCentre] = e
	if evacuated {
		return nil
	}
	return []Change{{DataCentre: r.DataCentre, Began: true}}
}

// Evacuated returns the evacuated data centres in order.
func (t *Tracker) Evacuated() []bamboofall.DataCentre {
	return slices.Sorted(maps.Keys(t.known))
}

// Longest returns how long the evacuation that began first has been known, or zero.
func (t *Tracker) Longest(now time.Time) time.Duration {
	if len(t.known) == 0 {
		return 0
	}
	first := slices.MinFunc(slices.Collect(maps.Values(t.known)), func(a, b entry) int { return cmp.Compare(a.began.UnixNano(), b.began.UnixNano()) })
	return now.Sub(first.began)
}

// Scale returns an estimate of usable capacity that was measured while workers had the
// room before, for their room after a change of the evacuated data centres. Without any room
// the estimate stays, as it holds again when the room returns.
func Scale(estimate float64, before, after int64) float64 {
	if before <= 0 || after <= 0 {
		return estimate
	}
	return estimate * float64(after) / float64(before)
}
