// Package load makes requests and runs against a deployment as its callers and
// operators do, and counts what they were told.
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

// maxUnderWay bounds the requests under way.
const maxUnderWay = 5000

// Kind is a kind of request with its share of the load.
type Kind struct {
	Name   string
	Weight float64
	Once   bool
}

// Caller is a place from which requests come: a data centre with its balancer.
type Caller struct {
	Entries []netip.AddrPort
	Trades  []string
}

// Generator makes requests. Use New.
type Generator struct {
	client   *httpclient.Client
	audit    *audit.Audit
	load     site.Load
	service  string
	delay    time.Duration
	callers  []Caller
	kinds    []Kind
	rand     *rand.Rand
	underWay atomic.Int64

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	counts  Counts
	down    map[netip.AddrPort]time.Time
}

// Counts is what the callers were told.
type Counts struct {
	Answered, NotRun, Unknown int64
	Reasons                   map[string]int64
}

// New returns a generator for a service of a site.
func New(c *httpclient.Client, s *site.Site, callers []Caller, kinds []Kind) *Generator {
	return &Generator{
		client:  c,
		audit:   s.Audit,
		load:    s.Deployment.Load,
		service: s.Deployment.Service.Name,
		delay:   s.Deployment.ClientDelay,
		callers: callers,
		kinds:   kinds,
		rand:    rand.New(rand.NewPCG(1, 2)),
		latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
		counts:  Counts{Reasons: make(map[string]int64)},
		down:    make(map[netip.AddrPort]time.Time),
	}
}

// Run makes requests at the rate of the load until the context ends, and waits
// for their ends.
func (g *Generator) Run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	next := time.Now()
	for {
		next = next.Add(time.Duration(g.rand.ExpFloat64() / g.load.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		if g.underWay.Load() >= maxUnderWay {
			continue
		}
		caller := g.callers[g.rand.IntN(len(g.callers))]
		kind := g.pickKind()
		trade := caller.Trades[g.rand.IntN(len(caller.Trades))]
		entry := g.balance(caller, g.rand.IntN(len(caller.Entries)))
		g.underWay.Add(1)
		wait.Go(func() {
			defer g.underWay.Add(-1)
			g.request(entry, kind, trade)
		})
	}
}

func (g *Generator) pickKind() Kind {
	sum := 0.0
	for _, k := range g.kinds {
		sum += k.Weight
	}
	at := g.rand.Float64() * sum
	for _, k := range g.kinds {
		if at -= k.Weight; at < 0 {
			return k
		}
	}
	return g.kinds[len(g.kinds)-1]
}

// balance returns an entry VM that did not refuse a connection lately.
func (g *Generator) balance(c Caller, first int) netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range c.Entries {
		e := c.Entries[(first+i)%len(c.Entries)]
		if time.Since(g.down[e]) > time.Second {
			return e
		}
	}
	return c.Entries[first]
}

type body struct {
	ID string `json:"id"`
}

// request makes one request and counts its end.
func (g *Generator) request(entry netip.AddrPort, kind Kind, trade string) {
	id := uuid.NewString()
	begun := time.Now()
	time.Sleep(g.delay)
	outcome, reason, own := g.call(entry, kind, trade, id)
	time.Sleep(g.delay)
	took := time.Since(begun)
	g.audit.CallerTold(id, "", outcome, own)
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
	if reason == reasonDial {
		g.down[entry] = time.Now()
	}
}

const reasonDial = "cannotConnect"

// call returns the outcome, the reason and whether the answer was the caller's
// own.
func (g *Generator) call(entry netip.AddrPort, kind Kind, trade, id string) (bamboofall.Outcome, string, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), g.load.Deadline+time.Second)
	defer cancel()
	data, err := json.Marshal(body{id})
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
	if kind.Once {
		req.Header.Set("Idempotency-Key", id)
		req.Header.Set("Bamboofall-Attempt", "1")
	}
	res, err := g.client.Do(req)
	if httpclient.IsDial(err) {
		return bamboofall.OutcomeNotRun, reasonDial, false
	}
	if err != nil {
		return bamboofall.OutcomeUnknown, "callerGaveUp", false
	}
	return readOutcome(res, id)
}

func readOutcome(res *http.Response, id string) (bamboofall.Outcome, string, bool) {
	reason := res.Header.Get("Bamboofall-Reason")
	switch res.Header.Get("Bamboofall-Outcome") {
	case bamboofall.OutcomeAnswered.String():
		var out body
		data, err := io.ReadAll(res.Body)
		own := err == nil && json.Unmarshal(data, &out) == nil && out.ID == id
		return bamboofall.OutcomeAnswered, "", own
	case bamboofall.OutcomeNotRun.String():
		return bamboofall.OutcomeNotRun, reason, false
	}
	return bamboofall.OutcomeUnknown, reason, false
}

// Counts returns what the callers were told so far.
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

// Latency returns a quantile, 0 to 100, of the answered requests' latencies as
// their callers saw them.
func (g *Generator) Latency(quantile float64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(g.latency.ValueAtQuantile(quantile)) * time.Microsecond
}
