package router

import (
	"time"

	"golang.org/x/time/rate"

	"bamboofall.example/bamboofall/internal/config/object"
)

// limits enforces the published limits. Each entry VM of a data centre has an
// equal share of the rate. The share counts all VMs that may be alive, so the
// sum never exceeds the limit, also while they are cut off from each other. It
// falls short while a VM is dead but still listed, or if callers are spread
// unevenly.
type limits struct {
	byService map[string][]*limiter
	set       *object.Set
	sharers   int
}

type limiter struct {
	spec    *object.Limit
	limiter *rate.Limiter
}

func newLimits() *limits { return &limits{byService: make(map[string][]*limiter)} }

func (l *limits) configure(set *object.Set, sharers int) {
	sharers = max(sharers, 1)
	if l.set == set && l.sharers == sharers {
		return
	}
	old := make(map[string]*limiter)
	for _, list := range l.byService {
		for _, one := range list {
			old[one.spec.Name] = one
		}
	}
	l.set, l.sharers = set, sharers
	l.byService = make(map[string][]*limiter)
	for name, spec := range set.Limits {
		one := old[name]
		if one == nil {
			one = &limiter{limiter: rate.NewLimiter(0, int(spec.Burst))}
		}
		one.spec = spec
		one.limiter.SetLimit(rate.Limit(spec.Rate / float64(sharers)))
		one.limiter.SetBurst(int(max(spec.Burst/int64(sharers), 1)))
		l.byService[spec.Service] = append(l.byService[spec.Service], one)
	}
}

// allow takes a request off the limits that it falls under. If one is used up
// it returns the time until it is not.
func (l *limits) allow(now time.Time, req Request) (time.Duration, bool) {
	var taken []*rate.Reservation
	for _, one := range l.byService[req.Service] {
		if !one.covers(req) {
			continue
		}
		res := one.limiter.ReserveN(now, 1)
		if wait := res.DelayFrom(now); !res.OK() || wait > 0 {
			res.CancelAt(now)
			for _, t := range taken {
				t.CancelAt(now)
			}
			return wait, false
		}
		taken = append(taken, res)
	}
	return 0, true
}

func (l *limiter) covers(req Request) bool {
	kind := l.spec.Kind == "" || l.spec.Kind == req.Kind
	trade := l.spec.Trade == "" || l.spec.Trade == req.Trade
	return kind && trade
}
