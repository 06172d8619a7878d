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

// countingServer is a server that counts connections and calls.
type countingServer struct {
	*httptest.Server
	connections, calls atomic.Int64
}

func newCountingServer(t *testing.T) *countingServer {
	s := &countingServer{}
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

var errVetoed = errors.New("vetoed by the BeforeSend hook")

// A call that has waited too long for a connection must not be written. The
// BeforeSend hook refuses it, and the connection stays usable.
func TestCallInvokesBeforeSendHookAfterConnecting(t *testing.T) {
	engine, err := httpclient.NewEngine()
	assert.NilError(t, err)
	t.Cleanup(engine.Stop)
	client := httpclient.New(engine)
	server := newCountingServer(t)
	call := func(h *httpclient.Hooks) error {
		req, err := http.NewRequestWithContext(httpclient.WithHooks(context.Background(), h), http.MethodGet, server.URL, nil)
		assert.NilError(t, err)
		res, err := client.Do(req)
		if err == nil {
			assert.NilError(t, res.Body.Close())
		}
		return err
	}
	var connecting, beforeSendCalls atomic.Int64
	count := func() { connecting.Add(1) }
	allow := &httpclient.Hooks{Connecting: count, BeforeSend: func() error { beforeSendCalls.Add(1); return nil }}
	deny := &httpclient.Hooks{Connecting: count, BeforeSend: func() error { beforeSendCalls.Add(1); return errVetoed }}
	checkVetoed := func() {
		t.Helper()
		err := call(deny)
		assert.Assert(t, httpclient.IsNotSent(err), "nothing was sent: %v", err)
		assert.ErrorIs(t, err, errVetoed)
	}
	checkVetoed()
	assert.Equal(t, beforeSendCalls.Load(), int64(1))
	assert.NilError(t, call(allow))
	assert.NilError(t, call(allow))
	assert.Equal(t, connecting.Load(), int64(1), "the connection is reused, also after a call that the BeforeSend hook refused")
	assert.Equal(t, server.connections.Load(), int64(1))
	assert.Equal(t, beforeSendCalls.Load(), int64(3))
	checkVetoed()
	assert.Equal(t, server.calls.Load(), int64(2))
	assert.NilError(t, call(&httpclient.Hooks{}))
	assert.Equal(t, server.calls.Load(), int64(3))
}
