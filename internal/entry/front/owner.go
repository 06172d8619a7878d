package front

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/jobs/jobspec"
	"bamboofall.example/bamboofall/internal/run/ring"
	"bamboofall.example/bamboofall/internal/state/lease"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
	"bamboofall.example/bamboofall/platform"
)

const (
	// eventQueueSize is the capacity of the owner's event queue.
	eventQueueSize = 8192
	// stepInterval is the time between steps of the cell when no event arrives.
	stepInterval = 20 * time.Millisecond
	// minEventLimit is the lowest limit on the events handled between two steps. The
	// limit is higher if more events are already queued.
	minEventLimit = 64
	// metricsInterval is the time between updates of the exported counters.
	metricsInterval = time.Second
	// inboxLongPoll and workersLongPoll are the long-poll durations of reads. A dead
	// connection is detected after this duration plus the timeout of a request.
	inboxLongPoll   = 500 * time.Millisecond
	workersLongPoll = 1500 * time.Millisecond
	// inboxMaxAge is the maximum age of the last complete read of the inbox at which
	// the owner may report a job as unknown.
	inboxMaxAge = 1200 * time.Millisecond
	// inboxDeletionRetryDelay is the time between attempts to delete an inbox record.
	inboxDeletionRetryDelay = time.Second
	// maxAppendBytes bounds the records of an append, unless it has only one. The
	// platform accepts 2 MB, and a VM with a slow link must be able to send them within
	// the timeout of a call.
	maxAppendBytes = 256 << 10
	// epochKey is the key of the record whose append fences the cell's partition
	// against earlier owners.
	epochKey = "e"
)

// errDeposed reports that another process has claimed the cell.
var errDeposed = errors.New("another process has claimed the cell")

// owner runs the cell on the VM that owns it. Use newOwner.
type owner struct {
	front *Front
	// record is the ownership record that this owner renews.
	record lease.Record
	clock  lease.CellClock
	cell   *cell.Cell
	// events is the queue of functions that the loop runs. It runs those in urgentEvents, on
	// which a caller or a whole flush waits, before the others.
	events, urgentEvents *ring.Ring[func(now time.Time)]
	group                *errgroup.Group
	// ctx is cancelled when the owner stops.
	ctx context.Context
	// ready is set once the cell has been restored.
	ready atomic.Bool
	// renewalSequence is the producer sequence number of the next append to the owners
	// topic.
	renewalSequence uint64
	// unanswered is the append to the owners topic whose outcome is unknown, or nil.
	unanswered *ownerAppend
	// unansweredAppends counts the appends to the owners topic without an answer since the
	// last one that was answered within renewalTimeout.
	unansweredAppends int
	delays            *delayMonitor
	sender            *orderSender
	// yielding is closed when the owner decides to release the cell to another VM.
	yielding  chan struct{}
	yieldOnce sync.Once
	// quiet is set while the owner makes no decisions. It is set only before an append, so
	// a step that began before granted its leases before.
	quiet atomic.Bool
	// inFlight is the number of orders without a result.
	inFlight atomic.Int64
	progress ownerProgress

	// The fields below are used by the owner's loop only.
	dispatcher *relayDispatcher
	// cellSequence is the producer sequence number of the next append to the cell's
	// partition, and appending is set while one is in flight.
	cellSequence     uint64
	appending        bool
	waiters          []waiter
	metricsUpdatedAt time.Time
	loopTime         loopTime
	// appendErr is the error of a failed append, which stops the owner.
	appendErr error
	// delay is the owner's own delay, computed at delayUpdatedAt. slowLoggedAt is when
	// the owner was last logged as slow.
	delay                        time.Duration
	delayUpdatedAt, slowLoggedAt time.Time
}

// waiter is a callback that runs once a flush of the cell is stored.
type waiter struct {
	flush uint64
	done  func()
}

