package node

import (
	"fmt"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/request/router"
	"bamboofall.example/bamboofall/internal/state/ledger"
	"bamboofall.example/bamboofall/internal/state/member"
	"bamboofall.example/bamboofall/internal/wire/recordpb"
)

const (
	claimEvery = 200 * time.Millisecond
	// claimAgain is when a claim that was not read back is written again.
	claimAgain = 3 * time.Second
	// settle is how long an owner of another assignment must be wanted before
	// a shard is handed over to it.
	settle = time.Second
	// holdOff is how long an owner that objected is left alone.
	holdOff = 15 * time.Second
)

// shardUse is what this process makes of a shard.
type shardUse struct {
	// mineSince is when this process's claim was read back. Zero if the shard
	// is not this process's.
	mineSince time.Time
	active    bool
	// giving is set while the shard is being handed over or released.
	giving bool
	// to is the VM that gets it. Empty means that it is released.
	to        bamboofall.VMID
	handedOut time.Time
	claimedAt time.Time
	// pendingSince is when a claim of this process was read back.
	pendingSince time.Time
	confirmedAt  time.Time
	objectedAt   time.Time
	// heldTill is up to when an owner that objected is left alone.
	heldTill time.Time
	// wanted is the VM that should own the shard, since wantedSince.
	wanted      bamboofall.VMID
	wantedSince time.Time
}

// mine reports whether this very process owns a shard by the ledger.
func (n *Node) mine(shard int) bool {
	s := n.ledger.Shard(shard)
	return s.Owner == n.set.VM && s.Incarnation == n.cfg.Incarnation
}

// peersNow returns the other VMs of the data centre that may be running.
func (n *Node) peersNow(now time.Time) []bamboofall.VMID {
	if n.peersAt.Equal(now) {
		return n.peers
	}
	n.peers = nil
	n.peersAt = now
	for _, m := range n.members.In(now, n.set.DataCentre) {
		n.peers = append(n.peers, m.VM)
	}
	return n.peers
}

func (n *Node) fenceOpen(now time.Time) bool { return n.fence.Open(now, n.peersNow(now)) }

// shardsChanged follows a record that changed an ownership.
func (n *Node) shardsChanged(now time.Time, r *recordpb.Record, v ledger.Verdict) {
	if v.Void != "" || v.Repeat {
		return
	}
	switch body := r.GetBody().(type) {
	case *recordpb.Record_Claim:
		n.claimed(now, int(body.Claim.GetShard()))
	case *recordpb.Record_Confirm:
		n.moved(now, int(body.Confirm.GetShard()))
	case *recordpb.Record_Handover:
		n.moved(now, int(body.Handover.GetShard()))
	case *recordpb.Record_Objection:
		n.objected(now, int(body.Objection.GetShard()))
	}
}

func (n *Node) moved(now time.Time, shard int) {
	n.shardChanged(now, shard)
	s := n.ledger.Shard(shard)
	n.explain("shard", fmt.Sprint(shard), "belongs to %q under token %d", s.Owner, s.Token)
}

// claimed follows a claim: it has won, or waits for an objection.
func (n *Node) claimed(now time.Time, shard int) {
	s := n.ledger.Shard(shard)
	if s.Pending.ClaimID == "" {
		n.moved(now, shard)
		return
	}
	u := &n.shards[shard]
	u.pendingSince = time.Time{}
	if s.Pending.Owner == n.set.VM && s.Pending.Incarnation == n.cfg.Incarnation {
		u.pendingSince = now
	}
	n.explain("shard", fmt.Sprint(shard), "is claimed by %s from %s", s.Pending.Owner, s.Owner)
}

func (n *Node) objected(now time.Time, shard int) {
	u := &n.shards[shard]
	u.pendingSince = time.Time{}
	u.heldTill = now.Add(holdOff)
	n.explain("shard", fmt.Sprint(shard), "stays with %s, which objected to a claim", n.ledger.Shard(shard).Owner)
}

// contested reports whether a claim against a shard of this process waits.
func (n *Node) contested() bool {
	for i := range n.shards {
		if n.mine(i) && n.ledger.Shard(i).Pending.ClaimID != "" {
			return true
		}
	}
	return false
}

// defend objects to claims against this process's shards.
func (n *Node) defend(now time.Time, shard int) {
	s := n.ledger.Shard(shard)
	u := &n.shards[shard]
	if !n.mine(shard) || s.Pending.ClaimID == "" || !u.objectedAt.IsZero() && now.Sub(u.objectedAt) < claimAgain {
		return
	}
	u.objectedAt = now
	n.write(now, n.shardLog, &recordpb.Record{Body: &recordpb.Record_Objection{Objection: &recordpb.Objection{
		Shard: uint32(shard), Token: uint64(s.Token), ClaimId: s.Pending.ClaimID,
	}}})
}

