package holding

import (
	"sync"

	"bamboofall.example/bamboofall"
)

// Outbox holds the records of a flush on their way to the store, in appends of a bounded size.
// A record can be taken back as long as no attempt to append it may have succeeded. It may be
// used concurrently: one goroutine makes the appends and another takes records back.
type Outbox struct {
	mu       sync.Mutex
	maxBytes int
	// records are those that are not known to be stored. The first sealed ones are part of an
	// attempt that is under way or has an unknown outcome, and every further attempt must
	// repeat them unchanged.
	records []bamboofall.StoreRecord
	sealed  int
	// unknown is set once the outcome of an attempt with the sealed records is not known.
	unknown bool
}

// NewOutbox returns an outbox with the records of a flush in the order in which they are to be
// stored. An append has maxBytes of records at most, unless it has only one.
func NewOutbox(records []bamboofall.StoreRecord, maxBytes int) *Outbox {
	return &Outbox{records: records, maxBytes: maxBytes}
}

// Next returns the records of the next attempt, or none if all are stored. Its outcome must be
// passed to Stored, NotStored or Unknown.
func (o *Outbox) Next() []bamboofall.StoreRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.sealed == 0 {
		o.sealed = o.batchSize()
	}
	return o.records[:o.sealed:o.sealed]
}

func (o *Outbox) batchSize() int {
	size := 0
	for i, r := range o.records {
		size += len(r.Key) + len(r.Value)
		if i > 0 && size > o.maxBytes {
			return i
		}
	}
	return len(o.records)
}

// Stored records that the last attempt or an earlier one has stored its records.
func (o *Outbox) Stored() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records, o.sealed, o.unknown = o.records[o.sealed:], 0, false
}

// NotStored records that the last attempt had no effect and will have none.
func (o *Outbox) NotStored() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.unknown {
		o.sealed = 0
	}
}

// Unknown records that the outcome of the last attempt is not known.
func (o *Outbox) Unknown() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unknown = true
}

// TakeBack removes the records with the given keys, so that no further attempt has them. It
// reports false and removes none if one of them is missing, as it may be stored, or is part of
// an attempt that may have succeeded or is under way.
func (o *Outbox) TakeBack(keys ...string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	wanted := make(map[string]bool, len(keys))
	for _, k := range keys {
		wanted[k] = true
	}
	free := o.records[o.sealed:]
	found := 0
	for _, r := range free {
		if wanted[r.Key] {
			found++
		}
	}
	if found != len(wanted) {
		return false
	}
	kept := append([]bamboofall.StoreRecord(nil), o.records[:o.sealed]...)
	for _, r := range free {
		if !wanted[r.Key] {
			kept = append(kept, r)
		}
	}
	o.records = kept
	return true
}

// MayBeStored reports whether the outcome of an attempt with the present records is unknown.
func (o *Outbox) MayBeStored() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.unknown
}
