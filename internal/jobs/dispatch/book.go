package dispatch

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// batchOrders bounds the orders of a batch: with large payloads it is a few
	// hundred kilobytes.
	batchOrders = 256
	// batchesUnderWay bounds the batches at a relay that are not acknowledged: with
	// one, an order would wait for a round trip between data centres.
	batchesUnderWay = 2
	// queueOrders bounds the orders that wait for a relay: those of half a second
	// at twice what the strongest relay carries.
	queueOrders = 1024
	// resultTime is what a result may take beyond the time of the order itself.
	resultTime = 300 * time.Millisecond
	// quietFor is how long a relay may give no result though one is due.
	quietFor = 600 * time.Millisecond
	// lateFor is how long a result that was given up may still be used.
	lateFor = 5 * time.Second
)

// entry is an order that a relay has or is to get.
type entry[T any] struct {
	id    uint64
	order T
	relay netip.AddrPort
	// sent is when the batch was made.
	sent time.Time
	wait time.Duration
}

// Order is an order with its number.
type Order[T any] struct {
	ID    uint64
	Order T
}

type link[T any] struct {
	queue []*entry[T]
	// underWay is the number of batches that are not acknowledged.
	underWay int
	// heard is when the relay last gave a result. quietSince is the same, or when it
	// got an order while it had none.
	heard, quietSince time.Time
	open              int
}

// Book keeps the orders that relays carry. Use NewBook.
type Book[T any] struct {
	limit time.Duration
	next  uint64
	links map[netip.AddrPort]*link[T]
	open  map[uint64]*entry[T]
	late  map[uint64]*entry[T]
}

// NewBook returns an empty book. Limit is how long a relay tries to carry an order
// out, beyond the time for which the worker may wait.
func NewBook[T any](limit time.Duration) *Book[T] {
	return &Book[T]{
		limit: limit, links: make(map[netip.AddrPort]*link[T]),
		open: make(map[uint64]*entry[T]), late: make(map[uint64]*entry[T]),
	}
}

// Add queues an order for a relay. The worker may wait for a time before it
// answers. Add reports false if too many orders wait.
func (b *Book[T]) Add(relay netip.AddrPort, order T, wait time.Duration) bool {
	l := b.links[relay]
	if l == nil {
		l = &link[T]{}
		b.links[relay] = l
	}
	if len(l.queue) >= queueOrders {
		return false
	}
	b.next++
	l.queue = append(l.queue, &entry[T]{id: b.next, order: order, relay: relay, wait: wait})
	return true
}

// Ready returns the relays that can take a batch for which orders wait.
func (b *Book[T]) Ready() []netip.AddrPort {
	var ready []netip.AddrPort
	for relay, l := range b.links {
		if len(l.queue) > 0 && l.underWay < batchesUnderWay {
			ready = append(ready, relay)
		}
	}
	slices.SortFunc(ready, netip.AddrPort.Compare)
	return ready
}

// Withheld is an order that is not sent.
type Withheld[T any] struct {
	Order T
	Err   error
}

// Batch takes the next batch for a relay. Orders for which withhold returns an
// error are not in it. The batch is under way until it is acknowledged.
func (b *Book[T]) Batch(now time.Time, relay netip.AddrPort, withhold func(T) error) (batch []Order[T], withheld []Withheld[T]) {
	l := b.links[relay]
	taken := 0
	for _, e := range l.queue {
		if len(batch) == batchOrders {
			break
		}
		taken++
		if err := withhold(e.order); err != nil {
			withheld = append(withheld, Withheld[T]{e.order, err})
			continue
		}
		e.sent = now
		b.open[e.id] = e
		if l.open == 0 {
			l.quietSince = now
		}
		l.open++
		batch = append(batch, Order[T]{e.id, e.order})
	}
	l.queue = slices.Delete(l.queue, 0, taken)
	if len(batch) > 0 {
		l.underWay++
	}
	return batch, withheld
}

