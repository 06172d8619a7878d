package httpclient

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// readBufferSize is the size of a read, in bytes. Most responses are shorter.
	readBufferSize = 16 << 10
	// maxPooledBuffer is the largest capacity of a write buffer that is pooled, in
	// bytes.
	maxPooledBuffer = 64 << 10
	// maxWakeDelay is how long after a deadline this process may check the connection
	// and still attribute the missing response to the server. Timers of an idle
	// process fire a few milliseconds late.
	maxWakeDelay = 20 * time.Millisecond

	headerConnection = "Connection"
)

var (
	errClosed = errors.New("connection is closed")
	// errTooManyConnections reports that the process has no descriptor to spare.
	errTooManyConnections = errors.New("too many connections are open")
	errDeadlinePassed     = errors.New("deadline passed before the request was sent")
	// errStale reports that the server closed the connection, or sent unexpected data,
	// between two calls.
	errStale = errors.New("idle connection was closed or received unexpected data")

	readBuffers  = sync.Pool{New: func() any { return new([readBufferSize]byte) }}
	writeBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}
)

// Conn is a client connection that carries one call at a time. It is opened by its
// first call, and again after the server has closed it.
type Conn struct {
	engine *Engine
	// timeout bounds each call of Do.
	timeout time.Duration
	resp    response
	// responses is the budget for the response.
	responses *responseBudget
	// maxConnections is that of the client, or nil.
	maxConnections func() int
	// used is set once a request has been written.
	used bool

	mu sync.Mutex
	// conn is nil while no connection is open.
	conn *net.TCPConn
	// dialing is the dial that no call has completed yet, or nil.
	dialing *dialAttempt
	closed  bool
}

// Close closes the connection. A call in progress fails.
func (c *Conn) Close() {
	c.mu.Lock()
	conn := c.conn
	c.conn, c.closed = nil, true
	c.mu.Unlock()
	if conn != nil {
		c.engine.unregister(c)
		// An error cannot be handled: the connection is unusable anyway.
		_ = conn.Close()
	}
}

// Do sends a request, blocks until the call ends, and then calls done once with the
// response or the error. The response body is completely read into memory.
func (c *Conn) Do(req *http.Request, done func(*http.Response, error)) {
	buf := writeBuffers.Get().(*bytes.Buffer)
	defer putBuffer(buf)
	host := req.URL.Host
	if err := req.Write(buf); err != nil {
		done(nil, &NotSentError{host, err})
		return
	}
	now := time.Now()
	if err := c.exchange(req.Context(), host, buf.Bytes(), now, now.Add(c.timeout), true); err != nil {
		done(nil, err)
		return
	}
	done(c.resp.httpResponse(req), nil)
}

// isReusable reports whether the connection can carry another call.
func (c *Conn) isReusable() bool { return !c.resp.closes && !c.resp.surplus }

// exchange sends a request and reads the response into c.resp, with its header fields
// if keepsHeader is set. If the process wakes up late, the deadline is extended; see
// call.handleDeadline.
func (c *Conn) exchange(ctx context.Context, host string, request []byte, start, deadline time.Time, keepsHeader bool) error {
	x := call{conn: c, ctx: ctx, host: host, unsent: request, start: start, deadline: deadline}
	c.resp.keepsHeader = keepsHeader
	defer func() { c.responses.release(&c.resp) }()
	err := x.run()
	if errors.Is(err, errStale) {
		// No byte was sent, so the request can be sent on a new connection.
		c.disconnect()
		err = x.run()
	}
	return err
}

// putBuffer returns a write buffer to the pool, unless it has grown too large.
func putBuffer(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBuffer {
		b.Reset()
		writeBuffers.Put(b)
	}
}

// disconnect closes the network connection. The next call opens a new one.
func (c *Conn) disconnect() {
	c.mu.Lock()
	conn := c.conn
	c.conn = nil
	c.mu.Unlock()
	if conn != nil {
		c.engine.unregister(c)
		_ = conn.Close()
	}
}

// dialAttempt is a dial in progress. It continues after the call that started it has
// given up, so that a later call can use the connection.
type dialAttempt struct {
	// done is closed when the dial has ended; conn and err are set before.
	done chan struct{}
	conn *net.TCPConn
	err  error
	// onOpen, if set, is called after a successful dial for which no call is waiting.
	onOpen func()
}

