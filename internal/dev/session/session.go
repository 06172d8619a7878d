// Package session runs a whole deployment in one process: the stand-ins, the
// entry daemons, and a moderate constant load.
package session

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/config/object"
	"bamboofall.example/bamboofall/internal/dev/load"
	"bamboofall.example/bamboofall/internal/entry/daemon"
	"bamboofall.example/bamboofall/internal/operator/client"
	"bamboofall.example/bamboofall/internal/standin/platformapi"
	"bamboofall.example/bamboofall/internal/standin/site"
	"bamboofall.example/bamboofall/internal/wire/httpclient"
)

const (
	// startTimeout limits the time from publishing the objects until all entry
	// VMs are ready.
	startTimeout     = 30 * time.Second
	progressInterval = 5 * time.Second
	// settleDelay is the time for the latest submissions to reach all entry VMs
	// of their data centre before tasks are counted.
	settleDelay = 3 * time.Second
)

// Session is a running deployment. Use Start.
type Session struct {
	site *site.Site
	// engine is shared by all HTTP clients of the session, also those of the
	// daemons.
	engine *httpclient.Engine
	// client sends the requests of callers and operators.
	client  *httpclient.Client
	daemons []*daemon.Daemon
	cancels []context.CancelFunc
	running sync.WaitGroup
	// errs receives the errors with which daemons ended.
	errs     chan error
	progress io.Writer

	mu sync.Mutex
	// submitted holds the acknowledged runs by run name.
	submitted map[string]submittedRun
}

// submittedRun is a run whose submission was acknowledged.
type submittedRun struct {
	dataCentre bamboofall.DataCentre
	tasks      int64
}

