package daemon

import (
	"context"
	"time"

	"bamboofall.example/bamboofall/internal/entry/node"
	"bamboofall.example/bamboofall/internal/request/router"
)

// controlItem is an event for the control loop, or a function to run in it.
type controlItem struct {
	event node.Event
	run   func(now time.Time)
}

// controlLoop runs the node: it applies ticks and queued events one at a time.
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
			if item.run != nil {
				item.run(now)
				continue
			}
			d.stepControl(now, item.event)
		}
	}
}

func (d *Daemon) stepControl(now time.Time, e node.Event) {
	for _, a := range d.node.Step(now, e) {
		d.performControl(now, a)
	}
}

// performControl performs an action of the node without blocking. I/O goes to the
// queue of its kind, and fails at once if that queue is full. A heartbeat is
// dropped instead.
func (d *Daemon) performControl(now time.Time, a node.Action) {
	switch a := a.(type) {
	case node.Read:
		if !d.ioQueues.reads.TryPush(a) {
			d.reportFailure(node.LogRead{Stream: a.Stream, From: a.From, Sent: now, Err: errQueueFull})
		}
	case node.Append:
		if !d.ioQueues.appends.TryPush(a) {
			d.reportFailure(node.LogAppended{Stream: a.Stream, Err: errQueueFull})
		}
	case node.Heartbeat:
		d.ioQueues.heartbeats.TryPush(a)
	case node.FetchSnapshot:
		if !d.ioQueues.fetches.TryPush(a) {
			d.reportFailure(node.SnapshotFetched{Stream: a.Stream, Err: errQueueFull})
		}
	case node.SyncWorker:
		if !d.ioQueues.workerSyncs.TryPush(a) {
			d.reportFailure(node.WorkerSynced{Worker: a.Worker.ID, Token: a.Request.Token, Err: errQueueFull})
		}
	case node.OperationResult:
		d.operations.answer(a.ID, a.Result)
	case node.SetView:
		view := a.View
		d.runInRequestLoop(func(now time.Time, r *router.Router) []router.Action { return r.SetView(now, view) })
	case node.SetObjects:
		d.runInRequestLoop(func(now time.Time, r *router.Router) []router.Action {
			return r.Configure(now, a.Set, a.Revision)
		})
	case node.Decision:
		d.recordDecision(now, a.Kind, a.Name, a.Message)
	}
}

// reportFailure queues a failure event from a new goroutine, because the control
// loop must not block on its own queue.
func (d *Daemon) reportFailure(e node.Event) {
	go d.control.Push(context.Background(), controlItem{event: e})
}

// runInRequestLoop queues a function for the request loop. Views and objects must
// not be lost, so a goroutine waits for space if the queue is full.
func (d *Daemon) runInRequestLoop(f func(time.Time, *router.Router) []router.Action) {
	item := requestItem{run: f}
	if !d.requests.TryPush(item) {
		go d.requests.Push(context.Background(), item)
	}
}

// listFleetLoop reads the platform's list of VMs every fleetListInterval.
func (d *Daemon) listFleetLoop(ctx context.Context) error {
	ticker := time.NewTicker(fleetListInterval)
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
