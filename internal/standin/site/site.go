// Package site runs the stand-ins of one deployment on loopback sockets: the
// log, the list of VMs, the workers' agents, the upstream instances, and the
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

// entryLogShare is the fraction of the log's append limit that the entry VMs
// may use.
const entryLogShare = 0.7

// workerTickInterval is how often workers are simulated between sync requests.
const workerTickInterval = 20 * time.Millisecond

// Entry is an entry VM of the deployment.
type Entry struct {
	VM         bamboofall.VMID
	DataCentre bamboofall.DataCentre
	// Callers is the address for callers and operators.
	Callers netip.AddrPort
	// Peers is the address for other entry VMs. Those of other data centres
	// reach it through a link.
	Peers netip.AddrPort
}

// Site is a running deployment except for its entry daemons. Use Start.
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
	// cut partitions the data centres from each other while it is set.
	cut  atomic.Bool
	stop context.CancelFunc
	vms  []bamboofall.VM
	// linkAddresses holds the address of each entry VM as seen from other data
	// centres, which is that of a link.
	linkAddresses map[bamboofall.VMID]netip.AddrPort
}

// Start starts the stand-ins of a deployment.
func Start(d *Deployment) (*Site, error) {
	s := &Site{
		Deployment:    d,
		Audit:         audit.New(),
		Store:         logstore.New(d.Log.Retention, d.Log.Appends, 1),
		workers:       make(map[bamboofall.VMID]*worker.Worker),
		upstreams:     make(map[string]*upstream.Instance),
		linkAddresses: make(map[bamboofall.VMID]netip.AddrPort),
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	if err := s.start(); err != nil {
		s.Stop()
		return nil, err
	}
	go s.advanceWorkers(ctx)
	return s, nil
}

// start starts the servers of all stand-ins.
func (s *Site) start() error {
	ports, err := freePorts(2*s.Deployment.EntryVMs + s.Deployment.Service.Instances + 2)
	if err != nil {
		return err
	}
	nextAddress := func() netip.AddrPort {
		p := ports[0]
		ports = ports[1:]
		return p
	}
	s.Platform = nextAddress()
	agents := nextAddress()
	for i := range s.Deployment.EntryVMs {
		if err := s.addEntry(i, nextAddress(), nextAddress()); err != nil {
			return err
		}
	}
	for i := range s.Deployment.Workers.Count {
		s.addWorker(i, agents)
	}
	if err := s.startInstances(nextAddress); err != nil {
		return err
	}
	return errors.Join(
		s.serve(s.Platform, platformapi.PlatformHandler(s.Store, s.Fleet)),
		s.serve(agents, platformapi.AgentsHandler(s.Worker)),
	)
}

// The stand-ins use ports below the range that the system assigns to outgoing
// connections. Otherwise an outgoing connection could take a port before its
// server starts.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// freePorts returns n loopback addresses on which nothing listens. The search
// starts at a port that depends on the process ID, so that sites in parallel
// processes seldom compete for the same ports.
func freePorts(n int) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	loopback := netip.MustParseAddr("127.0.0.1")
	offset := os.Getpid() * n % (lastPort - firstPort)
	for i := 0; i < lastPort-firstPort && len(addresses) < n; i++ {
		address := netip.AddrPortFrom(loopback, uint16(firstPort+(offset+i)%(lastPort-firstPort)))
		l, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		defer l.Close()
		addresses = append(addresses, address)
	}
	if len(addresses) < n {
		return nil, fmt.Errorf("need %d free loopback ports, found %d", n, len(addresses))
	}
	return addresses, nil
}

func (s *Site) serve(address netip.AddrPort, h http.Handler) error {
	server, err := httpserver.Start(address, h)
	if err != nil {
		return err
	}
	s.servers = append(s.servers, server)
	return nil
}

// dataCentre returns the data centre of the i-th entry VM or worker; data
// centres take turns.
func (s *Site) dataCentre(i int) bamboofall.DataCentre {
	return s.Deployment.DataCentres[i%len(s.Deployment.DataCentres)]
}

// addEntry adds an entry VM and the link through which other data centres reach
// it.
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
	s.linkAddresses[e.VM] = l.Address()
	s.Entries = append(s.Entries, e)
	s.vms = append(s.vms, bamboofall.VM{ID: e.VM, DataCentre: e.DataCentre, Entry: peers})
	return nil
}

// addWorker adds the i-th worker. The first ones have accelerators.
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

