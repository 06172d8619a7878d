// Package load generates the requests of a deployment's callers and counts
// their outcomes.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/standin/audit"
	"bamboofall.example/bamboofall/internal/standin/site"
	"bamboofall.example/bamboofall/internal/wire/httpclient"
)

// maxInFlight limits the requests in flight. Requests beyond it are not sent.
const maxInFlight = 5000

// Kind is a kind of request with its weight in the load.
type Kind struct {
	Name   string
	Weight float64
	// NeedsKey makes requests carry an idempotency key, as the kind is not
	// idempotent.
	NeedsKey bool
}

// CallerGroup is the callers of one data centre, which share a load balancer.
type CallerGroup struct {
	// Entries are the addresses of the data centre's entry VMs.
	Entries []netip.AddrPort
	// Trades are the trades on whose behalf the callers call.
	Trades []string
}

// Generator generates requests at random times with a fixed mean rate. Use New.
type Generator struct {
	client      *httpclient.Client
	audit       *audit.Audit
	load        site.Load
	service     string
	clientDelay time.Duration
	callers     []CallerGroup
	kinds       []Kind
	rand        *rand.Rand
	inFlight    atomic.Int64

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	counts  Counts
	// lastRefusedAt holds when each entry VM last refused a connection.
	lastRefusedAt map[netip.AddrPort]time.Time
}

// Counts holds the number of requests by outcome.
type Counts struct {
	Answered, NotRun, Unknown int64
	// Reasons counts the requests that were not answered by reason.
	Reasons map[string]int64
}

// New returns a generator of requests to the service of a site.
func New(c *httpclient.Client, s *site.Site, callers []CallerGroup, kinds []Kind) *Generator {
	return &Generator{
		client:        c,
		audit:         s.Audit,
		load:          s.Deployment.Load,
		service:       s.Deployment.Service.Name,
		clientDelay:   s.Deployment.ClientDelay,
		callers:       callers,
		kinds:         kinds,
		rand:          rand.New(rand.NewPCG(1, 2)),
		latency:       hdrhistogram.New(1, time.Minute.Microseconds(), 3),
		counts:        Counts{Reasons: make(map[string]int64)},
		lastRefusedAt: make(map[netip.AddrPort]time.Time),
	}
}

// Run sends requests at the mean rate of the load until the context ends, and
// then waits for the requests in flight.
func (g *Generator) Run(ctx context.Context) {
	var requests sync.WaitGroup
	defer requests.Wait()
	next := time.Now()
	for {
		next = next.Add(time.Duration(g.rand.ExpFloat64() / g.load.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		if g.inFlight.Load() >= maxInFlight {
			continue
		}
		caller := g.callers[g.rand.IntN(len(g.callers))]
		kind := g.pickKind()
		trade := caller.Trades[g.rand.IntN(len(caller.Trades))]
		entry := g.pickEntry(caller, g.rand.IntN(len(caller.Entries)))
		g.inFlight.Add(1)
		requests.Go(func() {
			defer g.inFlight.Add(-1)
			g.sendRequest(entry, kind, trade)
		})
	}
}

// pickKind returns a random kind, by weight.
func (g *Generator) pickKind() Kind {
	sum := 0.0
	for _, k := range g.kinds {
		sum += k.Weight
	}
	point := g.rand.Float64() * sum
	for _, k := range g.kinds {
		if point -= k.Weight; point < 0 {
			return k
		}
	}
	return g.kinds[len(g.kinds)-1]
}

// pickEntry returns the first entry VM, starting with index first, that has not
// refused a connection in the last second. If all have, it returns the one at
// index first.
func (g *Generator) pickEntry(c CallerGroup, first int) netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range c.Entries {
		e := c.Entries[(first+i)%len(c.Entries)]
		if time.Since(g.lastRefusedAt[e]) > time.Second {
			return e
		}
	}
	return c.Entries[first]
}

// payload is the body of a request and of its answer.
type payload struct {
	ID string `json:"id"`
}

// sendRequest sends a request, waits for its end, and counts the outcome.
func (g *Generator) sendRequest(entry netip.AddrPort, kind Kind, trade string) {
	id := uuid.NewString()
	startedAt := time.Now()
	time.Sleep(g.clientDelay)
	outcome, reason, ownAnswer := g.call(entry, kind, trade, id)
	time.Sleep(g.clientDelay)
	took := time.Since(startedAt)
	g.audit.CallEnded(id, "", outcome, ownAnswer)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch outcome {
	case bamboofall.OutcomeAnswered:
		g.counts.Answered++
		_ = g.latency.RecordValue(took.Microseconds())
	case bamboofall.OutcomeNotRun:
		g.counts.NotRun++
		g.counts.Reasons[reason]++
	default:
		g.counts.Unknown++
		g.counts.Reasons[reason]++
	}
	if reason == reasonCannotConnect {
		g.lastRefusedAt[entry] = time.Now()
	}
}

// reasonCannotConnect is the reason of a request whose entry VM refused the
// connection.
const reasonCannotConnect = "cannotConnect"

// call sends a request and returns its outcome, the reason, and whether the
// answer was the whole answer to this request.
func (g *Generator) call(entry netip.AddrPort, kind Kind, trade, id string) (bamboofall.Outcome, string, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), g.load.Deadline+time.Second)
	defer cancel()
	data, err := json.Marshal(payload{id})
	if err != nil {
		return bamboofall.OutcomeNotRun, err.Error(), false
	}
	url := fmt.Sprintf("http://%s/v1/call/%s/%s", entry, g.service, kind.Name)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return bamboofall.OutcomeNotRun, err.Error(), false
	}
	req.Header.Set("Bamboofall-Trade", trade)
	req.Header.Set("Bamboofall-Deadline-Ms", strconv.FormatInt(g.load.Deadline.Milliseconds(), 10))
	if kind.NeedsKey {
		req.Header.Set("Idempotency-Key", id)
		req.Header.Set("Bamboofall-Attempt", "1")
	}
	res, err := g.client.Do(req)
	if httpclient.IsNotSent(err) {
		return bamboofall.OutcomeNotRun, reasonCannotConnect, false
	}
	if err != nil {
		return bamboofall.OutcomeUnknown, "callerGaveUp", false
	}
	return readOutcome(res, id)
}

// readOutcome returns what call does, from the headers and body of a response.
func readOutcome(res *http.Response, id string) (bamboofall.Outcome, string, bool) {
	reason := res.Header.Get("Bamboofall-Reason")
	switch res.Header.Get("Bamboofall-Outcome") {
	case bamboofall.OutcomeAnswered.String():
		var out payload
		data, err := io.ReadAll(res.Body)
		ownAnswer := err == nil && json.Unmarshal(data, &out) == nil && out.ID == id
		return bamboofall.OutcomeAnswered, "", ownAnswer
	case bamboofall.OutcomeNotRun.String():
		return bamboofall.OutcomeNotRun, reason, false
	}
	return bamboofall.OutcomeUnknown, reason, false
}

// Counts returns a copy of the counts so far.
func (g *Generator) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.counts
	c.Reasons = make(map[string]int64, len(g.counts.Reasons))
	for reason, n := range g.counts.Reasons {
		c.Reasons[reason] = n
	}
	return c
}

// Latency returns a percentile, 0 to 100, of the latencies of answered requests
// as seen by their callers.
func (g *Generator) Latency(percentile float64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(g.latency.ValueAtQuantile(percentile)) * time.Microsecond
}
