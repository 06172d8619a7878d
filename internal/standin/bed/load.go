package bed

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/request/router"
)

// Stream is a steady stream of requests of one kind.
type Stream struct {
	Call Call
	// Rate is in requests per second. Once makes a new key for each request.
	Rate float64
	Once bool
	// Trades are used in turn, if there are any.
	Trades []string
	// Entries get the requests at random. Empty means all.
	Entries  []bamboofall.VMID
	From, To time.Duration
	// Through, if set, gets the requests instead of the bed's entry VMs.
	Through *Baseline
	// Told, if set, is told the end of each request.
	Told func(Told)
}

// Stats counts what the callers of a stream were told.
type Stats struct {
	Sent     int64
	Outcomes map[bamboofall.Outcome]int64
	Reasons  map[router.Reason]int64
	latency  *hdrhistogram.Histogram
}

// Latency returns a quantile, 0 to 100, of the answered requests' latencies.
func (s *Stats) Latency(quantile float64) time.Duration {
	return time.Duration(s.latency.ValueAtQuantile(quantile)) * time.Microsecond
}

// Answered returns the number of answered requests.
func (s *Stats) Answered() int64 { return s.Outcomes[bamboofall.OutcomeAnswered] }

// Load starts a stream and returns its counts, which grow as time passes.
func (b *Bed) Load(s Stream) *Stats {
	stats := &Stats{
		Outcomes: make(map[bamboofall.Outcome]int64), Reasons: make(map[router.Reason]int64),
		latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
	if len(s.Entries) == 0 {
		s.Entries = b.order
	}
	r := rand.New(rand.NewPCG(b.Options.Seed, b.rand.Uint64()))
	var next func()
	next = func() {
		if b.Now() >= s.To {
			return
		}
		b.fire(s, stats, r)
		b.after(time.Duration(r.ExpFloat64()/s.Rate*float64(time.Second)), next)
	}
	b.At(max(s.From, b.Now()), next)
	return stats
}

// fire makes one request of a stream. The balancer leaves out VMs that refuse
// connections or are leaving.
func (b *Bed) fire(s Stream, stats *Stats, r *rand.Rand) {
	stats.Sent++
	c := s.Call
	if len(s.Trades) > 0 {
		c.Trade = s.Trades[int(stats.Sent)%len(s.Trades)]
	}
	if s.Once {
		c.Key = fmt.Sprintf("%s-%d", c.Kind, b.callers)
		c.First = true
	}
	at := r.IntN(len(s.Entries))
	for i := range s.Entries {
		e := b.entries[s.Entries[(at+i)%len(s.Entries)]]
		if !e.dead && e.Node.Serving(b.now) {
			at = (at + i) % len(s.Entries)
			break
		}
	}
	call := b.Call
	if s.Through != nil {
		call = s.Through.Call
	}
	call(s.Entries[at], c, func(t Told) {
		if s.Told != nil {
			s.Told(t)
		}
		stats.Outcomes[t.Outcome]++
		if t.Reason != router.ReasonNone {
			stats.Reasons[t.Reason]++
		}
		if t.Outcome == bamboofall.OutcomeAnswered {
			_ = stats.latency.RecordValue(t.Took.Microseconds())
		}
	})
}
