package front

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/dispatch"
	"bamboofall.example/bamboofall/internal/run/clock"
	"bamboofall.example/bamboofall/internal/state/lease"
	"bamboofall.example/bamboofall/internal/wire/httpclient"
	"bamboofall.example/bamboofall/internal/wire/httpserver"
	"bamboofall.example/bamboofall/platform"
)

const (
	// cellPartition is the partition of the one cell.
	cellPartition = 0
	// shutdownMargin is the part of the grace period that is left for the end.
	shutdownMargin = 1300 * time.Millisecond
	// minDrainTime is how long a process that leaves may get new calls: the platform
	// asks for readiness each second and gives up after two misses.
	minDrainTime = 2500 * time.Millisecond
	// drainIdleTime is how long no call may have come for a process to end before
	// its time, leaveCheck the time between looks.
	drainIdleTime      = 500 * time.Millisecond
	drainCheckInterval = 100 * time.Millisecond
	// storeRetryDelay is the time between tries while the store does not answer.
	storeRetryDelay = 100 * time.Millisecond
	// configurationLongPoll is how long a read for a new configuration waits. A
	// connection that has gone silent is noticed after that and the time of a
	// call.
	configurationLongPoll = 1500 * time.Millisecond
	// maxWorkerLease bounds the lease of workers: a take-over has to fit into it.
	maxWorkerLease = 5 * time.Second
	// workerLeaseShare is the part of the platform's longest lease that is used.
	workerLeaseShare = 0.95
)

// Front is an entry VM. Use New.
type Front struct {
	settings     *platform.Settings
	log          *Log
	process      string
	store        bamboofall.KeyedStore
	workers      bamboofall.TaskWorkers
	peers        *peerClients
	config       atomic.Pointer[bamboofall.Configuration]
	metrics      *metrics
	settingsPath string
	// workersPerCore is how many workers an entry VM with a whole core carries.
	workersPerCore int
	relay          *relay
	announcements  announcementTable
	// ownerChanged has an item when the owner has changed.
	ownerChanged chan struct{}

	leaseMu sync.Mutex
	lease   *lease.Lease
	owner   atomic.Pointer[owner]
	// owners waits for owners that are stopping.
	owners sync.WaitGroup

	// activeRequests is the number of callers' activeRequests under way, lastRequest when one last came
	// or was answered, in Unix nanoseconds.
	activeRequests, lastRequest atomic.Int64

	// draining is closed when this VM takes no new part, releasing when it gives
	// the cell up.
	draining, releasing    chan struct{}
	drainOnce, releaseOnce sync.Once
}

// Option changes how an entry VM works.
type Option func(*Front)

// WithWorkersPerCore sets how many workers an entry VM with a whole core carries.
func WithWorkersPerCore(n int) Option { return func(f *Front) { f.workersPerCore = n } }

// New returns an entry VM that has not started. Path names its settings file.
func New(path string, set *platform.Settings, engine *httpclient.Engine, log *Log, options ...Option) *Front {
	client := httpclient.New(engine)
	process := string(set.VM) + "/" + uuid.NewString()[:8]
	h := fnv.New32a()
	_, _ = h.Write([]byte(process))
	rank := float64(h.Sum32()%1024) / 1024
	ownership := lease.New(now(), lease.DefaultTiming(), process, set.Peers, rank)
	ownership.SetCapacity(vmCapacity(set.Machine))
	f := &Front{
		settings: set, log: log, process: process, settingsPath: path,
		store:    platform.NewStore(client, set.Store),
		workers:  platform.NewWorkers(client),
		peers:    newPeerClients(client, httpclient.New(engine)),
		metrics:  newMetrics(string(set.DataCentre)),
		lease:    ownership,
		draining: make(chan struct{}), releasing: make(chan struct{}),
		workersPerCore: dispatch.WorkersPerCore, ownerChanged: make(chan struct{}, 1),
	}
	f.relay = newRelay(f)
	for _, option := range options {
		option(f)
	}
	return f
}

// Run serves until it is told to stop by a signal or the context.
func (f *Front) Run(ctx context.Context, metricsPort uint16) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	f.relay.ctx = inner
	stop, err := f.listen(metricsPort)
	if err != nil {
		return err
	}
	defer stop()
	fields := f.machineFields()
	maps.Copy(fields, logrus.Fields{"process": f.process, "callers": f.settings.Callers, "peers": f.settings.Peers, "store": f.settings.Store})
	f.log.Event("start", fields)
	group, inner := errgroup.WithContext(inner)
	group.Go(func() error { return f.followConfiguration(inner) })
	group.Go(func() error { return f.followOwner(inner) })
	group.Go(func() error { return f.announceLoop(inner) })
	group.Go(func() error {
		defer cancel()
		return f.handleSignals(inner, signals)
	})
	err = group.Wait()
	f.log.Event("stop", logrus.Fields{"process": f.process})
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (f *Front) listen(metricsPort uint16) (func(), error) {
	var servers []*httpserver.Server
	stop := func() {
		var ended sync.WaitGroup
		for _, s := range servers {
			ended.Go(s.Stop)
		}
		ended.Wait()
	}
	listeners := []struct {
		name    string
		at      netip.AddrPort
		handler http.Handler
	}{
		{"callers", f.settings.Callers, http.HandlerFunc(f.serveRequest)},
		{"readiness", f.settings.Ready, http.HandlerFunc(f.serveReadiness)},
		{"peers", f.settings.Peers, f.peersHandler()},
		{"metrics", netip.AddrPortFrom(f.settings.Peers.Addr(), metricsPort), http.HandlerFunc(f.serveMetrics)},
	}
	for _, l := range listeners {
		s, err := httpserver.Start(l.at, l.handler)
		if err != nil {
			stop()
			return nil, fmt.Errorf("%s: %w", l.name, err)
		}
		servers = append(servers, s)
	}
	return stop, nil
}