// newOwner returns an owner that has not started. It stops when ctx is cancelled.
func newOwner(ctx context.Context, f *Front, record lease.Record, formerLeasesEnd time.Time, clock lease.CellClock, sequence uint64) *owner {
	group, ctx := errgroup.WithContext(ctx)
	o := &owner{
		front: f, record: record, clock: clock, events: ring.New[func(time.Time)](eventQueueSize), urgentEvents: ring.New[func(time.Time)](eventQueueSize),
		group: group, ctx: ctx, renewalSequence: sequence, cellSequence: sequence, delays: newDelayMonitor(f.metrics),
		yielding: make(chan struct{}),
		cell: cell.New(cell.Config{
			Epoch: record.Epoch, Lease: f.workerLease(), MaxLease: f.settings.Bounds.MaxLease, FormerLeasesEnd: formerLeasesEnd, Clock: clock,
			EndedJobRetention: f.settings.Bounds.EndedJobRetention + 10*time.Second,
			RemoteFactor:      f.settings.Bounds.RemoteFactor, MaxTailViolation: f.settings.Bounds.MaxTailViolation,
			MaxRecordBytes: f.settings.MaxRecordBytes,
		}),
	}
	o.progress.claimedAt = now()
	o.progress.restoringAt.set(o.progress.claimedAt)
	o.dispatcher = newRelayDispatcher(o)
	o.sender = newOrderSender(o.execute)
	return o
}

// run restores the cell and owns it until it is deposed, releases the cell or ctx is
// cancelled.
func (o *owner) run() error {
	ctx := o.ctx
	o.group.Go(func() error { return o.renewLoop(ctx) })
	o.group.Go(func() error { return o.delays.probeProcessor(ctx) })
	o.group.Go(func() error {
		began := now()
		offsets, err := o.restore(ctx)
		if err != nil {
			return err
		}
		o.front.metrics.recordLatency("takeOver", now().Sub(began))
		o.group.Go(func() error { return o.followWorkers(ctx, offsets.workers) })
		o.group.Go(func() error { return o.followInbox(ctx, offsets.inbox) })
		o.progress.restoredAt.set(now())
		o.ready.Store(true)
		return o.loop(ctx)
	})
	return o.group.Wait()
}

// readOffsets are the offsets after the last records read to restore the cell.
type readOffsets struct {
	inbox, workers int64
}

// restore fences former owners and reads the state that they stored. The inbox can be
// read concurrently: an owner deletes an inbox record only after it has stored the
// record's effect in the cell's partition, before the fence.
func (o *owner) restore(ctx context.Context) (offsets readOffsets, err error) {
	var records, inbox, workers []bamboofall.StoredRecord
	var workersReadAt time.Time
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		fence := []bamboofall.StoreRecord{{Key: epochKey, Value: fmt.Appendf(nil, "%d", o.record.Epoch)}}
		if err := o.appendWithRetry(ctx, fence); err != nil {
			return err
		}
		o.progress.restoringAt.set(now())
		records, _, err = o.newestWithRetry(ctx, topicCells)
		return err
	})
	group.Go(func() (err error) {
		inbox, offsets.inbox, err = o.newestWithRetry(ctx, topicInbox)
		o.progress.inboxReadAt.set(now())
		return err
	})
	group.Go(func() (err error) {
		workers, offsets.workers, err = o.newestWithRetry(ctx, platform.TopicWorkers)
		workersReadAt = now()
		return err
	})
	group.Go(func() error { o.readEvacuations(ctx); return nil })
	if err := group.Wait(); err != nil {
		return offsets, err
	}
	o.cell.SetConfiguration(o.front.config.Load())
	o.applyEvacuations(now())
	for _, err := range o.cell.Restore(now(), records) {
		o.front.log.Event("record left out", logrus.Fields{"error": err.Error()})
	}
	// Jobs in the inbox have been accepted, so the cell must know them before the first
	// request.
	for _, r := range inbox {
		o.applyInboxRecord(now(), r)
	}
	for _, r := range workers {
		o.applyWorkerRecord(now(), r)
	}
	o.cell.WorkersRead(workersReadAt)
	known, open := o.cell.Jobs()
	fields := o.logFields()
	fields["records"], fields["jobs"], fields["open"] = len(records), known, open
	o.front.log.Event("restored", fields)
	return offsets, nil
}

