// Package member combines the platform's list of entry VMs, which lags behind,
// with the heartbeats between the VMs.
//
// The list says which VMs may exist, and heartbeats say which ones answer. A VM
// that answers is alive even if the list does not have it yet. A VM that is not
// in the list and does not answer is gone. A VM that says that it is leaving
// counts as leaving at once.
package member

import (
	"net/netip"
	"sort"
	"time"

	"bamboofall.example/bamboofall"
)

// Status is the state of a member as seen by this VM.
type Status uint8

// States of a member.
const (
	// StatusAlive means that the member answers.
	StatusAlive Status = iota + 1
	// StatusLeaving means that the member answers and is about to stop.
	StatusLeaving
	// StatusSuspect means that the member has been silent too long.
	StatusSuspect
	// StatusGone means that the member is silent and not in the platform's list.
	StatusGone
)

// String returns the name of the state, for reports.
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

// ServiceSlots holds the slots that a member offers for a service.
type ServiceSlots struct {
	Service string
	// Free is the number of free slots.
	Free int
	// Owned is the number of slots that the member may use, free or not.
	Owned int
	// Latency is the mean latency of the service.
	Latency time.Duration
}

// Heartbeat is what a member reports about itself.
type Heartbeat struct {
	VM bamboofall.VMID
	// Incarnation identifies the member's process.
	Incarnation string
	DataCentre  bamboofall.DataCentre
	// Leaving is set if the member is about to stop.
	Leaving bool
	// Ready is set once the VM has the state and the list of VMs that an owner
	// needs.
	Ready bool
	// Revision is the configuration revision in force at the member.
	Revision uint64
	Slots    []ServiceSlots
}

// Member is another entry VM.
type Member struct {
	VM         bamboofall.VMID
	DataCentre bamboofall.DataCentre
	Address    netip.AddrPort
	// Listed is set if the platform's last list has the VM.
	Listed bool
	// LastHeartbeat is the last heartbeat.
	LastHeartbeat Heartbeat
	// HeardAt is when the last heartbeat arrived, or zero.
	HeardAt time.Time
	// Acknowledged is set if the member has answered a heartbeat of this process,
	// so it knows that this process exists.
	Acknowledged bool
	// RTT is the moving average of the time until a heartbeat is answered, or zero
	// if unknown.
	RTT time.Duration
	// listedLeaving is set if the platform's list says that the VM is leaving.
	listedLeaving bool
}

// Members is the view of one entry VM on the others. Use New. It is not safe
// for concurrent use.
type Members struct {
	self bamboofall.VMID
	// suspectAfter is the silence after which a member is suspect.
	suspectAfter time.Duration
	members      map[bamboofall.VMID]*Member
	// hasList is set once a list has been received.
	hasList bool
}

// New returns a view without members. A member that is silent for suspectAfter
// is suspect.
func New(self bamboofall.VMID, suspectAfter time.Duration) *Members {
	return &Members{self: self, suspectAfter: suspectAfter, members: make(map[bamboofall.VMID]*Member)}
}

// UpdateList replaces the platform's list and deletes the members that are gone.
func (m *Members) UpdateList(now time.Time, fleet bamboofall.Fleet) {
	m.hasList = true
	for _, peer := range m.members {
		peer.Listed = false
	}
	for _, vm := range fleet.VMs {
		if !vm.Entry.IsValid() || vm.ID == m.self {
			continue
		}
		peer := m.getOrAdd(vm.ID)
		peer.DataCentre = vm.DataCentre
		peer.Address = vm.Entry
		peer.Listed = true
		peer.listedLeaving = vm.Leaving
	}
	for id, peer := range m.members {
		if m.status(now, peer) == StatusGone {
			delete(m.members, id)
		}
	}
}

// getOrAdd returns the member with an ID. It adds the member if necessary.
func (m *Members) getOrAdd(id bamboofall.VMID) *Member {
	peer := m.members[id]
	if peer == nil {
		peer = &Member{VM: id}
		m.members[id] = peer
	}
	return peer
}

// RecordHeartbeat records a heartbeat or the answer to one.
func (m *Members) RecordHeartbeat(now time.Time, h Heartbeat, address netip.AddrPort) {
	if h.VM == m.self {
		return
	}
	peer := m.getOrAdd(h.VM)
	if peer.LastHeartbeat.Incarnation != h.Incarnation {
		peer.Acknowledged = false
	}
	peer.DataCentre = h.DataCentre
	peer.LastHeartbeat = h
	peer.HeardAt = now
	if address.IsValid() {
		peer.Address = address
	}
}

// RecordAcknowledgement records that a member answered a heartbeat within a time.
func (m *Members) RecordAcknowledgement(id bamboofall.VMID, took time.Duration) {
	peer := m.members[id]
	if peer == nil {
		return
	}
	peer.Acknowledged = true
	if peer.RTT == 0 {
		peer.RTT = took
	}
	peer.RTT += (took - peer.RTT) / 8
}

// Get returns a member, or nil.
func (m *Members) Get(id bamboofall.VMID) *Member { return m.members[id] }

// Status returns the state of a VM. An unknown VM is gone if a list has been
// received, and suspect otherwise.
func (m *Members) Status(now time.Time, id bamboofall.VMID) Status {
	peer := m.members[id]
	if peer == nil {
		if m.hasList {
			return StatusGone
		}
		return StatusSuspect
	}
	return m.status(now, peer)
}

func (m *Members) status(now time.Time, peer *Member) Status {
	answers := !peer.HeardAt.IsZero() && now.Sub(peer.HeardAt) < m.suspectAfter
	switch {
	case answers && (peer.LastHeartbeat.Leaving || peer.listedLeaving):
		return StatusLeaving
	case answers:
		return StatusAlive
	case !peer.Listed && m.hasList:
		return StatusGone
	}
	return StatusSuspect
}

// InDataCentre returns the members of a data centre that are not gone, sorted by VM.
func (m *Members) InDataCentre(now time.Time, dc bamboofall.DataCentre) []*Member {
	var members []*Member
	for _, peer := range m.members {
		if peer.DataCentre == dc && m.status(now, peer) != StatusGone {
			members = append(members, peer)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].VM < members[j].VM })
	return members
}

// Count returns the number of other entry VMs in all data centres.
func (m *Members) Count() int { return len(m.members) }

// All returns the members that are not gone, sorted by VM.
func (m *Members) All(now time.Time) []*Member {
	var members []*Member
	for _, peer := range m.members {
		if m.status(now, peer) != StatusGone {
			members = append(members, peer)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].VM < members[j].VM })
	return members
}

// EligibleOwners returns the VMs of a data centre that may own shards in sorted order.
// This VM is included unless it is leaving.
func (m *Members) EligibleOwners(now time.Time, dc bamboofall.DataCentre, selfLeaving bool) []bamboofall.VMID {
	var owners []bamboofall.VMID
	if !selfLeaving {
		owners = append(owners, m.self)
	}
	for _, peer := range m.InDataCentre(now, dc) {
		if peer.LastHeartbeat.Ready && m.status(now, peer) == StatusAlive {
			owners = append(owners, peer.VM)
		}
	}
	sort.Slice(owners, func(i, j int) bool { return owners[i] < owners[j] })
	return owners
}
