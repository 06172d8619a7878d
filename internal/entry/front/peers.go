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
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/wire/httpclient"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
)

// peers holds the clients of other entry VMs.
type peers struct {
	http *httpclient.Client
	// relayHTTP has connections of its own: a call of a caller that meets one that
	// the other side has closed would have an unknown outcome.
	relayHTTP *httpclient.Client
	mu        sync.Mutex
	at        map[netip.AddrPort]jobpb.JobsClient
	// relays are the clients of relays, and of owners that use this VM as one.
	relays map[netip.AddrPort]jobpb.RelaysClient
}

func newPeers(c, relays *httpclient.Client) *peers {
	return &peers{
		http: c, relayHTTP: relays, at: make(map[netip.AddrPort]jobpb.JobsClient), relays: make(map[netip.AddrPort]jobpb.RelaysClient),
	}
}

// uncompressed saves the time to compress a few bytes for a local network.
const uncompressed = "gzip"

func (p *peers) relay(at netip.AddrPort) jobpb.RelaysClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.relays[at]
	if c == nil {
		c = jobpb.NewRelaysClient(p.relayHTTP, "http://"+at.String(), connect.WithAcceptCompression(uncompressed, nil, nil))
		p.relays[at] = c
	}
	return c
}

func (p *peers) client(at netip.AddrPort) jobpb.JobsClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.at[at]
	if c == nil {
		c = jobpb.NewJobsClient(p.http, "http://"+at.String())
		p.at[at] = c
	}
	return c
}

// notSent reports whether an error means that the other VM got nothing.
func notSent(err error) bool {
	return httpclient.IsDial(err) || errors.Is(err, errNotOwner)
}

func (f *Front) peersHandler() http.Handler {
	path, handler := jobpb.NewJobsHandler(&jobsServer{f})
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	mux.Handle(jobpb.NewRelaysHandler(&relaysServer{f}, connect.WithCompression(uncompressed, nil, nil)))
	return mux
}

// relaysServer answers an owner that uses this VM as a relay, and relays if this VM
// is the owner.
type relaysServer struct {
	f *Front
}

// jobsServer answers other entry VMs if this VM owns the cell.
type jobsServer struct {
	f *Front
}

// local returns the answer of this VM's owner.
func local[T any](ctx context.Context, f *Front, do func(o *owner, at time.Time, answer func(T))) (T, error) {
	o := f.owner.Load()
	if o == nil {
		var none T
		return none, errNotOwner
	}
	return ask(ctx, o, func(at time.Time, answer func(T)) { do(o, at, answer) })
}

func respond[T any](v *T, err error, notOwner *T) (*connect.Response[T], error) {
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
	v, err := s.f.submitHere(ctx, r.Msg)
	return respond(v, err, &jobpb.SubmitResponse{NotOwner: true})
}

// Cancel implements the Jobs service.
func (s *jobsServer) Cancel(ctx context.Context, r *connect.Request[jobpb.CancelRequest]) (*connect.Response[jobpb.CancelResponse], error) {
	v, err := s.f.cancelHere(ctx, r.Msg)
	return respond(v, err, &jobpb.CancelResponse{NotOwner: true})
}

// Lookup implements the Jobs service.
func (s *jobsServer) Lookup(ctx context.Context, r *connect.Request[jobpb.LookupRequest]) (*connect.Response[jobpb.LookupResponse], error) {
	v, err := s.f.lookupHere(ctx, r.Msg)
	return respond(v, err, &jobpb.LookupResponse{NotOwner: true})
}

// Pending implements the Jobs service.
func (s *jobsServer) Pending(ctx context.Context, r *connect.Request[jobpb.PendingRequest]) (*connect.Response[jobpb.PendingResponse], error) {
	v, err := s.f.pendingHere(ctx, r.Msg)
	return respond(v, err, &jobpb.PendingResponse{NotOwner: true})
}

func (f *Front) submitHere(ctx context.Context, m *jobpb.SubmitRequest) (*jobpb.SubmitResponse, error) {
	spec := cell.DecodeSpec(m.GetJob())
	return local(ctx, f, func(o *owner, at time.Time, answer func(*jobpb.SubmitResponse)) {
		flush, refusal := o.cell.Submit(at, spec, false)
		if refusal != nil {
			answer(&jobpb.SubmitResponse{Refused: true, Reason: refusal.Reason, RetryAfterMs: refusal.RetryAfter.Milliseconds()})
			return
		}
		o.whenStored(flush, func() { answer(&jobpb.SubmitResponse{Accepted: true}) })
	})
}

func (f *Front) cancelHere(ctx context.Context, m *jobpb.CancelRequest) (*jobpb.CancelResponse, error) {
	return local(ctx, f, func(o *owner, at time.Time, answer func(*jobpb.CancelResponse)) {
		flush, known := o.cell.Cancel(at, bamboofall.JobID(m.GetId()))
		if !known {
			// Its submission may still be on the way through the inbox.
			flush = o.cell.CancelAhead(at, bamboofall.JobID(m.GetId()))
			o.whenStored(flush, func() { answer(&jobpb.CancelResponse{UnknownJob: true}) })
			return
		}
		o.whenStored(flush, func() { answer(&jobpb.CancelResponse{Cancelled: true}) })
	})
}

func (f *Front) lookupHere(ctx context.Context, m *jobpb.LookupRequest) (*jobpb.LookupResponse, error) {
	return local(ctx, f, func(o *owner, at time.Time, answer func(*jobpb.LookupResponse)) {
		state, known := o.cell.Lookup(bamboofall.JobID(m.GetId()))
		if !known && !o.knowsAll(at) {
			answer(&jobpb.LookupResponse{NotOwner: true})
			return
		}
		if !known {
			answer(&jobpb.LookupResponse{UnknownJob: true})
			return
		}
		answer(&jobpb.LookupResponse{State: state.String()})
	})
}

func (f *Front) pendingHere(ctx context.Context, m *jobpb.PendingRequest) (*jobpb.PendingResponse, error) {
	return local(ctx, f, func(o *owner, _ time.Time, answer func(*jobpb.PendingResponse)) {
		answer(&jobpb.PendingResponse{Jobs: uint32(o.cell.Pending(m.GetQueue()))})
	})
}

// call asks the owner, here or on another VM.
func call[Req, Res any](ctx context.Context, f *Front, req *Req,
	here func(context.Context, *Req) (*Res, error),
	there func(jobpb.JobsClient, context.Context, *connect.Request[Req]) (*connect.Response[Res], error),
	notOwner func(*Res) bool,
) (*Res, error) {
	if f.owner.Load() != nil {
		res, err := here(ctx, req)
		if err == nil && notOwner(res) {
			return nil, errNotOwner
		}
		return res, err
	}
	owner, known := f.ownerAddress()
	if !known || owner.Process == f.process {
		return nil, errNotOwner
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	res, err := there(f.peers.client(owner.Address), ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	if notOwner(res.Msg) {
		return nil, errNotOwner
	}
	return res.Msg, nil
}

// peerTimeout bounds a call to the owner on another VM. An append takes a few
// milliseconds, and half a second while the store is slow.
const peerTimeout = 900 * time.Millisecond
