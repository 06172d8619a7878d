package front

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/jobspec"
	"bamboofall.example/bamboofall/internal/request/holding"
	"bamboofall.example/bamboofall/internal/wire/httpclient"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
)

// peerClients holds the RPC clients for other entry VMs.
type peerClients struct {
	jobsHTTP *httpclient.Client
	// relaysHTTP has its own connections. If Carry and Jobs calls shared them, a Jobs
	// call on a connection that the other side has just closed would have an unknown
	// outcome.
	relaysHTTP  *httpclient.Client
	mu          sync.Mutex
	jobsClients map[netip.AddrPort]jobpb.JobsClient
	// relaysClients holds the clients for relays and for owners that use this VM as a
	// relay.
	relaysClients map[netip.AddrPort]jobpb.RelaysClient
}

func newPeerClients(c, relays *httpclient.Client) *peerClients {
	return &peerClients{
		jobsHTTP: c, relaysHTTP: relays, jobsClients: make(map[netip.AddrPort]jobpb.JobsClient), relaysClients: make(map[netip.AddrPort]jobpb.RelaysClient),
	}
}

// disabledCompression is the compression that is switched off between entry VMs: the
// messages are small, on a local network compression takes longer than it saves, and a
// small compressed message may hold a large one.
const disabledCompression = "gzip"

func (p *peerClients) relayClient(at netip.AddrPort) jobpb.RelaysClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.relaysClients[at]
	if c == nil {
		c = jobpb.NewRelaysClient(p.relaysHTTP, "http://"+at.String(), connect.WithAcceptCompression(disabledCompression, nil, nil), connect.WithReadMaxBytes(maxPeerMessage))
		p.relaysClients[at] = c
	}
	return c
}

func (p *peerClients) jobsClient(at netip.AddrPort) jobpb.JobsClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.jobsClients[at]
	if c == nil {
		c = jobpb.NewJobsClient(p.jobsHTTP, "http://"+at.String(), connect.WithAcceptCompression(disabledCompression, nil, nil), connect.WithReadMaxBytes(maxPeerMessage))
		p.jobsClients[at] = c
	}
	return c
}

// hadNoEffect reports whether an error proves that the request had no effect on the other
// VM.
func hadNoEffect(err error) bool {
	return httpclient.IsNotSent(err) || errors.Is(err, errNotOwner) || errors.Is(err, errNotStored)
}

func (f *Front) peersHandler() http.Handler {
	path, handler := jobpb.NewJobsHandler(&jobsServer{f}, connect.WithCompression(disabledCompression, nil, nil), connect.WithReadMaxBytes(maxPeerMessage))
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	mux.Handle(jobpb.NewRelaysHandler(&relaysServer{f}, connect.WithCompression(disabledCompression, nil, nil), connect.WithReadMaxBytes(maxPeerMessage)))
	return mux
}

// relaysServer implements the Relays service: Carry on a relay, Announce and Report on
// the owner.
type relaysServer struct {
	front *Front
}

// jobsServer implements the Jobs service for other entry VMs. It succeeds only on the
// owner.
type jobsServer struct {
	front *Front
}

// runInLocalOwner runs do in the loop of the owner on this VM and returns its reply, or
// errNotOwner.
func runInLocalOwner[T any](ctx context.Context, f *Front, do func(o *owner, at time.Time, reply func(T))) (T, error) {
	o := f.owner.Load()
	if o == nil {
		var none T
		return none, errNotOwner
	}
	return runInLoop(ctx, o, func(at time.Time, reply func(T)) { do(o, at, reply) })
}

