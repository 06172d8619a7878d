package front

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/run/ring"
	"bamboofall.example/bamboofall/internal/state/lease"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
	"bamboofall.example/bamboofall/platform"
)

const (
	// eventQueueSize bounds the events that wait for the owner's loop.
	eventQueueSize = 8192
	// stepInterval is the time between steps without events.
	stepInterval = 20 * time.Millisecond
	// minDrainLimit is the number of events that share a step at least, if they come as
	// fast.
	minDrainLimit = 64
	// metricsInterval is the time between updates of the counters.
	metricsInterval = time.Second
	// inboxLongPoll and workersWait are how long reads wait for news. A connection
	// that has gone silent is noticed after that and the time of a call.
	inboxLongPoll   = 500 * time.Millisecond
	workersLongPoll = 1500 * time.Millisecond
	// inboxMaxAge is the age of the last read of the inbox up to which a job that
	// is not known is told to be unknown.
	inboxMaxAge = 1200 * time.Millisecond
	// epochKey is the key by which an owner fences the cell's partition.
	epochKey = "e"
)

// errDeposed says that another owner has taken over.
var errDeposed = errors.New("another owner has taken over")

// owner runs the cell. Use newOwner.
type owner struct {
	front  *Front
	record lease.Record
	cell   *cell.Cell
	events *ring.Ring[func(now time.Time)]
	group  *errgroup.Group
	// ctx ends with the owner.
	ctx context.Context
	// ready is set once the cell has been restored.
	ready atomic.Bool
	// renewalSequence is the sequence number of the next renewalSequence.
	renewalSequence uint64
	delays          *delayMonitor
	sender          *orderSender
	// yielding is closed when the owner gives the cell to a stronger VM.
	yielding chan struct{}
	// inFlight is the number of orders that are not answered.
	inFlight atomic.Int64

	// Of the loop:
	dispatcher       *relayDispatcher
	cellSequence     uint64
	appending        bool
	waiters          []waiter
	metricsUpdatedAt time.Time
	// inboxReadAt is when the inbox was last read to its end.
	inboxReadAt time.Time
	appendErr   error
	// delay is the owner's own delay, at delayAt. slowNoted is when it was last
	// logged.
	delay                        time.Duration
	delayUpdatedAt, slowLoggedAt time.Time
}

// waiter is a call that is answered once a flush is stored.
type waiter struct {
	flush uint64
	done  func()
}

// newOwner returns an owner that has not started. It ends with the context.
func newOwner(ctx context.Context, f *Front, record lease.Record, formerLeasesEnd time.Time, sequence uint64) *owner {
	group, ctx := errgroup.WithContext(ctx)
	o := &owner{
		front: f, record: record, events: ring.New[func(time.Time)](eventQueueSize),
		group: group, ctx: ctx, renewalSequence: sequence, cellSequence: sequence, delays: newDelayMonitor(f.metrics),
		yielding: make(chan struct{}),
		cell: cell.New(cell.Config{
			Token: bamboofall.Token(record.Epoch), Lease: f.workerLease(), FormerLeases: formerLeasesEnd,
			KeepEnded:    f.settings.Bounds.KeepEnded + 10*time.Second,
			RemoteFactor: f.settings.Bounds.RemoteFactor, HarmAfter: f.settings.Bounds.HarmAfter,
		}),
	}
	o.dispatcher = newRelayDispatcher(o)
	o.sender = newOrderSender(o.execute)
	return o
}

// run restores the cell and owns it until it is deposed, released or stopped.
func (o *owner) run() error {
	ctx := o.ctx
	o.group.Go(func() error { return o.renewLoop(ctx) })
	o.group.Go(func() error {
		began := now()
		offsets, err := o.restore(ctx)
		if err != nil {
			return err
		}
		o.front.metrics.recordLatency("takeOver", now().Sub(began))
		o.group.Go(func() error { return o.followWorkers(ctx, offsets.workers) })
		o.group.Go(func() error { return o.followInbox(ctx, offsets.inbox) })
		o.ready.Store(true)
		return o.loop(ctx)
	})
	return o.group.Wait()
}

// readOffsets are the offsets behind what was read to restore the cell.
type readOffsets struct {
	inbox, workers int64
}

