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

// Catalog returns the state of the configuration stream, to be read only.
func (n *Node) Catalog() *catalog.Catalog { return n.catalog }

// Ledger returns the state of the data centre's stream, to be read only.
func (n *Node) Ledger() *ledger.Ledger { return n.ledger }

// Counters returns the counters of the node. The maps are to be read only.
func (n *Node) Counters() Counters { return n.counters }

// BatchCounters returns the counters of the scheduler.
func (n *Node) BatchCounters() scheduler.Counters { return n.sched.Counters() }

// Why returns why a pending task has not started, if this VM owns it.
func (n *Node) Why(id bamboofall.TaskID) string { return n.sched.Why(id) }

// MemberStatus is a line of the list of entry VMs.
type MemberStatus struct {
	VM         bamboofall.VMID
	DataCentre bamboofall.DataCentre
	Status     member.Status
	Revision   uint64
	Silent     time.Duration
}

// Members returns what is known of the other entry VMs.
func (n *Node) Members(now time.Time) []MemberStatus {
	var out []MemberStatus
	for _, m := range n.members.All(now) {
		s := MemberStatus{
			VM: m.VM, DataCentre: m.DataCentre, Status: n.members.Status(now, m.VM), Revision: m.Last.Revision,
		}
		if !m.Heard.IsZero() {
			s.Silent = now.Sub(m.Heard)
		}
		out = append(out, s)
	}
	return out
}

// ActiveShards returns the shards for which this process acts.
func (n *Node) ActiveShards() []int {
	var out []int
	for i := range n.shards {
		if n.shards[i].active {
			out = append(out, i)
		}
	}
	return out
}

// Ready reports whether the state of both streams can be used.
func (n *Node) Ready() bool { return n.config.ready && n.shardLog.ready }

// Serving reports whether the balancer should send callers here: the state can
// be used, and this VM owns shards or knows who does.
func (n *Node) Serving(now time.Time) bool {
	if !n.Ready() || !n.listed || n.leaving || n.catalog.Revision() == 0 {
		return false
	}
	if len(n.ActiveShards()) > 0 {
		return true
	}
	for _, m := range n.members.In(now, n.set.DataCentre) {
		if n.members.Status(now, m.VM) == member.StatusAlive {
			return true
		}
	}
	return false
}

// LogDown reports whether the log does not answer.
func (n *Node) LogDown() bool { return n.config.failing || n.shardLog.failing }

// FenceOpen reports whether this VM may act as an owner.
func (n *Node) FenceOpen(now time.Time) bool { return n.fenceOpen(now) }

// Addresses returns the peer addresses of all other entry VMs.
func (n *Node) Addresses(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range n.members.All(now) {
		if m.Address.IsValid() {
			out = append(out, m.Address)
		}
	}
	return out
}
