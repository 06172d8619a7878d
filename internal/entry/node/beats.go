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
	// farFactor is how much rarer heartbeats to other data centres are.
	farFactor = 4
	// farPeers is the number of VMs of another data centre that get one.
	farPeers = 1
)

// Self returns the heartbeat of this VM.
func (n *Node) Self() member.Heartbeat {
	return member.Heartbeat{
		VM: n.set.VM, Incarnation: n.cfg.Incarnation, DataCentre: n.set.DataCentre,
		Leaving: n.leaving, Ready: n.Ready() && n.listed, Revision: n.catalog.Revision(), Rooms: n.requests.Rooms,
	}
}

// heartbeats asks to send those that are due.
func (n *Node) heartbeats(now time.Time) {
	if !now.Before(n.nextBeat) {
		n.nextBeat = now.Add(n.set.Timing.Heartbeat)
		for _, m := range n.members.In(now, n.set.DataCentre) {
			n.beat(m)
		}
	}
	if !now.Before(n.nextFar) {
		n.nextFar = now.Add(farFactor * n.set.Timing.Heartbeat)
		n.beatFar(now)
	}
}

// beatFar sends heartbeats to some VMs of each other data centre, in turn.
func (n *Node) beatFar(now time.Time) {
	n.farTurn++
	byDC := make(map[bamboofall.DataCentre][]*member.Member)
	for _, m := range n.members.All(now) {
		if m.DataCentre != n.set.DataCentre {
			byDC[m.DataCentre] = append(byDC[m.DataCentre], m)
		}
	}
	for _, dc := range slices.Sorted(maps.Keys(byDC)) {
		list := byDC[dc]
		for i := range min(farPeers, len(list)) {
			n.beat(list[(n.farTurn*farPeers+i)%len(list)])
		}
	}
}

func (n *Node) beat(m *member.Member) {
	if !m.Address.IsValid() {
		return
	}
	n.emit(Heartbeat{Peer: m.VM, Address: m.Address, Self: n.Self(), Shards: n.Owned()})
}

// HearHeartbeat takes a heartbeat and returns the answer. The result says
// whether this VM knows of no claim against the sender's shards.
func (n *Node) HearHeartbeat(now time.Time, h member.Heartbeat, shards []OwnedShard) (member.Heartbeat, bool) {
	n.members.Hear(now, h, n.addressOf(h.VM))
	clear := true
	for _, s := range shards {
		if s.Shard >= len(n.shards) {
			continue
		}
		known := n.ledger.Shard(s.Shard)
		if known.Token > s.Token || known.Token == s.Token && known.Pending.ClaimID != "" {
			clear = false
		}
	}
	return n.Self(), clear
}

// addressOf returns the address of a VM that the platform lists, if it does.
func (n *Node) addressOf(vm bamboofall.VMID) netip.AddrPort {
	if m := n.members.Get(vm); m != nil {
		return m.Address
	}
	return netip.AddrPort{}
}

func (n *Node) takeHeartbeat(now time.Time, e HeartbeatDone) {
	switch {
	case e.Refused:
		n.fence.PeerClear(e.Peer, e.Sent)
		return
	case e.Err != nil:
		return
	}
	if e.Answer.VM != e.Peer {
		return
	}
	n.members.Hear(now, e.Answer, e.Address)
	n.members.Acknowledge(e.Peer, now.Sub(e.Sent))
	if e.NoClaim {
		n.fence.PeerClear(e.Peer, e.Sent)
	} else {
		n.fence.PeerDoubt(e.Peer)
	}
}
