package httpclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const (
	// frozenVariable makes this binary a caller of the address that it holds.
	frozenVariable = "BAMBOOFALL_FROZEN_CALLER"
	frozenCalls    = 20
	frozenTimeout  = 50 * time.Millisecond
)

func TestMain(m *testing.M) {
	if url := os.Getenv(frozenVariable); url != "" {
		callAll(url)
		return
	}
	os.Exit(m.Run())
}

func callAll(url string) {
	engine, err := NewEngine()
	if err != nil {
		panic(err)
	}
	c := New(engine)
	for range frozenCalls {
		ctx, cancel := context.WithTimeout(context.Background(), frozenTimeout)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			panic(err)
		}
		if _, err := c.Do(req); err != nil {
			fmt.Println("unanswered:", err)
		}
		cancel()
	}
	engine.Stop()
	fmt.Println("called")
}

// A process that is stopped while an answer arrives finds the answer and a
// deadline that has passed at the same time. It took either.
func TestAnAnswerBeforeTheDeadlineWinsOverIt(t *testing.T) {
	caller := exec.Command(os.Args[0])
	started := make(chan struct{})
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-started
		calls++
		assert.Check(t, caller.Process.Signal(syscall.SIGSTOP))
		_, _ = io.WriteString(w, "answer")
		assert.Check(t, http.NewResponseController(w).Flush())
		time.Sleep(2 * frozenTimeout)
		assert.Check(t, caller.Process.Signal(syscall.SIGCONT))
	}))
	defer server.Close()
	caller.Env = append(os.Environ(), frozenVariable+"="+server.URL)
	var out strings.Builder
	caller.Stdout = &out
	assert.NilError(t, caller.Start())
	close(started)
	assert.NilError(t, caller.Wait())
	assert.Equal(t, out.String(), "called\n")
	assert.Equal(t, calls, frozenCalls)
}

func connect(t *testing.T, c *Conn, host string) *net.TCPConn {
	now := time.Now()
	x := call{conn: c, ctx: context.Background(), host: host, began: now, deadline: now.Add(time.Minute)}
	conn, _, err := x.connect()
	assert.NilError(t, err)
	return conn
}

// connection returns a connection that has sent a request, and its other end.
func connection(t *testing.T, began, deadline time.Time) (*call, *net.TCPConn, net.Conn) {
	engine, err := NewEngine()
	assert.NilError(t, err)
	t.Cleanup(engine.Stop)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	c := engine.NewConn(maxCall)
	conn := connect(t, c, l.Addr().String())
	other, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = other.Close() })
	c.answer.reset(engine.limits)
	return &call{conn: c, ctx: context.Background(), host: "worker", began: began, deadline: deadline, sent: true}, conn, other
}

const wireAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer"

func TestAProcessThatComesLateToADeadlineWaitsAgain(t *testing.T) {
	now := time.Now()
	x, conn, other := connection(t, now.Add(-2*time.Hour), now.Add(-time.Hour))
	raw, err := conn.SyscallConn()
	assert.NilError(t, err)
	go func() {
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(other, wireAnswer)
	}()
	assert.NilError(t, x.expired(conn, raw))
	assert.Equal(t, string(x.conn.answer.body), "answer")
}

func TestSilenceIsATimeout(t *testing.T) {
	now := time.Now()
	x, conn, _ := connection(t, now.Add(-time.Second), now)
	raw, err := conn.SyscallConn()
	assert.NilError(t, err)
	err = x.expired(conn, raw)
	var late *TimeoutError
	assert.Assert(t, errors.As(err, &late), "%v", err)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// A call met connections that the other end had closed, and its outcome was
// unknown though nothing had been sent.
func TestAConnectionClosedWhileIdleIsOpenedAnew(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	engine, err := NewEngine()
	assert.NilError(t, err)
	defer engine.Stop()
	c := New(engine)
	for range 10 {
		req, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader("order"))
		assert.NilError(t, err)
		res, err := c.Do(req)
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, http.StatusNotFound)
		server.CloseClientConnections()
	}
}

func TestACallThatIsTooLateSendsNothing(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		t.Error("a call arrived")
	}))
	defer server.Close()
	engine, err := NewEngine()
	assert.NilError(t, err)
	defer engine.Stop()
	c := engine.NewConn(maxCall)
	host := strings.TrimPrefix(server.URL, "http://")
	connect(t, c, host)
	late := time.Now().Add(-time.Millisecond)
	err = c.exchange(context.Background(), host, []byte("POST / HTTP/1.1\r\n\r\n"), late, late, false)
	assert.Assert(t, IsDial(err), "%v", err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	err = c.exchange(ctx, host, []byte("POST / HTTP/1.1\r\n\r\n"), time.Now(), time.Now().Add(time.Minute), false)
	assert.Assert(t, IsDial(err), "%v", err)
}

func TestACallEndsWithItsContext(t *testing.T) {
	arrived := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
	}))
	defer server.Close()
	engine, err := NewEngine()
	assert.NilError(t, err)
	defer engine.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
	assert.NilError(t, err)
	_, err = New(engine).Do(req)
	assert.ErrorIs(t, err, context.Canceled)
}

