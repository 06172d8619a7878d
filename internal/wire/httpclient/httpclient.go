// Package httpclient is a client for calls between processes. nbhttp reads the
// answers.
//
// It keeps a few connections to each host and carries one call at a time on
// each, so an answer cannot meet the wrong call. A call that ended without a
// whole answer closes its connection.
//
// The goroutine of a call writes, waits and reads. The pollers of nbio would
// take two changes of thread for each answer.
package httpclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"bamboofall.example/bamboofall/internal/wire/connpool"
)

const (
	dialTimeout = time.Second
	// patience is how long no connection to a host may answer before new ones
	// are opened. Calls that wait for news are longer than others.
	patience = 3 * time.Second
	// maxCall bounds a call that has no deadline.
	maxCall = 30 * time.Second
)

// DialError says that nothing was sent: no connection could be opened, or not in
// time.
type DialError struct {
	Address string
	Err     error
}

func (e *DialError) Error() string { return fmt.Sprintf("nothing sent to %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// TimeoutError says that a call got no whole answer in time.
type TimeoutError struct {
	Address string
	// Late is how much later than asked this process woke up. The other end may
	// have answered in time if it is long.
	Late time.Duration
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("no answer from %s in time (looked %v late)", e.Address, e.Late.Round(time.Millisecond))
}

// Timeout reports that the error is a time-out.
func (e *TimeoutError) Timeout() bool { return true }

// Unwrap returns what a context reports at its deadline.
func (e *TimeoutError) Unwrap() error { return context.DeadlineExceeded }

// Engine opens connections. Use NewEngine.
type Engine struct {
	// limits holds what nbhttp's parser asks of its engine.
	limits *nbhttp.Engine
	dial   func(host string) (*net.TCPConn, error)

	mu      sync.Mutex
	open    map[*Conn]struct{}
	stopped bool
}

// NewEngine returns a running engine.
func NewEngine() (*Engine, error) {
	limits := &nbhttp.Engine{Config: nbhttp.Config{ReadLimit: nbhttp.DefaultHTTPReadLimit}}
	return &Engine{limits: limits, dial: dial, open: make(map[*Conn]struct{})}, nil
}

func dial(host string) (*net.TCPConn, error) {
	// Connections are not idle for long enough to be probed.
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := d.Dial("tcp", host)
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}

// Stop closes all connections.
func (e *Engine) Stop() {
	e.mu.Lock()
	open := e.open
	e.open, e.stopped = nil, true
	e.mu.Unlock()
	for c := range open {
		c.Close()
	}
}

// enter adds a connection that is open. It reports false after Stop.
func (e *Engine) enter(c *Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return false
	}
	e.open[c] = struct{}{}
	return true
}

func (e *Engine) leave(c *Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.open, c)
}

// NewConn returns a connection that is opened by its first call. A call that
// takes longer than the limit closes it.
func (e *Engine) NewConn(limit time.Duration) *Conn { return &Conn{engine: e, limit: limit} }

// Client makes calls over pooled connections. Use New. It satisfies the
// interface that connect-go asks of an HTTP client.
type Client struct {
	engine *Engine
	mu     sync.Mutex
	pools  map[string]*connpool.Pool[*Conn]
	swept  time.Time
}

// New returns a client without connections.
func New(e *Engine) *Client {
	return &Client{engine: e, pools: make(map[string]*connpool.Pool[*Conn])}
}

// Request is a call whose body is in memory.
type Request struct {
	Method string
	// Host is an address with a port.
	Host string
	// Target is the path with its query.
	Target string
	Header []Field
	Body   []byte
	// Timeout bounds the call, as the deadline of its context does.
	Timeout time.Duration
}

// Field is a field of a header.
type Field struct{ Name, Value string }

// Call makes a call and returns the status and the body of the answer.
func (c *Client) Call(ctx context.Context, r *Request) (int, []byte, error) {
	out := writeBuffers.Get().(*bytes.Buffer)
	defer putBuffer(out)
	if err := r.write(out); err != nil {
		return 0, nil, &DialError{r.Host, err}
	}
	conn, began := c.take(r.Host)
	deadline := began.Add(r.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	err := conn.exchange(ctx, r.Host, out.Bytes(), began, deadline, false)
	status, body := conn.answer.code, conn.answer.body
	c.ended(r.Host, conn, began, err)
	if err != nil {
		return 0, nil, err
	}
	return status, body, nil
}

// Do makes a call within the deadline of the request's context. The body of the
// answer is whole and in memory.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	out := writeBuffers.Get().(*bytes.Buffer)
	defer putBuffer(out)
	host := req.URL.Host
	if err := req.Write(out); err != nil {
		return nil, &DialError{host, err}
	}
	conn, began := c.take(host)
	deadline, ok := req.Context().Deadline()
	if !ok {
		deadline = began.Add(maxCall)
	}
	err := conn.exchange(req.Context(), host, out.Bytes(), began, deadline, true)
	var res *http.Response
	if err == nil {
		res = conn.answer.response(req)
	}
	c.ended(host, conn, began, err)
	return res, err
}

// ended keeps the connection of a call, or closes it.
func (c *Client) ended(host string, conn *Conn, began time.Time, err error) {
	if err == nil && conn.keepsOpen() {
		c.put(host, conn)
		return
	}
	// A connection that was opened too late for its call is as good as others.
	if IsDial(err) {
		if conn.whenOpened(func() { c.add(host, conn) }) {
			return
		}
		if conn.isFresh() {
			c.add(host, conn)
			return
		}
	}
	conn.Close()
	var late *TimeoutError
	if errors.As(err, &late) && late.Late <= ownDelay {
		c.doubt(host, began)
	}
}

func (c *Client) take(host string) (*Conn, time.Time) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(now)
	p := c.pools[host]
	if p == nil {
		p = &connpool.Pool[*Conn]{}
		c.pools[host] = p
	}
	conn, ok, expired := p.Take(now, patience)
	closeAll(expired)
	if !ok {
		return c.engine.NewConn(maxCall), now
	}
	return conn, now
}

// sweep closes what has been idle too long at hosts that are not called any more.
func (c *Client) sweep(now time.Time) {
	if now.Sub(c.swept) < connpool.MaxIdle {
		return
	}
	c.swept = now
	for _, p := range c.pools {
		closeAll(p.Expire(now))
	}
}

func (c *Client) put(host string, conn *Conn) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pools[host].Put(now, conn)
}

// add keeps a connection that has carried nothing.
func (c *Client) add(host string, conn *Conn) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pools[host].Add(now, conn)
}

func (c *Client) doubt(host string, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	closeAll(c.pools[host].Doubt(sent))
}

func closeAll(conns []*Conn) {
	for _, conn := range conns {
		conn.Close()
	}
}

// IsDial reports whether an error means that nothing was sent.
func IsDial(err error) bool {
	var d *DialError
	return errors.As(err, &d)
}
