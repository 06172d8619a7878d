package front

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/request/holding"
	"bamboofall.example/bamboofall/internal/state/lease"
	"bamboofall.example/bamboofall/internal/wire/httpclient"
	"bamboofall.example/bamboofall/platform"
	"bamboofall.example/bamboofall/platform/standin"
)

// storeRequestBytes is the size of the largest append that the store accepts.
const storeRequestBytes = 2 << 20

// claimedOwner is an owner that has claimed the cell and does not run. The next appends
// to the owners topic suffer the given faults.
type claimedOwner struct {
	*owner
	faults chan standin.Fault
}

func newClaimedOwner(t *testing.T) *claimedOwner {
	c := &claimedOwner{faults: make(chan standin.Fault, 8)}
	store := standin.NewStore()
	store.SetFault(func(r *http.Request) standin.Fault {
		if r.ContentLength > storeRequestBytes {
			return standin.FaultRefused
		}
		if r.URL.Path == "/v1/log-append" && r.URL.Query().Get("topic") == topicOwners {
			select {
			case fault := <-c.faults:
				return fault
			default:
			}
		}
		return standin.FaultNone
	})
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	path := filepath.Join(t.TempDir(), "node.toml")
	text := standin.Settings("entry-0", "127.0.0.1", strings.TrimPrefix(server.URL, "http://"), freePorts(t, 5))
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	set, err := platform.ReadSettings(path)
	assert.NilError(t, err)
	engine, err := httpclient.NewEngine()
	assert.NilError(t, err)
	t.Cleanup(engine.Stop)
	f := New(path, set, engine, NewLog(&logBuffer{}, set.VM))
	record := lease.Record{Epoch: 1, Address: set.Peers, Process: "entry-0"}
	f.lease.Claimed(now(), record, 0)
	c.owner = newOwner(context.Background(), f, record, time.Time{}, lease.CellClock{}, 7)
	return c
}

// newestOwnerRecord returns the newest record of the owners topic.
func (c *claimedOwner) newestOwnerRecord(t *testing.T) lease.Record {
	page, err := c.front.store.Read(t.Context(), topicOwners, cellPartition, 0, 0)
	assert.NilError(t, err)
	assert.Assert(t, len(page.Records) > 0)
	record, err := decodeOwnerRecord(page.Records[len(page.Records)-1])
	assert.NilError(t, err)
	return record
}

// The store answers a repeated sequence number without storing the record. A release
// that repeats the sequence number of an unanswered renewal would get lost.
func TestReleaseAfterUnansweredRenewalIsStored(t *testing.T) {
	for _, fault := range []standin.Fault{standin.FaultLost, standin.FaultLate, standin.FaultRefused} {
		c := newClaimedOwner(t)
		assert.NilError(t, c.appendOwnerRecord(t.Context(), c.record))
		c.faults <- fault
		assert.Assert(t, c.appendOwnerRecord(t.Context(), c.record) != nil)
		assert.ErrorIs(t, c.release(t.Context()), errReleased)
		if fault == standin.FaultLate {
			time.Sleep(1200 * time.Millisecond) // until the delayed append is executed
		}
		assert.Assert(t, c.newestOwnerRecord(t).Released, "fault %d", fault)
	}
}

// A successor takes the time at which it read the last record for the last time at which
// this owner can have been confirmed. The answer to a repeated append must not confirm
// the owner later than that.
func TestRepeatedRenewalConfirmsFirstAttempt(t *testing.T) {
	c := newClaimedOwner(t)
	c.faults <- standin.FaultLost
	assert.Assert(t, c.appendOwnerRecord(t.Context(), c.record) != nil)
	c.newestOwnerRecord(t)
	readAt := now()
	c.faults <- standin.FaultNone
	c.faults <- standin.FaultRefused
	_ = c.appendOwnerRecord(t.Context(), c.record)
	confirmedAt := c.front.confirmedAt()
	assert.Assert(t, !confirmedAt.After(readAt), "confirmed %v after the last record was read", confirmedAt.Sub(readAt))
}

// Changes accumulate while the store is away. An owner whose appends are too large is
// refused each time and stores nothing more, though it renews its ownership.
func TestFlushLargerThanStoreAcceptsIsStored(t *testing.T) {
	c := newClaimedOwner(t)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	c.ctx = ctx
	const jobs = 1000
	var records []bamboofall.StoreRecord
	for i := range jobs {
		records = append(records, bamboofall.StoreRecord{Key: "j" + id(i), Value: make([]byte, 4000)})
	}
	stored := make(chan struct{})
	go func() {
		c.storeOutbox(holding.NewOutbox(deletionsLast(records), maxAppendBytes), 1)
		close(stored)
	}()
	select {
	case <-stored:
	case <-ctx.Done():
	}
	newest, _, err := c.front.store.Newest(t.Context(), topicCells, cellPartition)
	assert.NilError(t, err)
	assert.Equal(t, len(newest), jobs)
}

