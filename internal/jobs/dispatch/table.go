package dispatch

import (
	"cmp"
	"iter"
	"maps"
	"net/netip"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
)

const (
	// WorkersPerCore is the number of workers that a VM can call per core. A worker
	// takes about five calls a second, each of which costs 200 us for both ends;
	// the rest of the core is left for scheduling decisions.
	WorkersPerCore = 200
	// capacityPerCore is the capacity of one core, in the unit of VM.Capacity.
	capacityPerCore = 1000
	// AnnouncementTTL is how long an announcement is valid. Two consecutive announcements
	// may be lost.
	AnnouncementTTL = 2500 * time.Millisecond
	// SuspendDuration is how long a failed relay gets no orders. A restart takes
	// about that long.
	SuspendDuration = 3 * time.Second
	// minRelativeCapacity is the share of the largest relay's capacity below which
	// a relay is used only when the larger relays are full, because each batch
	// costs the owner a call.
	minRelativeCapacity = 0.5
	// overloadFactor is the ratio of assigned workers to the maximum above which
	// workers are moved. Moving a worker costs a connection, so small overloads are
	// tolerated.
	overloadFactor = 1.15
)

// VM is an entry VM that can send orders to workers.
type VM struct {
	// Address is where the VM receives batches.
	Address netip.AddrPort
	// Process identifies the process at the address. It changes with a restart.
	Process    string
	DataCentre bamboofall.DataCentre
	// Capacity is in thousandths of a core.
	Capacity uint32
	// Leaving is set when the VM is shutting down. It gets no more orders.
	Leaving bool
}

// Change is a change in the state of a relay.
type Change uint8

// Values of Change.
const (
	// RelayJoined means that an unknown VM has announced itself.
	RelayJoined Change = iota + 1
	// RelayRestarted means that another process announces itself at the address.
	RelayRestarted
	// RelayResumed means that the suspension of a VM has ended.
	RelayResumed
	// RelayExpired means that the last announcement of a VM has expired.
	RelayExpired
	// RelayLeaving means that a VM is shutting down.
	RelayLeaving
)

// String returns the name of the change as a log event.
func (c Change) String() string {
	names := [...]string{"", "relay joined", "relay restarted", "relay back", "relay silent", "relay left"}
	if int(c) >= len(names) {
		return "invalid"
	}
	return names[c]
}

// Event is a change of a relay and the VM after it.
type Event struct {
	Change Change
	VM     VM
}

// sender is a VM that sends orders to workers: the owner or a relay.
type sender struct {
	VM
	// announcedAt is when the relay last announced itself.
	announcedAt time.Time
	// suspendedUntil is when the suspension of the relay ends, or zero if it is not
	// suspended.
	suspendedUntil time.Time
	// maxWorkers is the number of workers that may be assigned, assigned the number
	// that are.
	maxWorkers int
	assigned   int
}

// worker is a worker of the table. Its sender is nil until one is assigned.
type worker struct {
	dataCentre bamboofall.DataCentre
	sender     *sender
}

// RoutingTable maps each worker to the owner or a relay. Create one with NewRoutingTable.
type RoutingTable struct {
	workersPerCore int
	owner          sender
	relays         map[netip.AddrPort]*sender
	workers        map[string]*worker
	// needsAssign is set when the assignment may have become outdated.
	needsAssign bool
}

// NewRoutingTable returns a table without relays and workers. A VM can call
// workersPerCore workers per core of its capacity.
func NewRoutingTable(owner VM, workersPerCore int) *RoutingTable {
	return &RoutingTable{
		workersPerCore: workersPerCore, owner: sender{VM: owner},
		relays: make(map[netip.AddrPort]*sender), workers: make(map[string]*worker),
	}
}

// SetWorker adds a worker or updates its data centre.
func (t *RoutingTable) SetWorker(id string, dataCentre bamboofall.DataCentre) {
	w := t.workers[id]
	if w == nil {
		w = &worker{}
		t.workers[id] = w
		t.needsAssign = true
	}
	w.dataCentre = dataCentre
}

