package daemon

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/entry/node"
	"bamboofall.example/bamboofall/internal/request/idempotency"
	"bamboofall.example/bamboofall/internal/request/router"
	"bamboofall.example/bamboofall/internal/state/member"
	"bamboofall.example/bamboofall/internal/wire/httpclient"
	"bamboofall.example/bamboofall/internal/wire/peerpb"
)

const (
	snapshotTimeout = 5 * time.Second
	// forwardMargin is added to a request's remaining time to allow for the response
	// from the peer.
	forwardMargin = 50 * time.Millisecond
)

// peersHandler serves the API for the other entry VMs.
func (d *Daemon) peersHandler() http.Handler {
	path, handler := peerpb.NewPeerHandler(&peerServer{d})
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	return mux
}

// peerServer implements the Peer service.
type peerServer struct {
	d *Daemon
}

// Heartbeat records a peer's heartbeat and responds with this VM's own.
func (s *peerServer) Heartbeat(ctx context.Context, r *connect.Request[peerpb.HeartbeatRequest]) (*connect.Response[peerpb.HeartbeatResponse], error) {
	m := r.Msg
	h := member.Heartbeat{
		VM: bamboofall.VMID(m.GetVm()), Incarnation: m.GetIncarnation(),
		DataCentre: bamboofall.DataCentre(m.GetDataCentre()), Leaving: m.GetLeaving(), Ready: m.GetReady(),
		Revision: m.GetRevision(), Slots: slotsFromProto(m.GetRooms()),
	}
	var shards []node.OwnedShard
	for _, o := range m.GetShards() {
		shards = append(shards, node.OwnedShard{Shard: int(o.GetShard()), Token: bamboofall.Token(o.GetToken())})
	}
	var self member.Heartbeat
	var noClaim bool
	err := s.d.inspect(ctx, func(now time.Time, n *node.Node) { self, noClaim = n.ReceiveHeartbeat(now, h, shards) })
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peerpb.HeartbeatResponse{
		Vm: string(self.VM), Incarnation: self.Incarnation, Leaving: self.Leaving, Ready: self.Ready, Revision: self.Revision,
		Rooms: slotsToProto(self.Slots), NoClaim: noClaim, DataCentre: string(self.DataCentre),
	}), nil
}

// Forward routes a request on behalf of a peer.
func (s *peerServer) Forward(_ context.Context, r *connect.Request[peerpb.ForwardRequest]) (*connect.Response[peerpb.ForwardResponse], error) {
	m := r.Msg
	req := router.Request{
		Service: m.GetService(), Kind: m.GetKind(), Trade: m.GetTrade(), Key: m.GetKey(),
		First: m.GetAttempt() == 1, Content: m.GetContent(), ForwardedLocally: m.GetHop(), ForwardedRemotely: m.GetFar(), KeyBegun: m.GetHomeHeld(),
		Token:    bamboofall.Token(m.GetToken()),
		Size:     int64(len(m.GetBody())),
		Deadline: time.Now().Add(time.Duration(m.GetRemainingMs()) * time.Millisecond),
	}
	reply := s.d.route(req, m.GetBody())
	out := &peerpb.ForwardResponse{
		Outcome: uint32(reply.Outcome), Reason: string(reply.Reason), RetryAfterMs: reply.RetryAfter.Milliseconds(),
		Vouched: reply.Authoritative,
	}
	if reply.Answer != nil {
		out.Status = uint32(reply.Answer.Status)
		out.Body = reply.Answer.Body
		out.ContentType = reply.Answer.ContentType
	}
	return connect.NewResponse(out), nil
}

// Explain returns this VM's trail entries on a subject.
func (s *peerServer) Explain(_ context.Context, r *connect.Request[peerpb.ExplainRequest]) (*connect.Response[peerpb.ExplainResponse], error) {
	out := &peerpb.ExplainResponse{}
	for _, e := range s.d.findTrail(r.Msg.GetKind(), r.Msg.GetName()) {
		out.Decisions = append(out.Decisions, &peerpb.Decision{
			AtUnixMs: e.At.UnixMilli(), Vm: e.VM, Kind: e.Kind, Name: e.Name, Message: e.Message,
		})
	}
	return connect.NewResponse(out), nil
}

// Snapshot returns the state of a stream once both streams have been loaded.
func (s *peerServer) Snapshot(ctx context.Context, r *connect.Request[peerpb.SnapshotRequest]) (*connect.Response[peerpb.SnapshotResponse], error) {
	var data []byte
	var ready bool
	var snapshotErr error
	err := s.d.inspect(ctx, func(_ time.Time, n *node.Node) {
		ready = n.Ready()
		data, snapshotErr = n.Snapshot(r.Msg.GetStream())
	})
	if err = errors.Join(err, snapshotErr); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if !ready {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("state not loaded yet"))
	}
	return connect.NewResponse(&peerpb.SnapshotResponse{Data: data}), nil
}

