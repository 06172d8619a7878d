// Package link is a stand-in for the network between two data centres.
//
// It relays TCP connections with a delay each way, and can be cut. A cut is
// silent: connections stay open and carry nothing, new ones are not answered.
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
	chunk  = 32 << 10
	queued = 256
)

// Link relays connections to a target. Use Start.
type Link struct {
	target   netip.AddrPort
	delay    time.Duration
	listener net.Listener
	cut      *atomic.Bool
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// Start listens on an address of the loopback interface and relays to the
// target with a one-way delay. The switch cuts the link while it is set.
func Start(target netip.AddrPort, delay time.Duration, cut *atomic.Bool) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for link to %s: %w", target, err)
	}
	l := &Link{target: target, delay: delay, listener: listener, cut: cut, conns: make(map[net.Conn]bool)}
	go l.accept()
	return l, nil
}

// Address returns the address to connect to.
func (l *Link) Address() netip.AddrPort {
	return l.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Stop closes the link and its connections.
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
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.relay(near)
	}
}

func (l *Link) relay(near net.Conn) {
	l.track(near)
	defer l.drop(near)
	if l.cut.Load() {
		_, _ = io.Copy(io.Discard, near)
		return
	}
	far, err := net.Dial("tcp", l.target.String())
	if err != nil {
		return
	}
	l.track(far)
	defer l.drop(far)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		l.carry(ctx, far, near)
		cancel()
		_ = near.Close()
	}()
	l.carry(ctx, near, far)
}

func (l *Link) track(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
}

func (l *Link) drop(c net.Conn) {
	_ = c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

type piece struct {
	data []byte
	due  time.Time
}

// carry copies one direction, each piece after the delay.
func (l *Link) carry(ctx context.Context, from, to net.Conn) {
	pieces := make(chan piece, queued)
	go func() {
		defer close(pieces)
		for {
			buf := make([]byte, chunk)
			n, err := from.Read(buf)
			if n > 0 && !l.cut.Load() {
				select {
				case pieces <- piece{buf[:n], time.Now().Add(l.delay)}:
				case <-ctx.Done():
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.data); err != nil {
			return
		}
	}
}
