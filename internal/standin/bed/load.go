package bed

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/request/router"
)

// Stream is an open-loop load: requests of one kind at random times with a
// fixed mean rate.
type Stream struct {
	Call Call
	// Rate is the mean number of requests per second.
	Rate float64
	// Once gives each request an idempotency key of its own.
	Once bool
	// Trades, if not empty, are used in turn instead of the call's trade.
	Trades []string
	// Entries are the entry VMs among which requests are spread at random.
	// Empty means all.
	Entries []bamboofall.VMID
	// From and To limit the stream, in virtual time since Epoch.
	From, To time.Duration
	// Baseline, if set, receives the requests instead of the bed's entry VMs.
	Baseline *Baseline
	// Told, if set, is called with the result of each request.
	Told func(Told)
}

// Stats counts the results of a stream's requests.
type Stats struct {
	Sent     int64
	Outcomes map[bamboofall.Outcome]int64
	Reasons  map[router.Reason]int64
	latency  *hdrhistogram.Histogram
}

// Latency returns a percentile, 0 to 100, of the latencies of answered
// requests.
func (s *Stats) Latency(percentile float64) time.Duration {
	return time.Duration(s.latency.ValueAtQuantile(percentile)) * time.Microsecond
}

// Answered returns the number of answered requests.
func (s *Stats) Answered() int64 { return s.Outcomes[bamboofall.OutcomeAnswered] }

// Load starts a stream and returns its counts, which are updated as the bed
// runs.
func (b *Bed) Load(s Stream) *Stats {
	stats := &Stats{
		Outcomes: make(map[bamboofall.Outcome]int64), Reasons: make(map[router.Reason]int64),
		latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
	if len(s.Entries) == 0 {
		s.Entries = b.entryIDs
	}
	rng := rand.New(rand.NewPCG(b.Options.Seed, b.rand.Uint64()))
	var sendNext func()
	sendNext = func() {
		if b.Now() >= s.To {
			return
		}
		b.sendRequest(s, stats, rng)
		b.after(time.Duration(rng.ExpFloat64()/s.Rate*float64(time.Second)), sendNext)
	}
	b.At(max(s.From, b.Now()), sendNext)
	return stats
}

// sendRequest sends one request of a stream. Like a load balancer, it skips
// entry VMs that refuse connections or are leaving, unless there are no others.
func (b *Bed) sendRequest(s Stream, stats *Stats, rng *rand.Rand) {
	stats.Sent++
	c := s.Call
	if len(s.Trades) > 0 {
		c.Trade = s.Trades[int(stats.Sent)%len(s.Trades)]
	}
	if s.Once {
		c.Key = fmt.Sprintf("%s-%d", c.Kind, b.callCount)
		c.First = true
	}
	index := rng.IntN(len(s.Entries))
	for i := range s.Entries {
		e := b.entries[s.Entries[(index+i)%len(s.Entries)]]
		if !e.stopped && e.Node.Serving(b.now) {
			index = (index + i) % len(s.Entries)
			break
		}
	}
	call := b.Call
	if s.Baseline != nil {
		call = s.Baseline.Call
	}
	call(s.Entries[index], c, func(t Told) {
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
