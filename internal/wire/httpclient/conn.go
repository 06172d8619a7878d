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
	// readSize is the size of a read, in bytes: most answers are shorter.
	readSize = 16 << 10
	// maxKept bounds a buffer that is kept for later requests, in bytes.
	maxKept = 64 << 10
	// ownDelay is how late this process may look at a deadline for the silence to
	// be the other end's. A timer of an idle process is a few milliseconds late.
	ownDelay = 20 * time.Millisecond

	headerConnection = "Connection"
)

var (
	errClosed = errors.New("the connection is closed")
	errNoTime = errors.New("no time was left for the call")
	// errStale says that the other end closed a connection between two calls.
	errStale = errors.New("the connection was closed while it was idle")

	readBuffers  = sync.Pool{New: func() any { return new([readSize]byte) }}
	writeBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}
)

// Conn is a connection. A Conn carries one call at a time.
type Conn struct {
	engine *Engine
	limit  time.Duration
	answer answer
	// used is set once a request has been sent.
	used bool

	mu      sync.Mutex
	conn    *net.TCPConn
	opening *opening
	closed  bool
}

// Close closes the connection. A call under way fails.
func (c *Conn) Close() {
	c.mu.Lock()
	conn := c.conn
	c.conn, c.closed = nil, true
	c.mu.Unlock()
	if conn != nil {
		c.engine.leave(c)
		// There is nothing to do about a connection that does not close.
		_ = conn.Close()
	}
}

// Do makes a call and hands its end to done, once. The body of the answer is
// whole and in memory. It blocks until then.
func (c *Conn) Do(req *http.Request, done func(*http.Response, error)) {
	out := writeBuffers.Get().(*bytes.Buffer)
	defer putBuffer(out)
	host := req.URL.Host
	if err := req.Write(out); err != nil {
		done(nil, &DialError{host, err})
		return
	}
	now := time.Now()
	if err := c.exchange(req.Context(), host, out.Bytes(), now, now.Add(c.limit), true); err != nil {
		done(nil, err)
		return
	}
	done(c.answer.response(req), nil)
}

// keepsOpen reports whether the connection can carry another call.
func (c *Conn) keepsOpen() bool { return !c.answer.last && !c.answer.extra }

// exchange sends a request and gathers the answer, without its header if that is
// not wanted. A process that comes late to the deadline waits longer, see
// call.expired.
func (c *Conn) exchange(ctx context.Context, host string, out []byte, began, deadline time.Time, header bool) error {
	x := call{conn: c, ctx: ctx, host: host, out: out, began: began, deadline: deadline}
	c.answer.wantsHeader = header
	err := x.run()
	if errors.Is(err, errStale) {
		// Nothing was sent.
		c.drop()
		err = x.run()
	}
	return err
}

func putBuffer(b *bytes.Buffer) {
	if b.Cap() <= maxKept {
		b.Reset()
		writeBuffers.Put(b)
	}
}

