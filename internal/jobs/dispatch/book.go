package dispatch

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// maxBatchOrders is the maximum number of orders in a batch. A batch with large
	// payloads then has a few hundred kilobytes.
	maxBatchOrders = 256
	// maxUnackedBatches is the maximum number of unacknowledged batches per relay.
	// With only one, an order would wait for a round trip between data centres.
	maxUnackedBatches = 2
	// maxQueuedOrders is the maximum number of orders queued per relay: half a
	// second of orders at twice the rate that the relay with the largest capacity
	// handles.
	maxQueuedOrders = 1024
	// resultMargin is the time allowed for a result to arrive after the order
	// itself has timed out.
	resultMargin = 300 * time.Millisecond
	// unresponsiveAfter is how long a relay may return no results, although some
	// are due, before it counts as unresponsive.
	unresponsiveAfter = 600 * time.Millisecond
	// lateResultRetention is how long after its timeout an abandoned order is kept,
	// so that a late result can still be matched to it.
	lateResultRetention = 5 * time.Second
)

// trackedOrder is an order that is queued for a relay or was sent to it.
type trackedOrder[T any] struct {
	id    uint64
	order T
	relay netip.AddrPort
	// sentAt is when the order was put into a batch.
	sentAt time.Time
	// workerWait is how long the worker may delay its answer.
	workerWait time.Duration
}

// Order is an order in a batch, with its ID in the book.
type Order[T any] struct {
	// ID identifies the order in its result.
	ID    uint64
	Order T
}

// relayState holds the queue and the counts of a relay.
type relayState[T any] struct {
	// queued holds the orders that are not in a batch yet.
	queued []*trackedOrder[T]
	// unackedBatches is the number of batches without an acknowledgement.
	unackedBatches int
	// lastResult is when the relay last returned a result. silentSince is the same
	// time, or when the relay got an order while it had none in flight, if that was
	// later.
	lastResult, silentSince time.Time
	// inFlight is the number of orders that were sent and have no result.
	inFlight int
}

// Book tracks the orders that are sent through relays. Create one with NewBook.
type Book[T any] struct {
	// orderTimeout is how long a relay tries to deliver an order, not counting the
	// time for which the worker may delay its answer.
	orderTimeout time.Duration
	// lastID is the ID of the newest order.
	lastID uint64
	relays map[netip.AddrPort]*relayState[T]
	// inFlight holds the orders that were sent and have no result, abandoned those
	// that were given up but may still get a late result.
	inFlight  map[uint64]*trackedOrder[T]
	abandoned map[uint64]*trackedOrder[T]
}

// NewBook returns an empty book. A relay tries to deliver an order for orderTimeout
// plus the time for which the worker may delay its answer.
func NewBook[T any](orderTimeout time.Duration) *Book[T] {
	return &Book[T]{
		orderTimeout: orderTimeout, relays: make(map[netip.AddrPort]*relayState[T]),
		inFlight: make(map[uint64]*trackedOrder[T]), abandoned: make(map[uint64]*trackedOrder[T]),
	}
}

// Add queues an order for a relay. Wait is how long the worker may delay its
// answer. Add returns false if the relay's queue is full.
func (b *Book[T]) Add(relay netip.AddrPort, order T, wait time.Duration) bool {
	r := b.relays[relay]
	if r == nil {
		r = &relayState[T]{}
		b.relays[relay] = r
	}
	if len(r.queued) >= maxQueuedOrders {
		return false
	}
	b.lastID++
	r.queued = append(r.queued, &trackedOrder[T]{id: b.lastID, order: order, relay: relay, workerWait: wait})
	return true
}

// Ready returns the relays that have queued orders and can be sent another batch,
// in the order of their addresses.
func (b *Book[T]) Ready() []netip.AddrPort {
	var ready []netip.AddrPort
	for relay, r := range b.relays {
		if len(r.queued) > 0 && r.unackedBatches < maxUnackedBatches {
			ready = append(ready, relay)
		}
	}
	slices.SortFunc(ready, netip.AddrPort.Compare)
	return ready
}

// Withheld is an order that was removed from the queue without being sent, and the
// reason.
type Withheld[T any] struct {
	Order T
	Err   error
}

// Batch removes the next batch from the queue of a relay. Orders for which withhold
// returns an error are returned as withheld instead. A non-empty batch counts as
// unacknowledged until Acknowledged is called.
func (b *Book[T]) Batch(now time.Time, relay netip.AddrPort, withhold func(T) error) (batch []Order[T], withheld []Withheld[T]) {
	r := b.relays[relay]
	taken := 0
	for _, o := range r.queued {
		if len(batch) == maxBatchOrders {
			break
		}
		taken++
		if err := withhold(o.order); err != nil {
			withheld = append(withheld, Withheld[T]{o.order, err})
			continue
		}
		o.sentAt = now
		b.inFlight[o.id] = o
		if r.inFlight == 0 {
			r.silentSince = now
		}
		r.inFlight++
		batch = append(batch, Order[T]{o.id, o.order})
	}
	r.queued = slices.Delete(r.queued, 0, taken)
	if len(batch) > 0 {
		r.unackedBatches++
	}
	return batch, withheld
}

