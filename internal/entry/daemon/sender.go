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

// HTTP headers between callers, entry VMs and upstreams.
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

// exchangeTimeout bounds an exchange on a connection.
const exchangeTimeout = 15 * time.Minute

// upstreamPools holds the connections to the upstream instances, by address.
type upstreamPools struct {
	engine *httpclient.Engine
	mu     sync.Mutex
	pools  map[netip.AddrPort]*connpool.Pool[*httpclient.Conn]
}

func (s *upstreamPools) init(e *httpclient.Engine) {
	s.engine = e
	s.pools = make(map[netip.AddrPort]*connpool.Pool[*httpclient.Conn])
}

func (s *upstreamPools) pool(to netip.AddrPort) *connpool.Pool[*httpclient.Conn] {
	p := s.pools[to]
	if p == nil {
		p = &connpool.Pool[*httpclient.Conn]{}
		s.pools[to] = p
	}
	return p
}

// take returns an idle connection, or a new one if there is none or if no idle one
// has answered for maxUnanswered while requests were sent. It reports whether the
// connection is new.
func (s *upstreamPools) take(now time.Time, to netip.AddrPort, maxUnanswered time.Duration) (*httpclient.Conn, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn, ok, expired := s.pool(to).Take(now, maxUnanswered)
	for _, c := range expired {
		c.Close()
	}
	if ok {
		return conn, false
	}
	return s.engine.NewConn(exchangeTimeout), true
}

func (s *upstreamPools) put(now time.Time, to netip.AddrPort, c *httpclient.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool(to).Put(now, c)
}

// closeSuspect closes the connections that may be dead because a request sent on
// another one at the given time got no response.
func (s *upstreamPools) closeSuspect(to netip.AddrPort, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.pool(to).RemoveUnansweredSince(sent) {
		c.Close()
	}
}

// startSend starts to send a request to an instance. Its result goes to the request
// loop. After a time-out, a second result follows when the exchange has ended or
// the instance has given up for certain.
func (d *Daemon) startSend(a router.Send) {
	pending := d.pendingCalls.get(a.Request.ID)
	if pending == nil {
		go d.sendDone(a, router.SendResult{Status: router.SendNotAttempted})
		return
	}
	go d.send(a, pending.body)
}

func (d *Daemon) send(a router.Send, body []byte) {
	req, err := upstreamRequest(a, body)
	if err != nil {
		d.sendDone(a, router.SendResult{Status: router.SendNotAttempted})
		return
	}
	now := time.Now()
	conn, fresh := d.upstreams.take(now, a.Instance.Address, a.StallTimeout)
	if !now.Before(a.NotAfter) {
		conn.Close()
		d.sendDone(a, router.SendResult{Status: router.SendNotAttempted})
		return
	}
	result := make(chan router.SendResult, 1)
	go conn.Do(req, func(res *http.Response, err error) {
		result <- sendResult(a, res, err, fresh, time.Since(now))
	})
	timer := time.NewTimer(a.Timeout)
	defer timer.Stop()
	select {
	case r := <-result:
		if r.Status == router.SendAnswered || r.Status == router.SendRefused {
			d.upstreams.put(time.Now(), a.Instance.Address, conn)
		} else {
			conn.Close()
		}
		d.sendDone(a, r)
	case <-timer.C:
		d.upstreams.closeSuspect(a.Instance.Address, now)
		d.sendDone(a, router.SendResult{Status: router.SendTimeout, Fresh: fresh})
		maxWait := time.NewTimer(a.MaxWait - a.Timeout)
		defer maxWait.Stop()
		select {
		case <-result:
		case <-maxWait.C:
		}
		conn.Close()
		// The attempt was counted when it timed out.
		d.reportSent(a, router.SendResult{Status: router.SendTimeout})
	}
}

// sendDone counts the result of an attempt and reports it.
func (d *Daemon) sendDone(a router.Send, res router.SendResult) {
	d.metrics.recordFailedAttempt(a, res)
	d.reportSent(a, res)
}

// reportSent passes the result of an attempt to the request loop.
func (d *Daemon) reportSent(a router.Send, res router.SendResult) {
	d.pushToRequestLoop(func(now time.Time, r *router.Router) []router.Action { return r.Sent(now, a.Attempt, res) })
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

// sendResult converts the end of an exchange into the attempt's result.
func sendResult(a router.Send, res *http.Response, err error, fresh bool, took time.Duration) router.SendResult {
	out := router.SendResult{Fresh: fresh, Took: took}
	switch {
	case httpclient.IsNotSent(err):
		out.Status = router.SendConnectFailed
		return out
	case err != nil:
		out.Status = router.SendBroken
		return out
	case res.Header.Get(headerOutcome) == bamboofall.OutcomeNotRun.String():
		out.Status = router.SendRefused
		return out
	}
	// An upstream may echo the request id. A different id means that the response
	// belongs to another request.
	requestID := res.Header.Get(headerRequest)
	if requestID != "" && requestID != strconv.FormatUint(a.Attempt, 10) {
		out.Status = router.SendBroken
		return out
	}
	body, err := io.ReadAll(res.Body)
	if err != nil || !bodyComplete(res, body) {
		out.Status = router.SendBroken
		return out
	}
	out.Status = router.SendAnswered
	out.Answer = &idempotency.Answer{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body}
	return out
}

// bodyComplete reports whether the body has the length that the response declares.
func bodyComplete(res *http.Response, body []byte) bool {
	declared := res.Header.Get("Content-Length")
	return declared == "" || declared == strconv.Itoa(len(body))
}
