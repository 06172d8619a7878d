package front

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/platform"
	"bamboofall.example/bamboofall/platform/standin"
)

// runKnownRed enables the tests that KNOWN-RED.txt lists.
var runKnownRed = flag.Bool("red", false, "run the tests that are known to fail")

func skipKnownRed(t *testing.T) {
	t.Helper()
	if !*runKnownRed {
		t.Skip("known to fail, see KNOWN-RED.txt; run with -red")
	}
}

// maxServiceGap is how long a task may wait while there is capacity for it: a standing
// task is due 6 s after its last run, and may be 3 s late.
const maxServiceGap = 9 * time.Second

// newClusterWithStoreFault starts a cluster in which entry VM 0 claims the cell. Its
// calls to the store are handled by fault if that returns true.
func newClusterWithStoreFault(t *testing.T, entries, workers int, fault func(w http.ResponseWriter, r *http.Request) bool) *testCluster {
	t.Helper()
	f := newTestCluster(t, 0, workers, 50*time.Millisecond)
	store := httptest.NewServer(f.store)
	t.Cleanup(store.Close)
	faulty := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !fault(w, r) {
			f.store.ServeHTTP(w, r)
		}
	}))
	t.Cleanup(faulty.Close)
	f.startEntry(0, strings.TrimPrefix(faulty.URL, "http://"))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.entries[0].owner.Load() == nil {
			return poll.Continue("not claimed")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
	for i := 1; i < entries; i++ {
		f.startEntry(i, strings.TrimPrefix(store.URL, "http://"))
	}
	return f
}

// refuseCall responds to a call of the store with status 503.
func refuseCall(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// dropCall does not respond until the caller gives up.
func dropCall(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// executeWithoutAnswer executes a call and does not respond until the caller gives up.
func executeWithoutAnswer(store http.Handler, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		executed := r.Clone(r.Context())
		executed.Body = io.NopCloser(bytes.NewReader(body))
		store.ServeHTTP(httptest.NewRecorder(), executed)
	}
	dropCall(w, r)
}

// assertServedWithin submits a job at an entry VM until it is accepted, and fails the
// test unless the job is completed by the end of the limit.
func (f *testCluster) assertServedWithin(at int, job string, limit time.Duration) {
	f.t.Helper()
	began := time.Now()
	submitted := false
	seen := "nothing"
	for time.Since(began) < limit {
		status, body := 0, ""
		if !submitted {
			status, body = f.request(at, http.MethodPost, "/q/"+job, twoStepJob)
			submitted = status == http.StatusOK
		} else {
			status, body = f.request(at, http.MethodGet, "/q/"+job, "")
			if status == http.StatusOK && strings.Contains(body, `"completed"`) && time.Since(began) <= limit {
				return
			}
		}
		seen = fmt.Sprintf("status %d, body %s", status, body)
		time.Sleep(50 * time.Millisecond)
	}
	owner, _ := f.entries[at].currentOwner()
	f.t.Fatalf("not completed after %v: submitted %t, last response %s, owner of epoch %d is %s",
		time.Since(began).Round(10*time.Millisecond), submitted, seen, owner.Epoch, owner.Process)
}

// An owner whose restore does not end renewed its claim for ever.
func TestOwnerThatCannotRestoreIsReplaced(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, topic string
		fault       http.HandlerFunc
	}{
		{"reads of the cell are refused", topicCells, refuseCall},
		{"reads of the inbox are refused", topicInbox, refuseCall},
		{"reads of the workers get no response", platform.TopicWorkers, dropCall},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newClusterWithStoreFault(t, 3, 3, func(w http.ResponseWriter, r *http.Request) bool {
				if r.URL.Path != "/v1/log-newest" || r.URL.Query().Get("topic") != c.topic {
					return false
				}
				c.fault(w, r)
				return true
			})
			f.assertServedWithin(1, id(1), maxServiceGap)
		})
	}
}

// An owner that could renew its claim but not store its changes kept the cell.
func TestOwnerThatCannotAppendToCellIsReplaced(t *testing.T) {
	skipKnownRed(t)
	t.Parallel()
	var failing atomic.Bool
	f := newClusterWithStoreFault(t, 3, 3, func(w http.ResponseWriter, r *http.Request) bool {
		if !failing.Load() || r.URL.Path != "/v1/log-append" || r.URL.Query().Get("topic") != topicCells {
			return false
		}
		refuseCall(w, r)
		return true
	})
	f.assertServedWithin(1, id(1), maxServiceGap)
	failing.Store(true)
	f.assertServedWithin(1, id(2), maxServiceGap)
	assert.DeepEqual(t, f.audit.Violations(), []string(nil))
}

// An owner whose loop handled no events went on to renew its claim.
func TestOwnerWithBlockedLoopIsReplaced(t *testing.T) {
	t.Parallel()
	f := newTestCluster(t, 3, 3, 50*time.Millisecond)
	first := f.waitForOwner(-1)
	other := (first + 1) % 3
	f.assertServedWithin(other, id(1), maxServiceGap)
	blocked := make(chan struct{})
	t.Cleanup(func() { close(blocked) })
	o := f.entries[first].owner.Load()
	o.push(t.Context(), loopTopics, func(time.Time) { <-blocked })
	f.assertServedWithin(other, id(2), maxServiceGap)
	assert.DeepEqual(t, f.audit.Violations(), []string(nil))
}

// partitionedWorkers are workers to which no connection can be established while cut
// returns true.
type partitionedWorkers struct {
	bamboofall.TaskWorkers
	cut func() bool
}

