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
	// cellPartition is the partition of the only cell.
	cellPartition = 0
	// shutdownMargin is the part of the grace period that is reserved for the rest of
	// the shutdown.
	shutdownMargin = 1300 * time.Millisecond
	// minDrainTime is how long a stopping process may still receive new requests: the
	// platform probes readiness every second and stops routing after two failures.
	minDrainTime = 2500 * time.Millisecond
	// drainIdleTime is how long a stopping process must have been without requests to
	// exit before the grace period ends, and drainCheckInterval the time between
	// checks.
	drainIdleTime      = 500 * time.Millisecond
	drainCheckInterval = 100 * time.Millisecond
	// lastResponsesTimeout bounds the time for the responses to the requests that are in
	// flight when a server stops. A stopping process uses it twice within shutdownMargin.
	lastResponsesTimeout = 500 * time.Millisecond
	// storeRetryDelay is the time between attempts while the store fails.
	storeRetryDelay = 100 * time.Millisecond
	// configurationLongPoll is the longest long-poll duration of reads of the configuration,
	// see configurationWait, and minConfigurationLongPoll the shortest.
	configurationLongPoll    = 1500 * time.Millisecond
	minConfigurationLongPoll = 500 * time.Millisecond
	// configurationReadTime is the time in which the configuration is read over a new
	// connection.
	configurationReadTime = 200 * time.Millisecond
	// maxWorkerLease is the maximum lease that is requested from workers. It must
	// exceed the time of a takeover, so that runs survive one.
	maxWorkerLease = 5 * time.Second
	// workerLeaseShare is the fraction of the platform's maximum lease that is
	// requested.
	workerLeaseShare = 0.95
)

// Front is the server of an entry VM. Use New.
type Front struct {
	settings *platform.Settings
	log      *Log
	// process identifies this process: the name of the VM and a random suffix.
	process string
	store   bamboofall.KeyedStore
	workers bamboofall.TaskWorkers
	peers   *peerClients
	// config is the newest configuration, or nil before the first one.
	config      atomic.Pointer[bamboofall.Configuration]
	evacuations evacuations
	metrics     *metrics
	// settingsPath is the path of the settings file, which reload reads again.
	settingsPath string
	// workersPerCore is the number of workers whose calls one processor core of an
	// entry VM can handle.
	workersPerCore int
	relay          *relay
	announcements  announcementTable
	// ownerChanged receives a value when the owner changes.
	ownerChanged chan struct{}

	leaseMu sync.Mutex
	// lease is this VM's view of the ownership of the cell. Guarded by leaseMu.
	lease *lease.Lease
	// owner is the running owner if this VM owns the cell, or nil.
	owner atomic.Pointer[owner]
	// owners tracks the owners that have not stopped.
	owners sync.WaitGroup

	// activeRequests is the number of callers' requests in flight, and lastRequest the
	// time at which one last started or ended, in Unix nanoseconds.
	activeRequests, lastRequest atomic.Int64

	// draining is closed when this VM stops claiming cells and reports itself as not
	// ready, releasing when it has to release the cell.
	draining, releasing    chan struct{}
	drainOnce, releaseOnce sync.Once
	// serving is cancelled by endServing, when callers' requests may wait no longer.
	serving    context.Context
	endServing context.CancelFunc
}

// Option configures a Front.
type Option func(*Front)

// WithWorkersPerCore sets the number of workers whose calls one processor core of an
// entry VM can handle.
func WithWorkersPerCore(n int) Option { return func(f *Front) { f.workersPerCore = n } }

// New returns a Front that has not started. Path is the path of its settings file.
func New(path string, settings *platform.Settings, engine *httpclient.Engine, log *Log, options ...Option) *Front {
	client := httpclient.New(engine)
	process := string(settings.VM) + "/" + uuid.NewString()[:8]
	h := fnv.New32a()
	_, _ = h.Write([]byte(process))
	rank := float64(h.Sum32()%1024) / 1024
	ownership := lease.New(now(), lease.DefaultTiming(), process, settings.Peers, rank)
	ownership.SetCapacity(vmCapacity(settings.Machine))
	f := &Front{
		settings: settings, log: log, process: process, settingsPath: path,
		store:    platform.NewStore(client, settings.Store),
		workers:  platform.NewWorkers(client),
		peers:    newPeerClients(client, httpclient.New(engine)),
		metrics:  newMetrics(string(settings.DataCentre)),
		lease:    ownership,
		draining: make(chan struct{}), releasing: make(chan struct{}),
		workersPerCore: dispatch.WorkersPerCore, ownerChanged: make(chan struct{}, 1),
	}
	f.relay = newRelay(f)
	f.serving, f.endServing = context.WithCancel(context.Background())
	for _, option := range options {
		option(f)
	}
	return f
}

