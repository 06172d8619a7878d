// Package connpool keeps the connections to one upstream instance.
//
// A connection carries one request at a time, so an answer belongs to the
// request that the connection was taken for, or to none. A connection on which
// a request timed out is never used again, and neither is any connection that
// has not answered since that request was sent: what lost track of one idle
// connection may have lost track of the others. While no connection answers for
// longer than usual, new ones are opened, so that few requests meet connections
// that have gone silent. Idle connections are closed
// after a short time, before anything between the two ends forgets them.
package connpool

import "time"

// MaxIdle is how long a connection may be idle.
const MaxIdle = 10 * time.Second

type idle[C any] struct {
	conn C
	// answered is when the connection last carried an answer.
	answered time.Time
}

// Pool keeps idle connections, most recently used last. The zero value is an
// empty pool.
type Pool[C any] struct {
	idle []idle[C]
	// unanswered is when a connection was first taken since the last answer on
	// any of them. Zero if none was.
	unanswered time.Time
}

// Take returns the most recently used connection, or false if a new one must
// be opened: there is none, or none has answered for longer than patience
// while one was asked. It returns the connections that have been idle too long,
// for the caller to close.
func (p *Pool[C]) Take(now time.Time, patience time.Duration) (conn C, ok bool, expired []C) {
	expired = p.Expire(now)
	if p.unanswered.IsZero() {
		p.unanswered = now
	}
	if len(p.idle) == 0 || now.Sub(p.unanswered) > patience {
		return conn, false, expired
	}
	last := len(p.idle) - 1
	conn = p.idle[last].conn
	p.idle = p.idle[:last]
	return conn, true, expired
}

// Put returns a connection that has just carried a whole answer.
func (p *Pool[C]) Put(now time.Time, conn C) {
	p.unanswered = time.Time{}
	p.idle = append(p.idle, idle[C]{conn, now})
}

// Add adds a connection that has just been opened and carried nothing.
func (p *Pool[C]) Add(now time.Time, conn C) { p.idle = append(p.idle, idle[C]{conn, now}) }

// Expire removes and returns the connections that have been idle too long.
func (p *Pool[C]) Expire(now time.Time) []C {
	return p.drop(func(i idle[C]) bool { return now.Sub(i.answered) >= MaxIdle })
}

// Doubt removes and returns the connections that have not answered since a
// request that timed out was sent.
func (p *Pool[C]) Doubt(sent time.Time) []C {
	return p.drop(func(i idle[C]) bool { return !i.answered.After(sent) })
}

// Len returns the number of idle connections.
func (p *Pool[C]) Len() int { return len(p.idle) }

func (p *Pool[C]) drop(bad func(idle[C]) bool) []C {
	var dropped []C
	kept := p.idle[:0]
	for _, i := range p.idle {
		if bad(i) {
			dropped = append(dropped, i.conn)
			continue
		}
		kept = append(kept, i)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	return dropped
}
