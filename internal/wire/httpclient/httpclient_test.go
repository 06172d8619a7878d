package httpclient_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/lesismal/nbio/logging"
	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/internal/wire/httpclient"
)

// errorLogger records the errors that nbio logs.
type errorLogger struct {
	mu    sync.Mutex
	lines []string
}

func (f *errorLogger) SetLevel(int)         {}
func (f *errorLogger) Debug(string, ...any) {}
func (f *errorLogger) Info(string, ...any)  {}
func (f *errorLogger) Warn(string, ...any)  {}

func (f *errorLogger) Error(format string, v ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	line, _, _ := strings.Cut(fmt.Sprintf(format, v...), "\n")
	f.lines = append(f.lines, line)
}

func newClient(t *testing.T) *httpclient.Client {
	engine, err := httpclient.NewEngine()
	assert.NilError(t, err)
	t.Cleanup(engine.Stop)
	return httpclient.New(engine)
}

// nbhttp recycles its response when a call's handler returns. It logged a panic if the
// response had been given another body.
func TestConcurrentCallsLogNoErrors(t *testing.T) {
	f := &errorLogger{}
	previous := logging.DefaultLogger
	logging.SetLogger(f)
	t.Cleanup(func() { logging.SetLogger(previous) })
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Path", r.URL.Path)
		_, _ = io.WriteString(w, "answer to "+r.URL.Path)
	}))
	t.Cleanup(server.Close)
	c := newClient(t)
	var all sync.WaitGroup
	for caller := range 8 {
		all.Go(func() {
			for i := range 50 {
				path := fmt.Sprintf("/%d/%d", caller, i)
				req, err := http.NewRequest(http.MethodGet, server.URL+path, nil)
				assert.Check(t, err)
				res, err := c.Do(req)
				if !assert.Check(t, err) {
					return
				}
				body, err := io.ReadAll(res.Body)
				assert.Check(t, err)
				assert.Check(t, res.StatusCode == http.StatusOK && res.Header.Get("X-Path") == path)
				assert.Check(t, string(body) == "answer to "+path)
			}
		})
	}
	all.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(t, len(f.lines), 0, "%d errors were logged, the first: %s", len(f.lines), strings.Join(f.lines[:min(1, len(f.lines))], ""))
}
