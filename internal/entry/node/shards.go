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
	// claimInterval is the time between checks for shards to claim or hand over.
	claimInterval = 200 * time.Millisecond
	// rewriteDelay is the time after which a claim, confirmation, objection or
	// handover that was not read back is written again.
	rewriteDelay = 3 * time.Second
	// assignmentSettleTime is how long a shard must be assigned to another VM before
	// it is handed over.
	assignmentSettleTime = time.Second
	// objectionHoldOff is how long a shard is not claimed after its owner objected.
	objectionHoldOff = 15 * time.Second
)

// shardState is this process's local state of a shard.
type shardState struct {
	// ownedSince is when the record was read back that made this process the owner.
	// It is zero while the shard has another owner.
	ownedSince time.Time
	// active is set while this process acts as the owner.
	active bool
	// handingOver is set while the shard is being handed over or released.
	handingOver bool
	// handoverTo is the receiving VM. It is empty if the shard is released.
	handoverTo bamboofall.VMID
	// The WrittenAt fields hold when a record of that kind was last queued.
	handoverWrittenAt time.Time
	claimWrittenAt    time.Time
	// claimPendingSince is when this process's own pending claim was read back.
	claimPendingSince  time.Time
	confirmWrittenAt   time.Time
	objectionWrittenAt time.Time
	// noClaimUntil is the end of the hold-off after the owner objected.
	noClaimUntil time.Time
	// assigned is the VM that should own the shard, since assignedSince.
	assigned      bamboofall.VMID
	assignedSince time.Time
}

// ownedHere reports whether the ledger names this process, not only this VM, as
// the shard's owner.
func (n *Node) ownedHere(shard int) bool {
	s := n.ledger.Shard(shard)
	return s.Owner == n.settings.VM && s.Incarnation == n.cfg.Incarnation
}

// localPeers returns the other VMs of the data centre that may be running.
func (n *Node) localPeers(now time.Time) []bamboofall.VMID {
	if n.cachedPeersAt.Equal(now) {
		return n.cachedPeers
	}
	n.cachedPeers = nil
	n.cachedPeersAt = now
	for _, m := range n.members.InDataCentre(now, n.settings.DataCentre) {
		n.cachedPeers = append(n.cachedPeers, m.VM)
	}
	return n.cachedPeers
}

func (n *Node) fenceOpen(now time.Time) bool { return n.fence.Open(now, n.localPeers(now)) }

// applyOwnership updates the local state after a record that changes or contests
// the ownership of a shard.
func (n *Node) applyOwnership(now time.Time, r *recordpb.Record, v ledger.Verdict) {
	if v.VoidReason != "" || v.Repeat {
		return
	}
	switch body := r.GetBody().(type) {
	case *recordpb.Record_Claim:
		n.claimApplied(now, int(body.Claim.GetShard()))
	case *recordpb.Record_Confirm:
		n.ownerChanged(now, int(body.Confirm.GetShard()))
	case *recordpb.Record_Handover:
		n.ownerChanged(now, int(body.Handover.GetShard()))
	case *recordpb.Record_Objection:
		n.objectionApplied(now, int(body.Objection.GetShard()))
	}
}

func (n *Node) ownerChanged(now time.Time, shard int) {
	n.resetShard(now, shard)
	s := n.ledger.Shard(shard)
	n.recordDecision("shard", fmt.Sprint(shard), "belongs to %q under token %d", s.Owner, s.Token)
}

// claimApplied handles a claim that was read back. A claim to a shard without an
// owner takes effect at once, others wait for an objection.
func (n *Node) claimApplied(now time.Time, shard int) {
	s := n.ledger.Shard(shard)
	if s.PendingClaim.ClaimID == "" {
		n.ownerChanged(now, shard)
		return
	}
	state := &n.shards[shard]
	state.claimPendingSince = time.Time{}
	if s.PendingClaim.Owner == n.settings.VM && s.PendingClaim.Incarnation == n.cfg.Incarnation {
		state.claimPendingSince = now
	}
	n.recordDecision("shard", fmt.Sprint(shard), "is claimed by %s from %s", s.PendingClaim.Owner, s.Owner)
}