// newestWithRetry reads the newest record of each key of a topic and the offset after
// the last. It retries until it succeeds or ctx is cancelled.
func (o *owner) newestWithRetry(ctx context.Context, topic string) ([]bamboofall.StoredRecord, int64, error) {
	for {
		records, end, err := o.front.store.Newest(ctx, topic, cellPartition)
		if err == nil {
			o.progress.restoringAt.set(now())
		}
		if err == nil || ctx.Err() != nil {
			return records, end, err
		}
		o.front.log.Event("read failed", logrus.Fields{"epoch": o.record.Epoch, "topic": topic, "error": err.Error()})
		sleep(ctx, storeRetryDelay)
	}
}

// appendWithRetry appends records to the cell's partition. It retries until the append
// succeeds, another owner has fenced the partition or ctx is cancelled. All attempts
// have the same sequence number, so the store appends the records once.
func (o *owner) appendWithRetry(ctx context.Context, records []bamboofall.StoreRecord) error {
	first := true
	o.progress.storingSince.set(now())
	defer o.progress.storingSince.set(time.Time{})
	for {
		began := now()
		_, err := o.front.store.Append(ctx, bamboofall.StoreAppend{
			Topic: topicCells, Partition: cellPartition, Records: records, ExpectedEnd: -1,
			Producer: producerName, Epoch: o.record.Epoch, Sequence: o.cellSequence,
		})
		var fenced *bamboofall.FencedError
		switch {
		case err == nil:
			o.front.metrics.recordLatency("storeAppend", now().Sub(began))
			o.progress.storedAt.set(now())
			o.cellSequence++
			return nil
		case errors.As(err, &fenced):
			if fenced.Sequence && !first && fenced.Expected == o.cellSequence+1 {
				o.progress.storedAt.set(now())
				o.cellSequence++ // an earlier attempt succeeded
				return nil
			}
			return fmt.Errorf("%w: %w", errDeposed, err)
		case ctx.Err() != nil:
			return ctx.Err()
		}
		o.front.metrics.Increment("appendsFailed", map[string]string{"topic": topicCells})
		if first {
			o.front.log.Event("append failed", logrus.Fields{"epoch": o.record.Epoch, "records": len(records), "error": err.Error()})
		}
		first = false
		sleep(ctx, storeRetryDelay)
	}
}

// loop handles events and runs the steps of the cell.
func (o *owner) loop(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	o.progress.steppedAt.set(now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case due := <-ticker.C:
			o.delays.recordWait(delayTick, time.Since(due))
		case f := <-o.urgentEvents.Items():
			f(now())
			o.handleQueuedEvents()
		case f := <-o.events.Items():
			f(now())
			o.handleQueuedEvents()
		}
		if o.appendErr != nil {
			return o.appendErr
		}
		if err := o.step(now()); err != nil {
			return err
		}
	}
}

// step lets the cell decide unless the owner is quiet, sends its orders and starts to store
// its changes unless an append is in flight.
func (o *owner) step(at time.Time) error {
	o.progress.steppedAt.set(at)
	o.updateDelay(at)
	if !o.quiet.Load() {
		if err := o.decide(at); err != nil {
			return err
		}
	}
	began := time.Now()
	o.dispatcher.step(at)
	o.loopTime.add(loopRoute, began)
	o.logWork(at)
	if at.Sub(o.metricsUpdatedAt) >= metricsInterval {
		o.metricsUpdatedAt = at
		o.front.metrics.updateCellCounters(o.cell.Counters())
		o.front.metrics.updateUsage(o.cell.Usage())
		o.front.metrics.updateStages(o.cell.Stages())
		o.front.metrics.updateWork(o.loopTime.spent)
		o.dispatcher.updateMetrics(o.front.metrics)
		o.updateProgress()
	}
	if o.appending {
		return nil
	}
	began = time.Now()
	records, flush, err := o.cell.Flush()
	o.loopTime.add(loopFlush, began)
	if err != nil {
		return err
	}
	if len(records) > 0 {
		o.appending = true
		go o.storeRecords(records, flush)
	}
	return nil
}

// decide lets the cell decide and routes its orders.
func (o *owner) decide(at time.Time) error {
	o.cell.SetClaimConfirmed(o.front.confirmedAt())
	began := time.Now()
	out := o.cell.Step(at)
	o.delays.recordStep(time.Since(began))
	o.loopTime.add(loopDecide, began)
	for _, n := range out.Notes {
		o.front.log.Note(o.record.Epoch, n)
	}
	if out.Deposed {
		return errDeposed
	}
	if out.TokensUsedUp {
		o.yield(logrus.Fields{"epoch": o.record.Epoch, "reason": "fencing tokens used up"})
	}
	began = time.Now()
	for _, order := range out.Orders {
		o.inFlight.Add(1)
		o.dispatcher.route(at, order)
	}
	o.loopTime.add(loopRoute, began)
	return nil
}

