package daemon

import (
	"context"
	"time"

	"bamboofall.example/bamboofall/internal/entry/node"
	"bamboofall.example/bamboofall/internal/request/router"
)

// controlItem is an event for the control loop, or a function to run there.
type controlItem struct {
	event   node.Event
	inspect func(now time.Time)
}

// controlLoop is the thread of the control side.
func (d *Daemon) controlLoop(ctx context.Context) error {
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := time.Now()
			d.stepControl(now, node.Tick{})
			d.serving.Store(d.node.Serving(now))
		case item := <-d.control.Items():
			now := time.Now()
			if item.inspect != nil {
				item.inspect(now)
				continue
			}
			d.stepControl(now, item.event)
		}
	}
}

func (d *Daemon) stepControl(now time.Time, e node.Event) {
	for _, a := range d.node.Step(now, e) {
		d.doControl(now, a)
	}
}

// doControl hands an action to the thread whose duty it is.
func (d *Daemon) doControl(now time.Time, a node.Action) {
	switch a := a.(type) {
	case node.Read:
		if !d.duties.reads.TryPush(a) {
			d.failLater(node.LogRead{Stream: a.Stream, From: a.From, Sent: now, Err: errBusy})
		}
	case node.Append:
		if !d.duties.appends.TryPush(a) {
			d.failLater(node.LogAppended{Stream: a.Stream, Err: errBusy})
		}
	case node.Heartbeat:
		d.duties.beats.TryPush(a)
	case node.FetchSnapshot:
		if !d.duties.fetches.TryPush(a) {
			d.failLater(node.SnapshotFetched{Stream: a.Stream, Err: errBusy})
		}
	case node.Round:
		if !d.duties.rounds.TryPush(a) {
			d.failLater(node.RoundDone{Worker: a.Worker.ID, Token: a.Request.Token, Err: errBusy})
		}
	case node.Answer:
		d.asks.answer(a.ID, a.Result)
	case node.SetView:
		view := a.View
		d.tellRequests(func(now time.Time, r *router.Router) []router.Action { return r.SetView(now, view) })
	case node.SetObjects:
		d.tellRequests(func(now time.Time, r *router.Router) []router.Action {
			return r.Configure(now, a.Set, a.Revision)
		})
	case node.Explain:
		d.explain(now, a.Kind, a.Name, a.Message)
	}
}

// failLater reports a failure to the control loop without waiting for it.
func (d *Daemon) failLater(e node.Event) {
	go d.control.Push(context.Background(), controlItem{event: e})
}

// tellRequests runs a function in the request loop. What the control side
// tells must arrive, so it may wait for room in the ring.
func (d *Daemon) tellRequests(f func(time.Time, *router.Router) []router.Action) {
	item := requestItem{do: f}
	if !d.requests.TryPush(item) {
		go d.requests.Push(context.Background(), item)
	}
}

// listThread asks the platform for its list from time to time.
func (d *Daemon) listThread(ctx context.Context) error {
	ticker := time.NewTicker(listEvery)
	defer ticker.Stop()
	for {
		fleet, err := d.platform.List(ctx)
		if err == nil {
			d.control.Push(ctx, controlItem{event: node.FleetListed{Fleet: fleet}})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
