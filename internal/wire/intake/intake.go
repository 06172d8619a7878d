// Package intake decides which connections of a server are closed when the memory for
// unfinished requests or the number of connections is used up.
//
// It answers the load of clients that keep to no limits: they send bodies and do not end
// them, send a byte at a time, or open connections without using them, from one address or
// many, also from an address that ordinary callers share. A server that turns away whatever
// comes when its budget is used up serves the clients that came first, which are those that
// hold on to it. A Table makes room instead: it closes what costs other callers most.
//
// A request that runs is never closed, as its outcome would be unknown to its caller. One
// whose response the client does not read has run, and is closed like the others.
package intake

import (
	"net/netip"
	"time"
)

// Limits bounds a server's connections. Zero means no limit.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// Bytes is the size of all requests that are being received or run.
	Bytes int64
	// SocketBuffer is the size of the kernel's buffers of a connection in each direction,
	// in bytes.
	SocketBuffer int
}

// backlogShare and minBacklog bound the connections that wait to be accepted: as
// 1/backlogShare of those that are open, and minBacklog at least.
const (
	backlogShare = 4
	minBacklog   = 16
)

// Backlog returns the number of connections that may wait to be accepted.
func (l Limits) Backlog() int { return max(minBacklog, l.Connections/backlogShare) }

// roomShare is the share of a limit that is made free at once, as 1/roomShare, so that the
// connections are not searched for each read.
const roomShare = 16

// State is what a connection is used for.
type State uint8

const (
	// Idle connections have no bytes of an unfinished request.
	Idle State = iota
	// Receiving connections have a part of a request.
	Receiving
	// Running connections have a request that a handler has seen.
	Running
	// Answering connections have a request whose response is being written. They may be
	// closed once the client has not read for a while.
	Answering
	// Closed connections are no longer in the table.
	Closed
)

// Conn is the record of a connection. Its fields are guarded by the table's owner.
type Conn struct {
	address netip.Addr
	state   State
	// since is when the connection became idle, its request began, or the write of its
	// response began.
	since time.Time
	held  int64
	// wasReceiving is set if the connection was receiving when it left the table.
	wasReceiving bool
	// index is the position in Table.conns.
	index int
}

// State returns what the connection is used for.
func (c *Conn) State() State { return c.state }

// WasReceiving reports whether a closed connection had a part of a request.
func (c *Conn) WasReceiving() bool { return c.wasReceiving }

// Table holds the connections of a server. It is not safe for concurrent use.
type Table struct {
	limits Limits
	conns  []*Conn
	held   int64
}

// NewTable returns a table without connections.
func NewTable(l Limits) *Table { return &Table{limits: l} }

// Len returns the number of connections, and Held the size of their requests in bytes.
func (t *Table) Len() int    { return len(t.conns) }
func (t *Table) Held() int64 { return t.held }

// Add adds an idle connection. It returns the connections to close in exchange, which it
// has removed, and nil instead of a Conn if there is no room for another.
func (t *Table) Add(now time.Time, address netip.Addr) (c *Conn, closed []*Conn) {
	if limit := t.limits.Connections; limit > 0 && len(t.conns) >= limit {
		closed = t.makeRoom(len(t.conns)-(limit-1-limit/roomShare), 0, connectionCost(now))
		if len(t.conns) >= limit {
			return nil, closed
		}
	}
	c = &Conn{address: address, since: now, index: len(t.conns)}
	t.conns = append(t.conns, c)
	return c, closed
}

// Remove removes a connection.
func (t *Table) Remove(c *Conn) {
	if c.state == Closed {
		return
	}
	t.held -= c.held
	last := t.conns[len(t.conns)-1]
	t.conns[c.index], last.index = last, c.index
	t.conns[len(t.conns)-1] = nil
	t.conns = t.conns[:len(t.conns)-1]
	c.wasReceiving = c.state == Receiving
	c.state, c.held = Closed, 0
}

// Receive records that n bytes of a connection's request have arrived. It returns the
// connections to close in exchange, which it has removed and which may include c itself.
func (t *Table) Receive(now time.Time, c *Conn, n int) (closed []*Conn) {
	if c.state == Closed {
		return nil
	}
	if c.state == Idle {
		c.state, c.since = Receiving, now
	}
	c.held += int64(n)
	t.held += int64(n)
	// A request that is alone is bounded by its server's limit for one request only.
	if limit := t.limits.Bytes; limit > 0 && t.held > limit && t.held > c.held {
		closed = t.makeRoom(0, t.held-(limit-limit/roomShare), byteCost(now))
		if t.held > limit && c.state == Receiving {
			t.Remove(c)
			closed = append(closed, c)
		}
	}
	return closed
}

// Run records that a connection's request is complete, and is passed to its handler. It
// returns false if the connection has been closed, so that the request must not run.
func (t *Table) Run(now time.Time, c *Conn) bool {
	if c.state == Closed {
		return false
	}
	if c.state == Idle {
		c.since = now
	}
	c.state = Running
	return true
}

// Write records that the write of a response begins. It returns false if the connection
// has no running request.
func (t *Table) Write(now time.Time, c *Conn) bool {
	if c.state != Running {
		return false
	}
	c.state, c.since = Answering, now
	return true
}

// Written records that the client has taken what was written.
func (t *Table) Written(c *Conn) {
	if c.state == Answering {
		c.state = Running
	}
}

// Done records that a connection's request has been answered. The next request, of which
// rest bytes have arrived, has begun if rest is positive.
func (t *Table) Done(now time.Time, c *Conn, rest int) {
	if c.state == Closed {
		return
	}
	t.held += int64(rest) - c.held
	c.held, c.since, c.state = int64(rest), now, Idle
	if rest > 0 {
		c.state = Receiving
	}
}

// cost is what a connection costs other callers. Connections of a higher class go first,
// and of a higher amount within a class. A negative class is never closed.
type cost struct {
	class  int
	amount float64
}

// byteCost returns what connections cost when memory is short: the bytes that they hold,
// times how long they have held them. A request that arrives at once thus outlasts one of
// the same size that does not get on.
func byteCost(now time.Time) func(*Conn) cost {
	return func(c *Conn) cost {
		if c.state != Receiving && !c.isStuck(now) {
			return cost{class: -1}
		}
		return cost{amount: float64(c.held) * (minAge + now.Sub(c.since)).Seconds()}
	}
}

// stuckAfter is how long a client may leave a response unread before its connection is
// closed for others.
const stuckAfter = time.Second

// isStuck reports whether the client does not read its response.
func (c *Conn) isStuck(now time.Time) bool {
	return c.state == Answering && now.Sub(c.since) >= stuckAfter
}

// minAge is the least age of a request in byteCost. It covers the time in which a request
// within the limits arrives, so that size decides among those that have just begun.
const minAge = 100 * time.Millisecond

// connectionCost returns what connections cost when connections are short: first the time
// for which they have not been used, then the time for which their request has not ended or
// their response was not read.
func connectionCost(now time.Time) func(*Conn) cost {
	return func(c *Conn) cost {
		switch {
		case c.state == Idle:
			return cost{class: 1, amount: now.Sub(c.since).Seconds()}
		case c.state == Receiving, c.isStuck(now):
			return cost{amount: now.Sub(c.since).Seconds()}
		}
		return cost{class: -1}
	}
}
