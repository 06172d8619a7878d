// Package daemon runs an entry VM. It connects the control plane's state machine
// (package node) and the request router (package router) to sockets, timers and
// the platform.
//
// Each state machine runs in its own loop, and goroutines perform its I/O. Bounded
// queues connect them. A loop never blocks on a full queue: the item is refused
// and counted, and the loop treats its operation as failed. All goroutines belong
// to one group and stop together.
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
	controlRingSize = 4096
	requestRingSize = 16384
	ioRingSize      = 1024

	controlTick           = 50 * time.Millisecond
	requestTick           = 20 * time.Millisecond
	reportInterval        = 100 * time.Millisecond
	reportsPerObservation = 10
	fleetListInterval     = 2 * time.Second

	// drainGrace is how long a leaving VM still accepts callers, so that the load
	// balancer notices before connections are refused.
	drainGrace = time.Second
	// maxDrain bounds a graceful shutdown.
	maxDrain = 60 * time.Second
)

// Platform is the part of the platform that the daemon uses.
type Platform interface {
	bamboofall.Log
	bamboofall.VMList
	bamboofall.Workers
}

// Daemon is an entry daemon. Create it with New.
type Daemon struct {
	settings *settings.Settings
	log      *logrus.Entry
	platform Platform
	engine   *httpclient.Engine
	peers    *httpclient.Client

	control  *ring.Ring[controlItem]
	requests *ring.Ring[requestItem]

	node   *node.Node
	router *router.Router

	ioQueues     ioQueues
	pendingCalls pendingCalls
	upstreams    upstreamPools
	operations   pendingOperations
	metrics      *metrics
	// refusals counts unanswered requests until they are written to the trail.
	refusals refusalCounts

	trailMu sync.Mutex
	trail   trail.Trail

	// leaving is closed when a graceful shutdown begins, at leavingSince (Unix time
	// in nanoseconds).
	leaving      chan struct{}
	leaveOnce    sync.Once
	leavingSince atomic.Int64
	// serving is set while the load balancer should route callers to this VM.
	serving atomic.Bool
	// drained is closed when a leaving VM has no requests, shards or records left.
	drained chan struct{}
}

// New returns a daemon that has not started.
func New(set *settings.Settings, platform Platform, engine *httpclient.Engine, logger *logrus.Logger) *Daemon {
	incarnation := uuid.NewString()[:8]
	seed := uint64(time.Now().UnixNano())
	d := &Daemon{
		settings: set,
		log:      logger.WithFields(logrus.Fields{"vm": set.VM, "dataCentre": set.DataCentre}),
		platform: platform,
		engine:   engine,
		peers:    httpclient.New(engine),
		control:  ring.New[controlItem](controlRingSize),
		requests: ring.New[requestItem](requestRingSize),
		node:     node.New(node.Config{Settings: set, Incarnation: incarnation, Seed: seed}),
		router: router.New(router.Config{
			VM: set.VM, DataCentre: set.DataCentre, Seed: seed,
		}),
		leaving: make(chan struct{}),
		drained: make(chan struct{}),
	}
	d.ioQueues.init()
	d.pendingCalls.init()
	d.upstreams.init(engine)
	d.operations.init()
	d.metrics = newMetrics(string(set.DataCentre))
	return d
}

// Run serves until the context is cancelled, then shuts down gracefully: it hands
// its shards over, waits for requests in flight, and returns.
func (d *Daemon) Run(ctx context.Context) error {
	callers, err := httpserver.Start(d.settings.Callers, d.callersHandler())
	if err != nil {
		return fmt.Errorf("callers: %w", err)
	}
	defer callers.Stop()
	peers, err := httpserver.Start(d.settings.Peers, d.peersHandler())
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	defer peers.Stop()
	d.log.WithFields(logrus.Fields{"callers": d.settings.Callers, "peers": d.settings.Peers}).Info("entry daemon listening")

	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, inner := errgroup.WithContext(inner)
	for _, loop := range d.loops() {
		group.Go(func() error { return loop(inner) })
	}
	group.Go(func() error {
		defer cancel()
		return d.waitForShutdown(ctx, inner)
	})
	err = group.Wait()
	d.log.Info("entry daemon stopped")
	return err
}

func (d *Daemon) loops() []func(context.Context) error {
	return []func(context.Context) error{
		d.controlLoop,
		d.requestLoop,
		d.listFleetLoop,
		func(ctx context.Context) error { return serveQueue(ctx, d.ioQueues.reads, readConcurrency, d.doRead) },
		func(ctx context.Context) error {
			return serveQueue(ctx, d.ioQueues.appends, appendConcurrency, d.doAppend)
		},
		func(ctx context.Context) error {
			return serveQueue(ctx, d.ioQueues.heartbeats, heartbeatConcurrency, d.doHeartbeat)
		},
		func(ctx context.Context) error {
			return serveQueue(ctx, d.ioQueues.fetches, fetchConcurrency, d.doFetch)
		},
		func(ctx context.Context) error {
			return serveQueue(ctx, d.ioQueues.workerSyncs, workerSyncConcurrency, d.doSyncWorker)
		},
	}
}

// waitForShutdown waits until ctx is cancelled, begins the graceful shutdown, and
// waits until it completes or maxDrain has passed.
func (d *Daemon) waitForShutdown(ctx, inner context.Context) error {
	select {
	case <-inner.Done():
		return nil
	case <-ctx.Done():
	}
	d.log.Info("graceful shutdown started")
	d.Leave()
	timer := time.NewTimer(maxDrain)
	defer timer.Stop()
	select {
	case <-d.drained:
	case <-timer.C:
		d.log.Warn("graceful shutdown timed out; aborting requests in flight")
	case <-inner.Done():
	}
	return nil
}

// Leave begins a graceful shutdown.
func (d *Daemon) Leave() {
	d.leaveOnce.Do(func() {
		d.leavingSince.Store(time.Now().UnixNano())
		close(d.leaving)
		d.control.TryPush(controlItem{event: node.Shutdown{}})
	})
}

// drainGraceOver reports whether drainGrace has passed since Leave.
func (d *Daemon) drainGraceOver(now time.Time) bool {
	return d.isLeaving() && now.Sub(time.Unix(0, d.leavingSince.Load())) >= drainGrace
}

func (d *Daemon) isLeaving() bool {
	select {
	case <-d.leaving:
		return true
	default:
		return false
	}
}

// recordDecision adds a decision to the trail and logs it at debug level.
func (d *Daemon) recordDecision(at time.Time, kind, name, message string) {
	d.trailMu.Lock()
	d.trail.Add(trail.Entry{At: at, VM: string(d.settings.VM), Kind: kind, Name: name, Message: message})
	d.trailMu.Unlock()
	d.log.WithFields(logrus.Fields{"kind": kind, "name": name}).Debug(message)
}

func (d *Daemon) findTrail(kind, name string) []trail.Entry {
	d.trailMu.Lock()
	defer d.trailMu.Unlock()
	return d.trail.Find(kind, name)
}

// inspect runs f in the control loop and waits until it returns.
func (d *Daemon) inspect(ctx context.Context, f func(now time.Time, n *node.Node)) error {
	done := make(chan struct{})
	item := controlItem{run: func(now time.Time) {
		f(now, d.node)
		close(done)
	}}
	if !d.control.TryPush(item) {
		return errQueueFull
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

var errQueueFull = fmt.Errorf("daemon queue is full: %s", http.StatusText(http.StatusServiceUnavailable))