// confirm takes a claimed shard over once the owner has had time to object or
// its fence has closed for certain.
func (n *Node) confirm(now time.Time, shard int) {
	u := &n.shards[shard]
	if u.pendingSince.IsZero() || now.Sub(u.pendingSince) < n.set.Timing.Takeover {
		return
	}
	if !u.confirmedAt.IsZero() && now.Sub(u.confirmedAt) < claimAgain {
		return
	}
	u.confirmedAt = now
	n.write(now, n.shardLog, &recordpb.Record{Body: &recordpb.Record_Confirm{Confirm: &recordpb.Confirm{
		Shard: uint32(shard), ClaimId: n.ledger.Shard(shard).Pending.ClaimID,
	}}})
}

// shardChanged begins anew with a shard after its token changed.
func (n *Node) shardChanged(now time.Time, shard int) {
	u := &n.shards[shard]
	if u.active {
		n.sched.Deactivate(shard)
	}
	*u = shardUse{wanted: u.wanted, wantedSince: now, heldTill: u.heldTill}
	if n.mine(shard) {
		u.mineSince = now
	}
	n.nextView = now
}

// shardsRestored begins anew with all shards after a snapshot.
func (n *Node) shardsRestored(now time.Time) {
	for i := range n.shards {
		n.shardChanged(now, i)
	}
}

// own claims, activates and hands over shards.
func (n *Node) own(now time.Time) {
	open := n.fenceOpen(now)
	for i := range n.shards {
		n.activate(now, i, open)
		n.defend(now, i)
		n.confirm(now, i)
		n.finishGiving(now, i)
	}
	if now.Before(n.nextClaim) || !n.shardLog.ready || !n.shardLog.atEnd || !n.listed {
		return
	}
	n.nextClaim = now.Add(claimEvery)
	wanted := member.Assign(len(n.shards), n.members.Owners(now, n.set.DataCentre, n.leaving))
	for i := range n.shards {
		if wanted != nil {
			n.want(now, i, wanted[i])
		}
	}
	n.give(now)
}

// activate begins to act for a shard once that is safe.
func (n *Node) activate(now time.Time, shard int, open bool) {
	u := &n.shards[shard]
	if u.active || u.mineSince.IsZero() || u.giving || !open {
		return
	}
	s := n.ledger.Shard(shard)
	u.active = true
	n.counters.Activations++
	n.sched.Activate(now, shard, s.Token)
	n.explain("shard", fmt.Sprint(shard), "acts as owner under token %d", s.Token)
	n.nextView = now
}

// want records who should own a shard, and claims it if it is this VM.
func (n *Node) want(now time.Time, shard int, vm bamboofall.VMID) {
	u := &n.shards[shard]
	if u.wanted != vm {
		u.wanted = vm
		u.wantedSince = now
	}
	if vm != n.set.VM || n.mine(shard) || !u.claimedAt.IsZero() && now.Sub(u.claimedAt) < claimAgain {
		return
	}
	if !n.mayClaim(now, shard) {
		return
	}
	s := n.ledger.Shard(shard)
	u.claimedAt = now
	n.counters.Claims++
	n.write(now, n.shardLog, &recordpb.Record{
		Id: fmt.Sprintf("claim/%d/%d/%s/%s", shard, s.Token, n.set.VM, n.cfg.Incarnation),
		Body: &recordpb.Record_Claim{Claim: &recordpb.Claim{
			Shard: uint32(shard), Shards: uint32(len(n.shards)), Owner: string(n.set.VM),
			Incarnation: n.cfg.Incarnation, PreviousToken: uint64(s.Token),
		}},
	})
}

// mayClaim reports whether the owner of a shard is out of the way. A VM that
// is only silent may be cut off from this one. Its fence protects it only if
// it knows this process, so it must have answered it before.
func (n *Node) mayClaim(now time.Time, shard int) bool {
	s := n.ledger.Shard(shard)
	if s.Owner == "" || s.Owner == n.set.VM {
		return true
	}
	if now.Before(n.shards[shard].heldTill) {
		return false
	}
	switch n.members.Status(now, s.Owner) {
	case member.StatusGone:
		return true
	case member.StatusSuspect:
		m := n.members.Get(s.Owner)
		return m != nil && m.Acknowledged
	}
	m := n.members.Get(s.Owner)
	return m.Last.Incarnation != s.Incarnation
}

// give hands shards over to the VMs that should own them, one at a time so that
// little is out of use, or all at once if this VM is leaving. A shard is out of
// use from the decision on. The record is written once nothing of it is in
// flight.
func (n *Node) give(now time.Time) {
	for i := range n.shards {
		if n.shards[i].giving && !n.leaving {
			return
		}
	}
	for i := range n.shards {
		if n.shards[i].giving || !n.mayGive(now, i) {
			continue
		}
		n.stopUsing(now, i)
		if !n.leaving {
			return
		}
	}
}