// restore fences former owners and reads what they stored. What an owner has taken
// from the inbox it has stored with the cell before the fence, so the reads may go
// on at the same time.
func (o *owner) restore(ctx context.Context) (offsets readOffsets, err error) {
	var records, inbox, workers []bamboofall.StoredRecord
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		fence := []bamboofall.StoreRecord{{Key: epochKey, Value: fmt.Appendf(nil, "%d", o.record.Epoch)}}
		if err := o.appendWithRetry(ctx, fence); err != nil {
			return err
		}
		records, _, err = o.newestWithRetry(ctx, topicCells)
		return err
	})
	group.Go(func() (err error) {
		inbox, offsets.inbox, err = o.newestWithRetry(ctx, topicInbox)
		o.inboxReadAt = now()
		return err
	})
	group.Go(func() (err error) {
		workers, offsets.workers, err = o.newestWithRetry(ctx, platform.TopicWorkers)
		return err
	})
	if err := group.Wait(); err != nil {
		return offsets, err
	}
	o.cell.SetConfiguration(o.front.config.Load())
	for _, err := range o.cell.Restore(now(), records) {
		o.front.log.Event("record left out", logrus.Fields{"error": err.Error()})
	}
	// A job from the inbox is accepted, so it is known before the first question.
	for _, r := range inbox {
		o.applyInboxRecord(now(), r)
	}
	for _, r := range workers {
		o.applyWorkerRecord(now(), r)
	}
	known, open := o.cell.Jobs()
	fields := o.logFields()
	fields["records"], fields["jobs"], fields["open"] = len(records), known, open
	o.front.log.Event("restored", fields)
	return offsets, nil
}

// newestWithRetry reads the newestWithRetry records of a topic and the offset behind them. It
// tries until it succeeds.
func (o *owner) newestWithRetry(ctx context.Context, topic string) ([]bamboofall.StoredRecord, int64, error) {
	for {
		records, end, err := o.front.store.Newest(ctx, topic, cellPartition)
		if err == nil || ctx.Err() != nil {
			return records, end, err
		}
		o.front.log.Event("read failed", logrus.Fields{"epoch": o.record.Epoch, "topic": topic, "error": err.Error()})
		sleep(ctx, storeRetryDelay)
	}
}

// appendWithRetry adds records to the cell's partition. It tries until it is done or
// another owner has fenced it: the sequence number makes tries one appendWithRetry.
func (o *owner) appendWithRetry(ctx context.Context, records []bamboofall.StoreRecord) error {
	first := true
	for {
		began := now()
		_, err := o.front.store.Append(ctx, bamboofall.StoreAppend{
			Topic: topicCells, Part: cellPartition, Records: records, At: -1,
			Producer: producerName, Epoch: o.record.Epoch, Sequence: o.cellSequence,
		})
		var fenced *bamboofall.FencedError
		switch {
		case err == nil:
			o.front.metrics.recordLatency("storeAppend", now().Sub(began))
			o.cellSequence++
			return nil
		case errors.As(err, &fenced):
			if fenced.Sequence && !first && fenced.Expected == o.cellSequence+1 {
				o.cellSequence++ // an earlier try was done
				return nil
			}
			return fmt.Errorf("%w: %w", errDeposed, err)
		case ctx.Err() != nil:
			return ctx.Err()
		}
		if first {
			o.front.log.Event("append failed", logrus.Fields{"epoch": o.record.Epoch, "records": len(records), "error": err.Error()})
		}
		first = false
		sleep(ctx, storeRetryDelay)
	}
}

// loop takes events in and lets the cell decide.
func (o *owner) loop(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case due := <-ticker.C:
			o.delays.recordWait(delayTick, time.Since(due))
		case f := <-o.events.Items():
			f(now())
			o.drainEvents()
		}
		if o.appendErr != nil {
			return o.appendErr
		}
		if err := o.step(now()); err != nil {
			return err
		}
	}
}

// push hands an event to the loop, and notes how long it waits there.
func (o *owner) push(ctx context.Context, f func(at time.Time)) {
	o.events.Push(ctx, o.measuringWait(f))
}

func (o *owner) measuringWait(f func(at time.Time)) func(at time.Time) {
	arrived := time.Now()
	return func(at time.Time) {
		o.delays.recordWait(delayEvent, time.Since(arrived))
		f(at)
	}
}

// drainEvents takes in what has arrived before a step: a slow step is not made
// again for each few of the events that came meanwhile.
func (o *owner) drainEvents() {
	for range max(minDrainLimit, len(o.events.Items())) {
		select {
		case f := <-o.events.Items():
			f(now())
		default:
			return
		}
	}
}

