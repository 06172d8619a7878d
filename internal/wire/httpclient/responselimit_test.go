package httpclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/internal/wire/intake"
)

// A response over the limit fails its call as soon as it is, and gives back what it held. A
// response within the limit is read.
func TestResponseOverLimitFails(t *testing.T) {
	const most = 100_000
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/announced":
			w.Header().Set("Content-Length", "100001")
			_, _ = io.WriteString(w, "x")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		case "/endless":
			for {
				if _, err := io.WriteString(w, strings.Repeat("x", 1000)); err != nil {
					return
				}
			}
		case "/header":
			for range 100 {
				w.Header().Add("X-Long", strings.Repeat("x", 1000))
			}
		default:
			_, _ = io.WriteString(w, strings.Repeat("x", most))
		}
	}))
	t.Cleanup(server.Close)
	engine, err := NewEngine()
	assert.NilError(t, err)
	t.Cleanup(engine.Stop)
	for _, limits := range []intake.ResponseLimits{
		{Bytes: most, AllBytes: 10 * most, AlwaysBytes: 1000}, {Bytes: 10 * most, AllBytes: most / 2, AlwaysBytes: 1000},
	} {
		c := New(engine, WithLimits(limits))
		shared := limits.AllBytes < most
		for path, ok := range map[string]bool{"/announced": shared, "/endless": false, "/header": false, "/": !shared} {
			_, body, err := c.Call(context.Background(), &Request{
				Method: http.MethodGet, Host: strings.TrimPrefix(server.URL, "http://"), Target: path, Timeout: time.Second,
			})
			var tooLarge *ResponseTooLargeError
			if ok {
				// An announced response within the limit does not come: time-out.
				assert.Assert(t, !errors.As(err, &tooLarge), "%s: %v", path, err)
				assert.Assert(t, path != "/" || len(body) == most)
			} else {
				assert.Assert(t, errors.As(err, &tooLarge), "%s: %v", path, err)
			}
		}
		assert.Equal(t, c.responses.held.Load(), int64(0))
	}
}