// connect returns an open connection and whether it was open before. Otherwise it
// dials, or joins the dial in progress.
func (x *call) connect() (*net.TCPConn, bool, error) {
	c := x.conn
	c.mu.Lock()
	conn, closed := c.conn, c.closed
	if conn == nil && !closed && c.dialing == nil {
		c.dialing = &dialAttempt{done: make(chan struct{})}
		go c.dial(c.dialing, x.host)
	}
	attempt := c.dialing
	c.mu.Unlock()
	switch {
	case closed:
		return nil, false, &NotSentError{x.host, errClosed}
	case conn != nil:
		return conn, true, nil
	}
	notifyConnecting(x.ctx)
	if !x.waitFor(attempt.done) {
		return nil, false, &NotSentError{x.host, cmp.Or(context.Cause(x.ctx), errDeadlinePassed)}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialing = nil
	if attempt.err == nil && c.closed {
		attempt.err = errClosed
	}
	if attempt.err != nil {
		return nil, false, &NotSentError{x.host, attempt.err}
	}
	return attempt.conn, false, nil
}

// waitFor waits until a channel is closed, the context ends or the deadline passes. It
// checks the channel once more at the end, in case the process woke up late.
func (x *call) waitFor(done <-chan struct{}) bool {
	timer := time.NewTimer(time.Until(x.deadline))
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-x.ctx.Done():
	case <-timer.C:
	}
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// dial opens the network connection and completes the attempt.
func (c *Conn) dial(attempt *dialAttempt, host string) {
	var conn *net.TCPConn
	err := errTooManyConnections
	if c.engine.beginDial(c.maxConnections) {
		defer c.engine.endDial()
		conn, err = c.engine.dial(host)
	}
	c.mu.Lock()
	attempt.err = err
	if err == nil {
		attempt.conn = conn
		if c.closed || !c.engine.register(c) {
			_ = conn.Close()
			attempt.err = errClosed
		} else {
			c.conn = conn
		}
	}
	onOpen := attempt.onOpen
	close(attempt.done)
	failed := attempt.err != nil
	c.mu.Unlock()
	if onOpen != nil && !failed {
		onOpen()
	}
}

// isUnused reports whether the connection is open and has carried no request.
func (c *Conn) isUnused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil && !c.used
}

// notifyOpened registers a function to be called when the dial that the last call
// abandoned succeeds. It returns false if no such dial is in progress.
func (c *Conn) notifyOpened(opened func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempt := c.dialing
	if attempt == nil || c.conn != nil || c.closed {
		return false
	}
	c.dialing = nil
	select {
	case <-attempt.done:
		return false
	default:
	}
	attempt.onOpen = opened
	return true
}

// call is one request and its response on a connection.
type call struct {
	conn *Conn
	ctx  context.Context
	host string
	// unsent is the part of the request that has not been written.
	unsent          []byte
	start, deadline time.Time

	// reused is set if the connection was open before the call.
	reused bool
	// sent is set once writing has begun.
	sent bool
	// err is the error that advance found.
	err error

	mu sync.Mutex
	// interruptible is set while the end of the context may interrupt the call.
	interruptible bool
}

// run sends the request and reads the response. It returns a *NotSentError if it did
// not begin to write.
func (x *call) run() error {
	if err := context.Cause(x.ctx); err != nil {
		return &NotSentError{x.host, err}
	}
	conn, reused, err := x.connect()
	if err != nil {
		return err
	}
	if err := checkSendable(x.ctx); err != nil {
		return &NotSentError{x.host, err}
	}
	x.reused, x.sent, x.err = reused, false, nil
	x.setInterruptible(true)
	raw, err := conn.SyscallConn()
	if err != nil {
		return &NotSentError{x.host, err}
	}
	if err := conn.SetDeadline(x.deadline); err != nil {
		return &NotSentError{x.host, err}
	}
	if x.ctx.Done() != nil {
		stop := context.AfterFunc(x.ctx, func() { x.interrupt(conn) })
		defer stop()
	}
	x.conn.resp.reset(x.conn.engine.parserEngine)
	err = raw.Read(x.advance)
	if err == nil && x.err == nil && len(x.unsent) > 0 {
		err = x.finishWrite(conn, raw)
	}
	x.setInterruptible(false)
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
	case !x.sent:
		return &NotSentError{x.host, errDeadlinePassed}
	default:
		err = x.handleDeadline(conn, raw)
	}
	return cmp.Or(err, x.err)
}