// Run serves until ctx is cancelled or SIGTERM or SIGINT arrives. SIGHUP reloads the
// settings file.
func (f *Front) Run(ctx context.Context, metricsPort uint16) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	return f.run(ctx, metricsPort, signals)
}

// run is Run with the channel on which signals arrive.
func (f *Front) run(ctx context.Context, metricsPort uint16, signals <-chan os.Signal) error {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	f.relay.ctx = inner
	callers, others, err := f.listen(metricsPort)
	if err != nil {
		return err
	}
	fields := f.machineFields()
	maps.Copy(fields, logrus.Fields{"process": f.process, "callers": f.settings.Callers, "peers": f.settings.Peers, "store": f.settings.Store})
	f.log.Event("start", fields)
	group, inner := errgroup.WithContext(inner)
	group.Go(func() error { return f.followConfiguration(inner) })
	group.Go(func() error { return f.followOwner(inner) })
	group.Go(func() error { return f.announceLoop(inner) })
	group.Go(func() error { return f.logStatusLoop(inner) })
	group.Go(func() error {
		defer cancel()
		f.handleSignals(inner, signals)
		// Responses may need the store and the owner, so they are written before the
		// other goroutines stop.
		f.endServing()
		shutDown(callers)
		return nil
	})
	err = group.Wait()
	shutDown(others...)
	f.log.Event("stop", logrus.Fields{"process": f.process})
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// listen starts the server for callers and the others.
func (f *Front) listen(metricsPort uint16) (callers *httpserver.Server, others []*httpserver.Server, err error) {
	var servers []*httpserver.Server
	for _, l := range []struct {
		name    string
		at      netip.AddrPort
		handler http.Handler
	}{
		{"callers", f.settings.Callers, http.HandlerFunc(f.serveRequest)},
		{"readiness", f.settings.Ready, http.HandlerFunc(f.serveReadiness)},
		{"peers", f.settings.Peers, f.peersHandler()},
		{"metrics", netip.AddrPortFrom(f.settings.Peers.Addr(), metricsPort), http.HandlerFunc(f.serveMetrics)},
	} {
		s, err := httpserver.Start(l.at, l.handler)
		if err != nil {
			f.endServing()
			shutDown(servers...)
			return nil, nil, fmt.Errorf("listen for %s: %w", l.name, err)
		}
		servers = append(servers, s)
	}
	return servers[0], servers[1:], nil
}

// shutDown stops servers after the responses to the requests in flight.
func shutDown(servers ...*httpserver.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), lastResponsesTimeout)
	defer cancel()
	var ended sync.WaitGroup
	for _, s := range servers {
		ended.Go(func() { s.Shutdown(ctx) })
	}
	ended.Wait()
}

// handleSignals returns when ctx is cancelled, or after a stop signal and the drain.
// Signals that arrive during the drain have no effect.
func (f *Front) handleSignals(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			if s == syscall.SIGHUP {
				f.reload()
				continue
			}
			f.log.Event("stopping", logrus.Fields{"signal": s.String()})
			f.startDraining()
			f.drain(ctx)
			return
		}
	}
}

// drain waits until no more requests are expected or the grace period is nearly over. An
// owner keeps the cell for minDrainTime or half the grace period, whichever is shorter,
// so that the cell changes owner less often in a rolling restart. Then it releases the
// cell.
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

// reload reads the settings file again and logs whether it changed. Changes take effect
// after a restart, as addresses cannot change while the process runs.
func (f *Front) reload() {
	set, err := platform.ReadSettings(f.settingsPath)
	if err != nil {
		f.log.Event("reload failed", logrus.Fields{"error": err.Error()})
		return
	}
	f.log.Event("reload", logrus.Fields{"changed": *set != *f.settings})
}

