// Package connpool pools the idle connections to one upstream instance.
//
// A connection carries one request at a time, so a response belongs to the request for
// which the connection was taken, or to none. A connection on which a request timed
// out is never used again, and neither is any connection that has not carried a
// response since that request was sent: whatever dropped the state of one idle
// connection may have dropped that of the others. While no connection responds for
// longer than usual, new ones are opened, so that few requests use connections that
// have silently failed. Idle connections are closed after a short time, before
// anything between the two ends drops their state.
package connpool

import "time"

// MaxIdle is how long a connection may stay idle in a pool.
const MaxIdle = 10 * time.Second

type idleConn[C any] struct {
	conn C
	// lastUsed is when the connection last carried a response, or was opened.
	lastUsed time.Time
}

// Pool holds idle connections, the most recently used last. The zero value is an empty
// pool. It is not safe for concurrent use.
type Pool[C any] struct {
	idle []idleConn[C]
	// waitingSince is when Take was first called since the last response on any
	// connection of the pool. Zero if it was not.
	waitingSince time.Time
}

// Take returns the most recently used connection. It returns false if a new one must
// be opened: the pool is empty, or calls have been waiting for longer than maxSilence
// without a response on any connection. It also returns the connections that have been
// idle for too long, for the caller to close.
func (p *Pool[C]) Take(now time.Time, maxSilence time.Duration) (conn C, ok bool, expired []C) {
	expired = p.Expire(now)
	if p.waitingSince.IsZero() {
		p.waitingSince = now
	}
	if len(p.idle) == 0 || now.Sub(p.waitingSince) > maxSilence {
		return conn, false, expired
	}
	last := len(p.idle) - 1
	conn = p.idle[last].conn
	p.idle = p.idle[:last]
	return conn, true, expired
}

// Put returns a connection that has just carried a complete response to the pool.
func (p *Pool[C]) Put(now time.Time, conn C) {
	p.waitingSince = time.Time{}
	p.idle = append(p.idle, idleConn[C]{conn, now})
}

// AddUnused adds a connection that has just been opened and carried no request. Unlike
// Put it does not count as a response.
func (p *Pool[C]) AddUnused(now time.Time, conn C) { p.idle = append(p.idle, idleConn[C]{conn, now}) }

// Expire removes and returns the connections that have been idle for MaxIdle.
func (p *Pool[C]) Expire(now time.Time) []C {
	return p.removeIf(func(i idleConn[C]) bool { return now.Sub(i.lastUsed) >= MaxIdle })
}

// RemoveUnansweredSince removes and returns the connections that have not carried a
// response since the given time, at which a request that timed out was sent.
func (p *Pool[C]) RemoveUnansweredSince(sent time.Time) []C {
	return p.removeIf(func(i idleConn[C]) bool { return !i.lastUsed.After(sent) })
}

// Len returns the number of idle connections.
func (p *Pool[C]) Len() int { return len(p.idle) }

func (p *Pool[C]) removeIf(match func(idleConn[C]) bool) []C {
	var removed []C
	kept := p.idle[:0]
	for _, i := range p.idle {
		if match(i) {
			removed = append(removed, i.conn)
			continue
		}
		kept = append(kept, i)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	return removed
}