// storeRecords appends a flush to the cell's partition, and then calls the waiters of
// stored flushes in the loop.
func (o *owner) storeRecords(records []bamboofall.StoreRecord, flush uint64) {
	err := o.appendFlush(o.ctx, records)
	o.push(o.ctx, loopStored, func(at time.Time) {
		o.appending = false
		if err != nil {
			o.appendErr = err
			return
		}
		o.cell.Stored(at, flush)
		kept := o.waiters[:0]
		for _, w := range o.waiters {
			if o.cell.IsStored(w.flush) {
				w.done()
				continue
			}
			kept = append(kept, w)
		}
		o.waiters = kept
	})
}

// appendFlush appends the records of a flush to the cell's partition.
func (o *owner) appendFlush(ctx context.Context, records []bamboofall.StoreRecord) error {
	for _, batch := range appendBatches(records, maxAppendBytes) {
		if err := o.appendWithRetry(ctx, batch); err != nil {
			return err
		}
	}
	return nil
}

// appendBatches divides records into appends of at most maxBytes each. Deletions are
// last: an owner that is replaced between two appends must not leave the progress of a
// job whose steps are deleted.
func appendBatches(records []bamboofall.StoreRecord, maxBytes int) [][]bamboofall.StoreRecord {
	ordered := slices.Clone(records)
	slices.SortStableFunc(ordered, func(a, b bamboofall.StoreRecord) int {
		return cmp.Compare(deletionRank(a), deletionRank(b))
	})
	var batches [][]bamboofall.StoreRecord
	first, size := 0, 0
	for i, r := range ordered {
		n := len(r.Key) + len(r.Value)
		if i > first && size+n > maxBytes {
			batches = append(batches, ordered[first:i])
			first, size = i, 0
		}
		size += n
	}
	return append(batches, ordered[first:])
}

func deletionRank(r bamboofall.StoreRecord) int {
	if len(r.Value) == 0 {
		return 1
	}
	return 0
}

func (o *owner) setConfiguration(conf *bamboofall.Configuration) {
	o.push(o.ctx, loopTopics, func(time.Time) { o.cell.SetConfiguration(conf) })
}

// followWorkers applies worker records from an offset on.
func (o *owner) followWorkers(ctx context.Context, from int64) error {
	return o.front.follow(ctx, platform.TopicWorkers, from, workersLongPoll, topicReader{
		apply: func(r bamboofall.StoredRecord) {
			o.push(ctx, loopTopics, func(at time.Time) { o.applyWorkerRecord(at, r) })
		},
		applyNewest: func(records []bamboofall.StoredRecord, _ int64) {
			o.push(ctx, loopTopics, func(at time.Time) { o.applyNewestWorkers(at, records) })
		},
		caughtUp: func(int64) { o.push(ctx, loopTopics, o.cell.WorkersRead) },
	})
}

// applyNewestWorkers applies the records of all workers that the platform lists, and
// removes the others.
func (o *owner) applyNewestWorkers(at time.Time, records []bamboofall.StoredRecord) {
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
		o.applyWorkerRecord(at, r)
	}
	for id := range o.dispatcher.table.Routes() {
		if !listed[id] {
			o.removeWorker(at, id)
		}
	}
}

// applyWorkerRecord adds or updates a worker, or removes it if the record is empty or
// invalid, as a new owner would not know the worker either.
func (o *owner) applyWorkerRecord(at time.Time, r bamboofall.StoredRecord) {
	if len(r.Value) == 0 {
		o.removeWorker(at, r.Key)
		return
	}
	w, err := platform.DecodeWorker(r.Key, r.Value)
	if err != nil {
		o.front.metrics.Increment("workerEntriesRejected", nil)
		o.front.log.Event("worker entry rejected", logrus.Fields{"worker": r.Key, "error": err.Error()})
		o.removeWorker(at, r.Key)
		return
	}
	o.cell.SetWorker(at, w)
	o.dispatcher.table.SetWorker(w.ID, w.Zone)
}