func (n *Node) objectionApplied(now time.Time, shard int) {
	state := &n.shards[shard]
	state.claimPendingSince = time.Time{}
	state.noClaimUntil = now.Add(objectionHoldOff)
	n.recordDecision("shard", fmt.Sprint(shard), "stays with %s, which objected to a claim", n.ledger.Shard(shard).Owner)
}

// hasPendingClaim reports whether there is a pending claim to a shard that this
// process owns.
func (n *Node) hasPendingClaim() bool {
	for i := range n.shards {
		if n.ownedHere(i) && n.ledger.Shard(i).PendingClaim.ClaimID != "" {
			return true
		}
	}
	return false
}

// objectToClaim writes an objection to a pending claim if this process owns the
// shard.
func (n *Node) objectToClaim(now time.Time, shard int) {
	s := n.ledger.Shard(shard)
	state := &n.shards[shard]
	if !n.ownedHere(shard) || s.PendingClaim.ClaimID == "" || !state.objectionWrittenAt.IsZero() && now.Sub(state.objectionWrittenAt) < rewriteDelay {
		return
	}
	state.objectionWrittenAt = now
	n.queueRecord(now, n.ledgerStream, &recordpb.Record{Body: &recordpb.Record_Objection{Objection: &recordpb.Objection{
		Shard: uint32(shard), Token: uint64(s.Token), ClaimId: s.PendingClaim.ClaimID,
	}}})
}

// confirmClaim confirms this process's pending claim after the takeover wait. By
// then the owner has objected or its fence has closed.
func (n *Node) confirmClaim(now time.Time, shard int) {
	state := &n.shards[shard]
	if state.claimPendingSince.IsZero() || now.Sub(state.claimPendingSince) < n.settings.Timing.Takeover {
		return
	}
	if !state.confirmWrittenAt.IsZero() && now.Sub(state.confirmWrittenAt) < rewriteDelay {
		return
	}
	state.confirmWrittenAt = now
	n.queueRecord(now, n.ledgerStream, &recordpb.Record{Body: &recordpb.Record_Confirm{Confirm: &recordpb.Confirm{
		Shard: uint32(shard), ClaimId: n.ledger.Shard(shard).PendingClaim.ClaimID,
	}}})
}

// resetShard resets the local state of a shard after its token changed.
func (n *Node) resetShard(now time.Time, shard int) {
	state := &n.shards[shard]
	if state.active {
		n.sched.Deactivate(shard)
	}
	*state = shardState{assigned: state.assigned, assignedSince: now, noClaimUntil: state.noClaimUntil}
	if n.ownedHere(shard) {
		state.ownedSince = now
	}
	n.nextView = now
}

// resetShards resets the local state of all shards after a snapshot was restored.
func (n *Node) resetShards(now time.Time) {
	for i := range n.shards {
		n.resetShard(now, i)
	}
}

// updateShards drives activation, objections, confirmations and handovers, and
// periodically compares ownership with the assignment.
func (n *Node) updateShards(now time.Time) {
	open := n.fenceOpen(now)
	for i := range n.shards {
		n.activate(now, i, open)
		n.objectToClaim(now, i)
		n.confirmClaim(now, i)
		n.finishHandover(now, i)
	}
	if now.Before(n.nextClaim) || !n.ledgerStream.ready || !n.ledgerStream.atEnd || !n.fleetListed {
		return
	}
	n.nextClaim = now.Add(claimInterval)
	assignment := member.Assign(len(n.shards), n.members.EligibleOwners(now, n.settings.DataCentre, n.leaving))
	for i := range n.shards {
		if assignment != nil {
			n.updateAssignment(now, i, assignment[i])
		}
	}
	n.startHandovers(now)
}