// drop closes what was opened, for the next call to open it anew.
func (c *Conn) drop() {
	c.mu.Lock()
	conn := c.conn
	c.conn = nil
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// opening is an attempt to open a connection. It goes on when the call that began it
// has given up, for the next call to use what it opens.
type opening struct {
	done chan struct{}
	conn *net.TCPConn
	err  error
	// opened is called with a connection that its call did not wait for.
	opened func()
}

// connect returns the open connection and whether it has carried a call.
func (x *call) connect() (*net.TCPConn, bool, error) {
	c := x.conn
	c.mu.Lock()
	conn, closed := c.conn, c.closed
	if conn == nil && !closed && c.opening == nil {
		c.opening = &opening{done: make(chan struct{})}
		go c.open(c.opening, x.host)
	}
	o := c.opening
	c.mu.Unlock()
	switch {
	case closed:
		return nil, false, &DialError{x.host, errClosed}
	case conn != nil:
		return conn, true, nil
	}
	connecting(x.ctx)
	if !x.await(o.done) {
		return nil, false, &DialError{x.host, cmp.Or(context.Cause(x.ctx), errNoTime)}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opening = nil
	if o.err == nil && c.closed {
		o.err = errClosed
	}
	if o.err != nil {
		return nil, false, &DialError{x.host, o.err}
	}
	return o.conn, false, nil
}

// await waits for a channel until the deadline, and looks at it once more then.
func (x *call) await(done <-chan struct{}) bool {
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

// open opens the connection.
func (c *Conn) open(o *opening, host string) {
	conn, err := c.engine.dial(host)
	c.mu.Lock()
	o.err = err
	if err == nil {
		o.conn = conn
		if c.closed || !c.engine.enter(c) {
			_ = conn.Close()
			o.err = errClosed
		} else {
			c.conn = conn
		}
	}
	opened := o.opened
	close(o.done)
	failed := o.err != nil
	c.mu.Unlock()
	if opened != nil && !failed {
		opened()
	}
}

// isFresh reports whether the connection is open and has carried nothing.
func (c *Conn) isFresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil && !c.used
}

// whenOpened has a function called when the attempt succeeds that a call has given
// up on. It reports false if there is none under way.
func (c *Conn) whenOpened(f func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.opening
	if o == nil || c.conn != nil || c.closed {
		return false
	}
	c.opening = nil
	select {
	case <-o.done:
		return false
	default:
	}
	o.opened = f
	return true
}

// call is an exchange on a connection.
type call struct {
	conn            *Conn
	ctx             context.Context
	host            string
	out             []byte
	began, deadline time.Time

	reused bool
	sent   bool
	err    error

	mu sync.Mutex
	// interruptible is set while the end of the context ends the call.
	interruptible bool
}

func (x *call) run() error {
	if err := context.Cause(x.ctx); err != nil {
		return &DialError{x.host, err}
	}
	conn, reused, err := x.connect()
	if err != nil {
		return err
	}
	if err := mayLeave(x.ctx); err != nil {
		return &DialError{x.host, err}
	}
	x.reused, x.sent, x.err = reused, false, nil
	x.setInterruptible(true)
	raw, err := conn.SyscallConn()
	if err != nil {
		return &DialError{x.host, err}
	}
	if err := conn.SetDeadline(x.deadline); err != nil {
		return &DialError{x.host, err}
	}
	if x.ctx.Done() != nil {
		stop := context.AfterFunc(x.ctx, func() { x.interrupt(conn) })
		defer stop()
	}
	x.conn.answer.reset(x.conn.engine.limits)
	err = raw.Read(x.progress)
	if err == nil && x.err == nil && len(x.out) > 0 {
		err = x.finishWrite(conn, raw)
	}
	x.setInterruptible(false)
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
	case !x.sent:
		return &DialError{x.host, errNoTime}
	default:
		err = x.expired(conn, raw)
	}
	return cmp.Or(err, x.err)
}

// mayLeave returns why a call must not be written any more.
func mayLeave(ctx context.Context) error {
	if err := context.Cause(ctx); err != nil {
		return err
	}
	return Leave(ctx)
}

func (x *call) setInterruptible(v bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.interruptible = v
}

// interrupt ends the wait of a call.
func (x *call) interrupt(conn *net.TCPConn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.interruptible {
		// A connection that has no deadlines any more is closed.
		_ = conn.SetDeadline(x.began)
	}
}

// progress goes on with a call whenever the connection may have news. It reports
// whether the call is over, or needs the slow way of finishWrite.
//
// It is called once before the first wait, and what comes in after that call
// began ends the wait. So an idle connection that has news is told from an
// answer before the request is written.
func (x *call) progress(fd uintptr) bool {
	if !x.sent {
		if x.reused && !x.isQuiet(int(fd)) {
			x.err = errStale
			return true
		}
		x.sent, x.conn.used = true, true
		n, err := ignoreInterrupts(syscall.Write, int(fd), x.out)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			return true
		case err != nil:
			x.err = err
			return true
		}
		x.out = x.out[n:]
		return len(x.out) > 0
	}
	in := readBuffers.Get().(*[readSize]byte)
	defer readBuffers.Put(in)
	for {
		n, err := ignoreInterrupts(syscall.Read, int(fd), in[:])
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
		if err := x.conn.answer.parser.Parse(in[:n]); err != nil {
			x.err = err
			return true
		}
		if x.conn.answer.whole {
			return true
		}
	}
}

// isQuiet reports whether an idle connection has neither bytes nor an end.
func (x *call) isQuiet(fd int) bool {
	var b [1]byte
	_, err := ignoreInterrupts(syscall.Read, fd, b[:])
	return errors.Is(err, syscall.EAGAIN)
}

func ignoreInterrupts(f func(int, []byte) (int, error), fd int, b []byte) (int, error) {
	for {
		n, err := f(fd, b)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// finishWrite writes what the connection did not take at once and reads the answer.
func (x *call) finishWrite(conn *net.TCPConn, raw syscall.RawConn) error {
	if _, err := conn.Write(x.out); err != nil {
		return err
	}
	return raw.Read(x.progress)
}

// expired takes what has arrived by a deadline. The process may be slow, and look
// at the deadline before it looks at the connection. If it came to the deadline
// late, it has come late to the answer as well, and waits for as long again.
func (x *call) expired(conn *net.TCPConn, raw syscall.RawConn) error {
	if err := context.Cause(x.ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	now := time.Now()
	late := now.Sub(x.deadline)
	wait := time.Duration(0)
	if late > ownDelay {
		wait = min(late, x.deadline.Sub(x.began))
	}
	until := now.Add(wait)
	// Without a wait, one look is taken.
	if err := conn.SetReadDeadline(until.Add(time.Millisecond)); err != nil {
		return err
	}
	silent := false
	err := raw.Read(func(fd uintptr) bool {
		silent = !x.progress(fd)
		return !silent || wait == 0
	})
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &TimeoutError{x.host, time.Since(until)}
	case err == nil && silent:
		return &TimeoutError{x.host, late}
	}
	return err
}
