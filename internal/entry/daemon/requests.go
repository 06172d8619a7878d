package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bamboofall.example/bamboofall/internal/entry/node"
	"bamboofall.example/bamboofall/internal/request/router"
)

// requestItem is a function to run in the request loop. The loop performs the
// actions that it returns.
type requestItem struct {
	run func(now time.Time, r *router.Router) []router.Action
}

// call is a request that waits for its reply.
type call struct {
	body  []byte
	reply chan router.Reply
}

// pendingCalls holds the requests without a reply, by id.
type pendingCalls struct {
	mu   sync.Mutex
	byID map[uint64]*call
	next atomic.Uint64
}

func (c *pendingCalls) init() { c.byID = make(map[uint64]*call) }

// add registers a request. It returns the request's id and the call that receives
// the reply.
func (c *pendingCalls) add(body []byte) (uint64, *call) {
	id := c.next.Add(1)
	pending := &call{body: body, reply: make(chan router.Reply, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byID[id] = pending
	return id, pending
}

func (c *pendingCalls) get(id uint64) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}

// finish delivers a reply to its call. It does nothing if the call has one.
func (c *pendingCalls) finish(r router.Reply) {
	c.mu.Lock()
	pending := c.byID[r.Request.ID]
	delete(c.byID, r.Request.ID)
	c.mu.Unlock()
	if pending != nil {
		pending.reply <- r
	}
}

func (c *pendingCalls) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byID)
}

// requestLoop runs the router: it applies ticks and queued functions one at a
// time.
func (d *Daemon) requestLoop(ctx context.Context) error {
	ticker := time.NewTicker(requestTick)
	defer ticker.Stop()
	lastReport := time.Now()
	reports := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case item := <-d.requests.Items():
			d.performRequests(item.run(time.Now(), d.router))
		case now := <-ticker.C:
			d.performRequests(d.router.Tick(now))
			if now.Sub(lastReport) >= reportInterval {
				lastReport = now
				reports++
				d.reportRequests(now, reports%reportsPerObservation == 0)
			}
		}
	}
}

// reportRequests reports the state of the request side to the control loop, with
// the observed latencies if observe is set.
func (d *Daemon) reportRequests(now time.Time, observe bool) {
	stats := node.RequestStats{Slots: d.router.OfferedSlots(now), Inflight: make(map[int]int)}
	for shard := range d.settings.Shards {
		stats.Inflight[shard] = d.router.ShardInflight(shard)
	}
	if observe {
		stats.Observed = d.router.Observe()
		d.refusals.flush(func(name, message string) { d.recordDecision(now, "request", name, message) })
	}
	d.metrics.recordRouter(d.router.Counters())
	if d.drainGraceOver(now) && d.router.Pending() == 0 && d.pendingCalls.len() == 0 {
		d.finishDrain()
	}
	d.control.TryPush(controlItem{event: stats})
}

// finishDrain closes drained if the control loop has no work left either.
func (d *Daemon) finishDrain() {
	d.control.TryPush(controlItem{run: func(time.Time) {
		if !d.node.Drained() {
			return
		}
		select {
		case <-d.drained:
		default:
			close(d.drained)
		}
	}})
}

// performRequests performs the router's actions without blocking.
func (d *Daemon) performRequests(actions []router.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case router.Reply:
			d.pendingCalls.finish(a)
		case router.Send:
			d.startSend(a)
		case router.Forward:
			go d.forward(a)
		}
	}
}

// pushToRequestLoop queues a function for the request loop. It waits for space.
func (d *Daemon) pushToRequestLoop(f func(time.Time, *router.Router) []router.Action) {
	d.requests.Push(context.Background(), requestItem{run: f})
}
