// Package daemon runs an entry VM: it joins the two state machines, the control
// side and the request side, to sockets, timers and the platform.
//
// Each duty has a thread, and bounded rings join them. A loop that decides
// never waits for another thread: if a ring is full, the item is refused and
// counted, and the loop treats it as failed. All threads form one group, which
// stops together.
package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/config/settings"
	"bamboofall.example/bamboofall/internal/entry/node"
	"bamboofall.example/bamboofall/internal/entry/trail"
	"bamboofall.example/bamboofall/internal/request/router"
	"bamboofall.example/bamboofall/internal/run/ring"
	"bamboofall.example/bamboofall/internal/wire/httpclient"
	"bamboofall.example/bamboofall/internal/wire/httpserver"
)

const (
	controlRing = 4096
	requestRing = 16384
	dutyRing    = 1024

	controlTick = 50 * time.Millisecond
	requestTick = 20 * time.Millisecond
	reportEvery = 100 * time.Millisecond
	observeEach = 10 // reports between observations
	listEvery   = 2 * time.Second

	// drainGrace is how long a stopping VM still takes callers, so that the
	// balancer has time to see that it is leaving.
	drainGrace = time.Second
	// maxDrain bounds a graceful shutdown.
	maxDrain = 60 * time.Second
)

// Platform is what the daemon needs of the platform.
type Platform interface {
	bamboofall.Log
	bamboofall.VMList
	bamboofall.Workers
}

// Daemon is an entry daemon. Use New.
type Daemon struct {
	set      *settings.Settings
	log      *logrus.Entry
	platform Platform
	engine   *httpclient.Engine
	peers    *httpclient.Client

	control  *ring.Ring[controlItem]
	requests *ring.Ring[requestItem]

	node   *node.Node
	router *router.Router

	duties  duties
	calls   calls
	sends   sends
	asks    asks
	metrics *metrics
	// refusals are told to the trail from time to time.
	refusals refusals

	trailMu sync.Mutex
	trail   trail.Trail

	// leaving is closed when the VM begins to stop.
	leaving   chan struct{}
	leaveOnce sync.Once
	leftAt    atomic.Int64
	// serving is set while the balancer should send callers here.
	serving atomic.Bool
	// gone is closed when nothing is left to do.
	gone chan struct{}
}

// New returns a daemon that has not started.
func New(set *settings.Settings, platform Platform, engine *httpclient.Engine, logger *logrus.Logger) *Daemon {
	incarnation := uuid.NewString()[:8]
	seed := uint64(time.Now().UnixNano())
	d := &Daemon{
		set:      set,
		log:      logger.WithFields(logrus.Fields{"vm": set.VM, "dataCentre": set.DataCentre}),
		platform: platform,
		engine:   engine,
		peers:    httpclient.New(engine),
		control:  ring.New[controlItem](controlRing),
		requests: ring.New[requestItem](requestRing),
		node:     node.New(node.Config{Settings: set, Incarnation: incarnation, Seed: seed}),
		router: router.New(router.Config{
			VM: set.VM, DataCentre: set.DataCentre, Seed: seed,
		}),
		leaving: make(chan struct{}),
		gone:    make(chan struct{}),
	}
	d.duties.init()
	d.calls.init()
	d.sends.init(engine)
	d.asks.init()
	d.metrics = newMetrics(string(set.DataCentre))
	return d
}

// Run serves until the context ends, then shuts down gracefully: it hands its
// shards over, finishes what is in flight, and returns.
func (d *Daemon) Run(ctx context.Context) error {
	callers, err := httpserver.Start(d.set.Callers, d.callersHandler())
	if err != nil {
		return fmt.Errorf("callers: %w", err)
	}
	defer callers.Stop()
	peers, err := httpserver.Start(d.set.Peers, d.peersHandler())
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	defer peers.Stop()
	d.log.WithFields(logrus.Fields{"callers": d.set.Callers, "peers": d.set.Peers}).Info("entry daemon serves")

	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, inner := errgroup.WithContext(inner)
	for _, thread := range d.threads() {
		group.Go(func() error { return thread(inner) })
	}
	group.Go(func() error {
		defer cancel()
		return d.waitForEnd(ctx, inner)
	})
	err = group.Wait()
	d.log.Info("entry daemon stopped")
	return err
}

func (d *Daemon) threads() []func(context.Context) error {
	return []func(context.Context) error{
		d.controlLoop,
		d.requestLoop,
		d.listThread,
		func(ctx context.Context) error { return runDuty(ctx, d.duties.reads, readThreads, d.doRead) },
		func(ctx context.Context) error { return runDuty(ctx, d.duties.appends, appendThreads, d.doAppend) },
		func(ctx context.Context) error { return runDuty(ctx, d.duties.beats, beatThreads, d.doHeartbeat) },
		func(ctx context.Context) error { return runDuty(ctx, d.duties.fetches, fetchThreads, d.doFetch) },
		func(ctx context.Context) error { return runDuty(ctx, d.duties.rounds, roundThreads, d.doRound) },
	}
}

// waitForEnd waits for the order to stop and for the end of the drain.
func (d *Daemon) waitForEnd(ctx, inner context.Context) error {
	select {
	case <-inner.Done():
		return nil
	case <-ctx.Done():
	}
	d.log.Info("graceful shutdown begins")
	d.Leave()
	timer := time.NewTimer(maxDrain)
	defer timer.Stop()
	select {
	case <-d.gone:
	case <-timer.C:
		d.log.Warn("graceful shutdown took too long; what is in flight is cut off")
	case <-inner.Done():
	}
	return nil
}

// Leave begins a graceful shutdown.
func (d *Daemon) Leave() {
	d.leaveOnce.Do(func() {
		d.leftAt.Store(time.Now().UnixNano())
		close(d.leaving)
		d.control.TryPush(controlItem{event: node.Stop{}})
	})
}

// graceOver reports whether the balancer has had time to see that this VM is
// leaving.
func (d *Daemon) graceOver(now time.Time) bool {
	return d.isLeaving() && now.Sub(time.Unix(0, d.leftAt.Load())) >= drainGrace
}

func (d *Daemon) isLeaving() bool {
	select {
	case <-d.leaving:
		return true
	default:
		return false
	}
}

// explain records a decision in the trail.
func (d *Daemon) explain(at time.Time, kind, name, message string) {
	d.trailMu.Lock()
	d.trail.Add(trail.Entry{At: at, VM: string(d.set.VM), Kind: kind, Name: name, Message: message})
	d.trailMu.Unlock()
	d.log.WithFields(logrus.Fields{"kind": kind, "name": name}).Debug(message)
}

func (d *Daemon) findTrail(kind, name string) []trail.Entry {
	d.trailMu.Lock()
	defer d.trailMu.Unlock()
	return d.trail.Find(kind, name)
}

// inspect runs a function in the control loop and waits for it.
func (d *Daemon) inspect(ctx context.Context, f func(now time.Time, n *node.Node)) error {
	done := make(chan struct{})
	item := controlItem{inspect: func(now time.Time) {
		f(now, d.node)
		close(done)
	}}
	if !d.control.TryPush(item) {
		return errBusy
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

var errBusy = fmt.Errorf("the daemon is busy: %s", http.StatusText(http.StatusServiceUnavailable))
