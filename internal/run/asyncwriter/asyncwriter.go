// Package asyncwriter writes lines without making the writer wait.
//
// Lines go through a bounded ring to one thread. When the ring is full because
// the other end does not read, lines are dropped and counted.
package asyncwriter

import (
	"context"
	"io"
	"slices"
	"time"

	"bamboofall.example/bamboofall/internal/run/ring"
)

const (
	// lines is the size of the ring: some seconds of lines at full load.
	lines = 4096
	// gatherTime is how long lines wait for others. Each write costs a system call
	// and a wake-up, more than the line itself; a process that is killed loses the
	// lines of this time.
	gatherTime = 50 * time.Millisecond
)

// Writer is an io.Writer that never waits. Use New.
type Writer struct {
	out  io.Writer
	ring *ring.Ring[[]byte]
}

// New returns a writer that writes nothing before Run is called.
func New(out io.Writer) *Writer { return &Writer{out, ring.New[[]byte](lines)} }

// Write takes a copy of a line.
func (w *Writer) Write(line []byte) (int, error) {
	w.ring.TryPush(slices.Clone(line))
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 { return w.ring.Refused() }

// Run writes lines until the context ends, and then what is left.
func (w *Writer) Run(ctx context.Context) error {
	timer := time.NewTimer(gatherTime)
	defer timer.Stop()
	for {
		select {
		case line := <-w.ring.Items():
			timer.Reset(gatherTime)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
			w.write(line)
			w.drain()
		case <-ctx.Done():
			w.drain()
			return nil
		}
	}
}

// write writes a line with those that wait, up to a size.
func (w *Writer) write(line []byte) {
	const most = 64 << 10
	for len(line) < most {
		select {
		case next := <-w.ring.Items():
			line = append(line, next...)
			continue
		default:
		}
		break
	}
	// A line that cannot be written has nowhere else to go.
	_, _ = w.out.Write(line)
}

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
