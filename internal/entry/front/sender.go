package front

import (
	"sync"
	"time"

	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// sendersAtOnce bounds the orders that are being encoded and written at a time, so
// that the owner's loop keeps its share of the processor and urgent orders do not
// wait behind a burst. Orders that wait for a connection or an answer do not count:
// they cost nothing, and a data centre that is cut off holds hundreds for 0.4 s.
const sendersAtOnce = 8

// urgency is how soon an order must leave, most urgent first.
type urgency int

const (
	// urgentKeep ends runs, and keeps those that run from losing their lease.
	urgentKeep urgency = iota
	urgentStart
	// urgentAsk is for what is ordered again if it comes to nothing.
	urgentAsk
	urgencies
)

func urgencyOf(o *cell.Order) urgency {
	switch {
	case o.Kind == cell.OrderStop, o.Kind == cell.OrderHold && o.Hold.LeaseUntil > 0:
		return urgentKeep
	case o.Kind == cell.OrderStart:
		return urgentStart
	}
	return urgentAsk
}

// queuedOrder is an order on its way to its worker.
type queuedOrder struct {
	cell.Order
	// decided is when the cell decided on it, handed the same on the clock of delays.
	decided, handed time.Time
}

// sender sends orders, the most urgent first. Use newSender.
type sender struct {
	// send sends an order and calls left once it waits for the other side, or ends.
	// It calls it at least once.
	send func(q *queuedOrder, left func())

	mu      sync.Mutex
	queues  [urgencies][]*queuedOrder
	leaving int
}

func newSender(send func(q *queuedOrder, left func())) *sender { return &sender{send: send} }

// add queues an order. It does not wait.
func (s *sender) add(q *queuedOrder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := urgencyOf(&q.Order)
	s.queues[u] = append(s.queues[u], q)
	s.pump()
}

// pump lets orders leave while there is room. The lock must be held.
func (s *sender) pump() {
	for s.leaving < sendersAtOnce {
		q := s.next()
		if q == nil {
			return
		}
		s.leaving++
		go s.send(q, sync.OnceFunc(func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.leaving--
			s.pump()
		}))
	}
}

// next takes the most urgent order off its queue.
func (s *sender) next() *queuedOrder {
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

// waiting returns the number of orders that have not begun to leave.
func (s *sender) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, queue := range s.queues {
		n += len(queue)
	}
	return n
}
