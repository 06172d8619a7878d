package daemon

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"bamboofall.example/bamboofall/internal/entry/node"
	"bamboofall.example/bamboofall/internal/run/ring"
)

// The numbers of threads of each duty. One slow answer must not hold up the
// other streams, peers or workers.
const (
	readThreads   = 3
	appendThreads = 3
	beatThreads   = 16
	fetchThreads  = 2
	roundThreads  = 32
)

// duties holds the rings towards the threads that do input and output for the
// control side.
type duties struct {
	reads   *ring.Ring[node.Read]
	appends *ring.Ring[node.Append]
	beats   *ring.Ring[node.Heartbeat]
	fetches *ring.Ring[node.FetchSnapshot]
	rounds  *ring.Ring[node.Round]
}

func (d *duties) init() {
	d.reads = ring.New[node.Read](dutyRing)
	d.appends = ring.New[node.Append](dutyRing)
	d.beats = ring.New[node.Heartbeat](dutyRing)
	d.fetches = ring.New[node.FetchSnapshot](dutyRing)
	d.rounds = ring.New[node.Round](dutyRing)
}

// runDuty takes items off a ring with a number of threads.
func runDuty[T any](ctx context.Context, r *ring.Ring[T], threads int, do func(context.Context, T)) error {
	var group errgroup.Group
	for range threads {
		group.Go(func() error {
			for {
				select {
				case <-ctx.Done():
					return nil
				case item := <-r.Items():
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

func (d *Daemon) doRound(ctx context.Context, a node.Round) {
	rep, err := d.platform.Sync(ctx, a.Worker, a.Request)
	d.control.Push(ctx, controlItem{event: node.RoundDone{
		Worker: a.Worker.ID, Token: a.Request.Token, Report: rep, Err: err,
	}})
}
