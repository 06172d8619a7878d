package connpool_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/internal/wire/connpool"
)

func TestPoolReusesRespondingAndRemovesStaleConnections(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	const maxSilence = 100 * time.Millisecond
	var p connpool.Pool[string]
	_, ok, _ := p.Take(at(0), maxSilence)
	assert.Assert(t, !ok, "an empty pool has no connection to return")
	p.Put(at(10), "a")
	p.Put(at(20), "b")
	conn, ok, _ := p.Take(at(30), maxSilence)
	assert.Assert(t, ok && conn == "b", "the most recently used connection is returned first")
	_, ok, _ = p.Take(at(140), maxSilence)
	assert.Assert(t, !ok, "without a response for longer than maxSilence, a new connection must be opened")
	p.Put(at(150), "new")
	assert.DeepEqual(t, p.RemoveUnansweredSince(at(30)), []string{"a"})
	assert.Equal(t, p.Len(), 1, "a connection that has carried a response since then is kept")
	_, ok, expired := p.Take(at(150).Add(connpool.MaxIdle), maxSilence)
	assert.Assert(t, !ok)
	assert.DeepEqual(t, expired, []string{"new"})
	p.AddUnused(at(20000), "opened")
	conn, ok, _ = p.Take(at(20010), maxSilence)
	assert.Assert(t, !ok, "adding an opened connection does not count as a response, got %s", conn)
	p.Put(at(20020), "answered")
	assert.Equal(t, p.Len(), 2)
}
