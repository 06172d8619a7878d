package httpserver

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"bamboofall.example/bamboofall/internal/wire/intake"
)

// conn is a connection that can be closed on the condition that it is idle: none of the
// bytes read from it belong to a request without a response.
type conn struct {
	net.Conn
	state atomic.Int32
	// refused is the server's Options.Refused.
	refused func(Refusal)
	// server is set once the connection is registered.
	server *Server
	// record is the connection's place in the server's table, whose lock guards it.
	record *intake.Conn
	// evictedFor is set once the server has taken the connection from the table to make
	// room for others.
	evictedFor atomic.Pointer[Refusal]
	// writeFailed is set once a write has failed. What follows would not begin where the
	// client expects a response.
	writeFailed atomic.Bool
}

// States of a conn.
const (
	connIdle int32 = iota
	connBusy
	connClosed
)

// setBusy marks the connection as busy. It returns false if closeIfIdle has closed it.
func (c *conn) setBusy() bool {
	return c.state.Load() == connBusy || c.state.CompareAndSwap(connIdle, connBusy)
}

func (c *conn) setIdle() { c.state.Store(connIdle) }

func (c *conn) closeIfIdle() {
	if c.state.CompareAndSwap(connIdle, connClosed) {
		_ = c.Close()
	}
}

// Write writes within responseTimeout, so that a client that does not read its responses
// does not hold them for longer. If room is needed for others, the server ends it earlier.
func (c *conn) Write(b []byte) (int, error) { return c.writeWithin(b, responseTimeout) }

func (c *conn) writeWithin(b []byte, d time.Duration) (int, error) {
	if c.writeFailed.Load() {
		return 0, net.ErrClosed
	}
	now := time.Now()
	if err := c.SetWriteDeadline(now.Add(d)); err != nil {
		return 0, err
	}
	// The deadline is set before, as an eviction sets another.
	answering := c.server != nil && c.server.beginWrite(now, c)
	n, err := c.Conn.Write(b)
	if answering {
		c.server.endWrite(c)
	}
	if err == nil {
		return n, nil
	}
	c.writeFailed.Store(true)
	switch refusal := c.evictedFor.Load(); {
	case answering && refusal != nil:
		c.refused(*refusal)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refused(*readTooSlowly)
	}
	return n, err
}

// client returns the address of the other side, without its port.
func (c *conn) client() netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