// Acknowledged takes over that a call with a batch has ended.
func (b *Book[T]) Acknowledged(relay netip.AddrPort) {
	if l := b.links[relay]; l != nil && l.underWay > 0 {
		l.underWay--
	}
}

// NotSent takes back the orders of a batch that certainly did not reach its relay.
func (b *Book[T]) NotSent(batch []Order[T]) []T {
	var back []T
	for _, o := range batch {
		if e := b.open[o.ID]; e != nil {
			b.close(e)
			back = append(back, e.order)
		}
	}
	return back
}

func (b *Book[T]) close(e *entry[T]) {
	delete(b.open, e.id)
	b.links[e.relay].open--
}

// Verdict says how a result counts.
type Verdict uint8

// The verdicts.
const (
	// Unwanted means that the order is not known or has its result.
	Unwanted Verdict = iota
	// Wanted means that the order was waiting for the result.
	Wanted
	// Late means that the order was given up before.
	Late
)

// Result takes over that the result of an order has come.
func (b *Book[T]) Result(now time.Time, id uint64) (T, Verdict) {
	verdict := Wanted
	e := b.open[id]
	if e == nil {
		verdict = Late
		e = b.late[id]
	}
	if e == nil {
		var none T
		return none, Unwanted
	}
	l := b.links[e.relay]
	l.heard, l.quietSince = now, now
	if verdict == Wanted {
		b.close(e)
	} else {
		delete(b.late, id)
	}
	return e.order, verdict
}

// Alive reports whether a relay has given a result lately.
func (b *Book[T]) Alive(now time.Time, relay netip.AddrPort) bool {
	l := b.links[relay]
	return l != nil && now.Sub(l.heard) <= quietFor
}

// GiveUp gives up an order, and reports whether it was waiting for its result. The
// result may still come late.
func (b *Book[T]) GiveUp(id uint64) bool {
	e := b.open[id]
	if e != nil {
		b.giveUp(e)
	}
	return e != nil
}

// Overdue gives up the orders whose result should have come, and returns them.
// Their results may still come late.
func (b *Book[T]) Overdue(now time.Time) []T {
	var overdue []T
	for _, id := range slices.Sorted(maps.Keys(b.open)) {
		e := b.open[id]
		if now.Sub(e.sent) > e.wait+b.limit+resultTime {
			b.giveUp(e)
			overdue = append(overdue, e.order)
		}
	}
	maps.DeleteFunc(b.late, func(_ uint64, e *entry[T]) bool {
		return now.Sub(e.sent) > e.wait+b.limit+lateFor
	})
	return overdue
}

func (b *Book[T]) giveUp(e *entry[T]) {
	b.close(e)
	b.late[e.id] = e
}

// Quiet returns the relays that have given no result for a while though one was
// due.
func (b *Book[T]) Quiet(now time.Time) []netip.AddrPort {
	quiet := make(map[netip.AddrPort]bool)
	for _, e := range b.open {
		if now.Sub(e.sent) > e.wait+quietFor && now.Sub(b.links[e.relay].quietSince) > quietFor {
			quiet[e.relay] = true
		}
	}
	return slices.SortedFunc(maps.Keys(quiet), netip.AddrPort.Compare)
}

// Lost takes the orders back from a relay that failed: those that were not sent,
// and those that may have been carried out. Results of the latter may still come
// late.
func (b *Book[T]) Lost(relay netip.AddrPort) (unsent, sent []T) {
	l := b.links[relay]
	if l == nil {
		return nil, nil
	}
	for _, e := range l.queue {
		unsent = append(unsent, e.order)
	}
	l.queue = nil
	for _, id := range slices.Sorted(maps.Keys(b.open)) {
		if e := b.open[id]; e.relay == relay {
			b.giveUp(e)
			sent = append(sent, e.order)
		}
	}
	return unsent, sent
}

// Open returns the number of orders that wait for a batch or a result.
func (b *Book[T]) Open() (waiting, sent int) {
	for _, l := range b.links {
		waiting += len(l.queue)
	}
	return waiting, len(b.open)
}
