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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const (
	// stoppedCallerVariable makes this test binary a client of the URL that it holds.
	stoppedCallerVariable = "BAMBOOFALL_STOPPED_CALLER"
	// stoppedCalls is the number of calls that get their response in time while the
	// caller is stopped, and maxStoppedCallerCalls the limit on all calls.
	stoppedCalls          = 20
	maxStoppedCallerCalls = 10 * stoppedCalls
	stoppedCallTimeout    = 50 * time.Millisecond
	// headerCall is the number of a call, and headerDeadline its deadline in Unix
	// nanoseconds.
	headerCall     = "X-Call"
	headerDeadline = "X-Deadline"
	stoppedAnswer  = "answer"

	outcomeAnswered = "answered"
	outcomeNotSent  = "not sent"
	outcomeTimedOut = "timed out"
)

func TestMain(m *testing.M) {
	if url := os.Getenv(stoppedCallerVariable); url != "" {
		callUntilGone(url)
		return
	}
	os.Exit(m.Run())
}

// callUntilGone makes calls until the server responds with status 410, and prints the
// outcome of each.
func callUntilGone(url string) {
	engine, err := NewEngine()
	if err != nil {
		panic(err)
	}
	defer engine.Stop()
	c := New(engine)
	for n := range maxStoppedCallerCalls {
		status, outcome := callStopped(c, url, n)
		if status == http.StatusGone {
			return
		}
		fmt.Printf("%d %s\n", n, outcome)
	}
}

func callStopped(c *Client, url string, n int) (status int, outcome string) {
	ctx, cancel := context.WithTimeout(context.Background(), stoppedCallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		panic(err)
	}
	deadline, _ := ctx.Deadline()
	req.Header.Set(headerCall, strconv.Itoa(n))
	req.Header.Set(headerDeadline, strconv.FormatInt(deadline.UnixNano(), 10))
	res, err := c.Do(req)
	var timeout *TimeoutError
	switch {
	case err == nil:
		body, err := io.ReadAll(res.Body)
		if err != nil {
			panic(err)
		}
		if string(body) == stoppedAnswer {
			return res.StatusCode, outcomeAnswered
		}
		return res.StatusCode, fmt.Sprintf("body %q", body)
	case IsNotSent(err):
		return 0, outcomeNotSent
	case errors.As(err, &timeout):
		return 0, outcomeTimedOut
	}
	return 0, err.Error()
}

// stoppingServer responds to each call of a child process while the process is stopped.
// It responds with status 410 once stoppedCalls responses were in time.
type stoppingServer struct {
	t       *testing.T
	process *os.Process

	mu sync.Mutex
	// inTime holds, for each call that arrived, whether the process was stopped and the
	// response written before the call's deadline.
	inTime map[int]bool
	count  int
}

func (s *stoppingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := strconv.Atoi(r.Header.Get(headerCall))
	assert.Check(s.t, err)
	nanos, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	assert.Check(s.t, err)
	deadline := time.Unix(0, nanos)
	if s.count == stoppedCalls {
		w.WriteHeader(http.StatusGone)
		return
	}
	if n == 0 {
		// Delays the first call, as a busy machine may delay any.
		time.Sleep(time.Until(deadline) + stoppedCallTimeout/5)
	}
	s.inTime[n] = false
	if !time.Now().Before(deadline) {
		_, _ = io.WriteString(w, stoppedAnswer)
		return
	}
	assert.Check(s.t, s.process.Signal(syscall.SIGSTOP))
	assert.Check(s.t, waitStopped(s.process.Pid))
	_, _ = io.WriteString(w, stoppedAnswer)
	assert.Check(s.t, http.NewResponseController(w).Flush())
	if time.Now().Before(deadline) {
		s.inTime[n] = true
		s.count++
	}
	time.Sleep(2 * stoppedCallTimeout)
	assert.Check(s.t, s.process.Signal(syscall.SIGCONT))
}

// waitStopped waits until all threads of a child process have stopped.
func waitStopped(pid int) error {
	for {
		err := unix.Waitid(unix.P_PID, pid, nil, unix.WSTOPPED, nil)
		if !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}

// A process that is stopped with SIGSTOP while a response arrives wakes up with both
// the response and an expired deadline. The response must win.
func TestStoppedProcessAcceptsResponseThatArrivedBeforeDeadline(t *testing.T) {
	caller := exec.Command(os.Args[0])
	stopping := &stoppingServer{t: t, inTime: make(map[int]bool)}
	stopping.mu.Lock()
	server := httptest.NewServer(stopping)
	defer server.Close()
	caller.Env = append(os.Environ(), stoppedCallerVariable+"="+server.URL)
	var out strings.Builder
	caller.Stdout = &out
	assert.NilError(t, caller.Start())
	stopping.process = caller.Process
	stopping.mu.Unlock()
	assert.NilError(t, caller.Wait())

	stopping.mu.Lock()
	defer stopping.mu.Unlock()
	answered := 0
	for line := range strings.Lines(out.String()) {
		call, outcome, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		n, err := strconv.Atoi(call)
		assert.NilError(t, err, "%s", line)
		inTime, arrived := stopping.inTime[n]
		switch {
		case inTime:
			assert.Equal(t, outcome, outcomeAnswered, "call %d", n)
			answered++
		case arrived:
			assert.Assert(t, outcome == outcomeAnswered || outcome == outcomeTimedOut, "call %d, response too late: %s", n, outcome)
		default:
			assert.Assert(t, outcome == outcomeNotSent || outcome == outcomeTimedOut, "call %d did not arrive: %s", n, outcome)
		}
	}
	assert.Equal(t, answered, stoppedCalls, "%s", out.String())
}

// connect opens a connection without sending a request.
func connect(t *testing.T, c *Conn, host string) *net.TCPConn {
	now := time.Now()
	x := call{conn: c, ctx: context.Background(), host: host, start: now, deadline: now.Add(time.Minute)}
	conn, _, err := x.connect()
	assert.NilError(t, err)
	return conn
}

// newSentCall returns a call whose request counts as sent, its connection and the
// server's end of it.
func newSentCall(t *testing.T, start, deadline time.Time) (*call, *net.TCPConn, net.Conn) {
	engine, err := NewEngine()
	assert.NilError(t, err)
	t.Cleanup(engine.Stop)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	c := engine.NewConn(defaultTimeout)
	conn := connect(t, c, l.Addr().String())
	peer, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = peer.Close() })
	c.resp.reset(engine.parserEngine)
	return &call{conn: c, ctx: context.Background(), host: "worker", start: start, deadline: deadline, sent: true}, conn, peer
}

