package router

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
)

// peers keeps the room that other entry VMs reported, less what was forwarded
// to them since.
type peers struct {
	byVM map[bamboofall.VMID]*peerState
	// order holds the names in order, so that a seed gives the same choices.
	order []bamboofall.VMID
	rand  *rand.Rand
}

type peerState struct {
	Peer
	free    map[string]int
	owned   map[string]int
	latency map[string]time.Duration
	// doubted is set until the next heartbeat.
	doubted bool
}

func newPeers(r *rand.Rand) *peers {
	return &peers{byVM: make(map[bamboofall.VMID]*peerState), rand: r}
}

func (p *peers) update(list []Peer) {
	seen := make(map[bamboofall.VMID]*peerState, len(list))
	for _, peer := range list {
		old := p.byVM[peer.VM]
		if old != nil && old.Heard.Equal(peer.Heard) {
			seen[peer.VM] = old
			continue
		}
		seen[peer.VM] = newPeerState(peer)
	}
	p.byVM = seen
	p.order = slices.Sorted(maps.Keys(seen))
}

func newPeerState(peer Peer) *peerState {
	s := &peerState{
		Peer:    peer,
		free:    make(map[string]int, len(peer.Rooms)),
		owned:   make(map[string]int, len(peer.Rooms)),
		latency: make(map[string]time.Duration, len(peer.Rooms)),
	}
	for _, room := range peer.Rooms {
		s.free[room.Service] = room.Free
		s.owned[room.Service] = room.Owned
		s.latency[room.Service] = room.Latency
	}
	return s
}

func (p *peers) alive(vm bamboofall.VMID) bool {
	s := p.byVM[vm]
	return s != nil && !s.doubted
}

// doubt leaves a peer out until it is heard again.
func (p *peers) doubt(vm bamboofall.VMID) {
	if s := p.byVM[vm]; s != nil {
		s.doubted = true
	}
}

// full records that a peer has no room for a service.
func (p *peers) full(vm bamboofall.VMID, service string) {
	if s := p.byVM[vm]; s != nil {
		s.free[service] = 0
	}
}

// anyIn returns a random entry VM of a data centre.
func (p *peers) anyIn(dc bamboofall.DataCentre, avoid bamboofall.VMID) (bamboofall.VMID, bool) {
	var found bamboofall.VMID
	n := 0
	for _, vm := range p.order {
		s := p.byVM[vm]
		if s.DataCentre != dc || s.doubted || s.Leaving || vm == avoid {
			continue
		}
		n++
		if p.rand.IntN(n) == 0 {
			found = vm
		}
	}
	return found, n > 0
}

// pick returns a peer with room for a service, those of the own data centre
// first. The time left must cover the way there and back. If any is set, a
// peer of the own data centre without free slots will do, as long as it owns
// some.
func (p *peers) pick(service string, dc bamboofall.DataCentre, left time.Duration, avoid bamboofall.VMID, any bool) (bamboofall.VMID, bool) {
	var best *peerState
	score := func(s *peerState) int {
		points := s.free[service]
		if s.DataCentre == dc {
			points += 1 << 20
		}
		return points
	}
	for _, vm := range p.order {
		s := p.byVM[vm]
		if vm == avoid || s.doubted || s.Leaving {
			continue
		}
		near := s.DataCentre == dc
		room := s.free[service] > 0 || any && near && s.owned[service] > 0
		if !room || !near && s.RTT+s.latency[service] > left/2 {
			continue
		}
		if best == nil || score(s) > score(best) {
			best = s
		}
	}
	if best == nil {
		return "", false
	}
	best.free[service]--
	return best.VM, true
}
