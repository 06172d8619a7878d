package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// playDrain stops two of six VMs in turn: first one, then the one that last wrote to the store
// under a condition. Clients send requests on connections that they opened to the first one
// before.
func playDrain(b *bed) (string, error) {
	const (
		vms       = 6
		share     = 0.4
		gap       = 2000 * time.Millisecond // gap_s
		clients   = 56
		lossSlack = 200 * time.Millisecond // loss_slack_ms
	)
	b.publish(7, route{name: "r-wrr6x73", prefix: "/lohu930/", maxAttempts: 3})
	for range vms {
		if _, err := b.addVM(share); err != nil {
			return "", err
		}
	}
	for i := range 8 {
		if _, err := b.addMinion("a", fmt.Sprintf("r1-%d", i/4)); err != nil {
			return "", err
		}
	}
	if err := b.waitReady(); err != nil {
		return "", err
	}
	time.Sleep(trafficDelay)
	owner, err := b.lastWriter()
	if err != nil {
		return "", err
	}
	first := b.vms[0]
	if first == owner {
		first = b.vms[1]
	}
	if a := b.ask("POST", batchID, jobBody(taskSpec{WorkMS: 20000}, step{Count: 1, CPU: 1000, MemoryMB: 512, EstimatedMS: 20000})); a.status != 200 {
		return "", fmt.Errorf("the job was not accepted: %v", a)
	}
	conns := make([]*openConn, clients)
	for i := range conns {
		if conns[i], err = dialVM(first); err != nil {
			return "", err
		}
		defer conns[i].close()
		if status, err := conns[i].get(batchID); err != nil || status != http.StatusOK {
			return "", fmt.Errorf("status %d on an open connection: %w", status, err)
		}
	}
	began := time.Now()
	if b.trouble {
		first.terminate(true)
		time.AfterFunc(gap, func() { owner.terminate(true) })
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	lost, answered := 0, 0
	for i, c := range conns {
		all.Go(func() {
			time.Sleep(time.Until(began.Add(requestTime(i))))
			sent := time.Now()
			status, err := c.get(batchID)
			took := time.Since(sent)
			b.record("GET %s at %s on an open connection, sent %v after the start: status %d after %v, %v",
				batchID, first.name, sent.Sub(began).Round(time.Millisecond), status, took.Round(time.Millisecond), err)
			mu.Lock()
			defer mu.Unlock()
			var timeout net.Error
			switch {
			case err == nil:
				answered++
			case errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, syscall.EPIPE), !c.sent:
				// The client's own deadline, or a connection that was closed before.
			case took > lossSlack:
				lost++
			}
		})
	}
	all.Wait()
	b.record("%d requests answered, %d lost", answered, lost)
	if lost > 0 {
		return fmt.Sprintf("LOST: %d requests that %s had taken ended without an answer, later than %v after they were sent", lost, first.name, lossSlack), nil
	}
	if answered == 0 {
		return "", errors.New("no request was answered")
	}
	return "", nil
}

// requestTime returns when a client sends its request, after the first SIGTERM: one every
// 100 ms, and from 4.2 s on one every 20 ms, as more of them return at the same time.
func requestTime(client int) time.Duration {
	const sparse = 40
	at := 200*time.Millisecond + time.Duration(min(client, sparse))*100*time.Millisecond
	return at + time.Duration(max(0, client-sparse))*20*time.Millisecond
}

// openConn is a client's open connection to a VM.
type openConn struct {
	vm   *vm
	conn net.Conn
	in   *bufio.Reader
	// sent is set if the last request was sent on a connection that was still open.
	sent bool
}

func dialVM(v *vm) (*openConn, error) {
	conn, err := net.DialTimeout("tcp", v.callers, time.Second)
	if err != nil {
		return nil, err
	}
	return &openConn{vm: v, conn: conn, in: bufio.NewReader(conn)}, nil
}

func (c *openConn) close() { _ = c.conn.Close() }

// get sends a request and reads the response.
func (c *openConn) get(path string) (int, error) {
	r, err := newRequest(c.vm, http.MethodGet, path, nil)
	if err != nil {
		return 0, err
	}
	// Data or an end that is there before the request means that the VM has closed the
	// connection.
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	if _, err := c.in.Peek(1); err != nil {
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			c.sent = false
			return 0, err
		}
	}
	_ = c.conn.SetDeadline(time.Now().Add(clientTimeout))
	if err := r.Write(c.conn); err != nil {
		c.sent = false
		return 0, err
	}
	c.sent = true
	res, err := http.ReadResponse(c.in, r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := bufio.NewReader(res.Body).ReadString(0); err != nil && err.Error() != "EOF" {
		return 0, err
	}
	return res.StatusCode, nil
}
