package front

import (
	"context"
	"time"

	"bamboofall.example/bamboofall/internal/run/ring"
)

// push adds an event to the queue of the loop and measures how long it waits there.
func (o *owner) push(ctx context.Context, d loopDuty, f func(at time.Time)) {
	o.queueOf(d).Push(ctx, o.measured(d, f))
}

// queueOf returns the queue for events of a duty. Callers wait for requests, and all jobs whose
// changes were flushed for the end of an append; there are few of either, so the others wait
// hardly longer.
func (o *owner) queueOf(d loopDuty) *ring.Ring[func(now time.Time)] {
	if d == loopRequests || d == loopStored {
		return o.urgentEvents
	}
	return o.events
}

// queuedEvents returns the number of events that wait for the loop.
func (o *owner) queuedEvents() int { return len(o.events.Items()) + len(o.urgentEvents.Items()) }

// measured returns f extended to record the time from now until it is called, and how long
// it takes.
func (o *owner) measured(d loopDuty, f func(at time.Time)) func(at time.Time) {
	arrived := time.Now()
	return func(at time.Time) {
		began := time.Now()
		o.delays.recordWait(delayEvent, began.Sub(arrived))
		f(at)
		o.loopTime.add(d, began)
	}
}

// handleQueuedEvents handles all events that are queued before the next step, so that the
// number of steps does not grow with the backlog while steps are slow.
func (o *owner) handleQueuedEvents() {
	for range max(minEventLimit, o.queuedEvents()) {
		select {
		case f := <-o.urgentEvents.Items():
			f(now())
			continue
		default:
		}
		select {
		case f := <-o.events.Items():
			f(now())
		default:
			return
		}
	}
}
