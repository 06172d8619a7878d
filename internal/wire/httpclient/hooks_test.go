package httpclient_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/internal/wire/httpclient"
)

// watched is a server that counts connections and calls.
type watched struct {
	*httptest.Server
	connections, calls atomic.Int64
}

func newWatched(t *testing.T) *watched {
	s := &watched{}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { s.calls.Add(1) }))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.connections.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

var errWithheld = errors.New("withheld")

// A call that has waited too long for a connection must not be written any more.
func TestACallAsksWhetherItMayLeaveOnceItIsConnected(t *testing.T) {
	engine, err := httpclient.NewEngine()
	assert.NilError(t, err)
	t.Cleanup(engine.Stop)
	client := httpclient.New(engine)
	s := newWatched(t)
	call := func(h *httpclient.Hooks) error {
		req, err := http.NewRequestWithContext(httpclient.WithHooks(context.Background(), h), http.MethodGet, s.URL, nil)
		assert.NilError(t, err)
		res, err := client.Do(req)
		if err == nil {
			assert.NilError(t, res.Body.Close())
		}
		return err
	}
	var connecting, asked atomic.Int64
	count := func() { connecting.Add(1) }
	allow := &httpclient.Hooks{Connecting: count, Leave: func() error { asked.Add(1); return nil }}
	deny := &httpclient.Hooks{Connecting: count, Leave: func() error { asked.Add(1); return errWithheld }}
	withheld := func() {
		t.Helper()
		err := call(deny)
		assert.Assert(t, httpclient.IsDial(err), "nothing was sent: %v", err)
		assert.ErrorIs(t, err, errWithheld)
	}
	withheld()
	assert.Equal(t, asked.Load(), int64(1))
	assert.NilError(t, call(allow))
	assert.NilError(t, call(allow))
	assert.Equal(t, connecting.Load(), int64(1), "a connection is used again, also that of a call that was withheld")
	assert.Equal(t, s.connections.Load(), int64(1))
	assert.Equal(t, asked.Load(), int64(3))
	withheld()
	assert.Equal(t, s.calls.Load(), int64(2))
	assert.NilError(t, call(&httpclient.Hooks{}))
	assert.Equal(t, s.calls.Load(), int64(3))
}
