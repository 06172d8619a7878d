package front

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/request/holding"
)

// storeOutbox appends a flush to the cell's partition, and then calls the waiters of
// stored flushes in the loop.
func (o *owner) storeOutbox(box *holding.Outbox, flush uint64) {
	err := o.appendOutbox(o.ctx, box)
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
		clear(o.waiters[len(kept):])
		o.waiters = kept
	})
}

// appendOutbox appends the records of an outbox to the cell's partition. It retries until all
// are stored, another owner has fenced the partition or ctx is cancelled. Attempts whose
// outcome is unknown are repeated with the same records and sequence number, so that the store
// appends them once.
func (o *owner) appendOutbox(ctx context.Context, box *holding.Outbox) error {
	o.progress.storingSince.set(now())
	defer o.progress.storingSince.set(time.Time{})
	failed := false
	for {
		records := box.Next()
		if len(records) == 0 {
			return nil
		}
		began := now()
		_, err := o.front.store.Append(ctx, bamboofall.StoreAppend{
			Topic: topicCells, Partition: cellPartition, Records: records, ExpectedEnd: -1,
			Producer: producerName, Epoch: o.record.Epoch, Sequence: o.cellSequence,
		})
		var fenced *bamboofall.FencedError
		var notDone *bamboofall.NotDoneError
		switch {
		case err == nil:
			o.front.metrics.recordLatency("storeAppend", now().Sub(began))
		case errors.As(err, &fenced) && fenced.Sequence && box.MayBeStored() && fenced.Expected == o.cellSequence+1:
			err = nil // an earlier attempt succeeded
		case errors.As(err, &fenced):
			return fmt.Errorf("%w: %w", errDeposed, err)
		case errors.As(err, &notDone):
			box.NotStored()
		default:
			box.Unknown()
		}
		if err == nil {
			o.progress.storedAt.set(now())
			o.cellSequence++
			failed = false
			o.appendFails.Store(false)
			box.Stored()
			continue
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		o.front.metrics.Increment("appendsFailed", map[string]string{"topic": topicCells})
		if !failed {
			o.front.log.Event("append failed", logrus.Fields{"epoch": o.record.Epoch, "records": len(records), "error": err.Error()})
		}
		failed = true
		o.appendFails.Store(true)
		sleep(ctx, storeRetryDelay)
	}
}

// deletionsLast returns records in the order in which they are stored: an owner that is
// replaced between two appends must not leave the progress of a job whose steps are deleted.
func deletionsLast(records []bamboofall.StoreRecord) []bamboofall.StoreRecord {
	ordered := slices.Clone(records)
	slices.SortStableFunc(ordered, func(a, b bamboofall.StoreRecord) int {
		return cmp.Compare(deletionRank(a), deletionRank(b))
	})
	return ordered
}

func deletionRank(r bamboofall.StoreRecord) int {
	if len(r.Value) == 0 {
		return 1
	}
	return 0
}