// activate starts to act as the owner of a shard that this process owns, if the
// fence is open.
func (n *Node) activate(now time.Time, shard int, open bool) {
	state := &n.shards[shard]
	if state.active || state.ownedSince.IsZero() || state.handingOver || !open {
		return
	}
	s := n.ledger.Shard(shard)
	state.active = true
	n.counters.Activations++
	n.sched.Activate(now, shard, s.Token)
	n.recordDecision("shard", fmt.Sprint(shard), "acts as owner under token %d", s.Token)
	n.nextView = now
}

// updateAssignment records which VM should own a shard, and claims the shard if it
// is this VM.
func (n *Node) updateAssignment(now time.Time, shard int, vm bamboofall.VMID) {
	state := &n.shards[shard]
	if state.assigned != vm {
		state.assigned = vm
		state.assignedSince = now
	}
	if vm != n.settings.VM || n.ownedHere(shard) || !state.claimWrittenAt.IsZero() && now.Sub(state.claimWrittenAt) < rewriteDelay {
		return
	}
	if !n.canClaim(now, shard) {
		return
	}
	s := n.ledger.Shard(shard)
	state.claimWrittenAt = now
	n.counters.Claims++
	n.queueRecord(now, n.ledgerStream, &recordpb.Record{
		Id: fmt.Sprintf("claim/%d/%d/%s/%s", shard, s.Token, n.settings.VM, n.cfg.Incarnation),
		Body: &recordpb.Record_Claim{Claim: &recordpb.Claim{
			Shard: uint32(shard), Shards: uint32(len(n.shards)), Owner: string(n.settings.VM),
			Incarnation: n.cfg.Incarnation, PreviousToken: uint64(s.Token),
		}},
	})
}

