// Package commit batches records into appends to a stream (group commit).
//
// At most one append of a stream is in flight. Records that arrive meanwhile wait
// for the next one, so under load an append holds many records. The number of
// appends is bounded by the latency of the log and by the writer's share of the
// append rate that the log sustains.
//
// An append that failed may have taken effect. It is sent again unchanged, before
// any newer record, and readers ignore the repetition. The queue is bounded;
// records that do not fit are refused at once.
package commit

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"bamboofall.example/bamboofall/internal/wire/recordpb"
)

const (
	// MaxQueued is the maximum number of records that wait for an append.
	MaxQueued = 50_000
	// maxBatchRecords is the maximum number of records per append.
	maxBatchRecords = 1000
	// maxBatchBytes is the size from which an append takes no further record.
	maxBatchBytes = 512 << 10
	// appendBurst is the number of appends that may exceed the rate at once.
	appendBurst = 3
	// The delay before a failed append is repeated starts at minRetryDelay and
	// doubles with each failure up to maxRetryDelay.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// ErrFull says that the queue of records is full.
var ErrFull = errors.New("queue of records for the log is full")

// Committer batches the records of one stream. Use New. It is not safe for
// concurrent use.
type Committer struct {
	// writer identifies this process in the appends.
	writer string
	// gatherTime is how long a record waits for others.
	gatherTime time.Duration
	queue      []*recordpb.Record
	// oldestAt is when the wait of the queued records started: when the oldest one
	// was queued, or when the previous append was built.
	oldestAt time.Time
	// limiter limits the appends per second.
	limiter *rate.Limiter
	// batch is the encoded append that is in flight or will be repeated, or nil.
	batch []byte
	// batchRecords is the number of records in batch.
	batchRecords int
	inFlight     bool
	// retryAt is when the failed batch may be sent again.
	retryAt time.Time
	// failures counts the consecutive failures.
	failures int
}

// New returns an empty committer. A record waits up to gatherTime for others.
func New(writer string, gatherTime time.Duration) *Committer {
	return &Committer{writer: writer, gatherTime: gatherTime, limiter: rate.NewLimiter(rate.Inf, appendBurst)}
}

// SetRate limits this writer's appends per second, so that all writers together
// stay below the rate that the log sustains. Short bursts may exceed it.
func (c *Committer) SetRate(now time.Time, perSecond float64) {
	if limit := rate.Limit(perSecond); limit != c.limiter.Limit() {
		c.limiter.SetLimitAt(now, limit)
	}
}

// Add queues a record. It returns ErrFull if the queue is full.
func (c *Committer) Add(now time.Time, r *recordpb.Record) error {
	if len(c.queue) >= MaxQueued {
		return ErrFull
	}
	if len(c.queue) == 0 {
		c.oldestAt = now
	}
	c.queue = append(c.queue, r)
	return nil
}

// Pending returns the number of records that are not known to be in the log.
func (c *Committer) Pending() int { return len(c.queue) + c.batchRecords }

// Failing reports whether the last append failed.
func (c *Committer) Failing() bool { return c.failures > 0 }

// Next returns the append to send now, or nil. After a non-nil result, Done or
// Failed must be called before Next returns another one.
func (c *Committer) Next(now time.Time) ([]byte, error) {
	if c.inFlight || now.Before(c.retryAt) {
		return nil, nil
	}
	if c.batch == nil {
		if len(c.queue) == 0 || now.Sub(c.oldestAt) < c.gatherTime && len(c.queue) < maxBatchRecords {
			return nil, nil
		}
		if !c.limiter.AllowN(now, 1) {
			return nil, nil
		}
		if err := c.buildBatch(now); err != nil {
			return nil, err
		}
	}
	c.inFlight = true
	return c.batch, nil
}

// buildBatch moves records from the queue into the next append.
func (c *Committer) buildBatch(now time.Time) error {
	count, size := 0, 0
	for count < len(c.queue) && count < maxBatchRecords && (count == 0 || size < maxBatchBytes) {
		size += proto.Size(c.queue[count])
		count++
	}
	data, err := proto.Marshal(&recordpb.Batch{Version: 1, Writer: c.writer, Records: c.queue[:count]})
	if err != nil {
		return fmt.Errorf("encode %d records: %w", count, err)
	}
	c.batch = data
	c.batchRecords = count
	c.queue = append([]*recordpb.Record(nil), c.queue[count:]...)
	c.oldestAt = now
	return nil
}

// Done records that the append in flight succeeded.
func (c *Committer) Done() {
	c.inFlight = false
	c.batch = nil
	c.batchRecords = 0
	c.failures = 0
}

// Failed records that the append in flight failed. It may have taken effect.
func (c *Committer) Failed(now time.Time) {
	c.inFlight = false
	c.failures++
	delay := minRetryDelay << min(c.failures-1, 10)
	c.retryAt = now.Add(min(delay, maxRetryDelay))
}
