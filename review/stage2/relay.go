package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// relay passes connections on to an address. Those that are open can go silent for good,
// while new ones work.
type relay struct {
	to       string
	listener net.Listener

	mu sync.Mutex
	// trigger, if set, is what a request must contain for the open connections to go
	// silent as it passes.
	trigger []byte
	// silence is set if they do go silent, and not only passed on.
	silence bool
	// passed receives the time at which the request passed.
	passed chan time.Time
	// generation counts how often the open connections have gone silent.
	generation int
}

func newRelay(to string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{to: to, listener: l, passed: make(chan time.Time, 1)}
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

// arm waits for a request that contains the trigger. Silence tells whether the open
// connections go silent then.
func (r *relay) arm(trigger string, silence bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trigger, r.silence = []byte(trigger), silence
}

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		s, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = c.Close()
			continue
		}
		r.mu.Lock()
		generation := r.generation
		r.mu.Unlock()
		go r.pass(c, s, generation, true)
		go r.pass(s, c, generation, false)
	}
}

// pass copies from one connection to the other, and drops what comes after they have
// gone silent.
func (r *relay) pass(from, to net.Conn, generation int, request bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
		if request {
			r.check(buffer[:n])
		}
		r.mu.Lock()
		silent := generation != r.generation
		r.mu.Unlock()
		if silent {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

// check looks for the trigger in a request.
func (r *relay) check(data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.trigger == nil || !bytes.Contains(data, r.trigger) {
		return
	}
	r.trigger = nil
	if r.silence {
		r.generation++
	}
	r.passed <- time.Now()
}
