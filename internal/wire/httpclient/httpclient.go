// Package httpclient is an HTTP client for calls between the processes of a
// deployment. It parses responses with nbhttp.
//
// It keeps a few connections to each host and carries one call at a time on each, so a
// response cannot be matched to the wrong call. A call that ends without a complete
// response closes its connection.
//
// The goroutine of a call writes the request, waits and reads the response itself. The
// pollers of nbio would add two thread switches per response.
package httpclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"bamboofall.example/bamboofall/internal/wire/connpool"
	"bamboofall.example/bamboofall/internal/wire/intake"
)

const (
	dialTimeout = time.Second
	// maxSilence is how long all connections to a host may go without a response
	// before calls open new ones. It allows for long polls, which last longer than
	// other calls.
	maxSilence = 3 * time.Second
	// defaultTimeout bounds a call whose context has no deadline.
	defaultTimeout = 30 * time.Second
)

// NotSentError reports that no byte of a request was sent, for example because no
// connection could be opened before the deadline.
type NotSentError struct {
	Address string
	Err     error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("request to %s not sent: %v", e.Address, e.Err)
}

func (e *NotSentError) Unwrap() error { return e.Err }

// TimeoutError reports that no complete response arrived before the deadline.
type TimeoutError struct {
	Address string
	// WakeDelay is how long after the deadline this process checked the connection. If
	// it is long, the server may have responded in time.
	WakeDelay time.Duration
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("no response from %s before the deadline (checked %v after it)", e.Address, e.WakeDelay.Round(time.Millisecond))
}

// Timeout reports that the error is a time-out, in the manner of net.Error.
func (e *TimeoutError) Timeout() bool { return true }

// Unwrap makes the error match context.DeadlineExceeded.
func (e *TimeoutError) Unwrap() error { return context.DeadlineExceeded }

// Engine opens connections and closes all of them on Stop. Use NewEngine.
type Engine struct {
	// parserEngine holds the configuration that nbhttp's parser reads from its engine;
	// it is never started.
	parserEngine *nbhttp.Engine
	dial         func(host string) (*net.TCPConn, error)

	mu sync.Mutex
	// conns holds the open connections. It is nil after Stop.
	conns   map[*Conn]struct{}
	stopped bool
	// dialing is the number of connections that are being opened.
	dialing int
}

// NewEngine returns an engine without connections.
func NewEngine() (*Engine, error) {
	parserEngine := &nbhttp.Engine{Config: nbhttp.Config{ReadLimit: nbhttp.DefaultHTTPReadLimit}}
	return &Engine{parserEngine: parserEngine, dial: dial, conns: make(map[*Conn]struct{})}, nil
}

// dial opens a TCP connection.
func dial(host string) (*net.TCPConn, error) {
	// Keep-alive probes are off: idle connections are closed after connpool.MaxIdle.
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := d.Dial("tcp", host)
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}

// Stop closes all connections. Later dials fail.
func (e *Engine) Stop() {
	e.mu.Lock()
	conns := e.conns
	e.conns, e.stopped = nil, true
	e.mu.Unlock()
	for c := range conns {
		c.Close()
	}
}

// register records an open connection for Stop. It returns false after Stop.
func (e *Engine) register(c *Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return false
	}
	e.conns[c] = struct{}{}
	return true
}

// beginDial counts a connection that is being opened. It returns false if as many as the
// limit, which may be nil, are open or being opened. endDial follows.
func (e *Engine) beginDial(limit func() int) bool {
	most := math.MaxInt
	if limit != nil {
		most = limit()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.conns)+e.dialing >= most {
		return false
	}
	e.dialing++
	return true
}

func (e *Engine) endDial() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dialing--
}

func (e *Engine) unregister(c *Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, c)
}

// NewConn returns a connection that its first call opens. The timeout bounds each
// call; a call that exceeds it fails.
func (e *Engine) NewConn(timeout time.Duration) *Conn {
	return &Conn{engine: e, timeout: timeout, responses: &responseBudget{limits: defaultResponseLimits}}
}

// Client makes calls over pooled connections. Use New. It implements
// connect.HTTPClient.
type Client struct {
	engine *Engine
	mu     sync.Mutex
	pools  map[string]*connpool.Pool[*Conn]
	// lastSweep is when the idle connections of all hosts were last expired.
	lastSweep time.Time
	responses *responseBudget
	// maxConnections, if set, returns the number of connections of the engine at which
	// this client opens no more.
	maxConnections func() int
}

// Option configures a Client.
type Option func(*Client)

// WithLimits bounds the responses that a client reads. A call whose response exceeds them
// fails with a *ResponseTooLargeError.
func WithLimits(l intake.ResponseLimits) Option {
	return func(c *Client) { c.responses = &responseBudget{limits: l} }
}

