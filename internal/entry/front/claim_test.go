package front

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/internal/state/lease"
	"bamboofall.example/bamboofall/platform"
)

// Entry VMs that had waited for the first configuration claimed the cell in no particular
// order, as the delay of weak VMs had passed by then.
func TestStrongVMClaimsFirstAfterLateConfiguration(t *testing.T) {
	t.Parallel()
	const strong = "entry-5"
	f := newTestCluster(t, 0, 1, time.Millisecond, func(f *Front) {
		capacity := uint32(192)
		if f.settings.VM == strong {
			capacity = 1000
		}
		f.lease.SetCapacity(capacity)
	})
	var configured atomic.Bool
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !configured.Load() && r.URL.Query().Get("topic") == platform.TopicOperator {
			refuseCall(w, r)
			return
		}
		f.store.ServeHTTP(w, r)
	}))
	t.Cleanup(store.Close)
	for i := range 6 {
		f.startEntry(i, strings.TrimPrefix(store.URL, "http://"))
	}
	timing := lease.DefaultTiming()
	time.Sleep(timing.MaxFirstClaimDelay + timing.MaxStagger)
	configured.Store(true)
	owner := f.waitForOwner(-1)
	assert.Equal(t, string(f.entries[owner].settings.VM), strong)
}

// A claim that was stored but not answered left the cell without an owner: the former one
// was fenced, and the claimant waited for its own record to expire.
func TestClaimWithoutAnswerIsCompleted(t *testing.T) {
	t.Parallel()
	f := newTestCluster(t, 0, 1, time.Millisecond)
	var claims atomic.Int64
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/log-append" && r.URL.Query().Get("topic") == topicOwners && claims.Add(1) == 1 {
			executeWithoutAnswer(f.store, w, r)
			return
		}
		f.store.ServeHTTP(w, r)
	}))
	t.Cleanup(store.Close)
	f.startEntry(0, strings.TrimPrefix(store.URL, "http://"))
	f.waitForOwner(-1)
	owner, _ := f.entries[0].currentOwner()
	assert.Equal(t, owner.Epoch, uint64(1))
}
