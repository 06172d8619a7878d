package asyncwriter

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks writes until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

// If the output blocks, Write must not block, and must drop the lines that do not fit
// into the ring.
func TestBlockedOutputDropsLinesWithoutBlockingWrite(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	w := New(out)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	// The loop would never end if a line waited for the output.
	const written = 3 * ringSize
	for i := range written {
		n, err := fmt.Fprintf(w, "line %d\n", i)
		assert.NilError(t, err)
		assert.Assert(t, n > 0)
	}
	// The ring is full, and Run holds at most the lines of one write.
	assert.Assert(t, w.Dropped() > 0, "%d dropped", w.Dropped())
	cancel()
	close(out.release)
	assert.NilError(t, <-done)
}

func TestRunWritesQueuedLinesInOrderAfterCancel(t *testing.T) {
	var out bytes.Buffer
	w := New(&out)
	var want strings.Builder
	for i := range 1000 {
		fmt.Fprintf(w, "line %d\n", i)
		fmt.Fprintf(&want, "line %d\n", i)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, w.Run(ctx))
	assert.Equal(t, out.String(), want.String())
	assert.Equal(t, w.Dropped(), int64(0))
}

// countingWriter counts the calls of Write.
type countingWriter struct {
	bytes.Buffer
	writes int
}

func (c *countingWriter) Write(b []byte) (int, error) {
	c.writes++
	return c.Buffer.Write(b)
}

// Lines that come one by one, within batchDelay of each other, must not each cost a
// write.
func TestLinesWithinBatchDelayAreWrittenTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &countingWriter{}
		w := New(out)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.Run(ctx) }()
		const spacing = batchDelay / 10
		for i := range 100 {
			fmt.Fprintf(w, "line %d\n", i)
			time.Sleep(spacing)
		}
		time.Sleep(batchDelay)
		synctest.Wait()
		assert.Equal(t, strings.Count(out.String(), "\n"), 100)
		assert.Assert(t, out.writes <= 11, "%d writes", out.writes)
		cancel()
		assert.NilError(t, <-done)
	})
}