// mayGive reports whether a shard should go to another VM now, or be released
// because this VM is leaving and no other is there.
func (n *Node) mayGive(now time.Time, shard int) bool {
	u := &n.shards[shard]
	if n.leaving && n.mine(shard) && len(n.members.Owners(now, n.set.DataCentre, true)) == 0 {
		u.wanted = ""
		return true
	}
	wait := settle
	if n.leaving {
		wait = 0
	}
	if !u.active || u.wanted == n.set.VM || u.wanted == "" || now.Sub(u.wantedSince) < wait {
		return false
	}
	return n.canTake(now, u.wanted)
}

// canTake reports whether a VM answers and knows this process.
func (n *Node) canTake(now time.Time, vm bamboofall.VMID) bool {
	m := n.members.Get(vm)
	return m != nil && m.Acknowledged && m.Last.Ready && n.members.Status(now, vm) == member.StatusAlive
}

func (n *Node) stopUsing(now time.Time, shard int) {
	u := &n.shards[shard]
	u.giving = true
	u.to = u.wanted
	u.active = false
	u.handedOut = time.Time{}
	n.requests.Inflight = nil
	n.sched.Deactivate(shard)
	n.explain("shard", fmt.Sprint(shard), "is being handed over to %q", u.to)
	n.nextView = now
}

// finishGiving writes the handover once the request side has reported, after
// it was told to stop, that nothing is in flight.
func (n *Node) finishGiving(now time.Time, shard int) {
	u := &n.shards[shard]
	if !u.giving || n.requests.Inflight == nil || n.requests.Inflight[shard] > 0 {
		return
	}
	if !u.handedOut.IsZero() && now.Sub(u.handedOut) < claimAgain {
		return
	}
	if u.to != "" && !n.canTake(now, u.to) && u.handedOut.IsZero() {
		u.giving = false
		return
	}
	u.handedOut = now
	n.counters.Handovers++
	s := n.ledger.Shard(shard)
	h := &recordpb.Handover{Shard: uint32(shard), Token: uint64(s.Token), To: string(u.to)}
	if m := n.members.Get(u.to); m != nil {
		h.Incarnation = m.Last.Incarnation
	}
	n.write(now, n.shardLog, &recordpb.Record{
		Id: fmt.Sprintf("handover/%d/%d", shard, s.Token), Body: &recordpb.Record_Handover{Handover: h},
	})
}

// Owned returns the shards that belong to this process.
func (n *Node) Owned() []OwnedShard {
	var out []OwnedShard
	for i := range n.shards {
		if n.mine(i) {
			out = append(out, OwnedShard{i, n.ledger.Shard(i).Token})
		}
	}
	return out
}

// view returns what the request side needs.
func (n *Node) view(now time.Time) router.View {
	v := router.View{
		FenceUntil: n.fence.Until(n.peersNow(now)),
		Active:     make(map[int]bamboofall.Token),
		Leaving:    n.leaving,
		Sharers:    1,
		Listed:     make(map[string]bool),
	}
	for i := range n.shards {
		s := n.ledger.Shard(i)
		v.Homes = append(v.Homes, router.Home{Owner: s.Owner, Token: s.Token})
		if n.shards[i].active {
			v.Active[i] = s.Token
		}
	}
	for _, vm := range n.fleet.VMs {
		if vm.DataCentre != n.set.DataCentre {
			continue
		}
		v.Instances = append(v.Instances, n.ownedInstances(vm)...)
		for _, i := range vm.Instances {
			v.Listed[i.Service] = true
		}
	}
	for _, m := range n.members.All(now) {
		status := n.members.Status(now, m.VM)
		if m.DataCentre == n.set.DataCentre {
			v.Sharers++
		}
		if status != member.StatusAlive && status != member.StatusLeaving {
			continue
		}
		v.Peers = append(v.Peers, router.Peer{
			VM: m.VM, DataCentre: m.DataCentre, Address: m.Address, Leaving: status == member.StatusLeaving,
			Rooms: m.Last.Rooms, RTT: m.RTT, Heard: m.Heard,
		})
	}
	return v
}

// ownedInstances returns the instances on a VM if this process owns its shard.
func (n *Node) ownedInstances(vm bamboofall.VM) []router.OwnedInstance {
	shard := ledger.ShardOf(string(vm.ID), len(n.shards))
	if !n.shards[shard].active {
		return nil
	}
	var out []router.OwnedInstance
	for _, i := range vm.Instances {
		out = append(out, router.OwnedInstance{
			Instance: i, VM: vm.ID, Shard: shard, Leaving: vm.Leaving,
			ActiveSince: n.shards[shard].mineSince, HandedOver: n.ledger.Shard(shard).HandedOver,
		})
	}
	return out
}

// Gone reports whether a VM that is stopping has nothing left to do.
func (n *Node) Gone() bool {
	return n.leaving && len(n.Owned()) == 0 && n.shardLog.committer.Waiting() == 0
}
