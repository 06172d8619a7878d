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
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
)

const (
	// maxBody bounds the size of a request with its body, in bytes.
	maxBody = 32 << 20
	// maxConnections bounds the number of open connections of a server.
	maxConnections = 50_000
	// readBufferSize is the size of the read buffer of each connection, in bytes.
	readBufferSize = 4 << 10
	// acceptRetryDelay is the wait after a failed accept, as when file descriptors
	// have run out.
	acceptRetryDelay = 50 * time.Millisecond
)

// requestTimeout bounds the time from the end of one request to the end of the next.
// It thus also closes connections that are never idle because a client sends a request
// a few bytes at a time.
var requestTimeout = 60 * time.Second

func init() { logging.SetLevel(logging.LevelNone) }

// Server is a running HTTP server. Use Start.
type Server struct {
	engine   *nbhttp.Engine
	listener net.Listener

	mu sync.Mutex
	// conns holds the open connections. It is nil after Stop.
	conns   map[net.Conn]struct{}
	stopped bool
}

// Start listens on an address and serves requests in the background. Requests of one
// connection are served in order.
func Start(address netip.AddrPort, handler http.Handler) (*Server, error) {
	// Keep-alive probes are off: idle connections are closed after requestTimeout.
	config := net.ListenConfig{KeepAlive: -1}
	l, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	runInline := func(f func()) { f() }
	s := &Server{
		listener: l, conns: make(map[net.Conn]struct{}),
		engine: nbhttp.NewEngine(nbhttp.Config{
			Handler: handler, MaxHTTPBodySize: maxBody, ReadLimit: maxBody, KeepaliveTime: requestTimeout,
			ServerExecutor: runInline, ClientExecutor: runInline,
		}),
	}
	go s.accept()
	return s, nil
}

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	s.mu.Lock()
	conns := s.conns
	s.conns, s.stopped = nil, true
	s.mu.Unlock()
	_ = s.listener.Close()
	for c := range conns {
		_ = c.Close()
	}
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptRetryDelay)
		case !s.register(c):
			_ = c.Close()
		default:
			go s.serve(c)
		}
	}
}

// register adds a connection. It returns false after Stop or if maxConnections are
// open.
func (s *Server) register(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || len(s.conns) >= maxConnections {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) unregister(c net.Conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	_ = c.Close()
}

// serve handles the requests of a connection until it is closed, a request is
// malformed or requestTimeout passes. nbhttp extends the read deadline with each
// response.
func (s *Server) serve(c net.Conn) {
	defer s.unregister(c)
	parser := nbhttp.NewParser(c, s.engine, nbhttp.NewServerProcessor(), false, nbhttp.SyncExecutor)
	defer parser.CloseAndClean(net.ErrClosed)
	if err := c.SetReadDeadline(time.Now().Add(s.engine.KeepaliveTime)); err != nil {
		return
	}
	buffer := make([]byte, readBufferSize)
	for {
		n, err := c.Read(buffer)
		if err != nil {
			return
		}
		if err := parser.Parse(buffer[:n]); err != nil {
			return
		}
	}
}
