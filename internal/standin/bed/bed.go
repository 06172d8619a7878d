// Package bed joins a handful of entry VMs to the stand-ins in virtual time.
//
// It is a queue of events with a clock. Each entry VM is its two state machines
// and a few lines in place of the daemon's sockets. Everything that a test or a
// measurement changes is a fault of a stand-in, of a VM or of the network. Two
// beds with the same options and the same calls do the same.
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
	localDelay    = 200 * time.Microsecond
	platformDelay = 2 * time.Millisecond
	pollEvery     = 10 * time.Millisecond
	// cutTimeout is when a call over a cut link fails.
	cutTimeout  = 2 * time.Second
	listEvery   = time.Second
	listLag     = 2 * time.Second
	nodeTick    = 50 * time.Millisecond
	routerTick  = 10 * time.Millisecond
	reportEvery = 100 * time.Millisecond
	observeEach = 10
)

// Epoch is the start of virtual time.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Options describe a bed. The zero value of a field means its default.
type Options struct {
	Seed        uint64
	DataCentres []bamboofall.DataCentre
	// Entries, Workers and Instances are per data centre.
	Entries   int
	Workers   int
	Instances int
	Slots     int
	Shards    int
	Service   string
	// Work is the mean time that an instance works on a request of a kind.
	Work map[string]time.Duration
	// MaxWork is when an instance gives up on a request.
	MaxWork time.Duration
	// LinkDelay is the one-way delay between data centres.
	LinkDelay  time.Duration
	Room       bamboofall.Resources
	Model      worker.Model
	Noise      map[string]float64
	Retention  time.Duration
	Appends    float64
	TailWeight float64
	Timing     *settings.Timing
}

func (o *Options) fill() {
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
		o.Model = func(c bamboofall.Command) worker.Truth { return worker.Truth{RunTime: c.RunTime, Size: c.Size} }
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

// Bed is a running bed. Use New.
type Bed struct {
	Options Options
	Audit   *audit.Audit
	Store   *logstore.Store
	// Trace, if set, is told each decision that an entry VM explains.
	Trace func(at time.Duration, vm bamboofall.VMID, kind, name, message string)
	// OnStep, if set, is told when a request or an attempt reaches a step.
	OnStep func(s Step, subject string)

	now       time.Time
	queue     eventQueue
	sequence  uint64
	rand      *rand.Rand
	entries   map[bamboofall.VMID]*Entry
	order     []bamboofall.VMID
	workers   map[bamboofall.VMID]*worker.Worker
	instances map[string]*upstream.Instance
	vms       []bamboofall.VM
	leaving   map[bamboofall.VMID]bool
	gone      map[bamboofall.VMID]bool
	cuts      map[[2]string]bool
	callers   uint64
}

// New returns a bed whose entry VMs have just started.
func New(o Options) *Bed {
	o.fill()
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
		gone:      make(map[bamboofall.VMID]bool),
		cuts:      make(map[[2]string]bool),
	}
	port := uint16(1)
	address := func() netip.AddrPort {
		port++
		return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	}
	for _, dc := range o.DataCentres {
		for i := range o.Entries {
			id := bamboofall.VMID(fmt.Sprintf("%s-e%d", dc, i+1))
			b.vms = append(b.vms, bamboofall.VM{ID: id, DataCentre: dc, Entry: address()})
			b.order = append(b.order, id)
		}
		for i := range o.Workers {
			b.addWorker(dc, i, address)
		}
	}
	for _, id := range b.order {
		b.StartEntry(id)
	}
	b.every(worldTick, b.advanceWorkers)
	return b
}

const worldTick = 20 * time.Millisecond

