package httpclient

import (
	"context"
	"errors"
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