// canClaim reports whether a shard may be claimed from its owner. A silent owner
// may only be partitioned from this VM. Its fence closes in time only if it counts
// this process among its peers, so it must have acknowledged a heartbeat before.
func (n *Node) canClaim(now time.Time, shard int) bool {
	s := n.ledger.Shard(shard)
	if s.Owner == "" || s.Owner == n.settings.VM {
		return true
	}
	if now.Before(n.shards[shard].noClaimUntil) {
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
	return m.LastHeartbeat.Incarnation != s.Incarnation
}

// startHandovers hands shards over to the VMs that they are assigned to: one at a
// time to keep most shards in use, or all at once if this VM is leaving. A shard
// is out of use from this decision on. The record follows once no request of the
// shard is in flight.
func (n *Node) startHandovers(now time.Time) {
	for i := range n.shards {
		if n.shards[i].handingOver && !n.leaving {
			return
		}
	}
	for i := range n.shards {
		if n.shards[i].handingOver || !n.shouldHandOver(now, i) {
			continue
		}
		n.startHandover(now, i)
		if !n.leaving {
			return
		}
	}
}

// shouldHandOver reports whether a shard should be handed over now. A leaving VM
// without successors releases its shards instead, by an empty assignment.
func (n *Node) shouldHandOver(now time.Time, shard int) bool {
	state := &n.shards[shard]
	if n.leaving && n.ownedHere(shard) && len(n.members.EligibleOwners(now, n.settings.DataCentre, true)) == 0 {
		state.assigned = ""
		return true
	}
	wait := assignmentSettleTime
	if n.leaving {
		wait = 0
	}
	if !state.active || state.assigned == n.settings.VM || state.assigned == "" || now.Sub(state.assignedSince) < wait {
		return false
	}
	return n.canReceive(now, state.assigned)
}

// canReceive reports whether a VM is alive and ready, and has acknowledged a
// heartbeat of this process.
func (n *Node) canReceive(now time.Time, vm bamboofall.VMID) bool {
	m := n.members.Get(vm)
	return m != nil && m.Acknowledged && m.LastHeartbeat.Ready && n.members.Status(now, vm) == member.StatusAlive
}

func (n *Node) startHandover(now time.Time, shard int) {
	state := &n.shards[shard]
	state.handingOver = true
	state.handoverTo = state.assigned
	state.active = false
	state.handoverWrittenAt = time.Time{}
	n.requestStats.Inflight = nil
	n.sched.Deactivate(shard)
	n.recordDecision("shard", fmt.Sprint(shard), "is being handed over to %q", state.handoverTo)
	n.nextView = now
}

// finishHandover writes the handover record once the request side has reported
// that no request of the shard is in flight. Only reports after the shard's
// deactivation count.
func (n *Node) finishHandover(now time.Time, shard int) {
	state := &n.shards[shard]
	if !state.handingOver || n.requestStats.Inflight == nil || n.requestStats.Inflight[shard] > 0 {
		return
	}
	if !state.handoverWrittenAt.IsZero() && now.Sub(state.handoverWrittenAt) < rewriteDelay {
		return
	}
	if state.handoverTo != "" && !n.canReceive(now, state.handoverTo) && state.handoverWrittenAt.IsZero() {
		state.handingOver = false
		return
	}
	state.handoverWrittenAt = now
	n.counters.Handovers++
	s := n.ledger.Shard(shard)
	h := &recordpb.Handover{Shard: uint32(shard), Token: uint64(s.Token), To: string(state.handoverTo)}
	if m := n.members.Get(state.handoverTo); m != nil {
		h.Incarnation = m.LastHeartbeat.Incarnation
	}
	n.queueRecord(now, n.ledgerStream, &recordpb.Record{
		Id: fmt.Sprintf("handover/%d/%d", shard, s.Token), Body: &recordpb.Record_Handover{Handover: h},
	})
}

// OwnedShards returns the shards that this process owns by the ledger.
func (n *Node) OwnedShards() []OwnedShard {
	var out []OwnedShard
	for i := range n.shards {
		if n.ownedHere(i) {
			out = append(out, OwnedShard{i, n.ledger.Shard(i).Token})
		}
	}
	return out
}

// view returns the routing view for the request side.
func (n *Node) view(now time.Time) router.View {
	v := router.View{
		FenceUntil: n.fence.Until(n.localPeers(now)),
		Active:     make(map[int]bamboofall.Token),
		Leaving:    n.leaving,
		EntryVMs:   1,
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
		if vm.DataCentre != n.settings.DataCentre {
			continue
		}
		v.Instances = append(v.Instances, n.ownedInstances(vm)...)
		for _, i := range vm.Instances {
			v.Listed[i.Service] = true
		}
	}
	for _, m := range n.members.All(now) {
		status := n.members.Status(now, m.VM)
		if m.DataCentre == n.settings.DataCentre {
			v.EntryVMs++
		}
		if status != member.StatusAlive && status != member.StatusLeaving {
			continue
		}
		v.Peers = append(v.Peers, router.Peer{
			VM: m.VM, DataCentre: m.DataCentre, Address: m.Address, Leaving: status == member.StatusLeaving,
			Slots: m.LastHeartbeat.Slots, RTT: m.RTT, HeardAt: m.HeardAt,
		})
	}
	return v
}

// ownedInstances returns the instances on a VM if this process acts for the VM's
// shard.
func (n *Node) ownedInstances(vm bamboofall.VM) []router.OwnedInstance {
	shard := ledger.ShardOf(string(vm.ID), len(n.shards))
	if !n.shards[shard].active {
		return nil
	}
	var out []router.OwnedInstance
	for _, i := range vm.Instances {
		out = append(out, router.OwnedInstance{
			Instance: i, VM: vm.ID, Shard: shard, Leaving: vm.Leaving,
			ActiveSince: n.shards[shard].ownedSince, HandedOver: n.ledger.Shard(shard).HandedOver,
		})
	}
	return out
}

// Drained reports whether a leaving VM owns no shards and has appended all its ledger
// records.
func (n *Node) Drained() bool {
	return n.leaving && len(n.OwnedShards()) == 0 && n.ledgerStream.committer.Pending() == 0
}
