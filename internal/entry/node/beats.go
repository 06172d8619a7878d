package node

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/state/member"
)

const (
	// remoteIntervalFactor is the heartbeat interval to other data centres, in
	// multiples of the local interval.
	remoteIntervalFactor = 4
	// remotePeersPerRound is the number of VMs of each other data centre that get
	// a heartbeat per remote interval.
	remotePeersPerRound = 1
)

// Self returns the heartbeat that this VM sends.
func (n *Node) Self() member.Heartbeat {
	return member.Heartbeat{
		VM: n.settings.VM, Incarnation: n.cfg.Incarnation, DataCentre: n.settings.DataCentre,
		Leaving: n.leaving, Ready: n.Ready() && n.fleetListed, Revision: n.catalog.Revision(), Slots: n.requestStats.Slots,
	}
}

// sendHeartbeats emits the heartbeats that are due.
func (n *Node) sendHeartbeats(now time.Time) {
	if !now.Before(n.nextHeartbeat) {
		n.nextHeartbeat = now.Add(n.settings.Timing.Heartbeat)
		for _, m := range n.members.InDataCentre(now, n.settings.DataCentre) {
			n.sendHeartbeat(m)
		}
	}
	if !now.Before(n.nextRemoteHeartbeat) {
		n.nextRemoteHeartbeat = now.Add(remoteIntervalFactor * n.settings.Timing.Heartbeat)
		n.sendRemoteHeartbeats(now)
	}
}

// sendRemoteHeartbeats emits heartbeats to remotePeersPerRound VMs of each other
// data centre, in round-robin order.
func (n *Node) sendRemoteHeartbeats(now time.Time) {
	n.remoteRounds++
	byDC := make(map[bamboofall.DataCentre][]*member.Member)
	for _, m := range n.members.All(now) {
		if m.DataCentre != n.settings.DataCentre {
			byDC[m.DataCentre] = append(byDC[m.DataCentre], m)
		}
	}
	for _, dc := range slices.Sorted(maps.Keys(byDC)) {
		list := byDC[dc]
		for i := range min(remotePeersPerRound, len(list)) {
			n.sendHeartbeat(list[(n.remoteRounds*remotePeersPerRound+i)%len(list)])
		}
	}
}

func (n *Node) sendHeartbeat(m *member.Member) {
	if !m.Address.IsValid() {
		return
	}
	n.emit(Heartbeat{Peer: m.VM, Address: m.Address, Self: n.Self(), Shards: n.OwnedShards()})
}

// ReceiveHeartbeat records a peer's heartbeat and returns the reply. The boolean
// result reports whether this VM knows of no claim or newer token against the
// shards that the sender owns.
func (n *Node) ReceiveHeartbeat(now time.Time, h member.Heartbeat, shards []OwnedShard) (member.Heartbeat, bool) {
	n.members.RecordHeartbeat(now, h, n.addressOf(h.VM))
	noClaim := true
	for _, s := range shards {
		if s.Shard >= len(n.shards) {
			continue
		}
		known := n.ledger.Shard(s.Shard)
		if known.Token > s.Token || known.Token == s.Token && known.PendingClaim.ClaimID != "" {
			noClaim = false
		}
	}
	return n.Self(), noClaim
}

// addressOf returns the peer address of a VM. It is the zero AddrPort if the
// platform doesn't list the VM.
func (n *Node) addressOf(vm bamboofall.VMID) netip.AddrPort {
	if m := n.members.Get(vm); m != nil {
		return m.Address
	}
	return netip.AddrPort{}
}

func (n *Node) handleHeartbeatDone(now time.Time, done HeartbeatDone) {
	switch {
	case done.ConnectionRefused:
		n.fence.PeerProof(done.Peer, done.Sent)
		return
	case done.Err != nil:
		return
	}
	if done.Answer.VM != done.Peer {
		return
	}
	n.members.RecordHeartbeat(now, done.Answer, done.Address)
	n.members.RecordAcknowledgement(done.Peer, now.Sub(done.Sent))
	if done.NoClaim {
		n.fence.PeerProof(done.Peer, done.Sent)
	} else {
		n.fence.RevokePeerProof(done.Peer)
	}
}
