package router

import (
	"time"

	"golang.org/x/time/rate"

	"bamboofall.example/bamboofall/internal/config/object"
)

// rateLimits enforces the configured rate limits. Each entry VM of a data
// centre enforces an equal share of the rate. The share counts every VM that
// may be alive, so that the total never exceeds the limit, even while the VMs
// cannot reach each other. The total is below the limit while a dead VM is
// still listed or if callers are spread unevenly over the VMs.
type rateLimits struct {
	// byService holds the limits that apply to each service.
	byService map[string][]*rateLimit
	// set is the configuration that byService was built from.
	set *object.Set
	// entryVMs is the number of VMs among which the limits are divided.
	entryVMs int
}

// rateLimit is this VM's share of one configured limit.
type rateLimit struct {
	spec   *object.Limit
	bucket *rate.Limiter
}

func newRateLimits() *rateLimits { return &rateLimits{byService: make(map[string][]*rateLimit)} }

// configure updates the limits. A limit that existed before keeps its tokens.
func (l *rateLimits) configure(set *object.Set, entryVMs int) {
	entryVMs = max(entryVMs, 1)
	if l.set == set && l.entryVMs == entryVMs {
		return
	}
	previous := make(map[string]*rateLimit)
	for _, list := range l.byService {
		for _, limit := range list {
			previous[limit.spec.Name] = limit
		}
	}
	l.set, l.entryVMs = set, entryVMs
	l.byService = make(map[string][]*rateLimit)
	for name, spec := range set.Limits {
		limit := previous[name]
		if limit == nil {
			limit = &rateLimit{bucket: rate.NewLimiter(0, int(spec.Burst))}
		}
		limit.spec = spec
		limit.bucket.SetLimit(rate.Limit(spec.Rate / float64(entryVMs)))
		limit.bucket.SetBurst(int(max(spec.Burst/int64(entryVMs), 1)))
		l.byService[spec.Service] = append(l.byService[spec.Service], limit)
	}
}

// allow takes one token from every limit that applies to a request. If one of
// them has no token left, it takes none and returns the time until one is
// available.
func (l *rateLimits) allow(now time.Time, req Request) (time.Duration, bool) {
	var reservations []*rate.Reservation
	for _, limit := range l.byService[req.Service] {
		if !limit.matches(req) {
			continue
		}
		reservation := limit.bucket.ReserveN(now, 1)
		if wait := reservation.DelayFrom(now); !reservation.OK() || wait > 0 {
			reservation.CancelAt(now)
			for _, other := range reservations {
				other.CancelAt(now)
			}
			return wait, false
		}
		reservations = append(reservations, reservation)
	}
	return 0, true
}

// matches reports whether the limit applies to a request of its service.
func (l *rateLimit) matches(req Request) bool {
	kindMatches := l.spec.Kind == "" || l.spec.Kind == req.Kind
	tradeMatches := l.spec.Trade == "" || l.spec.Trade == req.Trade
	return kindMatches && tradeMatches
}
