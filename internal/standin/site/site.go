// Package site runs the stand-ins of one deployment over loopback sockets: the
// log, the list of VMs, the workers' agents, the upstream instances and the
// links between data centres.
package site

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/config/settings"
	"bamboofall.example/bamboofall/internal/standin/audit"
	"bamboofall.example/bamboofall/internal/standin/link"
	"bamboofall.example/bamboofall/internal/standin/logstore"
	"bamboofall.example/bamboofall/internal/standin/platformapi"
	"bamboofall.example/bamboofall/internal/standin/upstream"
	"bamboofall.example/bamboofall/internal/standin/worker"
	"bamboofall.example/bamboofall/internal/wire/httpserver"
)

// logShare is the part of the log's appends that the entry VMs may use.
const logShare = 0.7

const advanceEvery = 20 * time.Millisecond

// Entry is an entry VM of the deployment.
type Entry struct {
	VM         bamboofall.VMID
	DataCentre bamboofall.DataCentre
	Callers    netip.AddrPort
	Peers      netip.AddrPort
}

// Site is a running deployment without its entry daemons. Use Start.
type Site struct {
	Deployment *Deployment
	Audit      *audit.Audit
	Store      *logstore.Store
	Entries    []Entry
	Platform   netip.AddrPort

	workers   map[bamboofall.VMID]*worker.Worker
	upstreams map[string]*upstream.Instance
	servers   []*httpserver.Server
	links     []*link.Link
	cut       atomic.Bool
	stop      context.CancelFunc
	vms       []bamboofall.VM
	// far holds the address of an entry VM as seen from another data centre.
	far map[bamboofall.VMID]netip.AddrPort
}

// Start starts the stand-ins of a deployment.
func Start(d *Deployment) (*Site, error) {
	s := &Site{
		Deployment: d,
		Audit:      audit.New(),
		Store:      logstore.New(d.Log.Retention, d.Log.Appends, 1),
		workers:    make(map[bamboofall.VMID]*worker.Worker),
		upstreams:  make(map[string]*upstream.Instance),
		far:        make(map[bamboofall.VMID]netip.AddrPort),
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	if err := s.start(); err != nil {
		s.Stop()
		return nil, err
	}
	go s.advance(ctx)
	return s, nil
}

func (s *Site) start() error {
	ports, err := freePorts(2*s.Deployment.EntryVMs + s.Deployment.Service.Instances + 2)
	if err != nil {
		return err
	}
	take := func() netip.AddrPort {
		p := ports[0]
		ports = ports[1:]
		return p
	}
	s.Platform = take()
	agents := take()
	for i := range s.Deployment.EntryVMs {
		if err := s.addEntry(i, take(), take()); err != nil {
			return err
		}
	}
	for i := range s.Deployment.Workers.Count {
		s.addWorker(i, agents)
	}
	if err := s.startInstances(take); err != nil {
		return err
	}
	return errors.Join(
		s.serve(s.Platform, platformapi.LogHandler(s.Store, s.Fleet)),
		s.serve(agents, platformapi.AgentsHandler(s.Worker)),
	)
}

// The ports of the stand-ins lie below those that the system gives to outgoing
// connections, so that none of them is taken before its server starts.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// freePorts returns loopback addresses on which nothing listens.
func freePorts(n int) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	loopback := netip.MustParseAddr("127.0.0.1")
	begin := os.Getpid() * n % (lastPort - firstPort)
	for i := 0; i < lastPort-firstPort && len(out) < n; i++ {
		address := netip.AddrPortFrom(loopback, uint16(firstPort+(begin+i)%(lastPort-firstPort)))
		l, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		defer l.Close()
		out = append(out, address)
	}
	if len(out) < n {
		return nil, fmt.Errorf("%d free ports wanted, %d found", n, len(out))
	}
	return out, nil
}

func (s *Site) serve(to netip.AddrPort, h http.Handler) error {
	server, err := httpserver.Start(to, h)
	if err != nil {
		return err
	}
	s.servers = append(s.servers, server)
	return nil
}

func (s *Site) dataCentre(i int) bamboofall.DataCentre {
	return s.Deployment.DataCentres[i%len(s.Deployment.DataCentres)]
}

func (s *Site) addEntry(i int, callers, peers netip.AddrPort) error {
	e := Entry{
		VM:         bamboofall.VMID(fmt.Sprintf("entry-%02d", i+1)),
		DataCentre: s.dataCentre(i), Callers: callers, Peers: peers,
	}
	l, err := link.Start(peers, s.Deployment.LinkDelay, &s.cut)
	if err != nil {
		return err
	}
	s.links = append(s.links, l)
	s.far[e.VM] = l.Address()
	s.Entries = append(s.Entries, e)
	s.vms = append(s.vms, bamboofall.VM{ID: e.VM, DataCentre: e.DataCentre, Entry: peers})
	return nil
}

func (s *Site) addWorker(i int, agents netip.AddrPort) {
	dc := s.dataCentre(i)
	room := s.Deployment.Workers.Room
	if i >= s.Deployment.Workers.Accelerated {
		room.Accelerators = 0
	}
	rack := i / len(s.Deployment.DataCentres) / s.Deployment.Workers.PerRack
	s.vms = append(s.vms, bamboofall.VM{
		ID: bamboofall.VMID(fmt.Sprintf("worker-%03d", i+1)), DataCentre: dc,
		Rack: fmt.Sprintf("%s-rack-%d", dc, rack+1), Agent: agents, Room: room,
	})
}