// Start starts the stand-ins of a deployment. Progress messages are written to
// a writer.
func Start(d *site.Deployment, progress io.Writer) (*Session, error) {
	engine, err := httpclient.NewEngine()
	if err != nil {
		return nil, err
	}
	s := &Session{
		engine: engine, client: httpclient.New(engine), progress: progress,
		submitted: make(map[string]submittedRun), errs: make(chan error, d.EntryVMs),
	}
	s.site, err = site.Start(d)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// StartDaemons starts the entry daemons in this process.
func (s *Session) StartDaemons(logger *logrus.Logger) {
	for _, e := range s.site.Entries {
		s.startDaemon(e, logger)
	}
}

// WriteSettings writes the settings file of each entry VM into a folder, for
// daemons that run in processes of their own.
func (s *Session) WriteSettings(dir string) error {
	for _, e := range s.site.Entries {
		var text bytes.Buffer
		if err := s.site.Settings(e).Write(&text); err != nil {
			return err
		}
		path := filepath.Join(dir, string(e.VM)+".ini")
		if err := os.WriteFile(path, text.Bytes(), 0o644); err != nil {
			return fmt.Errorf("write settings of %s: %w", e.VM, err)
		}
	}
	return nil
}

func (s *Session) startDaemon(e site.Entry, logger *logrus.Logger) {
	platform := platformapi.NewClient(httpclient.New(s.engine), s.site.Platform, e.DataCentre)
	d := daemon.New(s.site.Settings(e), platform, s.engine, logger)
	ctx, cancel := context.WithCancel(context.Background())
	s.daemons = append(s.daemons, d)
	s.cancels = append(s.cancels, cancel)
	s.running.Go(func() {
		if err := d.Run(ctx); err != nil {
			s.errs <- fmt.Errorf("%s: %w", e.VM, err)
		}
	})
}

// Run publishes the objects, generates load for the given time, shuts the
// daemons down gracefully, and returns the summary.
func (s *Session) Run(ctx context.Context, loadDuration time.Duration) (*Summary, error) {
	objects, errs := object.CheckFiles([]string{s.site.Deployment.Load.Objects})
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	revision, err := s.publish(ctx, objects)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(s.progress, "configuration revision %d is in use at all %d entry VMs\n", revision, len(s.site.Entries))
	gen := load.New(s.client, s.site, s.callerGroups(objects), s.requestKinds(objects))
	ctx, cancel := context.WithTimeout(ctx, loadDuration)
	defer cancel()
	var work sync.WaitGroup
	work.Go(func() { gen.Run(ctx) })
	work.Go(func() { s.submitJobs(ctx) })
	work.Go(func() { s.reportProgress(ctx, gen) })
	work.Wait()
	sum := s.summary(gen, revision)
	s.stopDaemons()
	sum.addAudit(s.site.Audit.Figures())
	return sum, s.daemonError()
}

// daemonError returns an error with which a daemon ended, if there is one.
func (s *Session) daemonError() error {
	select {
	case err := <-s.errs:
		return err
	default:
		return nil
	}
}

// publish publishes the objects, waits until all entry VMs use them, and
// returns their revision.
func (s *Session) publish(ctx context.Context, objects []object.Object) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	change := client.Change{ID: uuid.NewString(), Author: "dev", Objects: client.FromObjects(objects)}
	c := client.New(s.client, s.site.Entries[0].Callers)
	for {
		res, err := c.Publish(ctx, change)
		if err == nil && res.Status == "inForce" {
			return res.Revision, s.waitReady(ctx, res.Revision)
		}
		select {
		case err := <-s.errs:
			return 0, err
		case <-ctx.Done():
			return 0, fmt.Errorf("publish objects: last status %q, reason %q: %w", res.Status, res.Reason, ctx.Err())
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// waitReady waits until every entry VM is ready at a revision or later and
// knows an owner of each shard.
func (s *Session) waitReady(ctx context.Context, revision uint64) error {
	for _, e := range s.site.Entries {
		c := client.New(s.client, e.Callers)
		for {
			status, err := c.Status(ctx)
			if err == nil && status.Revision >= revision && status.Ready && allShardsOwned(status) {
				break
			}
			select {
			case err := <-s.errs:
				return err
			case <-ctx.Done():
				return fmt.Errorf("entry VM %s did not become ready: %w", e.VM, ctx.Err())
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// allShardsOwned reports whether an entry VM knows an owner of each of its
// shards.
func allShardsOwned(status client.Status) bool {
	for _, sh := range status.Shards {
		if sh.Owner == "" {
			return false
		}
	}
	return true
}

// callerGroups returns the callers of each data centre that has entry VMs and
// trades.
func (s *Session) callerGroups(objects []object.Object) []load.CallerGroup {
	set, _ := object.NewSet(objects)
	var out []load.CallerGroup
	for _, dc := range s.site.Deployment.DataCentres {
		var c load.CallerGroup
		for _, e := range s.site.Entries {
			if e.DataCentre == dc {
				c.Entries = append(c.Entries, e.Callers)
			}
		}
		for name, t := range set.Trades {
			if t.DataCentre == dc {
				c.Trades = append(c.Trades, name)
			}
		}
		if len(c.Entries) > 0 && len(c.Trades) > 0 {
			out = append(out, c)
		}
	}
	return out
}

// requestKinds returns the kinds of requests in the load, with their weights.
func (s *Session) requestKinds(objects []object.Object) []load.Kind {
	set, _ := object.NewSet(objects)
	spec := set.Services[s.site.Deployment.Service.Name]
	var out []load.Kind
	for _, share := range s.site.Deployment.Load.Mix {
		atMostOnce, _ := spec.RequestKind(share.Kind)
		out = append(out, load.Kind{Name: share.Kind, Weight: share.Weight, NeedsKey: atMostOnce})
	}
	return out
}

// submitJobs submits the jobs in turn, alternating between data centres.
func (s *Session) submitJobs(ctx context.Context) {
	jobs := s.site.Deployment.Load.Jobs
	if len(jobs) == 0 {
		return
	}
	for i := 0; ; i++ {
		dc := s.site.Deployment.DataCentres[i%len(s.site.Deployment.DataCentres)]
		s.submit(ctx, dc, jobs[(i/len(s.site.Deployment.DataCentres))%len(jobs)], i)
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.site.Deployment.Load.JobEvery):
		}
	}
}

// submit submits a run of a job in a data centre, and adds it to s.submitted if
// it was acknowledged and is listed with its tasks.
func (s *Session) submit(ctx context.Context, dc bamboofall.DataCentre, job string, i int) {
	var entries []netip.AddrPort
	for _, e := range s.site.Entries {
		if e.DataCentre == dc {
			entries = append(entries, e.Callers)
		}
	}
	run := fmt.Sprintf("%s-%s-%d", job, dc, i)
	c := client.New(s.client, entries...)
	res, err := c.Submit(ctx, job, run)
	if err != nil || res.Status != "inForce" {
		return
	}
	runs, err := c.Runs(ctx, run)
	if err != nil || len(runs) != 1 {
		return
	}
	var tasks int64
	for _, n := range runs[0].Tasks {
		tasks += int64(n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.submitted[run] = submittedRun{dc, tasks}
}

// reportProgress writes a line with the counts so far at each progressInterval.
func (s *Session) reportProgress(ctx context.Context, gen *load.Generator) {
	startedAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(progressInterval):
		}
		c, f := gen.Counts(), s.site.Audit.Figures()
		fmt.Fprintf(s.progress, "%4.0fs  answered %d  not run %d  unknown %d  p99 %.1f ms  tasks started %d finished %d\n",
			time.Since(startedAt).Seconds(), c.Answered, c.NotRun, c.Unknown,
			milliseconds(gen.Latency(99)), f.TasksStarted, f.TasksFinished)
	}
}

func (s *Session) stopDaemons() {
	for _, stop := range s.cancels {
		stop()
	}
	s.running.Wait()
}

// Stop stops the daemons and the stand-ins.
func (s *Session) Stop() {
	s.stopDaemons()
	s.site.Stop()
	s.engine.Stop()
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