// WithConnectionLimit keeps a client from opening connections while all clients of its
// engine have as many open as limit returns. Calls that need one then fail, unsent.
func WithConnectionLimit(limit func() int) Option {
	return func(c *Client) { c.maxConnections = limit }
}

// New returns a client without connections.
func New(e *Engine, options ...Option) *Client {
	c := &Client{engine: e, pools: make(map[string]*connpool.Pool[*Conn]), responses: &responseBudget{limits: defaultResponseLimits}}
	for _, option := range options {
		option(c)
	}
	return c
}

// Request is a request whose body is in memory.
type Request struct {
	Method string
	// Host is an IP address or host name with a port.
	Host string
	// Target is the path and query of the request line.
	Target string
	Header []Field
	Body   []byte
	// Timeout bounds the call; an earlier deadline of the context takes precedence.
	Timeout time.Duration
}

// Field is a header field.
type Field struct{ Name, Value string }

// Call sends a request and returns the status code and body of the response.
func (c *Client) Call(ctx context.Context, req *Request) (int, []byte, error) {
	buf := writeBuffers.Get().(*bytes.Buffer)
	defer putBuffer(buf)
	if err := req.write(buf); err != nil {
		return 0, nil, &NotSentError{req.Host, err}
	}
	conn, start := c.acquire(req.Host)
	deadline := start.Add(req.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	err := conn.exchange(ctx, req.Host, buf.Bytes(), start, deadline, false)
	status, body := conn.resp.code, conn.resp.body
	c.release(req.Host, conn, start, err)
	if err != nil {
		return 0, nil, err
	}
	return status, body, nil
}

// Do sends a request and returns its response, whose body is completely read into
// memory. Without a deadline in the request's context, the call is bounded by
// defaultTimeout.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	buf := writeBuffers.Get().(*bytes.Buffer)
	defer putBuffer(buf)
	host := req.URL.Host
	if err := req.Write(buf); err != nil {
		return nil, &NotSentError{host, err}
	}
	conn, start := c.acquire(host)
	deadline, ok := req.Context().Deadline()
	if !ok {
		deadline = start.Add(defaultTimeout)
	}
	err := conn.exchange(req.Context(), host, buf.Bytes(), start, deadline, true)
	var res *http.Response
	if err == nil {
		res = conn.resp.httpResponse(req)
	}
	c.release(host, conn, start, err)
	return res, err
}

// release returns the connection of a finished call to the pool, or closes it.
func (c *Client) release(host string, conn *Conn, start time.Time, err error) {
	if err == nil && conn.isReusable() {
		c.put(host, conn)
		return
	}
	// The call may have ended before its connection was opened. Pool the connection
	// once it is open, so that a later call can use it.
	if IsNotSent(err) {
		if conn.notifyOpened(func() { c.putUnused(host, conn) }) {
			return
		}
		if conn.isUnused() {
			c.putUnused(host, conn)
			return
		}
	}
	conn.Close()
	var timeout *TimeoutError
	if errors.As(err, &timeout) && timeout.WakeDelay <= maxWakeDelay {
		c.closeUnanswered(host, start)
	}
}

// acquire returns a pooled or new connection to a host and the current time.
func (c *Client) acquire(host string) (*Conn, time.Time) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(now)
	p := c.pools[host]
	if p == nil {
		p = &connpool.Pool[*Conn]{}
		c.pools[host] = p
	}
	conn, ok, expired := p.Take(now, maxSilence)
	closeAll(expired)
	if !ok {
		conn = c.engine.NewConn(defaultTimeout)
		conn.responses, conn.maxConnections = c.responses, c.maxConnections
		return conn, now
	}
	return conn, now
}

// sweep closes expired connections of all hosts, including those that are no longer
// called.
func (c *Client) sweep(now time.Time) {
	if now.Sub(c.lastSweep) < connpool.MaxIdle {
		return
	}
	c.lastSweep = now
	for _, p := range c.pools {
		closeAll(p.Expire(now))
	}
}

// put returns a connection that carried a complete response to the pool.
func (c *Client) put(host string, conn *Conn) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pools[host].Put(now, conn)
}

// putUnused pools an open connection that has carried no request.
func (c *Client) putUnused(host string, conn *Conn) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pools[host].AddUnused(now, conn)
}

// closeUnanswered closes the pooled connections that have not carried a response since
// a request that timed out was sent.
func (c *Client) closeUnanswered(host string, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	closeAll(c.pools[host].RemoveUnansweredSince(sent))
}

func closeAll(conns []*Conn) {
	for _, conn := range conns {
		conn.Close()
	}
}

// IsNotSent reports whether an error means that no byte of the request was sent.
func IsNotSent(err error) bool {
	var notSent *NotSentError
	return errors.As(err, &notSent)
}
