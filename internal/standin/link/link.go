// Package link simulates the network between two data centres.
//
// It forwards TCP connections with a one-way delay and can simulate a
// partition. During a partition, packets are dropped silently: existing
// connections stay open without transferring data, and new connections are
// accepted but not answered.
package link

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// readBufferBytes is the size of the buffer for one read.
	readBufferBytes = 32 << 10
	// maxQueuedChunks limits the chunks in transit in one direction of a
	// connection.
	maxQueuedChunks = 256
)

// Link forwards connections to a target address. Use Start.
type Link struct {
	target   netip.AddrPort
	delay    time.Duration
	listener net.Listener
	// cut partitions the network while it is set. All links of a site share it.
	cut   *atomic.Bool
	mu    sync.Mutex
	conns map[net.Conn]bool
}

// Start listens on a loopback port and forwards connections to target with a
// one-way delay. The link is partitioned while cut is set.
func Start(target netip.AddrPort, delay time.Duration, cut *atomic.Bool) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for link to %s: %w", target, err)
	}
	l := &Link{target: target, delay: delay, listener: listener, cut: cut, conns: make(map[net.Conn]bool)}
	go l.accept()
	return l, nil
}

// Address returns the address on which the link listens.
func (l *Link) Address() netip.AddrPort {
	return l.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Stop closes the listener and all connections.
func (l *Link) Stop() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.relay(client)
	}
}

func (l *Link) relay(client net.Conn) {
	l.track(client)
	defer l.closeConn(client)
	if l.cut.Load() {
		_, _ = io.Copy(io.Discard, client)
		return
	}
	server, err := net.Dial("tcp", l.target.String())
	if err != nil {
		return
	}
	l.track(server)
	defer l.closeConn(server)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		l.copyDelayed(ctx, server, client)
		cancel()
		_ = client.Close()
	}()
	l.copyDelayed(ctx, client, server)
}

func (l *Link) track(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
}

func (l *Link) closeConn(c net.Conn) {
	_ = c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// chunk is data in transit.
type chunk struct {
	data []byte
	// due is when the data is delivered.
	due time.Time
}

// copyDelayed copies data in one direction, and delivers each chunk after the
// delay of the link. Data read while the link is cut is discarded.
func (l *Link) copyDelayed(ctx context.Context, from, to net.Conn) {
	chunks := make(chan chunk, maxQueuedChunks)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, readBufferBytes)
			n, err := from.Read(buf)
			if n > 0 && !l.cut.Load() {
				select {
				case chunks <- chunk{buf[:n], time.Now().Add(l.delay)}:
				case <-ctx.Done():
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
}