const rawResponse = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer"

func TestLateWakeExtendsDeadline(t *testing.T) {
	now := time.Now()
	x, conn, peer := newSentCall(t, now.Add(-2*time.Hour), now.Add(-time.Hour))
	raw, err := conn.SyscallConn()
	assert.NilError(t, err)
	go func() {
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(peer, rawResponse)
	}()
	assert.NilError(t, x.handleDeadline(conn, raw))
	assert.Equal(t, string(x.conn.resp.body), "answer")
}

func TestCallWithoutResponseTimesOut(t *testing.T) {
	now := time.Now()
	x, conn, _ := newSentCall(t, now.Add(-time.Second), now)
	raw, err := conn.SyscallConn()
	assert.NilError(t, err)
	err = x.handleDeadline(conn, raw)
	var timeout *TimeoutError
	assert.Assert(t, errors.As(err, &timeout), "%v", err)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// If the server has closed an idle connection, the call must use a new one instead of
// failing with an unknown outcome.
func TestClientReopensConnectionClosedWhileIdle(t *testing.T) {
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

func TestCallPastDeadlineOrCancelledSendsNothing(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		t.Error("the server received a call")
	}))
	defer server.Close()
	engine, err := NewEngine()
	assert.NilError(t, err)
	defer engine.Stop()
	c := engine.NewConn(defaultTimeout)
	host := strings.TrimPrefix(server.URL, "http://")
	connect(t, c, host)
	late := time.Now().Add(-time.Millisecond)
	err = c.exchange(context.Background(), host, []byte("POST / HTTP/1.1\r\n\r\n"), late, late, false)
	assert.Assert(t, IsNotSent(err), "%v", err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	err = c.exchange(ctx, host, []byte("POST / HTTP/1.1\r\n\r\n"), time.Now(), time.Now().Add(time.Minute), false)
	assert.Assert(t, IsNotSent(err), "%v", err)
}

func TestCancelledContextEndsCall(t *testing.T) {
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

// Large requests and responses take several writes and reads.
func TestLargeBodiesArriveComplete(t *testing.T) {
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

// A surplus response must not be taken for the response to the next call.
func TestConnectionWithSurplusResponseIsClosed(t *testing.T) {
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
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d%s", n, rawResponse)
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

func TestCallWritesRequestsThatNetHTTPParses(t *testing.T) {
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
		assert.Assert(t, IsNotSent(err), "%v", bad)
	}
}

// A slow process must not discard connections that open just after the call's deadline
// and dial again.
func TestConnectionOpenedAfterCallTimeoutIsPooled(t *testing.T) {
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
	assert.Assert(t, IsNotSent(err), "%v", err)
	close(release)
	pooled := func(poll.LogT) poll.Result {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.pools[host].Len() == 0 {
			return poll.Continue("no connection is pooled")
		}
		return poll.Success()
	}
	poll.WaitOn(t, pooled, poll.WithTimeout(30*time.Second), poll.WithDelay(time.Millisecond))
	assert.NilError(t, request(time.Minute))
	assert.Equal(t, dials, 1)
}

func TestRefusedConnectionReturnsNotSentError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	host := l.Addr().String()
	assert.NilError(t, l.Close())
	engine, err := NewEngine()
	assert.NilError(t, err)
	defer engine.Stop()
	for range 2 {
		_, _, err = New(engine).Call(context.Background(), &Request{Method: http.MethodGet, Host: host, Target: "/", Timeout: time.Minute})
		assert.Assert(t, IsNotSent(err), "%v", err)
		assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	}
}

// A process that calls VMs that come and go must not keep a connection for each of them.
func TestFailedReconnectLeavesNoConnection(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	engine, err := NewEngine()
	assert.NilError(t, err)
	defer engine.Stop()
	c := New(engine)
	request := func() error {
		_, _, err := c.Call(context.Background(), &Request{
			Method: http.MethodGet, Host: strings.TrimPrefix(server.URL, "http://"), Target: "/", Timeout: time.Minute,
		})
		return err
	}
	assert.NilError(t, request())
	server.Close()
	assert.ErrorIs(t, request(), syscall.ECONNREFUSED)
	engine.mu.Lock()
	defer engine.mu.Unlock()
	assert.Equal(t, len(engine.conns), 0)
}
