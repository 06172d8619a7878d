package httpserver

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"bamboofall.example/bamboofall/internal/wire/intake"
)

// serve handles the requests of a connection until it is closed, a request is malformed or
// refused, or requestTimeout passes. nbhttp extends the read deadline with each response.
func (s *Server) serve(c *conn) {
	defer s.unregister(c)
	tracker := &requestTracker{Processor: nbhttp.NewServerProcessor(), server: s, conn: c}
	parser := nbhttp.NewParser(c, s.engine, tracker, false, nbhttp.SyncExecutor)
	defer parser.CloseAndClean(net.ErrClosed)
	if !c.extendDeadline(s.engine.KeepaliveTime) {
		return
	}
	buffer := make([]byte, readBufferSize)
	for {
		n, err := c.Read(buffer)
		if err != nil {
			s.handleReadError(c, tracker, err)
			return
		}
		if !c.setBusy() {
			return
		}
		if !s.receive(time.Now(), c, n) {
			s.refuse(c, parser, c.evictedFor.Load())
			return
		}
		began := tracker.inRequest
		tracker.begin(n)
		err = parser.Parse(buffer[:n])
		if refusal := tracker.check(n); refusal != nil {
			s.refuse(c, parser, refusal)
			return
		}
		if c.writeFailed.Load() {
			return
		}
		// nbhttp recovers from a handler's panic and goes on without a response.
		if err != nil || tracker.inHandler {
			return
		}
		if !tracker.inRequest {
			// What follows the last request, if anything, is less than a method name.
			c.setIdle()
			if s.stopping.Load() {
				return
			}
			if c.evictedFor.Load() != nil { // nbhttp may have set another deadline since
				s.handleReadError(c, tracker, nil)
				return
			}
			continue
		}
		if tracker.ended {
			_ = s.receive(time.Now(), c, n)
		}
		if !began || tracker.ended {
			if !c.extendDeadline(min(receiveTimeout, s.engine.KeepaliveTime)) {
				s.handleReadError(c, tracker, nil)
				return
			}
		}
	}
}

// extendDeadline sets the time for further reads. It returns false if the connection is
// closed or was evicted, which its next read would not notice.
func (c *conn) extendDeadline(d time.Duration) bool {
	return c.SetReadDeadline(time.Now().Add(d)) == nil && c.evictedFor.Load() == nil
}

// handleReadError answers a request that was evicted, and counts one that did not arrive in
// time.
func (s *Server) handleReadError(c *conn, tracker *requestTracker, err error) {
	if refusal := c.evictedFor.Load(); refusal != nil {
		s.options.Refused(*refusal)
		if c.record.WasReceiving() {
			_, _ = c.writeWithin(s.options.response(*refusal), refusalTimeout)
		}
	} else if tracker.inRequest && errors.Is(err, os.ErrDeadlineExceeded) {
		s.options.Refused(*receivedTooSlowly)
	}
}

// refuse answers the current request without its handler and ends the connection. What was
// read of the request is freed before.
func (s *Server) refuse(c *conn, parser *nbhttp.Parser, r *Refusal) {
	s.options.Refused(*r)
	parser.CloseAndClean(net.ErrClosed)
	s.leave(c)
	if _, err := c.writeWithin(s.options.response(*r), refusalTimeout); err != nil {
		return
	}
	if s.draining.Add(1) <= maxDraining {
		drain(c)
	}
	s.draining.Add(-1)
}

// turnAway answers a connection for which there is no room, and closes it.
func (s *Server) turnAway(c *conn) {
	if s.stopping.Load() {
		_ = c.Close()
		return
	}
	// The buffers of a new connection take the response without a wait.
	_, err := c.writeWithin(s.options.response(*tooManyConnections), refusalTimeout)
	if err != nil || s.draining.Add(1) > maxDraining {
		if err == nil {
			s.draining.Add(-1)
		}
		_ = c.Close()
		return
	}
	go func() {
		drain(c)
		s.draining.Add(-1)
		_ = c.Close()
	}()
}

// drain closes the connection for writing and discards what the client sends, within
// bounds. Closing a connection with unread bytes resets it, which may keep the client from
// reading the response.
func drain(c *conn) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(drainTimeout)) != nil {
		return
	}
	_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, io.LimitReader(struct{ io.Reader }{c}, maxDrained), make([]byte, readBufferSize))
}

// receive records that n bytes of a request have arrived. It returns false if the
// connection has been evicted.
func (s *Server) receive(now time.Time, c *conn, n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict(s.table.Receive(now, c.record, n), busy)
	return c.record.State() != intake.Closed
}

// run records that a request is passed to its handler. It returns false if the connection
// has been evicted.
func (s *Server) run(c *conn) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Run(now, c.record)
}

// done records that a request has been answered.
func (s *Server) done(now time.Time, c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Done(now, c.record, 0)
}

// beginWrite records that a connection's response is being written, and endWrite that it
// was. beginWrite returns false if the connection has no running request.
func (s *Server) beginWrite(now time.Time, c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Write(now, c.record)
}

func (s *Server) endWrite(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Written(c.record)
}

// leave takes the connection from the table.
func (s *Server) leave(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Remove(c.record)
}

// evict ends connections that the table has removed for a reason. Their goroutines wait
// for data, or for the client to read a response, and close them. The caller holds the lock.
func (s *Server) evict(records []*intake.Conn, reason *Refusal) {
	for _, record := range records {
		c := s.byRecord[record]
		delete(s.byRecord, record)
		if c == nil {
			continue
		}
		c.evictedFor.Store(reason)
		_ = c.SetDeadline(time.Unix(1, 0))
	}
}