func (d *Daemon) peer(to netip.AddrPort) peerpb.PeerClient {
	return peerpb.NewPeerClient(d.peers, "http://"+to.String())
}

func (d *Daemon) doHeartbeat(ctx context.Context, a node.Heartbeat) {
	callCtx, cancel := context.WithTimeout(ctx, d.settings.Timing.Suspect)
	defer cancel()
	m := &peerpb.HeartbeatRequest{
		Vm: string(a.Self.VM), Incarnation: a.Self.Incarnation, DataCentre: string(a.Self.DataCentre),
		Leaving: a.Self.Leaving, Ready: a.Self.Ready, Revision: a.Self.Revision, Rooms: slotsToProto(a.Self.Slots),
	}
	for _, s := range a.Shards {
		m.Shards = append(m.Shards, &peerpb.OwnedShard{Shard: uint32(s.Shard), Token: uint64(s.Token)})
	}
	sent := time.Now()
	res, err := d.peer(a.Address).Heartbeat(callCtx, connect.NewRequest(m))
	done := node.HeartbeatDone{Peer: a.Peer, Address: a.Address, Sent: sent, Err: err}
	if err != nil {
		done.ConnectionRefused = errors.Is(err, syscall.ECONNREFUSED)
		d.control.Push(ctx, controlItem{event: done})
		return
	}
	r := res.Msg
	done.NoClaim = r.GetNoClaim()
	done.Answer = member.Heartbeat{
		VM: bamboofall.VMID(r.GetVm()), Incarnation: r.GetIncarnation(), Leaving: r.GetLeaving(), Ready: r.GetReady(),
		DataCentre: bamboofall.DataCentre(r.GetDataCentre()), Revision: r.GetRevision(), Slots: slotsFromProto(r.GetRooms()),
	}
	d.control.Push(ctx, controlItem{event: done})
}

func (d *Daemon) doFetch(ctx context.Context, a node.FetchSnapshot) {
	callCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	done := node.SnapshotFetched{Stream: a.Stream}
	res, err := d.peer(a.Address).Snapshot(callCtx, connect.NewRequest(&peerpb.SnapshotRequest{Stream: a.Stream}))
	if err != nil {
		done.Err = err
	} else {
		done.Data = res.Msg.GetData()
	}
	d.control.Push(ctx, controlItem{event: done})
}

// forward sends a request to another entry VM and reports its result to the
// request loop.
func (d *Daemon) forward(a router.Forward) {
	res := d.forwardTo(a)
	d.pushToRequestLoop(func(now time.Time, r *router.Router) []router.Action { return r.Forwarded(now, a.Request.ID, res) })
}

func (d *Daemon) forwardTo(a router.Forward) router.PeerResult {
	pending := d.pendingCalls.get(a.Request.ID)
	remaining := time.Until(a.Request.Deadline)
	if pending == nil || !a.Address.IsValid() || remaining <= 0 {
		return router.PeerResult{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), remaining+forwardMargin)
	defer cancel()
	m := &peerpb.ForwardRequest{
		From: string(d.settings.VM), Service: a.Request.Service, Kind: a.Request.Kind, Trade: a.Request.Trade,
		Key: a.Request.Key, RemainingMs: remaining.Milliseconds(), Body: pending.body, Token: uint64(a.Token),
		HomeHeld: a.KeyBegun, Content: a.Request.Content, Hop: a.ForwardedLocally, Far: a.ForwardedRemotely,
	}
	if a.Request.First {
		m.Attempt = 1
	}
	res, err := d.peer(a.Address).Forward(ctx, connect.NewRequest(m))
	if err != nil {
		return router.PeerResult{Reached: !httpclient.IsNotSent(err), Lost: true}
	}
	r := res.Msg
	out := router.PeerResult{
		Reached: true, Outcome: bamboofall.Outcome(r.GetOutcome()), Reason: router.Reason(r.GetReason()),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond, Authoritative: r.GetVouched(),
	}
	if out.Outcome == bamboofall.OutcomeAnswered {
		out.Answer = &idempotency.Answer{Status: int(r.GetStatus()), ContentType: r.GetContentType(), Body: r.GetBody()}
	}
	return out
}

func slotsToProto(slots []member.ServiceSlots) []*peerpb.ServiceRoom {
	out := make([]*peerpb.ServiceRoom, len(slots))
	for i, s := range slots {
		out[i] = &peerpb.ServiceRoom{
			Service: s.Service, FreeSlots: uint32(s.Free), OwnedSlots: uint32(s.Owned),
			TypicalLatencyUs: s.Latency.Microseconds(),
		}
	}
	return out
}

func slotsFromProto(slots []*peerpb.ServiceRoom) []member.ServiceSlots {
	out := make([]member.ServiceSlots, len(slots))
	for i, s := range slots {
		out[i] = member.ServiceSlots{
			Service: s.GetService(), Free: int(s.GetFreeSlots()), Owned: int(s.GetOwnedSlots()),
			Latency: time.Duration(s.GetTypicalLatencyUs()) * time.Microsecond,
		}
	}
	return out
}