// handleSignals handles signals until the process has to end.
func (f *Front) handleSignals(ctx context.Context, signals <-chan os.Signal) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-signals:
			if s == syscall.SIGHUP {
				f.reload()
				continue
			}
			f.log.Event("stopping", logrus.Fields{"signal": s.String()})
			f.startDraining()
			f.drain(ctx)
			return nil
		}
	}
}

// drain goes on until no more calls are expected or the time is up. An owner goes
// on as well, so that a cell is not handed on more often than needed when VMs are
// restarted in turn, and then releases the cell.
func (f *Front) drain(ctx context.Context) {
	began := now()
	grace := f.settings.Bounds.Grace - shutdownMargin
	for at := began; ctx.Err() == nil && at.Sub(began) < grace; at = now() {
		if at.Sub(began) >= min(minDrainTime, grace/2) {
			f.releaseOnce.Do(func() { close(f.releasing) })
			idle := f.activeRequests.Load() == 0 && at.Sub(time.Unix(0, f.lastRequest.Load())) >= drainIdleTime
			if idle && f.owner.Load() == nil {
				return
			}
		}
		sleep(ctx, drainCheckInterval)
	}
}

// reload checks the settings file again. Addresses cannot change while the
// process runs, so a change of them is logged and waits for a restart.
func (f *Front) reload() {
	set, err := platform.ReadSettings(f.settingsPath)
	if err != nil {
		f.log.Event("reload failed", logrus.Fields{"error": err.Error()})
		return
	}
	f.log.Event("reload", logrus.Fields{"changed": *set != *f.settings})
}

// startDraining stops taking part: no new callers, no claims.
func (f *Front) startDraining() {
	f.drainOnce.Do(func() {
		f.leaseMu.Lock()
		f.lease.Leave()
		f.leaseMu.Unlock()
		close(f.draining)
	})
}

func (f *Front) isDraining() bool { return isClosed(f.draining) }

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (f *Front) workerLease() time.Duration {
	return min(maxWorkerLease, time.Duration(workerLeaseShare*float64(f.settings.Bounds.MaxLease)))
}

// followConfiguration keeps the newest configuration.
func (f *Front) followConfiguration(ctx context.Context) error {
	return f.follow(ctx, platform.TopicOperator, fromNewest, configurationLongPoll, func(r bamboofall.StoredRecord) {
		if !platform.IsConfiguration(r.Key) || len(r.Value) == 0 {
			return
		}
		conf, err := platform.DecodeConfiguration(r.Value)
		if err != nil {
			f.log.Event("configuration rejected", logrus.Fields{"offset": r.Offset, "error": err.Error()})
			return
		}
		if old := f.config.Load(); old != nil && old.Version >= conf.Version {
			return
		}
		f.config.Store(conf)
		f.log.Event("configuration", logrus.Fields{"version": conf.Version, "queues": len(conf.Queues)})
		if o := f.owner.Load(); o != nil {
			o.setConfiguration(conf)
		}
	}, nil)
}

// fromNewest makes follow begin with the newest record of each key.
const fromNewest = -1

// follow reads what is added to a keyed topic from an offset on, or first the
// newest record of each key. It never ends before the context does. The function
// idle is called after each read that succeeded, with the offset behind all that
// was seen.
func (f *Front) follow(ctx context.Context, topic string, next int64, wait time.Duration, apply func(bamboofall.StoredRecord), caughtUp func(end int64)) error {
	lost := false
	for ctx.Err() == nil {
		var err error
		if next == fromNewest {
			next, err = f.readNewest(ctx, topic, apply)
		} else {
			next, err = f.readFrom(ctx, topic, next, wait, apply)
		}
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if !lost {
				lost = true
				f.log.Event("store lost", logrus.Fields{"topic": topic, "error": err.Error()})
			}
			sleep(ctx, storeRetryDelay)
			continue
		}
		if lost {
			lost = false
			f.log.Event("store regained", logrus.Fields{"topic": topic})
		}
		if caughtUp != nil {
			caughtUp(next)
		}
	}
	return nil
}

// readNewest reads the newest records and returns where to read on.
func (f *Front) readNewest(ctx context.Context, topic string, apply func(bamboofall.StoredRecord)) (int64, error) {
	records, end, err := f.store.Newest(ctx, topic, cellPartition)
	if err != nil {
		return fromNewest, err
	}
	for _, r := range records {
		apply(r)
	}
	return end, nil
}

// readFrom reads what was added and returns where to read on: at the newest
// records if some have expired.
func (f *Front) readFrom(ctx context.Context, topic string, from int64, wait time.Duration, apply func(bamboofall.StoredRecord)) (int64, error) {
	page, err := f.store.Read(ctx, topic, cellPartition, from, wait)
	var trimmed *bamboofall.TrimmedError
	if errors.As(err, &trimmed) {
		f.log.Event("records expired", logrus.Fields{"topic": topic, "from": from, "first": trimmed.First})
		return fromNewest, nil
	}
	if err != nil {
		return from, err
	}
	for _, r := range page.Records {
		apply(r)
	}
	return page.Next, nil
}

func sleep(ctx context.Context, d time.Duration) { sleepOrSignal(ctx, nil, d) }

// sleepOrSignal waits for a time, a signal or the end of the context.
func sleepOrSignal(ctx context.Context, signal <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-signal:
	case <-ctx.Done():
	}
}

func now() time.Time { return clock.Now() }