// startDraining makes the readiness probe fail and stops claims.
func (f *Front) startDraining() {
	f.drainOnce.Do(func() {
		f.leaseMu.Lock()
		f.lease.StopClaiming()
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

// followConfiguration tracks the newest valid configuration and the evacuations.
func (f *Front) followConfiguration(ctx context.Context) error {
	return f.follow(ctx, platform.TopicOperator, fromNewest, configurationWait(f.settings.Bounds.Contact), topicReader{
		newestOnly: true, apply: f.applyOperatorRecord, applyNewest: f.applyNewestOperatorRecords,
	})
}

// applyConfiguration applies a record if it is a newer configuration.
func (f *Front) applyConfiguration(r bamboofall.StoredRecord) {
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
}

// configurationWait returns the long-poll duration of reads of the configuration. If a connection
// goes silent, the configuration must be read over another one within Bounds.Contact.
func configurationWait(contact time.Duration) time.Duration {
	wait := contact - platform.ReadMargin - storeRetryDelay - configurationReadTime
	return max(minConfigurationLongPoll, min(wait, configurationLongPoll))
}

// fromNewest makes follow start with the newest record of each key.
const fromNewest = -1

// topicReader receives what follow reads. All fields are optional.
type topicReader struct {
	// apply is called with each record.
	apply func(bamboofall.StoredRecord)
	// applyNewest is called with the newest record of each key, which replace all records
	// that were read before, and the offset at which the topic ended then. Without it, apply is
	// called with each of them.
	applyNewest func(records []bamboofall.StoredRecord, end int64)
	// caughtUp is called after each successful read with the offset after the last record.
	caughtUp func(end int64)
	// newestOnly is set if only the newest record of each key matters. These are tried first
	// after a failed read, as all records since then may take a slow link too long.
	newestOnly bool
}

// follow reads a keyed topic from offset next on, or first the newest record of each key,
// as it does when records were trimmed before they were read. It returns only when ctx is
// cancelled.
func (f *Front) follow(ctx context.Context, topic string, next int64, wait time.Duration, to topicReader) error {
	failures := 0
	for ctx.Err() == nil {
		var err error
		switch {
		case next == fromNewest:
			next, err = f.readNewest(ctx, topic, to)
		case failures == 0:
			next, err = f.readFrom(ctx, topic, next, wait, to.apply)
		case to.newestOnly && failures%fullRetryInterval != 0:
			next, err = f.retryReadNewest(ctx, topic, next, to)
		case topic == topicOwners: // the owner needs time to renew
			next, err = f.retryReadFrom(ctx, topic, next, wait, failures, to.apply)
		default:
			next, err = f.retryReadFrom(ctx, topic, next, 0, failures, to.apply)
		}
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			failures++
			if failures == 1 {
				f.log.Event("store lost", logrus.Fields{"topic": topic, "error": err.Error()})
			}
			sleep(ctx, storeRetryDelay)
			continue
		}
		if failures > 0 {
			failures = 0
			f.log.Event("store regained", logrus.Fields{"topic": topic})
		}
		if to.caughtUp != nil && next != fromNewest {
			to.caughtUp(next)
		}
	}
	return nil
}

// readNewest applies the newest record of each key and returns the offset at which to
// continue.
func (f *Front) readNewest(ctx context.Context, topic string, to topicReader) (int64, error) {
	records, end, err := f.store.Newest(ctx, topic, cellPartition)
	if err != nil {
		return fromNewest, err
	}
	if to.applyNewest != nil {
		to.applyNewest(records, end)
		return end, nil
	}
	for _, r := range records {
		to.apply(r)
	}
	return end, nil
}

// readFrom applies the records from an offset on and returns the offset at which to
// continue: fromNewest if some records have expired.
func (f *Front) readFrom(ctx context.Context, topic string, from int64, wait time.Duration, apply func(bamboofall.StoredRecord)) (int64, error) {
	page, err := f.store.Read(ctx, topic, cellPartition, from, wait)
	var trimmed *bamboofall.TrimmedError
	if errors.As(err, &trimmed) {
		f.log.Event("records expired", logrus.Fields{"topic": topic, "from": from, "first": trimmed.Oldest})
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

const (
	// retryReadTimeout is the timeout of a read after a failed one. A slow store takes half
	// a second.
	retryReadTimeout = 600 * time.Millisecond
	// fullRetryInterval is the number of failed reads after which one read has only the
	// client's own timeout, in case the store is slower than that.
	fullRetryInterval = 4
)

// retryReadFrom is readFrom after failed reads. It does not wait long for an answer, so
// that the end of an outage is found soon.
func (f *Front) retryReadFrom(ctx context.Context, topic string, from int64, wait time.Duration, failures int, apply func(bamboofall.StoredRecord)) (int64, error) {
	if failures%fullRetryInterval != 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, wait+retryReadTimeout)
		defer cancel()
	}
	return f.readFrom(ctx, topic, from, wait, apply)
}

// retryReadNewest is readNewest after a failed read. If it fails, reads go on at offset from.
func (f *Front) retryReadNewest(ctx context.Context, topic string, from int64, to topicReader) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, retryReadTimeout)
	defer cancel()
	next, err := f.readNewest(ctx, topic, to)
	if err != nil {
		return from, err
	}
	return next, nil
}

func sleep(ctx context.Context, d time.Duration) { sleepOrSignal(ctx, nil, d) }

// sleepOrSignal waits for d, a signal or the cancellation of ctx.
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
