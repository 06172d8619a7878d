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

// Order is an order in a batch, with its ID in the tracker.
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

// Tracker tracks the orders that are sent through relays. Create one with NewTracker.
type Tracker[T any] struct {
	// orderTimeout is how long a relay tries to deliver an order, not counting the
	// time for which the worker may delay its answer.
	orderTimeout time.Duration
	// lastID is the ID of the newest order.
	lastID uint64
	relays map[netip.AddrPort]*relayState[T]
	// inFlight holds the orders that were sent and have no result, abandoned those
	// that were abandoned but may still get a late result.
	inFlight  map[uint64]*trackedOrder[T]
	abandoned map[uint64]*trackedOrder[T]
}

// NewTracker returns an empty tracker. A relay tries to deliver an order for orderTimeout
// plus the time for which the worker may delay its answer.
func NewTracker[T any](orderTimeout time.Duration) *Tracker[T] {
	return &Tracker[T]{
		orderTimeout: orderTimeout, relays: make(map[netip.AddrPort]*relayState[T]),
		inFlight: make(map[uint64]*trackedOrder[T]), abandoned: make(map[uint64]*trackedOrder[T]),
	}
}

// Add queues an order for a relay. Wait is how long the worker may delay its
// answer. Add returns false if the relay's queue is full.
func (t *Tracker[T]) Add(relay netip.AddrPort, order T, wait time.Duration) bool {
	r := t.relays[relay]
	if r == nil {
		r = &relayState[T]{}
		t.relays[relay] = r
	}
	if len(r.queued) >= maxQueuedOrders {
		return false
	}
	t.lastID++
	r.queued = append(r.queued, &trackedOrder[T]{id: t.lastID, order: order, relay: relay, workerWait: wait})
	return true
}

