// Package bed simulates a deployment in virtual time: entry VMs joined to the
// stand-ins by a discrete-event queue.
//
// An entry VM consists of its two state machines, node and router, and a little
// code in place of the daemon's sockets. Tests and measurements inject faults
// into the stand-ins, VMs or network. Two beds with the same options and the
// same calls behave identically.
package bed

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/config/object"
	"bamboofall.example/bamboofall/internal/config/settings"
	"bamboofall.example/bamboofall/internal/standin/audit"
	"bamboofall.example/bamboofall/internal/standin/logstore"
	"bamboofall.example/bamboofall/internal/standin/upstream"
	"bamboofall.example/bamboofall/internal/standin/worker"
)

const (
	// localDelay is the one-way network delay within a data centre.
	localDelay = 200 * time.Microsecond
	// platformDelay is the one-way network delay between a VM and the platform.
	platformDelay = 2 * time.Millisecond
	// logPollInterval is how often a waiting log read checks for new entries.
	logPollInterval = 10 * time.Millisecond
	// cutLinkTimeout is the time after which a call over a cut link fails.
	cutLinkTimeout = 2 * time.Second
	// fleetListInterval is how often an entry VM fetches the platform's list of
	// VMs.
	fleetListInterval = time.Second
	// fleetListLag is the age of the platform's list when it reaches an entry
	// VM.
	fleetListLag = 2 * time.Second
	// nodeTickInterval and routerTickInterval are the periods of the state
	// machines' ticks.
	nodeTickInterval   = 50 * time.Millisecond
	routerTickInterval = 10 * time.Millisecond
	// reportInterval is how often the router's figures are passed to the node.
	reportInterval = 100 * time.Millisecond
	// reportsPerObservation is how many of the router's reports to the node
	// come for each one that includes observations.
	reportsPerObservation = 10
)

// Epoch is when virtual time starts.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Options configure a bed. Zero fields get defaults.
type Options struct {
	Seed        uint64
	DataCentres []bamboofall.DataCentre
	// Entries, Workers and Instances are counts per data centre.
	Entries   int
	Workers   int
	Instances int
	// Slots is the number of requests that an instance processes at the same
	// time.
	Slots   int
	Shards  int
	Service string
	// Work is the mean processing time of each kind of request at an instance.
	Work map[string]time.Duration
	// MaxWork is the time after which an instance aborts a request.
	MaxWork time.Duration
	// LinkDelay is the one-way delay between data centres.
	LinkDelay time.Duration
	// Room is the capacity of each worker VM.
	Room bamboofall.Resources
	// Model is the actual behaviour of tasks. The default is as declared.
	Model worker.Model
	// Noise is the latency inflation that one running task of a job adds to the
	// instances on its VM: 0.5 means 50 %.
	Noise map[string]float64
	// Retention is how long the log keeps entries.
	Retention time.Duration
	// Appends is the limit of log appends per second.
	Appends float64
	// TailWeight is the weight of tail latency against batch throughput: 0
	// favours throughput, 1 tail latency.
	TailWeight float64
	Timing     *settings.Timing
}