// Acknowledged records that the call that sent a batch has ended, successfully or
// not.
func (b *Book[T]) Acknowledged(relay netip.AddrPort) {
	if r := b.relays[relay]; r != nil && r.unackedBatches > 0 {
		r.unackedBatches--
	}
}

// NotSent stops tracking the orders of a batch that certainly did not reach its
// relay, and returns those that were still in flight.
func (b *Book[T]) NotSent(batch []Order[T]) []T {
	var returned []T
	for _, order := range batch {
		if o := b.inFlight[order.ID]; o != nil {
			b.removeInFlight(o)
			returned = append(returned, o.order)
		}
	}
	return returned
}

func (b *Book[T]) removeInFlight(o *trackedOrder[T]) {
	delete(b.inFlight, o.id)
	b.relays[o.relay].inFlight--
}

// ResultStatus says whether a result belongs to an order that is in flight.
type ResultStatus uint8

// Values of ResultStatus.
const (
	// Unwanted means that the order is unknown or already has its result.
	Unwanted ResultStatus = iota
	// Wanted means that the order was in flight.
	Wanted
	// Late means that the order was abandoned before its result arrived.
	Late
)

// Result records the result of an order and returns the order. The order is the
// zero value if the result is unwanted.
func (b *Book[T]) Result(now time.Time, id uint64) (T, ResultStatus) {
	status := Wanted
	o := b.inFlight[id]
	if o == nil {
		status = Late
		o = b.abandoned[id]
	}
	if o == nil {
		var none T
		return none, Unwanted
	}
	r := b.relays[o.relay]
	r.lastResult, r.silentSince = now, now
	if status == Wanted {
		b.removeInFlight(o)
	} else {
		delete(b.abandoned, id)
	}
	return o.order, status
}

// Alive reports whether a relay has returned a result within unresponsiveAfter.
func (b *Book[T]) Alive(now time.Time, relay netip.AddrPort) bool {
	r := b.relays[relay]
	return r != nil && now.Sub(r.lastResult) <= unresponsiveAfter
}

// GiveUp abandons an order and reports whether it was in flight. A late result is
// still matched to it.
func (b *Book[T]) GiveUp(id uint64) bool {
	o := b.inFlight[id]
	if o != nil {
		b.abandon(o)
	}
	return o != nil
}

// Overdue abandons the orders whose results are overdue, and returns them. Late
// results are still matched to them.
func (b *Book[T]) Overdue(now time.Time) []T {
	var overdue []T
	for _, id := range slices.Sorted(maps.Keys(b.inFlight)) {
		o := b.inFlight[id]
		if now.Sub(o.sentAt) > o.workerWait+b.orderTimeout+resultMargin {
			b.abandon(o)
			overdue = append(overdue, o.order)
		}
	}
	maps.DeleteFunc(b.abandoned, func(_ uint64, o *trackedOrder[T]) bool {
		return now.Sub(o.sentAt) > o.workerWait+b.orderTimeout+lateResultRetention
	})
	return overdue
}

func (b *Book[T]) abandon(o *trackedOrder[T]) {
	b.removeInFlight(o)
	b.abandoned[o.id] = o
}

// Quiet returns the relays that have returned no result for longer than
// unresponsiveAfter although one was due, in the order of their addresses.
func (b *Book[T]) Quiet(now time.Time) []netip.AddrPort {
	quiet := make(map[netip.AddrPort]bool)
	for _, o := range b.inFlight {
		if now.Sub(o.sentAt) > o.workerWait+unresponsiveAfter && now.Sub(b.relays[o.relay].silentSince) > unresponsiveAfter {
			quiet[o.relay] = true
		}
	}
	return slices.SortedFunc(maps.Keys(quiet), netip.AddrPort.Compare)
}

// Lost removes all orders of a relay that failed. It returns the orders that were
// not sent and those that were sent and may have been executed; late results of the
// latter are still matched.
func (b *Book[T]) Lost(relay netip.AddrPort) (unsent, sent []T) {
	r := b.relays[relay]
	if r == nil {
		return nil, nil
	}
	for _, o := range r.queued {
		unsent = append(unsent, o.order)
	}
	r.queued = nil
	for _, id := range slices.Sorted(maps.Keys(b.inFlight)) {
		if o := b.inFlight[id]; o.relay == relay {
			b.abandon(o)
			sent = append(sent, o.order)
		}
	}
	return unsent, sent
}

// Open returns the number of orders that are queued and the number that are in
// flight.
func (b *Book[T]) Open() (waiting, sent int) {
	for _, r := range b.relays {
		waiting += len(r.queued)
	}
	return waiting, len(b.inFlight)
}