func (o *owner) step(at time.Time) error {
	o.updateDelay(at)
	o.cell.SetConfirmed(o.front.confirmedAt())
	began := time.Now()
	out := o.cell.Step(at)
	o.delays.recordStep(time.Since(began))
	for _, n := range out.Notes {
		o.front.log.Note(o.record.Epoch, n)
	}
	if out.Deposed {
		return errDeposed
	}
	for _, order := range out.Orders {
		o.inFlight.Add(1)
		o.dispatcher.route(at, order)
	}
	o.dispatcher.step(at)
	if at.Sub(o.metricsUpdatedAt) >= metricsInterval {
		o.metricsUpdatedAt = at
		o.front.metrics.updateCellCounters(o.cell.Counters())
		o.dispatcher.updateMetrics(o.front.metrics)
	}
	if o.appending {
		return nil
	}
	records, flush, err := o.cell.Flush()
	if err != nil {
		return err
	}
	if len(records) > 0 {
		o.appending = true
		go o.storeRecords(records, flush)
	}
	return nil
}

func (o *owner) storeRecords(records []bamboofall.StoreRecord, flush uint64) {
	err := o.appendWithRetry(o.ctx, records)
	o.push(o.ctx, func(at time.Time) {
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

func (o *owner) setConfiguration(conf *bamboofall.Configuration) {
	o.push(o.ctx, func(time.Time) { o.cell.SetConfiguration(conf) })
}

// followWorkers follows the announcements of workers from an offset on.
func (o *owner) followWorkers(ctx context.Context, from int64) error {
	return o.front.follow(ctx, platform.TopicWorkers, from, workersLongPoll, func(r bamboofall.StoredRecord) {
		o.push(ctx, func(at time.Time) { o.applyWorkerRecord(at, r) })
	}, nil)
}

// applyWorkerRecord takes over what a worker announces, or that it is no longer listed.
func (o *owner) applyWorkerRecord(at time.Time, r bamboofall.StoredRecord) {
	if len(r.Value) == 0 {
		o.cell.RemoveWorker(at, r.Key)
		o.dispatcher.table.RemoveWorker(r.Key)
		return
	}
	w, err := platform.DecodeWorker(r.Key, r.Value)
	if err != nil {
		o.front.metrics.Count("workerEntriesRejected", nil)
		o.front.log.Event("worker entry rejected", logrus.Fields{"worker": r.Key, "error": err.Error()})
		return
	}
	o.cell.SetWorker(at, w)
	o.dispatcher.table.SetWorker(w.ID, w.Zone)
}

// followInbox takes over what entry VMs stored, from an offset on, while they
// reached no owner.
func (o *owner) followInbox(ctx context.Context, from int64) error {
	return o.front.follow(ctx, topicInbox, from, inboxLongPoll, func(r bamboofall.StoredRecord) {
		o.push(ctx, func(at time.Time) { o.applyInboxRecord(at, r) })
	}, func(int64) {
		o.push(ctx, func(at time.Time) { o.inboxReadAt = at })
	})
}

// inboxUpToDate reports whether a job that is not known has not been accepted: all
// that was stored in the inbox until lately has been taken over.
func (o *owner) inboxUpToDate(at time.Time) bool { return at.Sub(o.inboxReadAt) <= inboxMaxAge }

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

// applyDeferred takes over a call from the inbox, and removes it there once it
// is stored with the cell.
func (o *owner) applyDeferred(at time.Time, key string, deferred *jobpb.Deferred) {
	var flush uint64
	if deferred.GetJob() != nil {
		flush, _ = o.cell.Submit(at, cell.DecodeSpec(deferred.GetJob()), true)
	} else {
		flush = o.cell.CancelAhead(at, bamboofall.JobID(deferred.GetCancel()))
	}
	o.whenStored(flush, func() { go o.deleteInboxRecord(key) })
}

func (o *owner) deleteInboxRecord(key string) {
	_, err := o.front.store.Append(o.ctx, bamboofall.StoreAppend{
		Topic: topicInbox, Part: cellPartition, Records: []bamboofall.StoreRecord{{Key: key}}, At: -1,
	})
	if err != nil {
		// It is taken over again by the next owner, which knows the job.
		o.front.log.Event("inbox not cleared", logrus.Fields{"key": key, "error": err.Error()})
	}
}

// whenStored calls a function once a flush is stored.
func (o *owner) whenStored(flush uint64, done func()) {
	if o.cell.IsStored(flush) {
		done()
		return
	}
	o.waiters = append(o.waiters, waiter{flush, done})
}

// runInLoop runs a function in the owner's loop. The function gets what to call with
// the answer.
func runInLoop[T any](ctx context.Context, o *owner, f func(at time.Time, answer func(T))) (T, error) {
	var none T
	if !o.ready.Load() || o.isReleasing() {
		return none, errNotOwner
	}
	done := make(chan T, 1)
	if !o.events.TryPush(o.measuringWait(func(at time.Time) { f(at, func(v T) { done <- v }) })) {
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

// errNotOwner says that nothing was done as this VM does not own the cell.
var errNotOwner = errors.New("this VM does not own the cell")
