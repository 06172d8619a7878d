package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bamboofall.example/bamboofall/internal/entry/node"
	"bamboofall.example/bamboofall/internal/request/router"
)

// requestItem is something for the request loop.
type requestItem struct {
	do func(now time.Time, r *router.Router) []router.Action
}

// call is a request that waits for its reply.
type call struct {
	body  []byte
	reply chan router.Reply
}

// calls holds the requests without a reply, by id.
type calls struct {
	mu   sync.Mutex
	byID map[uint64]*call
	next atomic.Uint64
}

func (c *calls) init() { c.byID = make(map[uint64]*call) }

// add keeps a request's body and returns its id and where its reply comes.
func (c *calls) add(body []byte) (uint64, *call) {
	id := c.next.Add(1)
	one := &call{body: body, reply: make(chan router.Reply, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byID[id] = one
	return id, one
}

func (c *calls) get(id uint64) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}

func (c *calls) finish(r router.Reply) {
	c.mu.Lock()
	one := c.byID[r.Request.ID]
	delete(c.byID, r.Request.ID)
	c.mu.Unlock()
	if one != nil {
		one.reply <- r
	}
}

func (c *calls) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byID)
}

// requestLoop is the thread of the request side.
func (d *Daemon) requestLoop(ctx context.Context) error {
	ticker := time.NewTicker(requestTick)
	defer ticker.Stop()
	report := time.Now()
	reports := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case item := <-d.requests.Items():
			d.doRequests(item.do(time.Now(), d.router))
		case now := <-ticker.C:
			d.doRequests(d.router.Tick(now))
			if now.Sub(report) >= reportEvery {
				report = now
				reports++
				d.reportRequests(now, reports%observeEach == 0)
			}
		}
	}
}

// reportRequests tells the control side about the request side.
func (d *Daemon) reportRequests(now time.Time, observe bool) {
	rep := node.Requests{Rooms: d.router.Rooms(now), Inflight: make(map[int]int)}
	for shard := range d.set.Shards {
		rep.Inflight[shard] = d.router.ShardInflight(shard)
	}
	if observe {
		rep.Observed = d.router.Observe()
		d.refusals.flush(func(name, message string) { d.explain(now, "request", name, message) })
	}
	d.metrics.takeRouter(d.router.Counters())
	if d.graceOver(now) && d.router.Pending() == 0 && d.calls.len() == 0 {
		d.checkGone()
	}
	d.control.TryPush(controlItem{event: rep})
}

// checkGone ends the drain once the control side has nothing left either.
func (d *Daemon) checkGone() {
	d.control.TryPush(controlItem{inspect: func(time.Time) {
		if !d.node.Gone() {
			return
		}
		select {
		case <-d.gone:
		default:
			close(d.gone)
		}
	}})
}

// doRequests hands actions to the threads whose duty they are.
func (d *Daemon) doRequests(actions []router.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case router.Reply:
			d.calls.finish(a)
		case router.Send:
			d.startSend(a)
		case router.Forward:
			go d.forward(a)
		}
	}
}

// pushRequests hands the end of an input or output to the request loop.
func (d *Daemon) pushRequests(f func(time.Time, *router.Router) []router.Action) {
	d.requests.Push(context.Background(), requestItem{do: f})
}
