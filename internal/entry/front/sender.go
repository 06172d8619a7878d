package front

import (
	"sync"
	"sync/atomic"
	"time"

	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// maxConcurrentSends bounds the orders that are being encoded and written at a time, so
// that the owner's loop keeps its share of the processor and urgent orders do not
// wait behind a burst. Orders that wait for a connection or an answer do not count:
// they cost nothing, and a data centre that is cut off holds hundreds for 0.4 s.
const maxConcurrentSends = 8

// urgency is how soon an order must leave, most urgent first.
type urgency int

const (
	// urgencyRenewOrStop ends runs, and keeps those that run from losing their lease.
	urgencyRenewOrStop urgency = iota
	urgencyStart
	// urgencyPollOrPace is for what is ordered again if it comes to nothing.
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
	// decidedAt is when the cell decidedAt on it, queuedAt the same on the clock of delays.
	decidedAt, queuedAt time.Time
	// sentAt is when the bytes of the order left, once they have.
	sentAt atomic.Pointer[time.Time]
}

// orderSender sends orders, the most urgent first. Use newSender.
type orderSender struct {
	// send sends an order and calls left once it waits for the other side, or ends.
	// It calls it at least once.
	send func(q *queuedOrder, releaseSlot func())

	mu      sync.Mutex
	queues  [urgencyCount][]*queuedOrder
	sending int
}

func newOrderSender(send func(q *queuedOrder, releaseSlot func())) *orderSender {
	return &orderSender{send: send}
}

// add queues an order. It does not wait.
func (s *orderSender) add(q *queuedOrder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := urgencyOf(&q.Order)
	s.queues[u] = append(s.queues[u], q)
	s.startSends()
}

// startSends lets orders leave while there is room. The lock must be held.
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

// popMostUrgent takes the most urgent order off its queue.
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

// queueLength returns the number of orders that have not begun to leave.
func (s *orderSender) queueLength() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, queue := range s.queues {
		n += len(queue)
	}
	return n
}
