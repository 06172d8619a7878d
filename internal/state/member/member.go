// Package member merges the platform's lagging list of entry VMs with the
// heartbeats between them.
//
// The list says who may exist, heartbeats say who answers. A VM that answers
// is alive whatever the list says, for the list lags; a VM that the list has
// dropped and that does not answer is gone. A VM that says it is leaving is
// leaving at once.
package member

import (
	"net/netip"
	"sort"
	"time"

	"bamboofall.example/bamboofall"
)

// Status is what is known of a member.
type Status uint8

// The states of a member.
const (
	// StatusAlive answers.
	StatusAlive Status = iota + 1
	// StatusLeaving answers and is about to stop.
	StatusLeaving
	// StatusSuspect has been silent too long.
	StatusSuspect
	// StatusGone is silent and the platform does not list it.
	StatusGone
)

// String returns the name of the state in reports.
func (s Status) String() string {
	switch s {
	case StatusAlive:
		return "alive"
	case StatusLeaving:
		return "leaving"
	case StatusSuspect:
		return "suspect"
	case StatusGone:
		return "gone"
	}
	return "invalid"
}

// Room is what a member said it can take for a service.
type Room struct {
	Service string
	Free    int
	Owned   int
	Latency time.Duration
}

// Heartbeat is what a member said of itself.
type Heartbeat struct {
	VM          bamboofall.VMID
	Incarnation string
	DataCentre  bamboofall.DataCentre
	Leaving     bool
	// Ready is set once the VM has the state and the list that an owner needs.
	Ready    bool
	Revision uint64
	Rooms    []Room
}

// Member is another entry VM.
type Member struct {
	VM         bamboofall.VMID
	DataCentre bamboofall.DataCentre
	Address    netip.AddrPort
	Listed     bool
	Last       Heartbeat
	// Heard is when it was last heard. Zero if never.
	Heard time.Time
	// Acknowledged is set if it has answered a heartbeat of this process, so
	// that it knows this process.
	Acknowledged bool
	// RTT is the smoothed time of a heartbeat. Zero if unknown.
	RTT     time.Duration
	leaving bool
}

// Members is one entry VM's view of the others. Use New.
type Members struct {
	self    bamboofall.VMID
	suspect time.Duration
	all     map[bamboofall.VMID]*Member
	// listed is set once a list has been seen.
	listed bool
}

// New returns a view without members. A member is suspect after a silence.
func New(self bamboofall.VMID, suspect time.Duration) *Members {
	return &Members{self: self, suspect: suspect, all: make(map[bamboofall.VMID]*Member)}
}

// List takes the platform's list over.
func (m *Members) List(now time.Time, fleet bamboofall.Fleet) {
	m.listed = true
	for _, known := range m.all {
		known.Listed = false
	}
	for _, vm := range fleet.VMs {
		if !vm.Entry.IsValid() || vm.ID == m.self {
			continue
		}
		k := m.member(vm.ID)
		k.DataCentre = vm.DataCentre
		k.Address = vm.Entry
		k.Listed = true
		k.leaving = vm.Leaving
	}
	for id, known := range m.all {
		if m.status(now, known) == StatusGone {
			delete(m.all, id)
		}
	}
}

func (m *Members) member(id bamboofall.VMID) *Member {
	k := m.all[id]
	if k == nil {
		k = &Member{VM: id}
		m.all[id] = k
	}
	return k
}

// Hear takes a heartbeat or the answer to one over.
func (m *Members) Hear(now time.Time, h Heartbeat, address netip.AddrPort) {
	if h.VM == m.self {
		return
	}
	k := m.member(h.VM)
	if k.Last.Incarnation != h.Incarnation {
		k.Acknowledged = false
	}
	k.DataCentre = h.DataCentre
	k.Last = h
	k.Heard = now
	if address.IsValid() {
		k.Address = address
	}
}

// Acknowledge records that a member answered a heartbeat after a time.
func (m *Members) Acknowledge(id bamboofall.VMID, took time.Duration) {
	k := m.all[id]
	if k == nil {
		return
	}
	k.Acknowledged = true
	if k.RTT == 0 {
		k.RTT = took
	}
	k.RTT += (took - k.RTT) / 8
}

// Get returns a member, or nil.
func (m *Members) Get(id bamboofall.VMID) *Member { return m.all[id] }

// Status returns what is known of a VM. A VM that is not known is gone if a
// list has been seen, and suspect if not.
func (m *Members) Status(now time.Time, id bamboofall.VMID) Status {
	k := m.all[id]
	if k == nil {
		if m.listed {
			return StatusGone
		}
		return StatusSuspect
	}
	return m.status(now, k)
}

func (m *Members) status(now time.Time, k *Member) Status {
	heard := !k.Heard.IsZero() && now.Sub(k.Heard) < m.suspect
	switch {
	case heard && (k.Last.Leaving || k.leaving):
		return StatusLeaving
	case heard:
		return StatusAlive
	case !k.Listed && m.listed:
		return StatusGone
	}
	return StatusSuspect
}

// In returns the members of a data centre that are not gone, by name.
func (m *Members) In(now time.Time, dc bamboofall.DataCentre) []*Member {
	var out []*Member
	for _, k := range m.all {
		if k.DataCentre == dc && m.status(now, k) != StatusGone {
			out = append(out, k)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	return out
}

// Count returns the number of other entry VMs in all data centres.
func (m *Members) Count() int { return len(m.all) }

// All returns all members that are not gone, by name.
func (m *Members) All(now time.Time) []*Member {
	var out []*Member
	for _, k := range m.all {
		if m.status(now, k) != StatusGone {
			out = append(out, k)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	return out
}

// Owners returns the VMs of a data centre that may own shards, by name, with
// this VM itself unless it is leaving.
func (m *Members) Owners(now time.Time, dc bamboofall.DataCentre, selfLeaving bool) []bamboofall.VMID {
	var out []bamboofall.VMID
	if !selfLeaving {
		out = append(out, m.self)
	}
	for _, k := range m.In(now, dc) {
		if k.Last.Ready && m.status(now, k) == StatusAlive {
			out = append(out, k.VM)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
