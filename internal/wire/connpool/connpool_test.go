package connpool_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/internal/wire/connpool"
)

func TestPool(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	const patience = 100 * time.Millisecond
	var p connpool.Pool[string]
	_, ok, _ := p.Take(at(0), patience)
	assert.Assert(t, !ok, "an empty pool opens a connection")
	p.Put(at(10), "a")
	p.Put(at(20), "b")
	conn, ok, _ := p.Take(at(30), patience)
	assert.Assert(t, ok && conn == "b", "the most recently used one comes first")
	_, ok, _ = p.Take(at(140), patience)
	assert.Assert(t, !ok, "while nothing answers, new connections are opened")
	p.Put(at(150), "new")
	assert.DeepEqual(t, p.Doubt(at(30)), []string{"a"})
	assert.Equal(t, p.Len(), 1, "what has answered since is kept")
	_, ok, expired := p.Take(at(150).Add(connpool.MaxIdle), patience)
	assert.Assert(t, !ok)
	assert.DeepEqual(t, expired, []string{"new"})
	p.Add(at(20000), "opened")
	conn, ok, _ = p.Take(at(20010), patience)
	assert.Assert(t, !ok, "a connection that was opened is no answer, %s", conn)
	p.Put(at(20020), "answered")
	assert.Equal(t, p.Len(), 2)
}