func (b *Bed) addWorker(dc bamboofall.DataCentre, i int, address func() netip.AddrPort) {
	o := b.Options
	vm := bamboofall.VM{
		ID: bamboofall.VMID(fmt.Sprintf("%s-w%02d", dc, i+1)), DataCentre: dc,
		Rack: fmt.Sprintf("%s-r%d", dc, i/4+1), Agent: address(), Room: o.Room,
	}
	for n := i; n < o.Instances; n += o.Workers {
		vm.Instances = append(vm.Instances, bamboofall.Instance{
			ID: fmt.Sprintf("%s-%s-%02d", o.Service, dc, n+1), Service: o.Service, Address: address(),
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

// Now returns the time since the start.
func (b *Bed) Now() time.Duration { return b.now.Sub(Epoch) }

// At runs a function at a moment.
func (b *Bed) At(at time.Duration, f func()) { b.schedule(Epoch.Add(at), f) }

func (b *Bed) after(d time.Duration, f func()) { b.schedule(b.now.Add(d), f) }

func (b *Bed) schedule(at time.Time, f func()) {
	b.sequence++
	heap.Push(&b.queue, event{at, b.sequence, f})
}

// every runs a function again and again.
func (b *Bed) every(d time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		b.after(d, again)
	}
	b.after(d, again)
}

// Run lets time pass up to a moment.
func (b *Bed) Run(until time.Duration) {
	end := Epoch.Add(until)
	for len(b.queue) > 0 && !b.queue[0].at.After(end) {
		e := heap.Pop(&b.queue).(event)
		b.now = e.at
		e.do()
	}
	b.now = end
}

// RunUntil lets time pass until a condition holds, at most up to a moment. It
// reports whether the condition holds.
func (b *Bed) RunUntil(limit time.Duration, ok func() bool) bool {
	for !ok() {
		if b.Now() >= limit {
			return false
		}
		b.Run(min(b.Now()+50*time.Millisecond, limit))
	}
	return true
}

// Entry returns an entry VM.
func (b *Bed) Entry(id bamboofall.VMID) *Entry { return b.entries[id] }

// Entries returns the names of the entry VMs.
func (b *Bed) Entries() []bamboofall.VMID { return b.order }

// Worker returns a worker.
func (b *Bed) Worker(id bamboofall.VMID) *worker.Worker { return b.workers[id] }

// Workers returns the names of the workers.
func (b *Bed) Workers() []bamboofall.VMID {
	var out []bamboofall.VMID
	for _, vm := range b.vms {
		if vm.Agent.IsValid() {
			out = append(out, vm.ID)
		}
	}
	return out
}

// Instance returns an upstream instance.
func (b *Bed) Instance(id string) *upstream.Instance { return b.instances[id] }

// Instances returns the names of the upstream instances.
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

// SetGone takes a VM off the platform's list.
func (b *Bed) SetGone(id bamboofall.VMID, gone bool) { b.gone[id] = gone }

// Cut cuts the network between two places, or mends it. A place is a VM, a data
// centre, or "platform".
func (b *Bed) Cut(one, other string, cut bool) {
	b.cuts[[2]string{one, other}] = cut
	b.cuts[[2]string{other, one}] = cut
}

// connected reports whether a VM reaches another VM or the platform.
func (b *Bed) connected(from bamboofall.VMID, to string) bool {
	for _, a := range b.places(string(from)) {
		for _, z := range b.places(to) {
			if b.cuts[[2]string{a, z}] {
				return false
			}
		}
	}
	return true
}

// places returns the names by which a cut may name a place.
func (b *Bed) places(name string) []string {
	for _, vm := range b.vms {
		if string(vm.ID) == name {
			return []string{name, string(vm.DataCentre)}
		}
	}
	return []string{name}
}

// delay returns the one-way delay between two VMs.
func (b *Bed) delay(one, other bamboofall.VMID) time.Duration {
	if b.dataCentre(one) == b.dataCentre(other) {
		return localDelay
	}
	return b.Options.LinkDelay + time.Duration(b.rand.Int64N(int64(b.Options.LinkDelay)/4+1))
}

func (b *Bed) dataCentre(id bamboofall.VMID) bamboofall.DataCentre {
	for _, vm := range b.vms {
		if vm.ID == id {
			return vm.DataCentre
		}
	}
	return ""
}

func (b *Bed) fleet() bamboofall.Fleet {
	var f bamboofall.Fleet
	for _, vm := range b.vms {
		if !b.gone[vm.ID] {
			vm.Leaving = b.leaving[vm.ID]
			f.VMs = append(f.VMs, vm)
		}
	}
	return f
}

// Objects parses objects in INI form. It panics on a fault.
func Objects(text string) []object.Object {
	objects, errs := object.Parse("objects.ini", []byte(text))
	if len(errs) > 0 {
		panic(errs[0])
	}
	return objects
}

type event struct {
	at       time.Time
	sequence uint64
	do       func()
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

// Clock returns the present moment.
func (b *Bed) Clock() time.Time { return b.now }

// Callers returns the number of calls so far.
func (b *Bed) Callers() uint64 { return b.callers }