// startInstances puts the service's instances on the workers in turn.
func (s *Site) startInstances(take func() netip.AddrPort) error {
	spec := s.Deployment.Service
	entries := len(s.Entries)
	for i := range spec.Instances {
		vm := &s.vms[entries+i%s.Deployment.Workers.Count]
		vm.Instances = append(vm.Instances, bamboofall.Instance{
			ID: fmt.Sprintf("%s-%03d", spec.Name, i+1), Service: spec.Name, Address: take(),
			Slots: spec.Slots, Connections: spec.Connections, Size: spec.Size,
		})
	}
	now := time.Now()
	for _, vm := range s.vms[entries:] {
		w := worker.New(now, vm, s.Audit, s.truth)
		s.workers[vm.ID] = w
		for _, i := range vm.Instances {
			u := upstream.New(i, s.Audit, func() float64 { return s.noise(w) }, s.Deployment.Service.MaxWork, uint64(len(s.upstreams)))
			s.upstreams[i.ID] = u
			if err := s.serve(i.Address, s.instanceHandler(u)); err != nil {
				return err
			}
		}
	}
	return nil
}

// truth is the model of what tasks really do.
func (s *Site) truth(c bamboofall.Command) worker.Truth {
	t, ok := s.Deployment.Truths[c.Job]
	if !ok {
		t = Truth{TimeFactor: 1, SizeFactor: 1}
	}
	scale := func(v int64) int64 { return int64(float64(v) * t.SizeFactor) }
	return worker.Truth{
		RunTime: time.Duration(float64(c.RunTime) * t.TimeFactor),
		Size: bamboofall.Resources{
			MilliProcessors: scale(c.Size.MilliProcessors), MemoryBytes: scale(c.Size.MemoryBytes),
			Accelerators: c.Size.Accelerators,
		},
		Fails: t.FailEvery > 0 && (int64(c.Task.Index)+int64(c.Attempt))%t.FailEvery == 0,
	}
}

// noise is the inflation that a worker's tasks add to its instances.
func (s *Site) noise(w *worker.Worker) float64 {
	sum := 0.0
	for job, tasks := range w.RunningTasksByJob() {
		sum += s.Deployment.Truths[job].Noise * tasks
	}
	return sum
}

// body is what the load generator sends and what an instance answers.
type body struct {
	ID    string `json:"id"`
	Total int    `json:"total,omitempty"`
}

func (s *Site) instanceHandler(u *upstream.Instance) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var in body
		data, err := io.ReadAll(r.Body)
		if err == nil {
			err = json.Unmarshal(data, &in)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		work, ok := u.Begin(in.ID, r.Header.Get("Idempotency-Key"), s.Deployment.Service.Work)
		if !ok {
			w.Header().Set("Bamboofall-Outcome", bamboofall.OutcomeNotRun.String())
			http.Error(w, "refused", http.StatusServiceUnavailable)
			return
		}
		time.Sleep(work)
		u.End()
		out, err := json.Marshal(body{ID: in.ID, Total: len(data)})
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Bamboofall-Request", r.Header.Get("Bamboofall-Request"))
		w.Header().Set("Content-Length", strconv.Itoa(len(out)))
		_, _ = w.Write(out)
	})
}

// advance lets time pass on the workers.
func (s *Site) advance(ctx context.Context) {
	ticker := time.NewTicker(advanceEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, w := range s.workers {
				w.Advance(now)
			}
		}
	}
}

// Worker returns a worker, or nil.
func (s *Site) Worker(id bamboofall.VMID) *worker.Worker { return s.workers[id] }

// Fleet returns the platform's list as a data centre sees it. Entry VMs of
// other data centres stand behind links.
func (s *Site) Fleet(dc bamboofall.DataCentre) bamboofall.Fleet {
	var f bamboofall.Fleet
	for _, vm := range s.vms {
		if vm.Entry.IsValid() && dc != "" && vm.DataCentre != dc {
			vm.Entry = s.far[vm.ID]
		}
		f.VMs = append(f.VMs, vm)
	}
	return f
}

// Cut cuts the links between data centres, or mends them.
func (s *Site) Cut(cut bool) { s.cut.Store(cut) }

// Settings returns the settings of an entry VM's daemon.
func (s *Site) Settings(e Entry) *settings.Settings {
	set := &settings.Settings{
		VM: e.VM, DataCentre: e.DataCentre, Callers: e.Callers, Peers: e.Peers, Platform: s.Platform,
		Shards: s.Deployment.Shards, LogAppends: s.Deployment.Log.Appends * logShare, LogLevel: "info", Timing: settings.DefaultTiming(),
		Batch: settings.Batch{TailWeight: 0.5},
	}
	set.Timing.Retention = s.Deployment.Log.Retention
	for _, other := range s.Entries {
		if other.DataCentre == e.DataCentre && other.VM != e.VM {
			set.Neighbours = append(set.Neighbours, other.Peers)
		}
	}
	return set
}

// Stop stops all stand-ins.
func (s *Site) Stop() {
	s.stop()
	var wait sync.WaitGroup
	for _, server := range s.servers {
		wait.Go(server.Stop)
	}
	wait.Wait()
	for _, l := range s.links {
		l.Stop()
	}
}
