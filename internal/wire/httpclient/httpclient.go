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
	"context"
	"errors"
	"fmt"
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

// DialError says that no connection could be opened, so nothing was sent.
type DialError struct {
	Address string
	Err     error
}

func (e *DialError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Err) }

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

	mu      sync.Mutex
	open    map[*Conn]struct{}
	stopped bool
}

// NewEngine returns a running engine.
func NewEngine() (*Engine, error) {
	limits := &nbhttp.Engine{Config: nbhttp.Config{ReadLimit: nbhttp.DefaultHTTPReadLimit}}
	return &Engine{limits: limits, open: make(map[*Conn]struct{})}, nil
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

// Do makes a call within the deadline of the request's context. The body of the
// answer is whole and in memory.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	deadline, ok := req.Context().Deadline()
	if !ok {
		deadline = time.Now().Add(maxCall)
	}
	return c.DoBefore(req, deadline)
}

// DoBefore makes a call that ends at a deadline or with the request's context.
func (c *Client) DoBefore(req *http.Request, deadline time.Time) (*http.Response, error) {
	host := req.URL.Host
	conn, began := c.take(host)
	res, err := conn.exchange(req, began, deadline)
	if err == nil {
		if conn.keepsOpen() {
			c.put(host, conn)
		} else {
			conn.Close()
		}
		return res, nil
	}
	conn.Close()
	var late *TimeoutError
	if errors.As(err, &late) && late.Late <= ownDelay {
		c.doubt(host, began)
	}
	return nil, err
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