func (o *owner) removeWorker(at time.Time, id string) {
	o.cell.RemoveWorker(at, id)
	o.dispatcher.table.RemoveWorker(id)
}

// followInbox applies the requests that entry VMs stored while they could not reach an
// owner, from an offset on.
func (o *owner) followInbox(ctx context.Context, from int64) error {
	return o.front.follow(ctx, topicInbox, from, inboxLongPoll, topicReader{
		apply: func(r bamboofall.StoredRecord) {
			o.push(ctx, loopTopics, func(at time.Time) { o.applyInboxRecord(at, r) })
		},
		caughtUp: func(int64) { o.push(ctx, loopTopics, o.progress.inboxReadAt.set) },
	})
}

// inboxUpToDate reports whether the inbox was read recently enough to conclude that a
// job unknown to the cell has not been accepted.
func (o *owner) inboxUpToDate(at time.Time) bool {
	age := o.progress.inboxReadAt.age(at)
	return age != noAge && age <= inboxMaxAge
}

func (o *owner) applyInboxRecord(at time.Time, r bamboofall.StoredRecord) {
	if len(r.Value) == 0 {
		return
	}
	m := &jobpb.Deferred{}
	if err := proto.Unmarshal(r.Value, m); err != nil {
		o.front.log.Event("inbox record rejected", logrus.Fields{"key": r.Key, "error": err.Error()})
		return
	}
	o.applyDeferred(at, r.Key, m)
}

// applyDeferred applies a request from the inbox to the cell, and deletes its record
// once the effect is stored.
func (o *owner) applyDeferred(at time.Time, key string, deferred *jobpb.Deferred) {
	o.front.metrics.Increment("inboxRecordsApplied", nil)
	var flush uint64
	if job := deferred.GetJob(); job != nil {
		flush = o.cell.SubmitAccepted(at, jobspec.Decode(job), jobspec.DecodeQueue(job.GetQueue(), job.GetSettings()))
	} else {
		flush = o.cell.CancelBeforeSubmit(at, bamboofall.JobID(deferred.GetCancel()))
	}
	o.whenStored(flush, func() { go o.deleteInboxRecord(key) })
}

// deleteInboxRecord deletes a record whose effect is stored. It retries until it succeeds or
// the owner stops, as the next owner knows the job only until it is forgotten.
func (o *owner) deleteInboxRecord(key string) {
	for failed := false; o.ctx.Err() == nil; failed = true {
		if failed {
			sleep(o.ctx, inboxDeletionRetryDelay)
		}
		_, err := o.front.store.Append(o.ctx, bamboofall.StoreAppend{
			Topic: topicInbox, Partition: cellPartition, Records: []bamboofall.StoreRecord{{Key: key}}, ExpectedEnd: -1,
		})
		if err == nil {
			return
		}
		if !failed {
			o.front.log.Event("inbox not cleared", logrus.Fields{"key": key, "error": err.Error()})
		}
	}
}

// whenStored calls done once a flush is stored, or at once if it is.
func (o *owner) whenStored(flush uint64, done func()) {
	if o.cell.IsStored(flush) {
		done()
		return
	}
	o.waiters = append(o.waiters, waiter{flush, done})
}

// runInLoop runs f in the owner's loop and returns the value that f passes to reply.
func runInLoop[T any](ctx context.Context, o *owner, f func(at time.Time, reply func(T))) (T, error) {
	var none T
	if !o.ready.Load() || o.isReleasing() {
		return none, errNotOwner
	}
	done := make(chan T, 1)
	if !o.queueOf(loopRequests).TryPush(o.measured(loopRequests, func(at time.Time) { f(at, func(v T) { done <- v }) })) {
		return none, errNotOwner
	}
	select {
	case v := <-done:
		return v, nil
	case <-ctx.Done():
		return none, &bamboofall.UnknownOutcomeError{Call: "owner", Err: ctx.Err()}
	case <-o.ctx.Done():
		return none, &bamboofall.UnknownOutcomeError{Call: "owner", Err: errDeposed}
	}
}

// errNotOwner reports that a request had no effect because this VM does not own the
// cell.
var errNotOwner = errors.New("this VM does not own the cell")
