package front

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/jobs/evacuation"
	"bamboofall.example/bamboofall/platform"
)

// evacuations holds the evacuated data centres as this VM has read them. Its methods may be
// called concurrently.
type evacuations struct {
	mu      sync.Mutex
	tracker evacuation.Tracker
	// current is the result of the tracker's Evacuated, which every start is compared with.
	current atomic.Pointer[[]bamboofall.DataCentre]
}

// update applies records and returns the changes.
func (e *evacuations) update(apply func(*evacuation.Tracker) []evacuation.Change) []evacuation.Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	changes := apply(&e.tracker)
	if len(changes) > 0 {
		all := e.tracker.Evacuated()
		e.current.Store(&all)
	}
	return changes
}

// list returns the evacuated data centres.
func (e *evacuations) list() []bamboofall.DataCentre {
	if all := e.current.Load(); all != nil {
		return *all
	}
	return nil
}

// longest returns how long the first of the evacuations has been known.
func (e *evacuations) longest(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Longest(now)
}

// isEvacuated reports whether an order must not be sent as the data centre of its worker is
// evacuated.
func (e *evacuations) isEvacuated(o *cell.Order) bool {
	return o.Kind == cell.OrderStart && slices.Contains(e.list(), o.DataCentre)
}

// applyOperatorRecord applies a record of the operator's topic.
func (f *Front) applyOperatorRecord(r bamboofall.StoredRecord) {
	if dc, found := platform.EvacuatedDataCentre(r.Key); found {
		f.updateEvacuations(func(t *evacuation.Tracker) []evacuation.Change { return t.Apply(now(), evacuationRecord(dc, r)) })
		return
	}
	f.applyConfiguration(r)
}

// applyNewestOperatorRecords applies the newest records of the operator's topic, which ended at
// an offset when their read began. The evacuations go first: the VM can claim the cell once it
// has a configuration.
func (f *Front) applyNewestOperatorRecords(records []bamboofall.StoredRecord, end int64) {
	f.replaceEvacuations(records, end)
	for _, r := range records {
		f.applyConfiguration(r)
	}
}

// replaceEvacuations replaces the set of evacuated data centres by that of the newest records.
func (f *Front) replaceEvacuations(records []bamboofall.StoredRecord, end int64) {
	var newest []evacuation.Record
	for _, r := range records {
		if dc, found := platform.EvacuatedDataCentre(r.Key); found {
			newest = append(newest, evacuationRecord(dc, r))
		}
	}
	f.updateEvacuations(func(t *evacuation.Tracker) []evacuation.Change { return t.Replace(now(), end, newest) })
}

func evacuationRecord(dc bamboofall.DataCentre, r bamboofall.StoredRecord) evacuation.Record {
	return evacuation.Record{DataCentre: dc, Evacuated: len(r.Value) > 0, Offset: r.Offset}
}

// updateEvacuations applies records, logs the changes and passes them to the owner.
func (f *Front) updateEvacuations(apply func(*evacuation.Tracker) []evacuation.Change) {
	changes := f.evacuations.update(apply)
	for _, c := range changes {
		fields := logrus.Fields{"dataCentre": c.DataCentre, "evacuated": f.evacuations.list()}
		if c.Began {
			f.log.Event("evacuation begun", fields)
			continue
		}
		fields["lastedMs"] = c.Lasted.Milliseconds()
		f.log.Event("evacuation ended", fields)
	}
	if o := f.owner.Load(); o != nil && len(changes) > 0 {
		o.push(o.ctx, loopTopics, o.applyEvacuations)
	}
}

// applyEvacuations passes the newest set to the cell.
func (o *owner) applyEvacuations(at time.Time) { o.cell.SetEvacuated(at, o.front.evacuations.list()) }

// readEvacuations reads the evacuations anew for an owner that restores its cell, as this VM
// may have read them last a contact time before. If that fails, the set stays as it is: the topic
// is followed all the while.
func (o *owner) readEvacuations(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, retryReadTimeout)
	defer cancel()
	records, end, err := o.front.store.Newest(ctx, platform.TopicOperator, cellPartition)
	if err != nil {
		o.front.log.Event("read failed", logrus.Fields{"epoch": o.record.Epoch, "topic": platform.TopicOperator, "error": err.Error()})
		return
	}
	o.front.replaceEvacuations(records, end)
}

// addEvacuationStatus adds the evacuations that this VM knows to a status.
func (f *Front) addEvacuationStatus(at time.Time, s map[string]float64) {
	s["dataCentresEvacuated"] = float64(len(f.evacuations.list()))
	if age := f.evacuations.longest(at); age > 0 {
		s["evacuationAgeSeconds"] = age.Seconds()
	}
}