// Large requests and answers take several writes and reads.
func TestLongBodiesAreWhole(t *testing.T) {
	const size = 8 << 20
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		_, _ = w.Write(data)
	}))
	defer server.Close()
	engine, err := NewEngine()
	assert.NilError(t, err)
	defer engine.Stop()
	c := New(engine)
	sent := strings.Repeat("0123456789abcdef", size/16)
	for range 2 {
		req, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader(sent))
		assert.NilError(t, err)
		res, err := c.Do(req)
		assert.NilError(t, err)
		data, err := io.ReadAll(res.Body)
		assert.NilError(t, err)
		assert.Assert(t, string(data) == sent)
	}
}

// An answer that nobody asked for must not be taken for the next call's.
func TestAnAnswerTooMuchIsNotKept(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1024))
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d%s", n, wireAnswer)
		}
	}()
	engine, err := NewEngine()
	assert.NilError(t, err)
	defer engine.Stop()
	c := New(engine)
	for n := range 3 {
		req, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String(), nil)
		assert.NilError(t, err)
		res, err := c.Do(req)
		assert.NilError(t, err)
		data, err := io.ReadAll(res.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(data), fmt.Sprint(n))
	}
}

func TestCallsAreWhatNetHTTPReads(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		w.WriteHeader(http.StatusConflict)
		_, _ = fmt.Fprintf(w, "%s %s %s %q %s %d", r.Method, r.Host, r.RequestURI, r.Header["X-Life"], body, r.ContentLength)
	}))
	defer server.Close()
	engine, err := NewEngine()
	assert.NilError(t, err)
	defer engine.Stop()
	c := New(engine)
	host := strings.TrimPrefix(server.URL, "http://")
	call := func(r Request) (string, error) {
		r.Host, r.Timeout = host, time.Minute
		status, body, err := c.Call(context.Background(), &r)
		assert.Check(t, err != nil || status == http.StatusConflict)
		return string(body), err
	}
	for range 2 {
		got, err := call(Request{Method: http.MethodPost, Target: "/v1/x?y=%20z", Header: []Field{{"X-Life", "i-1 2"}}, Body: []byte("order")})
		assert.NilError(t, err)
		assert.Equal(t, got, "POST "+host+` /v1/x?y=%20z ["i-1 2"] order 5`)
		got, err = call(Request{Method: http.MethodGet, Target: "/"})
		assert.NilError(t, err)
		assert.Equal(t, got, "GET "+host+" / []  0")
		got, err = call(Request{Method: http.MethodPost, Target: "/"})
		assert.NilError(t, err)
		assert.Equal(t, got, "POST "+host+" / []  0")
	}
	for _, bad := range []Request{
		{Method: "GET /x", Target: "/"},
		{Method: "GET", Target: "/ HTTP/1.1\r\nX-Life: i-2"},
		{Method: "GET", Target: ""},
		{Method: "GET", Target: "/", Header: []Field{{"X-Life", "i-1\r\nX-More: 1"}}},
		{Method: "GET", Target: "/", Header: []Field{{"X: Life", "i-1"}}},
	} {
		_, err := call(bad)
		assert.Assert(t, IsDial(err), "%v", bad)
	}
}

// A process that is slow gave up on connections that were as good as open, and began
// to open others.
func TestAConnectionThatIsOpenedTooLateIsKept(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	engine, err := NewEngine()
	assert.NilError(t, err)
	defer engine.Stop()
	release := make(chan struct{})
	dials := 0
	engine.dial = func(host string) (*net.TCPConn, error) {
		dials++
		<-release
		return dial(host)
	}
	c := New(engine)
	host := strings.TrimPrefix(server.URL, "http://")
	request := func(timeout time.Duration) error {
		_, _, err := c.Call(context.Background(), &Request{Method: http.MethodGet, Host: host, Target: "/", Timeout: timeout})
		return err
	}
	err = request(20 * time.Millisecond)
	assert.Assert(t, IsDial(err), "%v", err)
	close(release)
	kept := func(poll.LogT) poll.Result {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.pools[host].Len() == 0 {
			return poll.Continue("no connection is kept")
		}
		return poll.Success()
	}
	poll.WaitOn(t, kept, poll.WithTimeout(30*time.Second), poll.WithDelay(time.Millisecond))
	assert.NilError(t, request(time.Minute))
	assert.Equal(t, dials, 1)
}

func TestAConnectionThatCannotBeOpenedSaysSo(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	host := l.Addr().String()
	assert.NilError(t, l.Close())
	engine, err := NewEngine()
	assert.NilError(t, err)
	defer engine.Stop()
	for range 2 {
		_, _, err = New(engine).Call(context.Background(), &Request{Method: http.MethodGet, Host: host, Target: "/", Timeout: time.Minute})
		assert.Assert(t, IsDial(err), "%v", err)
		assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	}
}