func (o *Options) setDefaults() {
	if len(o.DataCentres) == 0 {
		o.DataCentres = []bamboofall.DataCentre{"north"}
	}
	setDefault(&o.Entries, 2)
	setDefault(&o.Workers, 4)
	setDefault(&o.Instances, 4)
	setDefault(&o.Slots, 8)
	setDefault(&o.Shards, 4)
	setDefault(&o.Service, "ledger")
	setDefault(&o.MaxWork, 6*time.Second)
	setDefault(&o.LinkDelay, 5*time.Millisecond)
	setDefault(&o.Retention, time.Hour)
	setDefault(&o.Appends, 300)
	if o.Room == (bamboofall.Resources{}) {
		o.Room = bamboofall.Resources{MilliProcessors: 32_000, MemoryBytes: 125e9}
	}
	if o.Model == nil {
		o.Model = func(c bamboofall.Command) worker.TaskBehaviour {
			return worker.TaskBehaviour{RunTime: c.RunTime, Size: c.Size}
		}
	}
	if o.Timing == nil {
		t := settings.DefaultTiming()
		o.Timing = &t
	}
	o.Timing.Retention = o.Retention
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Bed is a simulated deployment. Use New.
type Bed struct {
	Options Options
	Audit   *audit.Audit
	Store   *logstore.Store
	// Trace, if set, is called for each decision that an entry VM records.
	Trace func(at time.Duration, vm bamboofall.VMID, kind, name, message string)
	// OnStep, if set, is called when a request, log append or task attempt
	// reaches a step. The subject identifies it.
	OnStep func(s Step, subject string)

	now      time.Time
	queue    eventQueue
	sequence uint64
	rand     *rand.Rand
	entries  map[bamboofall.VMID]*Entry
	// entryIDs lists the entry VMs in a fixed order, as map iteration is
	// random.
	entryIDs  []bamboofall.VMID
	workers   map[bamboofall.VMID]*worker.Worker
	instances map[string]*upstream.Instance
	vms       []bamboofall.VM
	// leaving marks VMs that the platform's list shows as leaving.
	leaving map[bamboofall.VMID]bool
	// removed marks VMs that are missing from the platform's list.
	removed map[bamboofall.VMID]bool
	// cuts holds the partitioned pairs of places, in both directions. See Cut.
	cuts      map[[2]string]bool
	callCount uint64
}

// New returns a bed at virtual time zero, with its entry VMs just started.
func New(o Options) *Bed {
	o.setDefaults()
	b := &Bed{
		Options:   o,
		Audit:     audit.New(),
		Store:     logstore.New(o.Retention, o.Appends, o.Seed),
		now:       Epoch,
		rand:      rand.New(rand.NewPCG(o.Seed, 99)),
		entries:   make(map[bamboofall.VMID]*Entry),
		workers:   make(map[bamboofall.VMID]*worker.Worker),
		instances: make(map[string]*upstream.Instance),
		leaving:   make(map[bamboofall.VMID]bool),
		removed:   make(map[bamboofall.VMID]bool),
		cuts:      make(map[[2]string]bool),
	}
	port := uint16(1)
	nextAddress := func() netip.AddrPort {
		port++
		return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	}
	for _, dc := range o.DataCentres {
		for i := range o.Entries {
			id := bamboofall.VMID(fmt.Sprintf("%s-e%d", dc, i+1))
			b.vms = append(b.vms, bamboofall.VM{ID: id, DataCentre: dc, Entry: nextAddress()})
			b.entryIDs = append(b.entryIDs, id)
		}
		for i := range o.Workers {
			b.addWorker(dc, i, nextAddress)
		}
	}
	for _, id := range b.entryIDs {
		b.StartEntry(id)
	}
	b.every(workerTickInterval, b.advanceWorkers)
	return b
}

// workerTickInterval is how often workers are simulated between sync requests.
const workerTickInterval = 20 * time.Millisecond

func (b *Bed) addWorker(dc bamboofall.DataCentre, i int, nextAddress func() netip.AddrPort) {
	o := b.Options
	vm := bamboofall.VM{
		ID: bamboofall.VMID(fmt.Sprintf("%s-w%02d", dc, i+1)), DataCentre: dc,
		Rack: fmt.Sprintf("%s-r%d", dc, i/4+1), Agent: nextAddress(), Room: o.Room,
	}
	for n := i; n < o.Instances; n += o.Workers {
		vm.Instances = append(vm.Instances, bamboofall.Instance{
			ID: fmt.Sprintf("%s-%s-%02d", o.Service, dc, n+1), Service: o.Service, Address: nextAddress(),
			Slots: o.Slots, Connections: 64, Size: bamboofall.Resources{MilliProcessors: 4000, MemoryBytes: 8e9},
		})
	}
	w := worker.New(b.now, vm, b.Audit, o.Model)
	b.workers[vm.ID] = w
	for _, spec := range vm.Instances {
		b.instances[spec.ID] = upstream.New(spec, b.Audit, func() float64 { return b.noise(w) }, o.MaxWork, o.Seed+uint64(len(b.instances)))
	}
	b.vms = append(b.vms, vm)
}

// noise returns the latency inflation due to the tasks that run on a worker.
func (b *Bed) noise(w *worker.Worker) float64 {
	sum := 0.0
	for job, tasks := range w.RunningTasksByJob() {
		sum += b.Options.Noise[job] * tasks
	}
	return sum
}

func (b *Bed) advanceWorkers() {
	for _, vm := range b.vms {
		if w := b.workers[vm.ID]; w != nil {
			w.Advance(b.now)
		}
	}
}

// Now returns the virtual time since Epoch.
func (b *Bed) Now() time.Duration { return b.now.Sub(Epoch) }

// At schedules a function at a virtual time since Epoch.
func (b *Bed) At(at time.Duration, f func()) { b.schedule(Epoch.Add(at), f) }

func (b *Bed) after(d time.Duration, f func()) { b.schedule(b.now.Add(d), f) }

func (b *Bed) schedule(at time.Time, f func()) {
	b.sequence++
	heap.Push(&b.queue, event{at, b.sequence, f})
}

// every calls a function periodically, first after d.
func (b *Bed) every(d time.Duration, f func()) {
	var tick func()
	tick = func() {
		f()
		b.after(d, tick)
	}
	b.after(d, tick)
}

// Run processes all events up to a virtual time and stops there.
func (b *Bed) Run(until time.Duration) {
	end := Epoch.Add(until)
	for len(b.queue) > 0 && !b.queue[0].at.After(end) {
		e := heap.Pop(&b.queue).(event)
		b.now = e.at
		e.run()
	}
	b.now = end
}

// RunUntil runs the bed until a condition holds or the time limit is reached,
// and reports whether the condition holds. It checks every 50 ms.
func (b *Bed) RunUntil(limit time.Duration, condition func() bool) bool {
	for !condition() {
		if b.Now() >= limit {
			return false
		}
		b.Run(min(b.Now()+50*time.Millisecond, limit))
	}
	return true
}

// Entry returns the entry VM with the given ID.
func (b *Bed) Entry(id bamboofall.VMID) *Entry { return b.entries[id] }

// Entries returns the IDs of the entry VMs.
func (b *Bed) Entries() []bamboofall.VMID { return b.entryIDs }

// Worker returns the worker with the given ID.
func (b *Bed) Worker(id bamboofall.VMID) *worker.Worker { return b.workers[id] }

// Workers returns the IDs of the workers.
func (b *Bed) Workers() []bamboofall.VMID {
	var out []bamboofall.VMID
	for _, vm := range b.vms {
		if vm.Agent.IsValid() {
			out = append(out, vm.ID)
		}
	}
	return out
}

// Instance returns the upstream instance with the given ID.
func (b *Bed) Instance(id string) *upstream.Instance { return b.instances[id] }

// Instances returns the IDs of the upstream instances.
func (b *Bed) Instances() []string {
	var out []string
	for _, vm := range b.vms {
		for _, i := range vm.Instances {
			out = append(out, i.ID)
		}
	}
	return out
}

// SetLeaving marks a VM as leaving in the platform's list.
func (b *Bed) SetLeaving(id bamboofall.VMID, leaving bool) { b.leaving[id] = leaving }

// SetGone removes a VM from the platform's list or adds it again. Connections
// to the instances of a removed VM fail.
func (b *Bed) SetGone(id bamboofall.VMID, gone bool) { b.removed[id] = gone }

// Cut partitions the network between two places, or restores it. A place is the
// ID of a VM, a data centre, or "platform".
func (b *Bed) Cut(place1, place2 string, cut bool) {
	b.cuts[[2]string{place1, place2}] = cut
	b.cuts[[2]string{place2, place1}] = cut
}

// connected reports whether no cut separates a VM from another VM or
// "platform".
func (b *Bed) connected(from bamboofall.VMID, to string) bool {
	for _, fromName := range b.cutNames(string(from)) {
		for _, toName := range b.cutNames(to) {
			if b.cuts[[2]string{fromName, toName}] {
				return false
			}
		}
	}
	return true
}

// cutNames returns the names under which a cut may refer to a VM or "platform".
func (b *Bed) cutNames(name string) []string {
	for _, vm := range b.vms {
		if string(vm.ID) == name {
			return []string{name, string(vm.DataCentre)}
		}
	}
	return []string{name}
}

// networkDelay returns the one-way delay between two VMs. Between data centres
// it includes random jitter.
func (b *Bed) networkDelay(vm1, vm2 bamboofall.VMID) time.Duration {
	if b.dataCentreOf(vm1) == b.dataCentreOf(vm2) {
		return localDelay
	}
	return b.Options.LinkDelay + time.Duration(b.rand.Int64N(int64(b.Options.LinkDelay)/4+1))
}

func (b *Bed) dataCentreOf(id bamboofall.VMID) bamboofall.DataCentre {
	for _, vm := range b.vms {
		if vm.ID == id {
			return vm.DataCentre
		}
	}
	return ""
}

// fleet returns the platform's current list of VMs.
func (b *Bed) fleet() bamboofall.Fleet {
	var f bamboofall.Fleet
	for _, vm := range b.vms {
		if !b.removed[vm.ID] {
			vm.Leaving = b.leaving[vm.ID]
			f.VMs = append(f.VMs, vm)
		}
	}
	return f
}

// Objects parses objects in INI form. It panics if they are invalid.
func Objects(text string) []object.Object {
	objects, errs := object.Parse("objects.ini", []byte(text))
	if len(errs) > 0 {
		panic(errs[0])
	}
	return objects
}

// event is a function call due at a virtual time. Events due at the same time
// run in the order of their sequence numbers.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// Clock returns the current virtual time.
func (b *Bed) Clock() time.Time { return b.now }

// Callers returns the number of calls made so far.
func (b *Bed) Callers() uint64 { return b.callCount }
