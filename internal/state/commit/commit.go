// Package commit gathers records into appends.
//
// At most one append of a stream is under way. Records that arrive meanwhile
// wait for the next one, so under load an append holds many records, and the
// number of appends is bounded by the log's answer time and by the writer's share
// of what the log takes. An append that failed
// may have taken effect. It is sent again unchanged, before anything newer;
// readers drop the repeat. The queue is bounded, and what does not fit is
// refused at once.
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
	// MaxQueued is the largest number of records that wait.
	MaxQueued = 50_000
	// maxBatch is the largest number of records in an append.
	maxBatch = 1000
	// maxBatchBytes bounds the size of an append, in bytes.
	maxBatchBytes = 512 << 10
	// burst appends may follow each other at once.
	burst      = 3
	firstRetry = 100 * time.Millisecond
	maxRetry   = 5 * time.Second
)

// ErrFull says that no more records can wait.
var ErrFull = errors.New("too many records wait for the log")

// Committer gathers the records of one stream. Use New.
type Committer struct {
	writer string
	wait   time.Duration
	queue  []*recordpb.Record
	// oldest is when the first waiting record came.
	oldest   time.Time
	limiter  *rate.Limiter
	batch    []byte
	inBatch  int
	underway bool
	retryAt  time.Time
	failures int
}

// New returns an empty committer. A record waits for others for a short time.
func New(writer string, wait time.Duration) *Committer {
	return &Committer{writer: writer, wait: wait, limiter: rate.NewLimiter(rate.Inf, burst)}
}

// SetRate bounds the appends a second of this writer, so that all writers
// together stay below what the log takes. A few may follow each other at once.
func (c *Committer) SetRate(now time.Time, perSecond float64) {
	if limit := rate.Limit(perSecond); limit != c.limiter.Limit() {
		c.limiter.SetLimitAt(now, limit)
	}
}

// Add queues a record.
func (c *Committer) Add(now time.Time, r *recordpb.Record) error {
	if len(c.queue) >= MaxQueued {
		return ErrFull
	}
	if len(c.queue) == 0 {
		c.oldest = now
	}
	c.queue = append(c.queue, r)
	return nil
}

// Waiting returns the number of records that are not known to be written.
func (c *Committer) Waiting() int { return len(c.queue) + c.inBatch }

// Failing reports whether the last append failed.
func (c *Committer) Failing() bool { return c.failures > 0 }

// Next returns the append to send now, or nil. After a non-nil result Done or
// Failed must be called before the next one.
func (c *Committer) Next(now time.Time) ([]byte, error) {
	if c.underway || now.Before(c.retryAt) {
		return nil, nil
	}
	if c.batch == nil {
		if len(c.queue) == 0 || now.Sub(c.oldest) < c.wait && len(c.queue) < maxBatch {
			return nil, nil
		}
		if !c.limiter.AllowN(now, 1) {
			return nil, nil
		}
		if err := c.fill(now); err != nil {
			return nil, err
		}
	}
	c.underway = true
	return c.batch, nil
}

func (c *Committer) fill(now time.Time) error {
	n, size := 0, 0
	for n < len(c.queue) && n < maxBatch && (n == 0 || size < maxBatchBytes) {
		size += proto.Size(c.queue[n])
		n++
	}
	data, err := proto.Marshal(&recordpb.Batch{Version: 1, Writer: c.writer, Records: c.queue[:n]})
	if err != nil {
		return fmt.Errorf("encode %d records: %w", n, err)
	}
	c.batch = data
	c.inBatch = n
	c.queue = append([]*recordpb.Record(nil), c.queue[n:]...)
	c.oldest = now
	return nil
}

// Done records that the append took effect.
func (c *Committer) Done() {
	c.underway = false
	c.batch = nil
	c.inBatch = 0
	c.failures = 0
}

// Failed records that the append may or may not have taken effect.
func (c *Committer) Failed(now time.Time) {
	c.underway = false
	c.failures++
	delay := firstRetry << min(c.failures-1, 10)
	c.retryAt = now.Add(min(delay, maxRetry))
}
