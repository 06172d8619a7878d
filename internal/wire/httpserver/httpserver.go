// Package httpserver runs an HTTP server with the bounds that all of the project's
// servers share. nbhttp reads the requests and writes the answers.
//
// Each connection has a goroutine, as in nbhttp's blocking mode; that one keeps a
// connection on which something malformed came. A poller of nbio waits in a system
// call of its own, so each request took several changes of thread.
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
	// maxBody bounds a request with its body, in bytes.
	maxBody = 32 << 20
	// maxConnections bounds the open connections of a server.
	maxConnections = 50_000
	// readSize is the size of a read, in bytes. Each connection has a buffer.
	readSize = 4 << 10
	// acceptRetry is the time between tries to accept while descriptors are short.
	acceptRetry = 50 * time.Millisecond
)

// keepAlive bounds the time from one whole request to the next, so that a
// request that drips in is cut off as well.
var keepAlive = 60 * time.Second

func init() { logging.SetLevel(logging.LevelNone) }

// Server is a running server. Use Start.
type Server struct {
	engine   *nbhttp.Engine
	listener net.Listener

	mu      sync.Mutex
	open    map[net.Conn]struct{}
	stopped bool
}

// Start listens on an address and serves. Requests of one connection are served
// in order.
func Start(address netip.AddrPort, handler http.Handler) (*Server, error) {
	// Connections are not idle for long enough to be probed.
	config := net.ListenConfig{KeepAlive: -1}
	l, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	run := func(f func()) { f() }
	s := &Server{
		listener: l, open: make(map[net.Conn]struct{}),
		engine: nbhttp.NewEngine(nbhttp.Config{
			Handler: handler, MaxHTTPBodySize: maxBody, ReadLimit: maxBody, KeepaliveTime: keepAlive,
			ServerExecutor: run, ClientExecutor: run,
		}),
	}
	go s.accept()
	return s, nil
}

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	s.mu.Lock()
	open := s.open
	s.open, s.stopped = nil, true
	s.mu.Unlock()
	_ = s.listener.Close()
	for c := range open {
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
			time.Sleep(acceptRetry)
		case !s.enter(c):
			_ = c.Close()
		default:
			go s.serve(c)
		}
	}
}

// enter adds a connection. It reports false if there are too many, or after Stop.
func (s *Server) enter(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || len(s.open) >= maxConnections {
		return false
	}
	s.open[c] = struct{}{}
	return true
}

func (s *Server) leave(c net.Conn) {
	s.mu.Lock()
	delete(s.open, c)
	s.mu.Unlock()
	_ = c.Close()
}

// serve serves a connection until it is closed, silent for too long or malformed.
// nbhttp moves the deadline on with each answer.
func (s *Server) serve(c net.Conn) {
	defer s.leave(c)
	parser := nbhttp.NewParser(c, s.engine, nbhttp.NewServerProcessor(), false, nbhttp.SyncExecutor)
	defer parser.CloseAndClean(net.ErrClosed)
	if err := c.SetReadDeadline(time.Now().Add(s.engine.KeepaliveTime)); err != nil {
		return
	}
	buffer := make([]byte, readSize)
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
