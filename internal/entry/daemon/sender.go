package daemon

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/request/idempotency"
	"bamboofall.example/bamboofall/internal/request/router"
	"bamboofall.example/bamboofall/internal/wire/connpool"
	"bamboofall.example/bamboofall/internal/wire/httpclient"
)

// The headers between callers, entry VMs and upstreams.
const (
	headerOutcome    = "Bamboofall-Outcome"
	headerReason     = "Bamboofall-Reason"
	headerTrade      = "Bamboofall-Trade"
	headerAttempt    = "Bamboofall-Attempt"
	headerDeadline   = "Bamboofall-Deadline-Ms"
	headerRequest    = "Bamboofall-Request"
	headerKey        = "Idempotency-Key"
	headerRetryAfter = "Retry-After"
)

// maxExchange bounds an exchange on a connection.
const maxExchange = 15 * time.Minute

// sends keeps the connections to the upstream instances.
type sends struct {
	engine *httpclient.Engine
	mu     sync.Mutex
	pools  map[netip.AddrPort]*connpool.Pool[*httpclient.Conn]
}

func (s *sends) init(e *httpclient.Engine) {
	s.engine = e
	s.pools = make(map[netip.AddrPort]*connpool.Pool[*httpclient.Conn])
}

func (s *sends) pool(to netip.AddrPort) *connpool.Pool[*httpclient.Conn] {
	p := s.pools[to]
	if p == nil {
		p = &connpool.Pool[*httpclient.Conn]{}
		s.pools[to] = p
	}
	return p
}

// take returns a connection and whether it is a new one.
func (s *sends) take(now time.Time, to netip.AddrPort, patience time.Duration) (*httpclient.Conn, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn, ok, expired := s.pool(to).Take(now, patience)
	for _, c := range expired {
		c.Close()
	}
	if ok {
		return conn, false
	}
	return s.engine.NewConn(maxExchange), true
}

func (s *sends) put(now time.Time, to netip.AddrPort, c *httpclient.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool(to).Put(now, c)
}

// doubt closes the connections that may have gone silent with one that did.
func (s *sends) doubt(to netip.AddrPort, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.pool(to).Doubt(sent) {
		c.Close()
	}
}

// startSend sends a request to an instance and reports how it ended. After a
// time-out the late end is reported as well.
func (d *Daemon) startSend(a router.Send) {
	one := d.calls.get(a.Request.ID)
	if one == nil {
		go d.sent(a, router.SendResult{Status: router.SendStale})
		return
	}
	go d.send(a, one.body)
}

func (d *Daemon) send(a router.Send, body []byte) {
	req, err := upstreamRequest(a, body)
	if err != nil {
		d.sent(a, router.SendResult{Status: router.SendStale})
		return
	}
	now := time.Now()
	conn, fresh := d.sends.take(now, a.Instance.Address, a.Patience)
	if !now.Before(a.Before) {
		conn.Close()
		d.sent(a, router.SendResult{Status: router.SendStale})
		return
	}
	ended := make(chan router.SendResult, 1)
	go conn.Do(req, func(res *http.Response, err error) {
		ended <- sendResult(a, res, err, fresh, time.Since(now))
	})
	timer := time.NewTimer(a.Timeout)
	defer timer.Stop()
	select {
	case r := <-ended:
		if r.Status == router.SendAnswered || r.Status == router.SendRefused {
			d.sends.put(time.Now(), a.Instance.Address, conn)
		} else {
			conn.Close()
		}
		d.sent(a, r)
	case <-timer.C:
		d.sends.doubt(a.Instance.Address, now)
		d.sent(a, router.SendResult{Status: router.SendTimeout, Fresh: fresh})
		late := time.NewTimer(a.GiveUp - a.Timeout)
		defer late.Stop()
		select {
		case <-ended:
		case <-late.C:
		}
		conn.Close()
		d.sent(a, router.SendResult{Status: router.SendTimeout})
	}
}

func (d *Daemon) sent(a router.Send, res router.SendResult) {
	d.metrics.attempt(a, res)
	d.pushRequests(func(now time.Time, r *router.Router) []router.Action { return r.Sent(now, a.Attempt, res) })
}

func upstreamRequest(a router.Send, body []byte) (*http.Request, error) {
	url := fmt.Sprintf("http://%s/%s", a.Instance.Address, a.Request.Kind)
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", a.Instance.ID, err)
	}
	req.Header.Set(headerRequest, strconv.FormatUint(a.Attempt, 10))
	req.Header.Set(headerTrade, a.Request.Trade)
	if a.Request.Key != "" {
		req.Header.Set(headerKey, a.Request.Key)
	}
	return req, nil
}

// sendResult tells what the end of an exchange means.
func sendResult(a router.Send, res *http.Response, err error, fresh bool, took time.Duration) router.SendResult {
	out := router.SendResult{Fresh: fresh, Took: took}
	switch {
	case httpclient.IsDial(err):
		out.Status = router.SendUnconnected
		return out
	case err != nil:
		out.Status = router.SendBroken
		return out
	case res.Header.Get(headerOutcome) == bamboofall.OutcomeNotRun.String():
		out.Status = router.SendRefused
		return out
	}
	// An upstream may repeat the mark of the request. If it is another one, the
	// answer is not ours.
	mark := res.Header.Get(headerRequest)
	if mark != "" && mark != strconv.FormatUint(a.Attempt, 10) {
		out.Status = router.SendBroken
		return out
	}
	body, err := io.ReadAll(res.Body)
	if err != nil || !whole(res, body) {
		out.Status = router.SendBroken
		return out
	}
	out.Status = router.SendAnswered
	out.Answer = &idempotency.Answer{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body}
	return out
}

// whole reports whether the body has the length that the answer declares.
func whole(res *http.Response, body []byte) bool {
	declared := res.Header.Get("Content-Length")
	return declared == "" || declared == strconv.Itoa(len(body))
}