// startInstances distributes the service's instances over the workers in turn
// and starts workers and instances.
func (s *Site) startInstances(nextAddress func() netip.AddrPort) error {
	spec := s.Deployment.Service
	entries := len(s.Entries)
	for i := range spec.Instances {
		vm := &s.vms[entries+i%s.Deployment.Workers.Count]
		vm.Instances = append(vm.Instances, bamboofall.Instance{
			ID: fmt.Sprintf("%s-%03d", spec.Name, i+1), Service: spec.Name, Address: nextAddress(),
			Slots: spec.Slots, Connections: spec.Connections, Size: spec.Size,
		})
	}
	now := time.Now()
	for _, vm := range s.vms[entries:] {
		w := worker.New(now, vm, s.Audit, s.taskBehaviour)
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

// taskBehaviour is the workers' model of the actual behaviour of tasks.
func (s *Site) taskBehaviour(c bamboofall.Command) worker.TaskBehaviour {
	deviation, ok := s.Deployment.JobDeviations[c.Job]
	if !ok {
		deviation = JobDeviation{TimeFactor: 1, SizeFactor: 1}
	}
	scale := func(v int64) int64 { return int64(float64(v) * deviation.SizeFactor) }
	return worker.TaskBehaviour{
		RunTime: time.Duration(float64(c.RunTime) * deviation.TimeFactor),
		Size: bamboofall.Resources{
			MilliProcessors: scale(c.Size.MilliProcessors), MemoryBytes: scale(c.Size.MemoryBytes),
			Accelerators: c.Size.Accelerators,
		},
		Fails: deviation.FailEvery > 0 && (int64(c.Task.Index)+int64(c.Attempt))%deviation.FailEvery == 0,
	}
}

// noise returns the latency inflation due to the tasks that run on a worker.
func (s *Site) noise(w *worker.Worker) float64 {
	sum := 0.0
	for job, tasks := range w.RunningTasksByJob() {
		sum += s.Deployment.JobDeviations[job].Noise * tasks
	}
	return sum
}

// payload is the body of both a generated request and its answer.
type payload struct {
	// ID identifies the request; the answer repeats it.
	ID string `json:"id"`
	// Total is the size of the request body in bytes. Only answers have it.
	Total int `json:"total,omitempty"`
}

// instanceHandler serves the requests to an upstream instance.
func (s *Site) instanceHandler(u *upstream.Instance) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request payload
		data, err := io.ReadAll(r.Body)
		if err == nil {
			err = json.Unmarshal(data, &request)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		work, ok := u.Begin(request.ID, r.Header.Get("Idempotency-Key"), s.Deployment.Service.Work)
		if !ok {
			w.Header().Set("Bamboofall-Outcome", bamboofall.OutcomeNotRun.String())
			http.Error(w, "refused", http.StatusServiceUnavailable)
			return
		}
		time.Sleep(work)
		u.End()
		out, err := json.Marshal(payload{ID: request.ID, Total: len(data)})
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

// advanceWorkers simulates the workers periodically until the context ends.
func (s *Site) advanceWorkers(ctx context.Context) {
	ticker := time.NewTicker(workerTickInterval)
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

// Worker returns the worker with the given ID, or nil.
func (s *Site) Worker(id bamboofall.VMID) *worker.Worker { return s.workers[id] }

// Fleet returns the platform's list of VMs as seen from a data centre: entry
// VMs of other data centres have the addresses of their links. An empty data
// centre gives the direct addresses.
func (s *Site) Fleet(dc bamboofall.DataCentre) bamboofall.Fleet {
	var f bamboofall.Fleet
	for _, vm := range s.vms {
		if vm.Entry.IsValid() && dc != "" && vm.DataCentre != dc {
			vm.Entry = s.linkAddresses[vm.ID]
		}
		f.VMs = append(f.VMs, vm)
	}
	return f
}

// Cut partitions the data centres from each other, or reconnects them.
func (s *Site) Cut(cut bool) { s.cut.Store(cut) }

// Settings returns the daemon settings of an entry VM.
func (s *Site) Settings(e Entry) *settings.Settings {
	entrySettings := &settings.Settings{
		VM: e.VM, DataCentre: e.DataCentre, Callers: e.Callers, Peers: e.Peers, Platform: s.Platform,
		Shards: s.Deployment.Shards, LogAppends: s.Deployment.Log.Appends * entryLogShare, LogLevel: "info", Timing: settings.DefaultTiming(),
		Batch: settings.Batch{TailWeight: 0.5},
	}
	entrySettings.Timing.Retention = s.Deployment.Log.Retention
	for _, other := range s.Entries {
		if other.DataCentre == e.DataCentre && other.VM != e.VM {
			entrySettings.Neighbours = append(entrySettings.Neighbours, other.Peers)
		}
	}
	return entrySettings
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
