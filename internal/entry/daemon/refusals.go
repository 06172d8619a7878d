package daemon

import (
	"fmt"
	"sort"
	"sync"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/request/router"
)

// refusals gathers the requests that were not answered, so that the trail gets
// one line a second for each kind and reason, however many there are. The zero
// value is empty.
type refusals struct {
	mu     sync.Mutex
	counts map[refusal]int
}

type refusal struct {
	name    string
	outcome bamboofall.Outcome
	reason  router.Reason
}

func (r *refusals) add(req router.Request, reply router.Reply) {
	if reply.Outcome == bamboofall.OutcomeAnswered {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[refusal]int)
	}
	r.counts[refusal{req.Service + "/" + req.Kind, reply.Outcome, reply.Reason}]++
}

// flush tells what was gathered since the last call.
func (r *refusals) flush(tell func(name, message string)) {
	r.mu.Lock()
	counts := r.counts
	r.counts = nil
	r.mu.Unlock()
	all := make([]refusal, 0, len(counts))
	for one := range counts {
		all = append(all, one)
	}
	sort.Slice(all, func(i, j int) bool { return fmt.Sprint(all[i]) < fmt.Sprint(all[j]) })
	for _, one := range all {
		tell(one.name, fmt.Sprintf("%d requests: %s, %s", counts[one], one.outcome, one.reason))
	}
}
