package front

import (
	"sync"
	"sync/atomic"
	"time"

	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// maxConcurrentSends is the maximum number of orders that are encoded and written
// concurrently, so that the owner's loop gets its share of the processor and urgent
// orders do not queue behind a burst. Orders that wait for a connection or a response do
// not count: they use no processor time, and an unreachable data centre keeps hundreds
// of them waiting for 0.4 s.
const maxConcurrentSends = 8

// urgency is the priority of an order in the send queue. Lower values are sent first.
type urgency int

const (
	// urgencyRenewOrStop is for orders that renew leases or stop runs.
	urgencyRenewOrStop urgency = iota
	urgencyStart
	// urgencyPollOrPace is for orders that the cell issues again if they fail.
	urgencyPollOrPace
	urgencyCount
)

func urgencyOf(o *cell.Order) urgency {
	switch {
	case o.Kind == cell.OrderStop, o.Kind == cell.OrderHold && o.Hold.LeaseUntil > 0:
		return urgencyRenewOrStop
	case o.Kind == cell.OrderStart:
		return urgencyStart
	}
	return urgencyPollOrPace
}

// queuedOrder is an order on its way to its worker.
type queuedOrder struct {
	cell.Order
	// decidedAt is when the cell issued the order, by the clock that includes
	// suspension, and queuedAt the same moment by Go's monotonic clock, from which
	// delays are measured.
	decidedAt, queuedAt time.Time
	// sentAt is when the bytes of the order were written, or nil.
	sentAt atomic.Pointer[time.Time]
}

// orderSender sends the owner's direct orders in order of urgency. Use newOrderSender.
type orderSender struct {
	// send executes an order. It calls releaseSlot at least once: when the order only
	// waits for a connection or a response, or has ended.
	send func(q *queuedOrder, releaseSlot func())

	mu sync.Mutex
	// queues holds the orders that wait, and sending is the number of orders that are
	// being encoded and written.
	queues  [urgencyCount][]*queuedOrder
	sending int
}

func newOrderSender(send func(q *queuedOrder, releaseSlot func())) *orderSender {
	return &orderSender{send: send}
}

// add queues an order without blocking.
func (s *orderSender) add(q *queuedOrder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := urgencyOf(&q.Order)
	s.queues[u] = append(s.queues[u], q)
	s.startSends()
}

// startSends starts queued orders while fewer than maxConcurrentSends are being sent.
// The caller holds the lock.
func (s *orderSender) startSends() {
	for s.sending < maxConcurrentSends {
		q := s.popMostUrgent()
		if q == nil {
			return
		}
		s.sending++
		go s.send(q, sync.OnceFunc(func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.sending--
			s.startSends()
		}))
	}
}

// popMostUrgent removes and returns the most urgent order, or nil if none is queued.
func (s *orderSender) popMostUrgent() *queuedOrder {
	for u := range s.queues {
		if queue := s.queues[u]; len(queue) > 0 {
			q := queue[0]
			queue[0] = nil
			s.queues[u] = queue[1:]
			return q
		}
	}
	return nil
}

// queueLength returns the number of orders whose sending has not started.
func (s *orderSender) queueLength() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, queue := range s.queues {
		n += len(queue)
	}
	return n
}
