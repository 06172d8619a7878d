package front

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/dispatch"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
)

const (
	// announceEvery is the time between announcements to the owner.
	announceEvery = time.Second
	// announceRetry is the time to the next one after a failure: a new owner is
	// known a little before it answers.
	announceRetry = 100 * time.Millisecond
	// announceTimeout bounds an announcement.
	announceTimeout = 500 * time.Millisecond
	// announceTries bounds the tries that follow each other fast.
	announceTries = 10
	// assumedCapacity is taken for a VM of unknown capacity, in thousandths of a
	// core: that of a small VM of the platform.
	assumedCapacity = 400
)

// announce tells the owner of this VM, from time to time and when the owner or the
// part of this VM changes.
func (f *Front) announce(ctx context.Context) error {
	leaving := f.leaving
	failures := 0
	for ctx.Err() == nil {
		wait := announceEvery
		if f.announceOnce(ctx) {
			failures = 0
		} else if failures++; failures <= announceTries {
			wait = announceRetry
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-f.ownerChanged:
			failures = 0
		case <-leaving:
			leaving = nil
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// announceOnce reports whether the owner was told, or is this VM.
func (f *Front) announceOnce(ctx context.Context) bool {
	owner, known := f.ownerAddress()
	if known && owner.Process == f.process {
		return true
	}
	if !known {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	res, err := f.peers.relay(owner.Address).Announce(ctx, connect.NewRequest(&jobpb.AnnounceRequest{
		Process: f.process, Address: f.set.Peers.String(), DataCentre: string(f.set.DataCentre),
		Capacity: capacityOf(f.set.Machine), Leaving: f.isLeaving(),
	}))
	if err != nil || res.Msg.GetNotOwner() {
		f.metrics.Count("announcementsFailed", nil)
		return false
	}
	return true
}

// Announce implements the Relays service.
func (s *relaysServer) Announce(_ context.Context, r *connect.Request[jobpb.AnnounceRequest]) (*connect.Response[jobpb.AnnounceResponse], error) {
	m := r.Msg
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	o := s.f.owner.Load()
	if o == nil {
		return connect.NewResponse(&jobpb.AnnounceResponse{NotOwner: true}), nil
	}
	vm := dispatch.VM{
		Address: address, Process: m.GetProcess(), DataCentre: bamboofall.DataCentre(m.GetDataCentre()),
		Capacity: m.GetCapacity(), Leaving: m.GetLeaving(),
	}
	s.f.others.heard(now(), vm)
	vm.Capacity = assumed(vm.Capacity)
	if !o.events.TryPush(o.timed(func(at time.Time) { o.relays.heard(at, vm) })) {
		return connect.NewResponse(&jobpb.AnnounceResponse{NotOwner: true}), nil
	}
	return connect.NewResponse(&jobpb.AnnounceResponse{}), nil
}

// assumed returns a capacity, or what is taken for one that is not known.
func assumed(capacity uint32) uint32 {
	if capacity == 0 {
		return assumedCapacity
	}
	return capacity
}

// others holds what other entry VMs announced. The zero value is ready.
type others struct {
	mu sync.Mutex
	at map[netip.AddrPort]announcement
}

type announcement struct {
	dispatch.VM
	heard time.Time
}

func (x *others) heard(at time.Time, vm dispatch.VM) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.at == nil {
		x.at = make(map[netip.AddrPort]announcement)
	}
	x.at[vm.Address] = announcement{vm, at}
	for address, a := range x.at {
		if at.Sub(a.heard) > dispatch.HeardFor {
			delete(x.at, address)
		}
	}
}

// strongestPeer returns the largest capacity of the other entry VMs, in thousandths
// of a core. It is known only while this VM owns the cell and others take part.
func (f *Front) strongestPeer(now time.Time) (capacity uint32, known bool) {
	f.others.mu.Lock()
	defer f.others.mu.Unlock()
	for _, a := range f.others.at {
		if !a.Leaving && now.Sub(a.heard) <= dispatch.HeardFor {
			capacity, known = max(capacity, a.Capacity), true
		}
	}
	return capacity, known
}
