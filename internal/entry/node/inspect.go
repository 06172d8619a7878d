package node

import (
	"net/netip"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/batch/scheduler"
	"bamboofall.example/bamboofall/internal/state/catalog"
	"bamboofall.example/bamboofall/internal/state/ledger"
	"bamboofall.example/bamboofall/internal/state/member"
)

// Catalog returns the state of the configuration stream. Callers must not modify
// it.
func (n *Node) Catalog() *catalog.Catalog { return n.catalog }

// Ledger returns the state of the data centre's stream. Callers must not modify
// it.
func (n *Node) Ledger() *ledger.Ledger { return n.ledger }

// Counters returns the node's counters. Callers must not modify the maps.
func (n *Node) Counters() Counters { return n.counters }

// BatchCounters returns the counters of the batch scheduler.
func (n *Node) BatchCounters() scheduler.Counters { return n.sched.Counters() }

// PendingReason returns why a pending task has not started. It is empty if this
// process doesn't own the task's shard.
func (n *Node) PendingReason(id bamboofall.TaskID) string { return n.sched.Why(id) }

// MemberStatus describes another entry VM.
type MemberStatus struct {
	VM         bamboofall.VMID
	DataCentre bamboofall.DataCentre
	Status     member.Status
	Revision   uint64
	// Silent is the time since the VM was last heard from. It is zero for a VM that
	// was never heard from.
	Silent time.Duration
}

// Members returns the status of all other entry VMs.
func (n *Node) Members(now time.Time) []MemberStatus {
	var out []MemberStatus
	for _, m := range n.members.All(now) {
		s := MemberStatus{
			VM: m.VM, DataCentre: m.DataCentre, Status: n.members.Status(now, m.VM), Revision: m.LastHeartbeat.Revision,
		}
		if !m.HeardAt.IsZero() {
			s.Silent = now.Sub(m.HeardAt)
		}
		out = append(out, s)
	}
	return out
}

// ActiveShards returns the shards for which this process acts as the owner.
func (n *Node) ActiveShards() []int {
	var out []int
	for i := range n.shards {
		if n.shards[i].active {
			out = append(out, i)
		}
	}
	return out
}

// Ready reports whether the state of both streams has been loaded.
func (n *Node) Ready() bool { return n.configStream.ready && n.ledgerStream.ready }

// Serving reports whether the load balancer should route callers to this VM: its
// state is loaded, and it owns active shards or has a live peer in the data centre
// to forward requests to.
func (n *Node) Serving(now time.Time) bool {
	if !n.Ready() || !n.fleetListed || n.leaving || n.catalog.Revision() == 0 {
		return false
	}
	if len(n.ActiveShards()) > 0 {
		return true
	}
	for _, m := range n.members.InDataCentre(now, n.settings.DataCentre) {
		if n.members.Status(now, m.VM) == member.StatusAlive {
			return true
		}
	}
	return false
}

// LogDown reports whether reads of either stream fail.
func (n *Node) LogDown() bool { return n.configStream.readFailing || n.ledgerStream.readFailing }

// FenceOpen reports whether this process may act as the owner of its shards.
func (n *Node) FenceOpen(now time.Time) bool { return n.fenceOpen(now) }

// PeerAddresses returns the peer addresses of all other entry VMs.
func (n *Node) PeerAddresses(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range n.members.All(now) {
		if m.Address.IsValid() {
			out = append(out, m.Address)
		}
	}
	return out
}