// appendBatches returns the appends that store records.
func appendBatches(records []bamboofall.StoreRecord, maxBytes int) (batches [][]bamboofall.StoreRecord) {
	box := holding.NewOutbox(deletionsLast(records), maxBytes)
	for batch := box.Next(); len(batch) > 0; batch = box.Next() {
		batches = append(batches, batch)
		box.Stored()
	}
	return batches
}

// The steps of a job must not be deleted before the end of the job is stored.
func TestDeletionsAreStoredLast(t *testing.T) {
	records := []bamboofall.StoreRecord{{Key: "ja"}, {Key: "jb", Value: []byte("12345")}, {Key: "pa", Value: []byte("1")}, {Key: "pc", Value: []byte("1")}}
	var got [][]string
	for _, batch := range appendBatches(records, 8) {
		var keys []string
		for _, r := range batch {
			keys = append(keys, r.Key)
		}
		got = append(got, keys)
	}
	assert.DeepEqual(t, got, [][]string{{"jb"}, {"pa", "pc", "ja"}})
}

// slowStore executes appends at once and answers them after a delay.
type slowStore struct {
	bamboofall.KeyedStore
	delay   time.Duration
	appends int
}

func (s *slowStore) Append(ctx context.Context, a bamboofall.StoreAppend) (int64, error) {
	s.appends++
	end, err := s.KeyedStore.Append(ctx, a)
	sleep(ctx, s.delay)
	if ctx.Err() != nil {
		return 0, &bamboofall.UnknownOutcomeError{Call: "append", Err: ctx.Err()}
	}
	return end, err
}

// A store that always takes longer than renewalTimeout must cost two time-outs once, not
// for every renewal.
func TestRenewalsAtSlowStoreAreAnsweredAtOnce(t *testing.T) {
	c := newClaimedOwner(t)
	store := &slowStore{KeyedStore: c.front.store, delay: renewalTimeout + 50*time.Millisecond}
	c.front.store = store
	for range maxRenewalTimeouts {
		assert.Assert(t, c.appendOwnerRecord(t.Context(), c.record) != nil)
	}
	assert.NilError(t, c.appendOwnerRecord(t.Context(), c.record))
	store.appends = 0
	for range 3 {
		assert.NilError(t, c.appendOwnerRecord(t.Context(), c.record))
	}
	assert.Equal(t, store.appends, 3)
}

// An owner may be replaced after any of the appends of a flush. Its successor must find every
// job that was stored before, and restore all records.
func TestJobsAreRestoredAfterAnyPartOfFlush(t *testing.T) {
	const jobs = 12
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	conf := &bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Service: testService, MaxAttempts: 1, Stretch: 1}}}
	newCell := func() *cell.Cell {
		c := cell.New(cell.Config{Epoch: 1, Lease: time.Second, EndedJobRetention: time.Second})
		c.SetConfiguration(conf)
		return c
	}
	c := newCell()
	stored := make(map[string][]byte)
	known := make(map[bamboofall.JobID]bool)
	restore := func(when string) {
		t.Helper()
		var records []bamboofall.StoredRecord
		for key, value := range stored {
			records = append(records, bamboofall.StoredRecord{StoreRecord: bamboofall.StoreRecord{Key: key, Value: value}})
		}
		successor := newCell()
		for _, err := range successor.Restore(began, records) {
			t.Errorf("%s: %v", when, err)
		}
		for job := range known {
			_, found := successor.Lookup(job)
			assert.Check(t, found, "%s: job %s is lost", when, job)
		}
	}
	parts := 0
	flush := func(now time.Time, when string) {
		t.Helper()
		records, n, err := c.Flush()
		assert.NilError(t, err)
		for i, batch := range appendBatches(records, 1) {
			for _, r := range batch {
				if len(r.Value) == 0 {
					delete(stored, r.Key)
				} else {
					stored[r.Key] = r.Value
				}
			}
			restore(fmt.Sprintf("%s, part %d", when, i))
			parts++
		}
		c.Stored(now, n)
	}
	for i := range jobs {
		spec := &bamboofall.Job{ID: bamboofall.JobID(id(i)), Queue: "q", Steps: []bamboofall.Step{{Count: 2}}}
		c.SubmitAccepted(began, spec, nil)
		if i%3 == 0 {
			c.Cancel(began, spec.ID)
		}
	}
	c.CancelBeforeSubmit(began, bamboofall.JobID(id(jobs)))
	flush(began, "submissions")
	for i := range jobs {
		known[bamboofall.JobID(id(i))] = true
	}
	for i := 1; i < jobs; i += 3 {
		c.Cancel(began, bamboofall.JobID(id(i)))
	}
	flush(began, "cancellations")
	for i := range jobs {
		if i%3 != 2 {
			delete(known, bamboofall.JobID(id(i)))
		}
	}
	later := began.Add(time.Minute)
	c.Step(later)
	flush(later, "removal of ended jobs")
	for key := range stored {
		if key[0] == 'j' || key[0] == 'p' {
			assert.Check(t, known[bamboofall.JobID(key[1:])], "%s is left", key)
		}
	}
	assert.Assert(t, parts > 3*jobs, parts)
}