// checkSendable returns an error if the context has ended or its BeforeSend hook
// refuses.
func checkSendable(ctx context.Context) error {
	if err := context.Cause(ctx); err != nil {
		return err
	}
	return CheckBeforeSend(ctx)
}

func (x *call) setInterruptible(v bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.interruptible = v
}

// interrupt ends the wait of a call whose context has ended, by means of a deadline in
// the past.
func (x *call) interrupt(conn *net.TCPConn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.interruptible {
		// An error means that the connection is closed, which ends the call as well.
		_ = conn.SetDeadline(x.start)
	}
}

// advance sends the request and reads as much of the response as is available. It is
// called whenever the connection becomes readable, and returns true if the call has
// ended or finishWrite must write the rest of the request.
//
// raw.Read calls it once before the first wait, and data that arrives after that call
// began ends the wait. So data on an idle connection is detected before the request is
// written, and is not taken for its response.
func (x *call) advance(fd uintptr) bool {
	if !x.sent {
		if x.reused && !x.isIdle(int(fd)) {
			x.err = errStale
			return true
		}
		x.sent, x.conn.used = true, true
		n, err := retryInterrupted(syscall.Write, int(fd), x.unsent)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			return true
		case err != nil:
			x.err = err
			return true
		}
		x.unsent = x.unsent[n:]
		return len(x.unsent) > 0
	}
	buffer := readBuffers.Get().(*[readBufferSize]byte)
	defer readBuffers.Put(buffer)
	for {
		n, err := retryInterrupted(syscall.Read, int(fd), buffer[:])
		switch {
		case errors.Is(err, syscall.EAGAIN):
			return false
		case err != nil:
			x.err = err
			return true
		case n == 0:
			x.err = io.ErrUnexpectedEOF
			return true
		}
		if err := x.conn.resp.parser.Parse(buffer[:n]); err != nil {
			x.err = err
			return true
		}
		if err := x.conn.responses.take(x.host, &x.conn.resp, n); err != nil {
			x.err = err
			return true
		}
		if x.conn.resp.complete {
			return true
		}
	}
}

// isIdle reports whether a connection has no unread data and has not been closed by
// the server.
func (x *call) isIdle(fd int) bool {
	var b [1]byte
	_, err := retryInterrupted(syscall.Read, fd, b[:])
	return errors.Is(err, syscall.EAGAIN)
}

// retryInterrupted repeats a system call as long as a signal interrupts it.
func retryInterrupted(f func(int, []byte) (int, error), fd int, b []byte) (int, error) {
	for {
		n, err := f(fd, b)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// finishWrite writes the rest of a request that did not fit into the socket buffer,
// and then reads the response.
func (x *call) finishWrite(conn *net.TCPConn, raw syscall.RawConn) error {
	if _, err := conn.Write(x.unsent); err != nil {
		return err
	}
	return raw.Read(x.advance)
}

// handleDeadline reads what arrived before the deadline, because a slow process may
// see the deadline before the data. If this process woke up more than maxWakeDelay
// late, it may have been unable to read the response in time, so it waits that long
// again, but no longer than the call's original timeout.
func (x *call) handleDeadline(conn *net.TCPConn, raw syscall.RawConn) error {
	if err := context.Cause(x.ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	now := time.Now()
	wakeDelay := now.Sub(x.deadline)
	wait := time.Duration(0)
	if wakeDelay > maxWakeDelay {
		wait = min(wakeDelay, x.deadline.Sub(x.start))
	}
	extended := now.Add(wait)
	// With no extension, advance is called once to read what has arrived.
	if err := conn.SetReadDeadline(extended.Add(time.Millisecond)); err != nil {
		return err
	}
	noResponse := false
	err := raw.Read(func(fd uintptr) bool {
		noResponse = !x.advance(fd)
		return !noResponse || wait == 0
	})
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &TimeoutError{x.host, time.Since(extended)}
	case err == nil && noResponse:
		return &TimeoutError{x.host, wakeDelay}
	}
	return err
}
