// Package httpserver runs an HTTP server with size, connection and time limits that
// all servers of this project share. It parses requests and writes responses with
// nbhttp.
//
// Each connection has its own goroutine. nbhttp's blocking mode does the same, but
// does not close a connection on which a malformed request arrived. nbio's pollers
// each wait in a system call of their own, which cost several thread switches per
// request.
package httpserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"

	"bamboofall.example/bamboofall/internal/wire/intake"
)

// acceptRetryDelay is the wait after a failed accept, as when file descriptors have run out.
const acceptRetryDelay = 50 * time.Millisecond

// lingeringShare is the number of connections that are about to be closed beyond the limit,
// as 1/lingeringShare of it, beside those whose refused requests are read to their end.
const lingeringShare = 8

// requestTimeout bounds the time from the end of one request to the end of the next.
// It thus also closes connections that are never idle because a client sends a request
// a few bytes at a time.
var requestTimeout = 60 * time.Second

func init() { logging.SetLevel(logging.LevelNone) }

// Server is a running HTTP server. Use Start.
type Server struct {
	engine   *nbhttp.Engine
	listener net.Listener
	options  Options

	// stopping is set by Shutdown and Stop. Responses then close their connections.
	stopping atomic.Bool

	// draining is the number of connections whose refused requests are read to their end.
	draining atomic.Int32

	mu sync.Mutex
	// table decides which connections stay, and byRecord holds those in it.
	table    *intake.Table
	byRecord map[*intake.Conn]*conn
	// conns holds the open connections.
	conns map[*conn]struct{}
	// allClosed is closed when conns is empty after Shutdown has started.
	allClosed chan struct{}
}

// Start listens on an address and serves requests in the background, with the default
// limits. Requests of one connection are served in order.
func Start(address netip.AddrPort, handler http.Handler) (*Server, error) {
	return StartLimited(address, handler, Options{})
}

// StartLimited is Start with other limits.
func StartLimited(address netip.AddrPort, handler http.Handler, options Options) (*Server, error) {
	options = options.withDefaults()
	// Keep-alive probes are off: idle connections are closed after requestTimeout.
	config := net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { limitSocketBuffers(int(fd), options.Limits.SocketBuffer) })
	}}
	l, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	limitBacklog(l, options.Limits.Backlog())
	s := newServer(handler, options)
	s.listener = l
	go s.accept()
	return s, nil
}

// newServer returns a server without a listener.
func newServer(handler http.Handler, options Options) *Server {
	runInline := func(f func()) { f() }
	s := &Server{
		options: options, table: intake.NewTable(options.Limits), byRecord: make(map[*intake.Conn]*conn),
		conns: make(map[*conn]struct{}), allClosed: make(chan struct{}),
	}
	// The tracker bounds bodies and heads. The parser's own limit is a second bound on
	// what it caches.
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Handler: s.closeWhenAsked(handler), ReadLimit: parserReadLimit, KeepaliveTime: requestTimeout,
		ServerExecutor: runInline, ClientExecutor: runInline,
	})
	return s
}

// parserReadLimit bounds what the parser caches of a request, in bytes.
const parserReadLimit = 64 << 20

// limitSocketBuffers sets the kernel's buffers of a listener, which its connections
// inherit. An error leaves the kernel's own sizes.
func limitSocketBuffers(fd, size int) {
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF, size)
}

// limitBacklog bounds the connections that the kernel holds before they are accepted, each with
// buffers of its own. An error leaves the kernel's bound.
func limitBacklog(l net.Listener, n int) {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
}

// Usage is what a server's clients hold.
type Usage struct {
	Connections int
	// RequestBytes is the size of the requests that are being received or run.
	RequestBytes int64
}

// Usage returns what the server's clients hold at present.
func (s *Server) Usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Usage{Connections: len(s.conns), RequestBytes: s.table.Held()}
}

// closeWhenAsked extends a handler to close the connection after a response with the header
// "Connection: close", which every response has once the server is stopping. nbhttp
// closes it only if the request has the header.
func (s *Server) closeWhenAsked(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
		r.Close = r.Close || w.Header().Get("Connection") == "close"
	})
}

// Shutdown closes the listener and all idle connections, and the others after their
// current responses. When ctx is done, it closes those that are left.
func (s *Server) Shutdown(ctx context.Context) {
	s.stopping.Store(true)
	_ = s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.closeIfIdle()
	}
	s.signalIfAllClosed()
	s.mu.Unlock()
	select {
	case <-s.allClosed:
	case <-ctx.Done():
		s.Stop()
	}
}

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	s.stopping.Store(true)
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// signalIfAllClosed closes allClosed if the server is stopping and no connection is open.
// The caller holds the lock.
func (s *Server) signalIfAllClosed() {
	if !s.stopping.Load() || len(s.conns) > 0 {
		return
	}
	select {
	case <-s.allClosed:
	default:
		close(s.allClosed)
	}
}

func (s *Server) accept() {
	for {
		accepted, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &conn{Conn: accepted, refused: s.options.Refused}
		if !s.register(time.Now(), c) {
			s.turnAway(c)
			continue
		}
		go s.serve(c)
	}
}

// register adds a connection. It returns false if the server is stopping, or if as many
// connections as it may have are open and none of them can be closed.
func (s *Server) register(now time.Time, c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping.Load() {
		return false
	}
	// Connections that the table has let go are open until they are answered.
	if limit := s.options.Limits.Connections; len(s.conns) >= limit+limit/lingeringShare+maxDraining {
		s.options.Refused(*tooManyConnections)
		return false
	}
	record, evicted := s.table.Add(now, c.client())
	s.evict(evicted, tooManyConnections)
	if record == nil {
		s.options.Refused(*tooManyConnections)
		return false
	}
	c.server, c.record = s, record
	s.byRecord[record] = c
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) unregister(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	delete(s.byRecord, c.record)
	s.table.Remove(c.record)
	s.signalIfAllClosed()
	s.mu.Unlock()
	_ = c.Close()
}