func toResponse[T any](v *T, err error, notOwner *T) (*connect.Response[T], error) {
	if errors.Is(err, errNotOwner) {
		return connect.NewResponse(notOwner), nil
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(v), nil
}

// Submit implements the Jobs service.
func (s *jobsServer) Submit(ctx context.Context, r *connect.Request[jobpb.SubmitRequest]) (*connect.Response[jobpb.SubmitResponse], error) {
	v, err := s.front.submitLocal(ctx, r.Msg)
	return toResponse(v, err, &jobpb.SubmitResponse{NotOwner: true})
}

// Cancel implements the Jobs service.
func (s *jobsServer) Cancel(ctx context.Context, r *connect.Request[jobpb.CancelRequest]) (*connect.Response[jobpb.CancelResponse], error) {
	v, err := s.front.cancelLocal(ctx, r.Msg)
	return toResponse(v, err, &jobpb.CancelResponse{NotOwner: true})
}

// Lookup implements the Jobs service.
func (s *jobsServer) Lookup(ctx context.Context, r *connect.Request[jobpb.LookupRequest]) (*connect.Response[jobpb.LookupResponse], error) {
	v, err := s.front.lookupLocal(ctx, r.Msg)
	return toResponse(v, err, &jobpb.LookupResponse{NotOwner: true})
}

// Pending implements the Jobs service.
func (s *jobsServer) Pending(ctx context.Context, r *connect.Request[jobpb.PendingRequest]) (*connect.Response[jobpb.PendingResponse], error) {
	v, err := s.front.pendingLocal(ctx, r.Msg)
	return toResponse(v, err, &jobpb.PendingResponse{NotOwner: true})
}

func (f *Front) submitLocal(ctx context.Context, m *jobpb.SubmitRequest) (*jobpb.SubmitResponse, error) {
	spec := jobspec.Decode(m.GetJob())
	return runInLocalOwner(ctx, f, func(o *owner, at time.Time, reply func(*jobpb.SubmitResponse)) {
		if ctx.Err() != nil {
			return // nobody waits for the answer
		}
		withheld := func() {
			reply(&jobpb.SubmitResponse{Refused: true, Reason: holding.ReasonStoreRefuses, RetryAfterMs: holding.RetryAfter(spec.ID).Milliseconds()})
		}
		if o.appendFails.Load() && timeLeft(ctx, at) <= holding.MinTime && !o.cell.IsSubmitted(spec.ID) {
			withheld() // it would be taken back
			return
		}
		flush, refusal := o.cell.Submit(at, spec)
		if refusal != nil {
			reply(&jobpb.SubmitResponse{Refused: true, Reason: refusal.Reason, RetryAfterMs: refusal.RetryAfter.Milliseconds()})
			return
		}
		o.wait(waiter{
			flush: flush, submission: submissionOf(ctx, at, spec.ID),
			done:     func() { reply(&jobpb.SubmitResponse{Accepted: true}) },
			withheld: withheld,
		})
	})
}

func (f *Front) cancelLocal(ctx context.Context, m *jobpb.CancelRequest) (*jobpb.CancelResponse, error) {
	return runInLocalOwner(ctx, f, func(o *owner, at time.Time, reply func(*jobpb.CancelResponse)) {
		flush, known := o.cell.Cancel(at, bamboofall.JobID(m.GetId()))
		if !known {
			// The submission may still be in the inbox.
			flush = o.cell.CancelBeforeSubmit(at, bamboofall.JobID(m.GetId()))
			o.whenStored(flush, func() { reply(&jobpb.CancelResponse{UnknownJob: true}) })
			return
		}
		o.whenStored(flush, func() { reply(&jobpb.CancelResponse{Cancelled: true}) })
	})
}

func (f *Front) lookupLocal(ctx context.Context, m *jobpb.LookupRequest) (*jobpb.LookupResponse, error) {
	return runInLocalOwner(ctx, f, func(o *owner, at time.Time, reply func(*jobpb.LookupResponse)) {
		id := bamboofall.JobID(m.GetId())
		state, known := o.cell.Lookup(id)
		if !known && (o.cell.IsSubmitted(id) || !o.inboxUpToDate(at) || !o.isSoleOwner(at)) {
			reply(&jobpb.LookupResponse{NotOwner: true})
			return
		}
		if !known {
			reply(&jobpb.LookupResponse{UnknownJob: true})
			return
		}
		reply(&jobpb.LookupResponse{State: state.String()})
	})
}

func (f *Front) pendingLocal(ctx context.Context, m *jobpb.PendingRequest) (*jobpb.PendingResponse, error) {
	return runInLocalOwner(ctx, f, func(o *owner, _ time.Time, reply func(*jobpb.PendingResponse)) {
		reply(&jobpb.PendingResponse{Jobs: uint32(o.cell.PendingJobs(m.GetQueue()))})
	})
}

// callOwner calls the owner, on this VM or another.
func callOwner[Req, Res any](ctx context.Context, f *Front, req *Req,
	local func(context.Context, *Req) (*Res, error),
	remote func(jobpb.JobsClient, context.Context, *connect.Request[Req]) (*connect.Response[Res], error),
	notOwner func(*Res) bool,
) (*Res, error) {
	if o := f.owner.Load(); o != nil && !o.isReleasing() {
		res, err := local(ctx, req)
		if err == nil && notOwner(res) {
			return nil, errNotOwner
		}
		return res, err
	}
	owner, known := f.currentOwner()
	if !known || owner.Process == f.process {
		return nil, errNotOwner
	}
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	res, err := remote(f.peers.jobsClient(owner.Address), ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	if notOwner(res.Msg) {
		return nil, errNotOwner
	}
	f.ownerLink.Answered(now())
	return res.Msg, nil
}

// ownerCallTimeout is the timeout of a Jobs call to the owner on another VM. The owner's
// append takes a few milliseconds, or half a second while the store is slow.
const ownerCallTimeout = 900 * time.Millisecond
