package front

import (
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// An owner whose appends fail does not answer a submission in time, and the entry VM stores
// it in the inbox. The owner must not report the accepted job as unknown until it has stored
// the job itself.
func TestAcceptedJobIsKnownWhileOwnerCannotStore(t *testing.T) {
	t.Parallel()
	var failing atomic.Bool
	f := newClusterWithStoreFault(t, 2, 2, func(w http.ResponseWriter, r *http.Request) bool {
		if !failing.Load() || r.URL.Path != "/v1/log-append" || r.URL.Query().Get("topic") != topicCells {
			return false
		}
		refuseCall(w, r)
		return true
	})
	f.assertServedWithin(1, id(1), maxServiceGap)
	failing.Store(true)
	// The first flush that fails keeps later changes from being flushed.
	for n := 2; n <= 3; n++ {
		status, body := f.request(1, http.MethodPost, "/q/"+id(n), twoStepJob)
		assert.Equal(t, status, http.StatusOK, body)
	}
	for n := 2; n <= 3; n++ {
		f.waitForState(1, id(n), "queued")
	}
	failing.Store(false)
	f.waitForState(1, id(3), "completed")
	assert.DeepEqual(t, f.audit.Violations(), []string(nil))
}
