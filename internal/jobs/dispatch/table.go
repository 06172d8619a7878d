package dispatch

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
)

const (
	// WorkersPerCore is how many workers a whole core carries: a worker makes about
	// five calls a second of 200 us for both ends, and the rest is for decisions.
	WorkersPerCore = 200
	// wholeCore is the unit of capacities.
	wholeCore = 1000
	// HeardFor is how long an announcement holds: two may be lost.
	HeardFor = 2500 * time.Millisecond
	// LeftOutFor is how long a relay that failed gets no orders: a restart takes
	// about that.
	LeftOutFor = 3 * time.Second
	// weakShare is the share of the strongest relay's capacity below which a relay
	// is taken only when stronger ones are full, for each batch costs the owner a call.
	weakShare = 0.5
	// overloadSlack is how far above its share a carrier may be before workers
	// are moved: a move costs a connection.
	overloadSlack = 1.15
)

// VM is an entry VM that can carry orders.
type VM struct {
	Address    netip.AddrPort
	Process    string
	DataCentre bamboofall.DataCentre
	// Capacity is in thousandths of a core.
	Capacity uint32
	// Leaving VMs get no more orders.
	Leaving bool
}

// Change says what happened to a relay.
type Change uint8

// The changes.
const (
	// RelayJoined means that a VM was heard for the first time, or again.
	RelayJoined Change = iota + 1
	// RelayRestarted means that another process answers at its address.
	RelayRestarted
	// RelayBack means that a VM that was left out may carry again.
	RelayBack
	// RelaySilent means that a VM was not heard any more.
	RelaySilent
	// RelayLeft means that a VM is leaving.
	RelayLeft
)

// String returns the name of the change in logs.
func (c Change) String() string {
	names := [...]string{"", "relay joined", "relay restarted", "relay back", "relay silent", "relay left"}
	if int(c) >= len(names) {
		return "invalid"
	}
	return names[c]
}

// Event is a change of a relay.
type Event struct {
	Change Change
	VM     VM
}

// carrier is the owner or a relay.
type carrier struct {
	VM
	heard time.Time
	// outUntil is set while the relay is left out.
	outUntil time.Time
	limit    int
	load     int
}

type worker struct {
	dataCentre bamboofall.DataCentre
	by         *carrier
}

// Table says which worker goes by which relay. Use NewTable.
type Table struct {
	perCore int
	owner   carrier
	relays  map[netip.AddrPort]*carrier
	workers map[string]*worker
	// changed is set when workers may have to be assigned.
	changed bool
}

// NewTable returns the table of an owner without relays and workers.
func NewTable(owner VM, workersPerCore int) *Table {
	return &Table{
		perCore: workersPerCore, owner: carrier{VM: owner},
		relays: make(map[netip.AddrPort]*carrier), workers: make(map[string]*worker),
	}
}

// SetWorker takes over that there is a worker.
func (t *Table) SetWorker(id string, at bamboofall.DataCentre) {
	w := t.workers[id]
	if w == nil {
		w = &worker{}
		t.workers[id] = w
		t.changed = true
	}
	w.dataCentre = at
}

// RemoveWorker takes over that a worker is gone.
func (t *Table) RemoveWorker(id string) {
	if t.workers[id] != nil {
		delete(t.workers, id)
		t.changed = true
	}
}

// Heard takes over the announcement of a VM, and returns what it changes.
func (t *Table) Heard(now time.Time, vm VM) []Event {
	r := t.relays[vm.Address]
	if r == nil {
		if vm.Leaving {
			return nil
		}
		t.relays[vm.Address] = &carrier{VM: vm, heard: now}
		t.changed = true
		return []Event{{RelayJoined, vm}}
	}
	var events []Event
	if r.Process != vm.Process {
		events = append(events, Event{RelayRestarted, vm})
	}
	if vm.Leaving && !r.Leaving {
		events = append(events, Event{RelayLeft, vm})
	}
	t.changed = t.changed || r.VM != vm
	r.VM, r.heard = vm, now
	return events
}

// LeaveOut gives no orders to a relay for a while. It reports whether the relay
// got some until now.
func (t *Table) LeaveOut(now time.Time, address netip.AddrPort) bool {
	r := t.relays[address]
	if r == nil {
		return false
	}
	first := r.outUntil.IsZero()
	r.outUntil = now.Add(LeftOutFor)
	t.changed = true
	return first
}

// Way returns the relay of a worker, or false if the owner calls it itself.
func (t *Table) Way(id string) (VM, bool) {
	w := t.workers[id]
	if w == nil || w.by == nil || w.by == &t.owner {
		return VM{}, false
	}
	return w.by.VM, true
}

