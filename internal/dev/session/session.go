// Package session runs a whole deployment in one process: the stand-ins, the
// entry daemons and a small steady load.
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
	startTimeout  = 30 * time.Second
	progressEvery = 5 * time.Second
	// settleTime lets what was submitted be seen everywhere.
	settleTime = 3 * time.Second
)

// Session is a running deployment. Use Start.
type Session struct {
	site    *site.Site
	engine  *httpclient.Engine
	client  *httpclient.Client
	daemons []*daemon.Daemon
	stops   []context.CancelFunc
	running sync.WaitGroup
	errs    chan error
	out     io.Writer

	mu        sync.Mutex
	submitted map[string]submission
}

// submission is a run that was acknowledged.
type submission struct {
	dataCentre bamboofall.DataCentre
	tasks      int64
}

// Start starts the stand-ins of a deployment. Progress goes to a writer.
func Start(d *site.Deployment, out io.Writer) (*Session, error) {
	engine, err := httpclient.NewEngine()
	if err != nil {
		return nil, err
	}
	s := &Session{
		engine: engine, client: httpclient.New(engine), out: out,
		submitted: make(map[string]submission), errs: make(chan error, d.EntryVMs),
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

// WriteSettings writes the settings of each entry VM into a folder, for daemons
// that run as processes of their own.
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
	s.stops = append(s.stops, cancel)
	s.running.Go(func() {
		if err := d.Run(ctx); err != nil {
			s.errs <- fmt.Errorf("%s: %w", e.VM, err)
		}
	})
}

// Run publishes the objects, makes load for a time, shuts the daemons down
// gracefully and returns the summary.
func (s *Session) Run(ctx context.Context, span time.Duration) (*Summary, error) {
	objects, errs := object.CheckFiles([]string{s.site.Deployment.Load.Objects})
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	revision, err := s.publish(ctx, objects)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(s.out, "revision %d is in force at all %d entry VMs\n", revision, len(s.site.Entries))
	gen := load.New(s.client, s.site, s.callers(objects), s.kinds(objects))
	ctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	var work sync.WaitGroup
	work.Go(func() { gen.Run(ctx) })
	work.Go(func() { s.submitJobs(ctx) })
	work.Go(func() { s.showProgress(ctx, gen) })
	work.Wait()
	sum := s.summary(gen, revision)
	s.stopDaemons()
	sum.addAudit(s.site.Audit.Figures())
	return sum, s.failure()
}

func (s *Session) failure() error {
	select {
	case err := <-s.errs:
		return err
	default:
		return nil
	}
}

// publish puts the objects in force and waits until every entry VM has them.
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
			return 0, fmt.Errorf("publish: %s %s %w", res.Status, res.Reason, ctx.Err())
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// waitReady waits until every entry VM has a revision and owns its shards.
func (s *Session) waitReady(ctx context.Context, revision uint64) error {
	for _, e := range s.site.Entries {
		c := client.New(s.client, e.Callers)
		for {
			st, err := c.Status(ctx)
			if err == nil && st.Revision >= revision && st.Ready && owned(st) {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready: %w", e.VM, ctx.Err())
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

func owned(st client.Status) bool {
	for _, sh := range st.Shards {
		if sh.Owner == "" {
			return false
		}
	}
	return true
}

// callers returns a place of callers for each data centre, with its trades.
func (s *Session) callers(objects []object.Object) []load.Caller {
	set, _ := object.NewSet(objects)
	var out []load.Caller
	for _, dc := range s.site.Deployment.DataCentres {
		var c load.Caller
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

func (s *Session) kinds(objects []object.Object) []load.Kind {
	set, _ := object.NewSet(objects)
	spec := set.Services[s.site.Deployment.Service.Name]
	var out []load.Kind
	for _, share := range s.site.Deployment.Load.Mix {
		once, _ := spec.RequestKind(share.Kind)
		out = append(out, load.Kind{Name: share.Kind, Weight: share.Weight, Once: once})
	}
	return out
}

// submitJobs submits the jobs in turn, in each data centre.
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
	s.submitted[run] = submission{dc, tasks}
}

func (s *Session) showProgress(ctx context.Context, gen *load.Generator) {
	begun := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(progressEvery):
		}
		c, f := gen.Counts(), s.site.Audit.Figures()
		fmt.Fprintf(s.out, "%4.0fs  answered %d  not run %d  unknown %d  p99 %.1f ms  tasks started %d finished %d\n",
			time.Since(begun).Seconds(), c.Answered, c.NotRun, c.Unknown,
			milliseconds(gen.Latency(99)), f.TasksStarted, f.TasksFinished)
	}
}

func (s *Session) stopDaemons() {
	for _, stop := range s.stops {
		stop()
	}
	s.running.Wait()
}

// Stop ends the session.
func (s *Session) Stop() {
	s.stopDaemons()
	s.site.Stop()
	s.engine.Stop()
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
