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

// stuck is an output that nobody reads.
type stuck struct{ release chan struct{} }

func (s stuck) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// A writer whose output is stuck must neither wait nor keep more than its ring.
func TestAStuckOutputCostsLinesAndNoTime(t *testing.T) {
	out := stuck{make(chan struct{})}
	w := New(out)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	// All of this would never end if a line waited.
	const written = 3 * lines
	for i := range written {
		n, err := fmt.Fprintf(w, "line %d\n", i)
		assert.NilError(t, err)
		assert.Assert(t, n > 0)
	}
	// The ring is full, and the thread holds at most what one write gathers.
	assert.Assert(t, w.Dropped() > 0, "%d dropped", w.Dropped())
	cancel()
	close(out.release)
	assert.NilError(t, <-done)
}

func TestLinesAreWrittenInOrderToTheEnd(t *testing.T) {
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

// counter counts the writes that it gets.
type counter struct {
	bytes.Buffer
	writes int
}

func (c *counter) Write(b []byte) (int, error) {
	c.writes++
	return c.Buffer.Write(b)
}

// Each line was written by a call of its own while lines came one by one.
func TestLinesOfAShortTimeAreWrittenTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &counter{}
		w := New(out)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.Run(ctx) }()
		const spacing = gatherTime / 10
		for i := range 100 {
			fmt.Fprintf(w, "line %d\n", i)
			time.Sleep(spacing)
		}
		time.Sleep(gatherTime)
		synctest.Wait()
		assert.Equal(t, strings.Count(out.String(), "\n"), 100)
		assert.Assert(t, out.writes <= 11, "%d writes", out.writes)
		cancel()
		assert.NilError(t, <-done)
	})
}