// Loads returns the number of workers that each relay carries.
func (t *Table) Loads() map[netip.AddrPort]int {
	loads := make(map[netip.AddrPort]int)
	for _, w := range t.workers {
		if w.by != nil && w.by != &t.owner {
			loads[w.by.Address]++
		}
	}
	return loads
}

// Assign gives each worker a way. A worker changes it only if its relay is gone or
// overloaded.
func (t *Table) Assign(now time.Time) []Event {
	events := t.watch(now)
	if !t.changed {
		return events
	}
	t.changed = false
	carriers := t.carriers()
	ids := slices.Sorted(maps.Keys(t.workers))
	t.count(carriers, ids)
	t.relieve(carriers, ids)
	t.keep(ids)
	t.spread(carriers, ids)
	return events
}

// watch drops relays that are silent and takes back those whose time is over.
func (t *Table) watch(now time.Time) []Event {
	var events []Event
	for _, address := range t.addresses() {
		r := t.relays[address]
		switch {
		case now.Sub(r.heard) > HeardFor:
			events = append(events, Event{RelaySilent, r.VM})
			delete(t.relays, address)
			t.changed = true
		case !r.outUntil.IsZero() && !now.Before(r.outUntil):
			r.outUntil = time.Time{}
			events = append(events, Event{RelayBack, r.VM})
			t.changed = true
		}
	}
	return events
}

func (t *Table) addresses() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(t.relays), netip.AddrPort.Compare)
}

// carriers returns the owner and the relays that may get orders, strongest relay
// first, with the number of workers that each should carry at most.
func (t *Table) carriers() []*carrier {
	all := []*carrier{&t.owner}
	for _, address := range t.addresses() {
		if r := t.relays[address]; !r.Leaving && r.outUntil.IsZero() {
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all[1:], func(a, b *carrier) int { return cmp.Compare(b.Capacity, a.Capacity) })
	total := 0
	for _, c := range all {
		c.limit = int(c.Capacity) * t.perCore / wholeCore
		total += c.limit
	}
	n := len(t.workers)
	if total >= n {
		return all
	}
	// All are full, so all get more in proportion.
	if total == 0 {
		t.owner.limit = n
		return all
	}
	for _, c := range all {
		c.limit = (c.limit*n + total - 1) / total
	}
	return all
}

// count counts the workers of each carrier, and takes them from relays that may
// get no orders.
func (t *Table) count(carriers []*carrier, ids []string) {
	usable := make(map[*carrier]bool, len(carriers))
	for _, c := range carriers {
		c.load = 0
		usable[c] = true
	}
	for _, id := range ids {
		w := t.workers[id]
		if !usable[w.by] {
			w.by = nil
			continue
		}
		w.by.load++
	}
}

// relieve takes workers from carriers that are overloaded, first those of other
// data centres.
func (t *Table) relieve(carriers []*carrier, ids []string) {
	over := make(map[*carrier]int)
	for _, c := range carriers {
		if float64(c.load) > overloadSlack*float64(c.limit) {
			over[c] = c.load - c.limit
		}
	}
	for _, foreign := range [...]bool{true, false} {
		for _, id := range slices.Backward(ids) {
			w := t.workers[id]
			if w.by == nil || over[w.by] == 0 || foreign != (w.dataCentre != w.by.DataCentre) {
				continue
			}
			over[w.by]--
			w.by.load--
			w.by = nil
		}
	}
}

// keep lets the owner call as many workers itself as it can carry, first those of
// its own data centre.
func (t *Table) keep(ids []string) {
	for _, foreign := range [...]bool{false, true} {
		for _, id := range ids {
			w := t.workers[id]
			if w.by == nil && t.owner.load < t.owner.limit && foreign == (w.dataCentre != t.owner.DataCentre) {
				w.by = &t.owner
				t.owner.load++
			}
		}
	}
}

// spread gives the other workers to relays.
func (t *Table) spread(carriers []*carrier, ids []string) {
	for _, id := range ids {
		w := t.workers[id]
		if w.by != nil {
			continue
		}
		best := &t.owner
		for _, c := range carriers[1:] {
			if c.load < c.limit && (best == &t.owner || t.better(c, best, w, carriers[1].Capacity)) {
				best = c
			}
		}
		best.load++
		w.by = best
	}
}

// better reports whether a relay suits a worker more than another: a strong one,
// then one of its data centre, then one that has orders already, then the one
// with more room for its size.
func (t *Table) better(a, b *carrier, w *worker, strongest uint32) bool {
	weak := func(c *carrier) bool { return float64(c.Capacity) < weakShare*float64(strongest) }
	if weak(a) != weak(b) {
		return weak(b)
	}
	if here := a.DataCentre == w.dataCentre; here != (b.DataCentre == w.dataCentre) {
		return here
	}
	if (a.load > 0) != (b.load > 0) {
		return a.load > 0
	}
	return a.load*b.limit < b.load*a.limit
}