// RemoveWorker removes a worker.
func (t *RoutingTable) RemoveWorker(id string) {
	if t.workers[id] != nil {
		delete(t.workers, id)
		t.needsAssign = true
	}
}

// HandleAnnouncement handles the announcement of a VM and returns the resulting changes.
func (t *RoutingTable) HandleAnnouncement(now time.Time, vm VM) []Event {
	relay := t.relays[vm.Address]
	if relay == nil {
		if vm.Leaving {
			return nil
		}
		t.relays[vm.Address] = &sender{VM: vm, announcedAt: now}
		t.needsAssign = true
		return []Event{{RelayJoined, vm}}
	}
	var events []Event
	if relay.Process != vm.Process {
		events = append(events, Event{RelayRestarted, vm})
	}
	if vm.Leaving && !relay.Leaving {
		events = append(events, Event{RelayLeaving, vm})
	}
	t.needsAssign = t.needsAssign || relay.VM != vm
	relay.VM, relay.announcedAt = vm, now
	return events
}

// Suspend suspends a relay for SuspendDuration. It returns false if the relay is
// unknown or already suspended, in which case the suspension is extended.
func (t *RoutingTable) Suspend(now time.Time, address netip.AddrPort) bool {
	relay := t.relays[address]
	if relay == nil {
		return false
	}
	wasActive := relay.suspendedUntil.IsZero()
	relay.suspendedUntil = now.Add(SuspendDuration)
	t.needsAssign = true
	return wasActive
}

// RelayOf returns the relay of a worker, or false if the owner calls the worker itself.
func (t *RoutingTable) RelayOf(id string) (VM, bool) {
	w := t.workers[id]
	if w == nil || w.sender == nil || w.sender == &t.owner {
		return VM{}, false
	}
	return w.sender.VM, true
}

// WorkersPerRelay returns the number of workers assigned to each relay.
func (t *RoutingTable) WorkersPerRelay() map[netip.AddrPort]int {
	workers := make(map[netip.AddrPort]int)
	for _, w := range t.workers {
		if w.sender != nil && w.sender != &t.owner {
			workers[w.sender.Address]++
		}
	}
	return workers
}

// Routes yields each worker and whether a relay calls it.
func (t *RoutingTable) Routes() iter.Seq2[string, bool] {
	return func(yield func(string, bool) bool) {
		for id, w := range t.workers {
			if !yield(id, w.sender != nil && w.sender != &t.owner) {
				return
			}
		}
	}
}

// Relays returns the number of relays that may get orders, and of those that are
// suspended.
func (t *RoutingTable) Relays() (active, suspended int) {
	for _, r := range t.relays {
		switch {
		case r.Leaving:
		case r.suspendedUntil.IsZero():
			active++
		default:
			suspended++
		}
	}
	return active, suspended
}

// Assign brings the assignment up to date and returns the changes of relays that
// only the passing of time has caused. A worker is moved only if its relay is
// unavailable or overloaded.
func (t *RoutingTable) Assign(now time.Time) []Event {
	events := t.updateRelays(now)
	if !t.needsAssign {
		return events
	}
	t.needsAssign = false
	senders := t.activeSenders()
	ids := slices.Sorted(maps.Keys(t.workers))
	t.countAssigned(senders, ids)
	t.unassignOverload(senders, ids)
	t.assignToOwner(ids)
	t.assignToRelays(senders, ids)
	return events
}

// updateRelays removes relays whose announcements have expired and ends
// suspensions.
func (t *RoutingTable) updateRelays(now time.Time) []Event {
	var events []Event
	for _, address := range t.relayAddresses() {
		r := t.relays[address]
		switch {
		case now.Sub(r.announcedAt) > AnnouncementTTL:
			events = append(events, Event{RelayExpired, r.VM})
			delete(t.relays, address)
			t.needsAssign = true
		case !r.suspendedUntil.IsZero() && !now.Before(r.suspendedUntil):
			r.suspendedUntil = time.Time{}
			events = append(events, Event{RelayResumed, r.VM})
			t.needsAssign = true
		}
	}
	return events
}

func (t *RoutingTable) relayAddresses() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(t.relays), netip.AddrPort.Compare)
}

