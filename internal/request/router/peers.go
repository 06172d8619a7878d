package router

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
)

// peers tracks the slots that other entry VMs reported and the requests
// forwarded to them. At most as many requests are in flight to a peer as it had
// free slots in its last heartbeat. Each of these slots may serve several
// requests before the next heartbeat.
type peers struct {
	byVM map[bamboofall.VMID]*peerState
	// inFlight counts the requests in flight to a peer by service.
	inFlight map[peerService]int
	// order holds the peers in sorted order, so that choices depend on the seed
	// only.
	order []bamboofall.VMID
	rand  *rand.Rand
}

// peerService is the key of peers.inFlight.
type peerService struct {
	vm      bamboofall.VMID
	service string
}

// peerState is a peer with the slots that it reported.
type peerState struct {
	Peer
	// free, owned and latency hold the last reported values by service. A refusal
	// sets free to zero until the next heartbeat.
	free    map[string]int
	owned   map[string]int
	latency map[string]time.Duration
	// suspect is set after a lost connection, until the next heartbeat arrives.
	suspect bool
}

func newPeers(r *rand.Rand) *peers {
	return &peers{byVM: make(map[bamboofall.VMID]*peerState), inFlight: make(map[peerService]int), rand: r}
}

// update replaces the list of peers. It keeps the state of a peer until its
// next heartbeat.
func (p *peers) update(list []Peer) {
	current := make(map[bamboofall.VMID]*peerState, len(list))
	for _, peer := range list {
		previous := p.byVM[peer.VM]
		if previous != nil && previous.HeardAt.Equal(peer.HeardAt) {
			current[peer.VM] = previous
			continue
		}
		current[peer.VM] = newPeerState(peer)
	}
	p.byVM = current
	p.order = slices.Sorted(maps.Keys(current))
}

func newPeerState(peer Peer) *peerState {
	s := &peerState{
		Peer:    peer,
		free:    make(map[string]int, len(peer.Slots)),
		owned:   make(map[string]int, len(peer.Slots)),
		latency: make(map[string]time.Duration, len(peer.Slots)),
	}
	for _, slots := range peer.Slots {
		s.free[slots.Service] = slots.Free
		s.owned[slots.Service] = slots.Owned
		s.latency[slots.Service] = slots.Latency
	}
	return s
}

// reachable reports whether requests may be forwarded to a peer.
func (p *peers) reachable(vm bamboofall.VMID) bool {
	s := p.byVM[vm]
	return s != nil && !s.suspect
}

// addInFlight records that a request is forwarded to a peer.
func (p *peers) addInFlight(vm bamboofall.VMID, service string) Peer {
	p.inFlight[peerService{vm, service}]++
	return p.byVM[vm].Peer
}

// removeInFlight records that a forwarded request has ended.
func (p *peers) removeInFlight(vm bamboofall.VMID, service string) {
	key := peerService{vm, service}
	p.inFlight[key]--
	if p.inFlight[key] <= 0 {
		delete(p.inFlight, key)
	}
}

// freeSlots returns the number of requests that may still be forwarded to a
// peer.
func (p *peers) freeSlots(s *peerState, service string) int {
	return s.free[service] - p.inFlight[peerService{s.VM, service}]
}

// markSuspect excludes a peer until its next heartbeat.
func (p *peers) markSuspect(vm bamboofall.VMID) {
	if s := p.byVM[vm]; s != nil {
		s.suspect = true
	}
}

// markFull records that a peer has no free slot for a service until its next
// heartbeat.
func (p *peers) markFull(vm bamboofall.VMID, service string) {
	if s := p.byVM[vm]; s != nil {
		s.free[service] = 0
	}
}

// randomIn returns a random entry VM of a data centre.
func (p *peers) randomIn(dc bamboofall.DataCentre, avoid bamboofall.VMID) (bamboofall.VMID, bool) {
	var chosen bamboofall.VMID
	candidates := 0
	for _, vm := range p.order {
		s := p.byVM[vm]
		if s.DataCentre != dc || s.suspect || s.Leaving || vm == avoid {
			continue
		}
		candidates++
		if p.rand.IntN(candidates) == 0 {
			chosen = vm
		}
	}
	return chosen, candidates > 0
}

// pickForRebalance returns a peer of the data centre that owns more than an
// equal share of the service's slots, if this VM owns less. It does so for a
// random part of the requests: those beyond the share that this VM can serve.
// This corrects for a load balancer that spreads requests without regard to
// slots.
func (p *peers) pickForRebalance(service string, dc bamboofall.DataCentre, ownSlots int) (bamboofall.VMID, bool) {
	var local []*peerState
	totalSlots := ownSlots
	for _, vm := range p.order {
		s := p.byVM[vm]
		if s.DataCentre == dc && !s.suspect && !s.Leaving {
			local = append(local, s)
			totalSlots += s.owned[service]
		}
	}
	vms := len(local) + 1
	excess := totalSlots - ownSlots*vms
	if excess <= 0 || p.rand.IntN(totalSlots) >= excess {
		return "", false
	}
	surplus := 0
	for _, s := range local {
		surplus += max(s.owned[service]*vms-totalSlots, 0)
	}
	draw := p.rand.IntN(max(surplus, 1))
	for _, s := range local {
		if draw -= max(s.owned[service]*vms-totalSlots, 0); draw < 0 {
			return s.VM, true
		}
	}
	return "", false
}

// pickWithFreeSlots returns the peer with the most free slots for a service.
// Peers of this data centre are preferred. For the others the time left must be
// at least twice the round trip and the latency together. If allowFull is set,
// a peer of this data centre without free slots is eligible as well if it owns
// slots.
func (p *peers) pickWithFreeSlots(service string, dc bamboofall.DataCentre, timeLeft time.Duration, avoid bamboofall.VMID, allowFull bool) (bamboofall.VMID, bool) {
	var best *peerState
	score := func(s *peerState) int {
		value := p.freeSlots(s, service)
		if s.DataCentre == dc {
			value += 1 << 20
		}
		return value
	}
	for _, vm := range p.order {
		s := p.byVM[vm]
		if vm == avoid || s.suspect || s.Leaving {
			continue
		}
		local := s.DataCentre == dc
		hasSlots := p.freeSlots(s, service) > 0 || allowFull && local && s.owned[service] > 0
		if !hasSlots || !local && s.RTT+s.latency[service] > timeLeft/2 {
			continue
		}
		if best == nil || score(s) > score(best) {
			best = s
		}
	}
	if best == nil {
		return "", false
	}
	return best.VM, true
}
