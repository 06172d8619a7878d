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
	// announceInterval is the time between announcements to the owner.
	announceInterval = time.Second
	// announceRetryDelay is the delay before a retry: the address of a new owner is
	// known shortly before the owner responds.
	announceRetryDelay = 100 * time.Millisecond
	// announceTimeout is the timeout of an announcement.
	announceTimeout = 500 * time.Millisecond
	// maxFastRetries is the maximum number of consecutive retries after
	// announceRetryDelay. Later ones wait for announceInterval.
	maxFastRetries = 10
	// defaultCapacity is the capacity assumed for a VM that reports none, in
	// thousandths of a core: that of a small VM of the platform.
	defaultCapacity = 400
)

// announceLoop announces this VM to the owner periodically, and when the owner changes
// or this VM starts to drain.
func (f *Front) announceLoop(ctx context.Context) error {
	draining := f.draining
	failures := 0
	for ctx.Err() == nil {
		wait := announceInterval
		if f.announceOnce(ctx) {
			failures = 0
		} else if failures++; failures <= maxFastRetries {
			wait = announceRetryDelay
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-f.ownerChanged:
			failures = 0
		case <-draining:
			draining = nil
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// announceOnce reports whether the owner accepted the announcement, or is this VM.
func (f *Front) announceOnce(ctx context.Context) bool {
	owner, known := f.currentOwner()
	if known && owner.Process == f.process {
		f.ownerLink.Answered(now())
		return true
	}
	if !known {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	res, err := f.peers.relayClient(owner.Address).Announce(ctx, connect.NewRequest(&jobpb.AnnounceRequest{
		Process: f.process, Address: f.settings.Peers.String(), DataCentre: string(f.settings.DataCentre),
		Capacity: vmCapacity(f.settings.Machine), Leaving: f.isDraining(),
	}))
	f.recordOwnerCall(now(), err)
	if err != nil || res.Msg.GetNotOwner() {
		f.metrics.Increment("announcementsFailed", nil)
		return false
	}
	return true
}

// Announce implements the Relays service.
func (s *relaysServer) Announce(_ context.Context, r *connect.Request[jobpb.AnnounceRequest]) (*connect.Response[jobpb.AnnounceResponse], error) {
	announced := r.Msg
	address, err := netip.ParseAddrPort(announced.GetAddress())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	o := s.front.owner.Load()
	if o == nil {
		return connect.NewResponse(&jobpb.AnnounceResponse{NotOwner: true}), nil
	}
	vm := dispatch.VM{
		Address: address, Process: announced.GetProcess(), DataCentre: bamboofall.DataCentre(announced.GetDataCentre()),
		Capacity: announced.GetCapacity(), Leaving: announced.GetLeaving(),
	}
	s.front.announcements.add(now(), vm)
	if vm.DataCentre != s.front.settings.DataCentre {
		s.front.othersHeardAt.set(now())
	}
	vm.Capacity = capacityOrDefault(vm.Capacity)
	if !o.events.TryPush(o.measured(loopTopics, func(at time.Time) { o.dispatcher.applyAnnouncement(at, vm) })) {
		return connect.NewResponse(&jobpb.AnnounceResponse{NotOwner: true}), nil
	}
	if s.front.isIsolated(now()) {
		// The VMs here can be served by no owner, and are to leave rotation.
		return nil, connect.NewError(codeIsolated, errIsolated)
	}
	return connect.NewResponse(&jobpb.AnnounceResponse{}), nil
}

// capacityOrDefault returns a capacity, or defaultCapacity if it is zero.
func capacityOrDefault(capacity uint32) uint32 {
	if capacity == 0 {
		return defaultCapacity
	}
	return capacity
}

// announcementTable holds the latest announcement of each entry VM. The zero value is
// ready to use.
type announcementTable struct {
	mu        sync.Mutex
	byAddress map[netip.AddrPort]announcement
}

type announcement struct {
	dispatch.VM
	receivedAt time.Time
}

func (t *announcementTable) add(at time.Time, vm dispatch.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byAddress == nil {
		t.byAddress = make(map[netip.AddrPort]announcement)
	}
	t.byAddress[vm.Address] = announcement{vm, at}
	for address, a := range t.byAddress {
		if at.Sub(a.receivedAt) > dispatch.AnnouncementTTL {
			delete(t.byAddress, address)
		}
	}
}

// strongestPeer returns the largest capacity of the other entry VMs that are not
// draining, in thousandths of a core. It is known only on the owner, after others have
// announced themselves.
func (f *Front) strongestPeer(now time.Time) (capacity uint32, known bool) {
	capacity, peers := f.announcements.strongest(now)
	return capacity, peers > 0
}

// strongest returns the largest capacity of the VMs with a valid announcement that are
// not draining, and their number.
func (t *announcementTable) strongest(now time.Time) (capacity uint32, vms int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.byAddress {
		if !a.Leaving && now.Sub(a.receivedAt) <= dispatch.AnnouncementTTL {
			capacity = max(capacity, a.Capacity)
			vms++
		}
	}
	return capacity, vms
}
