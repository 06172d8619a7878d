// Package asyncwriter provides a writer of log lines that never blocks its callers.
//
// Lines are queued in a bounded ring and written by one goroutine. If the output is
// not read and the ring is full, further lines are dropped and counted.
package asyncwriter

import (
	"context"
	"io"
	"slices"
	"time"

	"bamboofall.example/bamboofall/internal/run/ring"
)

const (
	// ringSize is the number of lines that may wait: some seconds of lines at full
	// load.
	ringSize = 4096
	// batchDelay is how long a line waits for others, to be written together with
	// them. Each write costs a system call and a wake-up, more than the line itself. A
	// process that is killed loses the lines of this time.
	batchDelay = 50 * time.Millisecond
)

// Writer is an io.Writer whose Write never blocks. Use New.
type Writer struct {
	out  io.Writer
	ring *ring.Ring[[]byte]
}

// New returns a writer that queues lines until Run is called.
func New(out io.Writer) *Writer { return &Writer{out, ring.New[[]byte](ringSize)} }

// Write queues a copy of a line, or drops the line if the ring is full. It never
// fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.ring.TryPush(slices.Clone(line))
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() int64 { return w.ring.Rejected() }

// Run writes lines until the context ends, and then the lines that are still queued.
func (w *Writer) Run(ctx context.Context) error {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for {
		select {
		case line := <-w.ring.Items():
			timer.Reset(batchDelay)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
			if full := w.write(line); full {
				w.drain()
			}
		case <-ctx.Done():
			w.drain()
			return nil
		}
	}
}

// maxWriteSize is about the largest size of a write in bytes.
const maxWriteSize = 64 << 10

// write writes a line together with queued lines. It reports whether it stopped at
// maxWriteSize, so that more lines may be queued.
func (w *Writer) write(line []byte) (full bool) {
	for len(line) < maxWriteSize {
		select {
		case next := <-w.ring.Items():
			line = append(line, next...)
			continue
		default:
		}
		break
	}
	// An error cannot be reported: this is the log.
	_, _ = w.out.Write(line)
	return len(line) >= maxWriteSize
}

// drain writes all queued lines without waiting for others.
func (w *Writer) drain() {
	for {
		select {
		case line := <-w.ring.Items():
			w.write(line)
		default:
			return
		}
	}
}