// activeSenders returns the owner, followed by the relays that may get orders by
// decreasing capacity, and sets the maximum number of workers of each.
func (t *RoutingTable) activeSenders() []*sender {
	senders := []*sender{&t.owner}
	for _, address := range t.relayAddresses() {
		if r := t.relays[address]; !r.Leaving && r.suspendedUntil.IsZero() {
			senders = append(senders, r)
		}
	}
	slices.SortStableFunc(senders[1:], func(a, b *sender) int { return cmp.Compare(b.Capacity, a.Capacity) })
	totalMax := 0
	for _, c := range senders {
		c.maxWorkers = int(c.Capacity) * t.workersPerCore / capacityPerCore
		totalMax += c.maxWorkers
	}
	n := len(t.workers)
	if totalMax >= n {
		return senders
	}
	// The capacities do not suffice for all workers, so the maxima are scaled up in
	// proportion.
	if totalMax == 0 {
		t.owner.maxWorkers = n
		return senders
	}
	for _, c := range senders {
		c.maxWorkers = (c.maxWorkers*n + totalMax - 1) / totalMax
	}
	return senders
}

// countAssigned counts the workers of each sender and unassigns those whose sender
// may get no orders.
func (t *RoutingTable) countAssigned(senders []*sender, ids []string) {
	usable := make(map[*sender]bool, len(senders))
	for _, c := range senders {
		c.assigned = 0
		usable[c] = true
	}
	for _, id := range ids {
		w := t.workers[id]
		if !usable[w.sender] {
			w.sender = nil
			continue
		}
		w.sender.assigned++
	}
}

// unassignOverload unassigns workers of overloaded senders, those in other data
// centres first.
func (t *RoutingTable) unassignOverload(senders []*sender, ids []string) {
	excess := make(map[*sender]int)
	for _, c := range senders {
		if float64(c.assigned) > overloadFactor*float64(c.maxWorkers) {
			excess[c] = c.assigned - c.maxWorkers
		}
	}
	for _, remote := range [...]bool{true, false} {
		for _, id := range slices.Backward(ids) {
			w := t.workers[id]
			if w.sender == nil || excess[w.sender] == 0 || remote != (w.dataCentre != w.sender.DataCentre) {
				continue
			}
			excess[w.sender]--
			w.sender.assigned--
			w.sender = nil
		}
	}
}

// assignToOwner assigns workers to the owner up to its maximum, those in its own
// data centre first.
func (t *RoutingTable) assignToOwner(ids []string) {
	for _, remote := range [...]bool{false, true} {
		for _, id := range ids {
			w := t.workers[id]
			if w.sender == nil && t.owner.assigned < t.owner.maxWorkers && remote == (w.dataCentre != t.owner.DataCentre) {
				w.sender = &t.owner
				t.owner.assigned++
			}
		}
	}
}

// assignToRelays assigns the remaining workers to relays, or to the owner if all
// relays are full.
func (t *RoutingTable) assignToRelays(senders []*sender, ids []string) {
	for _, id := range ids {
		w := t.workers[id]
		if w.sender != nil {
			continue
		}
		best := &t.owner
		for _, c := range senders[1:] {
			if c.assigned < c.maxWorkers && (best == &t.owner || t.preferred(c, best, w, senders[1].Capacity)) {
				best = c
			}
		}
		best.assigned++
		w.sender = best
	}
}

// preferred reports whether relay a is a better choice for a worker than relay b.
// It prefers, in this order, a relay of sufficient capacity, one in the worker's
// data centre, one that already has workers, and the one with the lower relative
// load.
func (t *RoutingTable) preferred(a, b *sender, w *worker, maxCapacity uint32) bool {
	small := func(c *sender) bool { return float64(c.Capacity) < minRelativeCapacity*float64(maxCapacity) }
	if small(a) != small(b) {
		return small(b)
	}
	if local := a.DataCentre == w.dataCentre; local != (b.DataCentre == w.dataCentre) {
		return local
	}
	if (a.assigned > 0) != (b.assigned > 0) {
		return a.assigned > 0
	}
	return a.assigned*b.maxWorkers < b.assigned*a.maxWorkers
}