// connect waits for the timeout of an order if the workers are unreachable.
func (p *partitionedWorkers) connect(ctx context.Context, call string) error {
	if !p.cut() {
		return nil
	}
	sleep(ctx, platform.OrderTimeout)
	return &bamboofall.NotDoneError{Call: call, Reason: "connect: timeout"}
}

func (p *partitionedWorkers) Start(ctx context.Context, w bamboofall.WorkerRef, o bamboofall.StartOrder) (bamboofall.ResponseMeta, error) {
	if err := p.connect(ctx, "start"); err != nil {
		return bamboofall.ResponseMeta{}, err
	}
	return p.TaskWorkers.Start(ctx, w, o)
}

func (p *partitionedWorkers) Stop(ctx context.Context, w bamboofall.WorkerRef, task bamboofall.TaskName, run uint32, token bamboofall.Token) (bamboofall.ResponseMeta, error) {
	if err := p.connect(ctx, "stop"); err != nil {
		return bamboofall.ResponseMeta{}, err
	}
	return p.TaskWorkers.Stop(ctx, w, task, run, token)
}

func (p *partitionedWorkers) Hold(ctx context.Context, w bamboofall.WorkerRef, o bamboofall.HoldOrder) (bamboofall.HoldReport, error) {
	if err := p.connect(ctx, "hold"); err != nil {
		return bamboofall.HoldReport{}, err
	}
	return p.TaskWorkers.Hold(ctx, w, o)
}

func (p *partitionedWorkers) Pace(ctx context.Context, w bamboofall.WorkerRef, task bamboofall.TaskName, run uint32, percent int, token bamboofall.Token) (bamboofall.ResponseMeta, error) {
	if err := p.connect(ctx, "pace"); err != nil {
		return bamboofall.ResponseMeta{}, err
	}
	return p.TaskWorkers.Pace(ctx, w, task, run, percent, token)
}

// An owner that reached no worker kept the cell, and sent nothing via the entry VMs that
// reached them all.
func TestJobsCompleteWhileOnlyOwnerReachesNoWorker(t *testing.T) {
	t.Parallel()
	var cut atomic.Pointer[Front]
	f := newTestCluster(t, 3, 3, 50*time.Millisecond, func(f *Front) {
		f.workers = &partitionedWorkers{f.workers, func() bool { return cut.Load() == f }}
	})
	first := f.waitForOwner(-1)
	other := (first + 1) % 3
	f.assertServedWithin(other, id(1), maxServiceGap)
	cut.Store(f.entries[first].Front)
	f.assertServedWithin(other, id(2), maxServiceGap)
	assert.DeepEqual(t, f.audit.Violations(), []string(nil))
}

// An owner that could not follow the inbox or the list of workers kept the cell: what
// other entry VMs accepted on its behalf, and new workers, stayed unknown to it.
func TestOwnerThatCannotReadNewRecordsIsReplaced(t *testing.T) {
	skipKnownRed(t)
	for _, topic := range []string{topicInbox, platform.TopicWorkers} {
		t.Run(topic, func(t *testing.T) {
			t.Parallel()
			var failing atomic.Bool
			f := newClusterWithStoreFault(t, 2, 1, func(w http.ResponseWriter, r *http.Request) bool {
				if !failing.Load() || r.URL.Path != "/v1/log-read" || r.URL.Query().Get("topic") != topic {
					return false
				}
				refuseCall(w, r)
				return true
			})
			f.assertServedWithin(1, id(1), maxServiceGap)
			failing.Store(true)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if f.ownerIndex() == 1 {
					return poll.Success()
				}
				return poll.Continue("entry VM 1 does not own the cell")
			}, poll.WithTimeout(maxServiceGap), poll.WithDelay(20*time.Millisecond))
			f.assertServedWithin(1, id(2), maxServiceGap)
			assert.DeepEqual(t, f.audit.Violations(), []string(nil))
		})
	}
}

// An owner whose renewals were stored but not answered stopped renewing for longer than
// other VMs wait before they claim the cell.
func TestOwnerKeepsCellWhileAnswersToRenewalsGetLost(t *testing.T) {
	t.Parallel()
	var f *testCluster
	var failing atomic.Bool
	var appends atomic.Int64
	f = newClusterWithStoreFault(t, 2, 1, func(w http.ResponseWriter, r *http.Request) bool {
		if !failing.Load() || r.URL.Path != "/v1/log-append" || r.URL.Query().Get("topic") != topicOwners || appends.Add(1)%4 < 2 {
			return false
		}
		executeWithoutAnswer(f.store, w, r)
		return true
	})
	f.assertServedWithin(1, id(1), maxServiceGap)
	failing.Store(true)
	for began := time.Now(); time.Since(began) < 8*time.Second; time.Sleep(20 * time.Millisecond) {
		owner, _ := f.entries[1].currentOwner()
		assert.Equal(t, owner.Epoch, uint64(1), "claimed after %v", time.Since(began))
	}
}

// After an outage of the store other VMs must not read the record of the owner before it
// has had time to renew it.
func TestOwnerKeepsCellAfterShortOutage(t *testing.T) {
	t.Parallel()
	f := newTestCluster(t, 3, 1, time.Minute)
	f.waitForOwner(-1)
	for range 3 {
		f.store.SetFault(func(*http.Request) standin.Fault { return standin.FaultRefused })
		time.Sleep(2700 * time.Millisecond)
		f.store.SetFault(nil)
		time.Sleep(2 * time.Second)
		owner, _ := f.entries[0].currentOwner()
		assert.Equal(t, owner.Epoch, uint64(1))
	}
}
