// Package httpclient is a client of nbhttp for calls between processes.
//
// It keeps a few connections to each host and carries one call at a time on
// each, so an answer cannot meet the wrong call. A call that ended without a
// whole answer closes its connection.
package httpclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
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

// DialError says that no connection could be opened, so nothing was sent.
type DialError struct {
	Address string
	Err     error
}

func (e *DialError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// Conn is a connection. A Conn carries one call at a time.
type Conn struct {
	inner   *nbhttp.ClientConn
	dialErr error
	// ctx is of the call under way. connected is set once the connection is open.
	ctx       context.Context
	connected bool
}

// Engine opens connections. Use NewEngine.
type Engine struct {
	inner *nbhttp.Engine
}

// NewEngine returns a running engine.
func NewEngine() (*Engine, error) {
	e := nbhttp.NewEngine(nbhttp.Config{NPoller: 1, SupportServerOnly: false})
	if err := e.Start(); err != nil {
		return nil, fmt.Errorf("start client engine: %w", err)
	}
	return &Engine{e}, nil
}

// Stop closes all connections.
func (e *Engine) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = e.inner.Shutdown(ctx)
}

// NewConn returns a connection that is opened by its first call. A call that
// takes longer than the limit closes it.
func (e *Engine) NewConn(limit time.Duration) *Conn {
	c := &Conn{}
	c.inner = &nbhttp.ClientConn{Engine: e.inner, Timeout: limit, Dial: c.dial}
	return c
}

func (c *Conn) dial(network, address string) (net.Conn, error) {
	connecting(c.ctx)
	conn, err := net.DialTimeout(network, address, dialTimeout)
	if err == nil {
		// The call is written as soon as this returns.
		err = mayLeave(c.ctx)
		if err != nil {
			_ = conn.Close()
		}
	}
	if err != nil {
		c.dialErr = &DialError{address, err}
		return nil, err
	}
	c.connected = true
	return conn, nil
}

// mayLeave returns why a call must not be written any more.
func mayLeave(ctx context.Context) error {
	if err := context.Cause(ctx); err != nil {
		return err
	}
	return Leave(ctx)
}

// Close closes the connection. A call under way fails.
func (c *Conn) Close() { go c.inner.Close() }

// Do makes a call and hands its end to done, once. The body of the answer is
// whole and in memory. It may block while it connects and writes.
func (c *Conn) Do(req *http.Request, done func(*http.Response, error)) {
	c.ctx = req.Context()
	if c.connected {
		if err := mayLeave(c.ctx); err != nil {
			done(nil, &DialError{req.URL.Host, err})
			return
		}
	}
	c.inner.Do(req, func(res *http.Response, _ net.Conn, err error) {
		if c.dialErr != nil {
			err = c.dialErr
		}
		if err == nil {
			err = buffer(res)
		}
		done(res, err)
	})
}

func buffer(res *http.Response) error {
	if res.Body == nil {
		res.Body = http.NoBody
		return nil
	}
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	_ = res.Body.Close()
	res.Body = io.NopCloser(bytes.NewReader(data))
	return nil
}

// Client makes calls over pooled connections. Use New. It satisfies the
// interface that connect-go asks of an HTTP client.
type Client struct {
	engine *Engine
	mu     sync.Mutex
	pools  map[string]*connpool.Pool[*Conn]
}

// New returns a client without connections.
func New(e *Engine) *Client {
	return &Client{engine: e, pools: make(map[string]*connpool.Pool[*Conn])}
}

type result struct {
	res *http.Response
	err error
}

// Do makes a call within the deadline of the request's context.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	host := req.URL.Host
	conn := c.take(host)
	sent := time.Now()
	done := make(chan result, 1)
	go conn.Do(req, func(res *http.Response, err error) { done <- result{res, err} })
	select {
	case r := <-done:
		if r.err != nil {
			conn.Close()
			return nil, r.err
		}
		if keepsOpen(r.res) {
			c.put(host, conn)
		} else {
			conn.Close()
		}
		return r.res, nil
	case <-req.Context().Done():
		conn.Close()
		c.doubt(host, sent)
		return nil, context.Cause(req.Context())
	}
}

func keepsOpen(res *http.Response) bool {
	return !res.Close && res.Header.Get("Connection") != "close"
}

func (c *Client) take(host string) *Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[host]
	if p == nil {
		p = &connpool.Pool[*Conn]{}
		c.pools[host] = p
	}
	conn, ok, expired := p.Take(time.Now(), patience)
	closeAll(expired)
	if !ok {
		return c.engine.NewConn(maxCall)
	}
	return conn
}

func (c *Client) put(host string, conn *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pools[host].Put(time.Now(), conn)
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
