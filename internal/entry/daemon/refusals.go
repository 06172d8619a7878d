package daemon

import (
	"fmt"
	"sort"
	"sync"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/request/router"
)

// refusalCounts counts unanswered requests, so that the trail gets one line a
// second for each kind and reason, whatever the request rate. The zero value is
// empty.
type refusalCounts struct {
	mu     sync.Mutex
	counts map[refusalKey]int
}

type refusalKey struct {
	name    string
	outcome bamboofall.Outcome
	reason  router.Reason
}

func (r *refusalCounts) add(req router.Request, reply router.Reply) {
	if reply.Outcome == bamboofall.OutcomeAnswered {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[refusalKey]int)
	}
	r.counts[refusalKey{req.Service + "/" + req.Kind, reply.Outcome, reply.Reason}]++
}

// flush calls record for each counted kind and reason, and resets the counts.
func (r *refusalCounts) flush(record func(name, message string)) {
	r.mu.Lock()
	counts := r.counts
	r.counts = nil
	r.mu.Unlock()
	sorted := make([]refusalKey, 0, len(counts))
	for key := range counts {
		sorted = append(sorted, key)
	}
	sort.Slice(sorted, func(i, j int) bool { return fmt.Sprint(sorted[i]) < fmt.Sprint(sorted[j]) })
	for _, key := range sorted {
		record(key.name, fmt.Sprintf("%d requests: %s, %s", counts[key], key.outcome, key.reason))
	}
}