// Ready returns the relays that have queued orders and can be sent another batch,
// in the order of their addresses.
func (t *Tracker[T]) Ready() []netip.AddrPort {
	var ready []netip.AddrPort
	for relay, r := range t.relays {
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
func (t *Tracker[T]) Batch(now time.Time, relay netip.AddrPort, withhold func(T) error) (batch []Order[T], withheld []Withheld[T]) {
	r := t.relays[relay]
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
		t.inFlight[o.id] = o
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

// BatchAcknowledged records that the call that sent a batch has ended, successfully or
// not.
func (t *Tracker[T]) BatchAcknowledged(relay netip.AddrPort) {
	if r := t.relays[relay]; r != nil && r.unackedBatches > 0 {
		r.unackedBatches--
	}
}

// RevertBatch stops tracking the orders of a batch that certainly did not reach its
// relay, and returns those that were still in flight.
func (t *Tracker[T]) RevertBatch(batch []Order[T]) []T {
	var returned []T
	for _, order := range batch {
		if o := t.inFlight[order.ID]; o != nil {
			t.removeInFlight(o)
			returned = append(returned, o.order)
		}
	}
	return returned
}

func (t *Tracker[T]) removeInFlight(o *trackedOrder[T]) {
	delete(t.inFlight, o.id)
	t.relays[o.relay].inFlight--
}

// ResultStatus says whether a result belongs to an order that is in flight.
type ResultStatus uint8

// Values of ResultStatus.
const (
	// ResultUnwanted means that the order is unknown or already has its result.
	ResultUnwanted ResultStatus = iota
	// ResultExpected means that the order was in flight.
	ResultExpected
	// ResultLate means that the order was abandoned before its result arrived.
	ResultLate
)

// Result records the result of an order and returns the order. The order is the
// zero value if the status is ResultUnwanted.
func (t *Tracker[T]) Result(now time.Time, id uint64) (T, ResultStatus) {
	status := ResultExpected
	o := t.inFlight[id]
	if o == nil {
		status = ResultLate
		o = t.abandoned[id]
	}
	if o == nil {
		var none T
		return none, ResultUnwanted
	}
	r := t.relays[o.relay]
	r.lastResult, r.silentSince = now, now
	if status == ResultExpected {
		t.removeInFlight(o)
	} else {
		delete(t.abandoned, id)
	}
	return o.order, status
}

// Alive reports whether a relay has returned a result within unresponsiveAfter.
func (t *Tracker[T]) Alive(now time.Time, relay netip.AddrPort) bool {
	r := t.relays[relay]
	return r != nil && now.Sub(r.lastResult) <= unresponsiveAfter
}

// Abandon abandons an order and reports whether it was in flight. A late result is
// still matched to it.
func (t *Tracker[T]) Abandon(id uint64) bool {
	o := t.inFlight[id]
	if o != nil {
		t.abandon(o)
	}
	return o != nil
}

// AbandonOverdue abandons the orders whose results are overdue, and returns them. Late
// results are still matched to them. It also removes the state of unused relays.
func (t *Tracker[T]) AbandonOverdue(now time.Time) []T {
	var overdue []T
	for _, id := range slices.Sorted(maps.Keys(t.inFlight)) {
		o := t.inFlight[id]
		if now.Sub(o.sentAt) > o.workerWait+t.orderTimeout+resultMargin {
			t.abandon(o)
			overdue = append(overdue, o.order)
		}
	}
	maps.DeleteFunc(t.abandoned, func(_ uint64, o *trackedOrder[T]) bool {
		return now.Sub(o.sentAt) > o.workerWait+t.orderTimeout+lateResultRetention
	})
	t.removeUnusedRelays(now)
	return overdue
}

// removeUnusedRelays removes the relays that have no orders or batches and whose last
// result is too old to matter.
func (t *Tracker[T]) removeUnusedRelays(now time.Time) {
	abandoned := make(map[netip.AddrPort]bool)
	for _, o := range t.abandoned {
		abandoned[o.relay] = true
	}
	maps.DeleteFunc(t.relays, func(relay netip.AddrPort, r *relayState[T]) bool {
		return len(r.queued) == 0 && r.unackedBatches == 0 && r.inFlight == 0 && !abandoned[relay] && !t.Alive(now, relay)
	})
}

func (t *Tracker[T]) abandon(o *trackedOrder[T]) {
	t.removeInFlight(o)
	t.abandoned[o.id] = o
}

// Unresponsive returns the relays that have returned no result for longer than
// unresponsiveAfter although one was due, in the order of their addresses.
func (t *Tracker[T]) Unresponsive(now time.Time) []netip.AddrPort {
	unresponsive := make(map[netip.AddrPort]bool)
	for _, o := range t.inFlight {
		if now.Sub(o.sentAt) > o.workerWait+unresponsiveAfter && now.Sub(t.relays[o.relay].silentSince) > unresponsiveAfter {
			unresponsive[o.relay] = true
		}
	}
	return slices.SortedFunc(maps.Keys(unresponsive), netip.AddrPort.Compare)
}

// RemoveOrders removes all orders of a relay that failed. It returns the orders that were
// not sent and those that were sent and may have been executed; late results of the
// latter are still matched.
func (t *Tracker[T]) RemoveOrders(relay netip.AddrPort) (unsent, sent []T) {
	r := t.relays[relay]
	if r == nil {
		return nil, nil
	}
	for _, o := range r.queued {
		unsent = append(unsent, o.order)
	}
	r.queued = nil
	for _, id := range slices.Sorted(maps.Keys(t.inFlight)) {
		if o := t.inFlight[id]; o.relay == relay {
			t.abandon(o)
			sent = append(sent, o.order)
		}
	}
	return unsent, sent
}

// Open returns the number of orders that are queued and the number that are in
// flight.
func (t *Tracker[T]) Open() (waiting, sent int) {
	for _, r := range t.relays {
		waiting += len(r.queued)
	}
	return waiting, len(t.inFlight)
}
