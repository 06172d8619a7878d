package router

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
)

// peers keeps the room that other entry VMs reported. At most as many requests
// are under way to a peer as it had free slots, which its slots can serve again
// and again between two heartbeats.
type peers struct {
	byVM map[bamboofall.VMID]*peerState
	// underWay counts the requests forwarded to a VM for a service.
	underWay map[peerService]int
	// order holds the names in order, so that a seed gives the same choices.
	order []bamboofall.VMID
	rand  *rand.Rand
}

type peerService struct {
	vm      bamboofall.VMID
	service string
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
	return &peers{byVM: make(map[bamboofall.VMID]*peerState), underWay: make(map[peerService]int), rand: r}
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

// sent records a forwarded request and returns the peer.
func (p *peers) sent(vm bamboofall.VMID, service string) Peer {
	p.underWay[peerService{vm, service}]++
	return p.byVM[vm].Peer
}

// returned records the end of a forwarded request.
func (p *peers) returned(vm bamboofall.VMID, service string) {
	key := peerService{vm, service}
	p.underWay[key]--
	if p.underWay[key] <= 0 {
		delete(p.underWay, key)
	}
}

// room returns how many more requests a peer may get.
func (p *peers) room(s *peerState, service string) int {
	return s.free[service] - p.underWay[peerService{s.VM, service}]
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

// spill returns a peer of the data centre that owns more than its share of the
// slots of a service, for the part of the requests that is more than the own
// share. It evens out what the balancer spreads without regard to slots.
func (p *peers) spill(service string, dc bamboofall.DataCentre, own int) (bamboofall.VMID, bool) {
	var near []*peerState
	total := own
	for _, vm := range p.order {
		s := p.byVM[vm]
		if s.DataCentre == dc && !s.doubted && !s.Leaving {
			near = append(near, s)
			total += s.owned[service]
		}
	}
	vms := len(near) + 1
	excess := total - own*vms
	if excess <= 0 || p.rand.IntN(total) >= excess {
		return "", false
	}
	above := 0
	for _, s := range near {
		above += max(s.owned[service]*vms-total, 0)
	}
	at := p.rand.IntN(max(above, 1))
	for _, s := range near {
		if at -= max(s.owned[service]*vms-total, 0); at < 0 {
			return s.VM, true
		}
	}
	return "", false
}

// pick returns a peer with room for a service, those of the own data centre
// first. The time left must cover the way there and back. If any is set, a
// peer of the own data centre without free slots will do, as long as it owns
// some.
func (p *peers) pick(service string, dc bamboofall.DataCentre, left time.Duration, avoid bamboofall.VMID, any bool) (bamboofall.VMID, bool) {
	var best *peerState
	score := func(s *peerState) int {
		points := p.room(s, service)
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
		room := p.room(s, service) > 0 || any && near && s.owned[service] > 0
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
	return best.VM, true
}
