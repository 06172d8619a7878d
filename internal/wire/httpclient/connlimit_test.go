package httpclient

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A client at its limit opens no connection, and uses those that are open.
func TestClientAtConnectionLimitOpensNone(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(server.Close)
	engine, err := NewEngine()
	assert.NilError(t, err)
	t.Cleanup(engine.Stop)
	limit := 0
	c := New(engine, WithConnectionLimit(func() int { return limit }))
	call := func() error {
		_, _, err := c.Call(context.Background(), &Request{Method: http.MethodGet, Host: strings.TrimPrefix(server.URL, "http://"), Target: "/", Timeout: time.Second})
		return err
	}
	err = call()
	assert.Assert(t, IsNotSent(err) && errors.Is(err, errTooManyConnections), "%v", err)
	limit = 1
	assert.NilError(t, call())
	limit = 0
	assert.NilError(t, call())
}

// Connections that are being opened count.
func TestDialsCountForConnectionLimit(t *testing.T) {
	engine, err := NewEngine()
	assert.NilError(t, err)
	t.Cleanup(engine.Stop)
	dialing, proceed := make(chan struct{}), make(chan struct{})
	engine.dial = func(string) (*net.TCPConn, error) {
		close(dialing)
		<-proceed
		return nil, errors.New("refused")
	}
	c := New(engine, WithConnectionLimit(func() int { return 1 }))
	call := func() error {
		_, _, err := c.Call(context.Background(), &Request{Method: http.MethodGet, Host: "127.0.0.1:1", Target: "/", Timeout: time.Minute})
		return err
	}
	first := make(chan error)
	go func() { first <- call() }()
	<-dialing
	assert.Assert(t, errors.Is(call(), errTooManyConnections))
	close(proceed)
	assert.Assert(t, IsNotSent(<-first))
}
