package daemon

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"bamboofall.example/bamboofall/internal/entry/node"
	"bamboofall.example/bamboofall/internal/run/ring"
)

// The number of goroutines that serve each queue. One slow response must not
// delay the other streams, peers or workers.
const (
	readConcurrency       = 3
	appendConcurrency     = 3
	heartbeatConcurrency  = 16
	fetchConcurrency      = 2
	workerSyncConcurrency = 32
)

// ioQueues holds the I/O requests of the control loop, by kind.
type ioQueues struct {
	reads       *ring.Ring[node.Read]
	appends     *ring.Ring[node.Append]
	heartbeats  *ring.Ring[node.Heartbeat]
	fetches     *ring.Ring[node.FetchSnapshot]
	workerSyncs *ring.Ring[node.SyncWorker]
}

func (d *ioQueues) init() {
	d.reads = ring.New[node.Read](ioRingSize)
	d.appends = ring.New[node.Append](ioRingSize)
	d.heartbeats = ring.New[node.Heartbeat](ioRingSize)
	d.fetches = ring.New[node.FetchSnapshot](ioRingSize)
	d.workerSyncs = ring.New[node.SyncWorker](ioRingSize)
}

// serveQueue calls do for the items of a queue, with the given concurrency, until
// the context is cancelled.
func serveQueue[T any](ctx context.Context, queue *ring.Ring[T], concurrency int, do func(context.Context, T)) error {
	var group errgroup.Group
	for range concurrency {
		group.Go(func() error {
			for {
				select {
				case <-ctx.Done():
					return nil
				case item := <-queue.Items():
					do(ctx, item)
				}
			}
		})
	}
	return group.Wait()
}

func (d *Daemon) doRead(ctx context.Context, a node.Read) {
	sent := time.Now()
	page, err := d.platform.Read(ctx, a.Stream, a.From, a.Wait)
	d.control.Push(ctx, controlItem{event: node.LogRead{
		Stream: a.Stream, From: a.From, Sent: sent, Page: page, Err: err,
	}})
}

func (d *Daemon) doAppend(ctx context.Context, a node.Append) {
	_, err := d.platform.Append(ctx, a.Stream, a.Data)
	d.control.Push(ctx, controlItem{event: node.LogAppended{Stream: a.Stream, Err: err}})
}

func (d *Daemon) doSyncWorker(ctx context.Context, a node.SyncWorker) {
	report, err := d.platform.Sync(ctx, a.Worker, a.Request)
	d.control.Push(ctx, controlItem{event: node.WorkerSynced{
		Worker: a.Worker.ID, Token: a.Request.Token, Report: report, Err: err,
	}})
}
