package front

import (
	"encoding/json"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bamboofall.example/bamboofall/platform/standin"
)

// waitForStatus waits until the status of an entry VM satisfies a condition.
func (f *testCluster) waitForStatus(fr *Front, condition func(s map[string]float64) bool) map[string]float64 {
	f.t.Helper()
	var last map[string]float64
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if last = fr.status(now()); condition(last) {
			return poll.Success()
		}
		return poll.Continue("status %v", last)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	return last
}

// failAppends makes the store refuse appends to a topic.
func (f *testCluster) failAppends(topic string) {
	f.store.SetFault(func(r *http.Request) standin.Fault {
		if r.URL.Path == "/v1/log-append" && r.URL.Query().Get("topic") == topic {
			return standin.FaultRefused
		}
		return standin.FaultNone
	})
}

func TestStatusTellsWhoOwnsTheCell(t *testing.T) {
	f := newTestCluster(t, 2, 3, time.Minute)
	owner := f.waitForOwner(-1)
	s := f.waitForStatus(f.entries[owner].Front, func(s map[string]float64) bool {
		return s["ownerWorkersUsable"] == 3 && s["ownerVMsHeard"] == 1 && s["ownerRelays"] == 1
	})
	assert.Equal(t, s["ownerEpoch"], s["cellEpoch"])
	assert.Equal(t, s["ownerReady"], 1.0)
	assert.Equal(t, s["ownerWorkersDirect"]+s["ownerWorkersRelayed"], 3.0)
	assert.Assert(t, s["ownerRenewalAgeSeconds"] < 2 && s["ownerStepAgeSeconds"] < 1, "%v", s)
	other := f.waitForStatus(f.entries[1-owner].Front, func(s map[string]float64) bool { return s["cellOwned"] == 1 })
	assert.Equal(t, other["cellEpoch"], s["cellEpoch"])
	assert.Assert(t, other["cellOwnerRecordAgeSeconds"] < 2, "%v", other)
	_, owns := other["ownerEpoch"]
	assert.Assert(t, !owns)
}

// The renewals of an owner whose other appends fail are confirmed, and only the age of
// the append in flight shows that nothing is stored.
func TestStatusTellsRenewalsFromOtherAppends(t *testing.T) {
	f := newTestCluster(t, 1, 2, time.Minute)
	f.waitForOwner(-1)
	f.failAppends(topicCells)
	status, body := f.request(0, http.MethodPost, "/q/"+id(1), twoStepJob)
	assert.Assert(t, status != 0, body)
	s := f.waitForStatus(f.entries[0].Front, func(s map[string]float64) bool { return s["ownerStoringSeconds"] > 3 })
	assert.Assert(t, s["ownerRenewalAgeSeconds"] < 2 && s["ownerStepAgeSeconds"] < 1, "%v", s)
	assert.Assert(t, strings.Contains(metricsText(t, f.entries[0].Front), `appendsFailed{dataCentre="`))
}

// An owner that cannot restore the cell renews its claim, has no loop yet, and must still
// be visible in the metrics and the log.
func TestStatusTellsThatCellIsNotRestored(t *testing.T) {
	f := newTestCluster(t, 2, 2, time.Minute)
	first := f.waitForOwner(-1)
	f.failAppends(topicCells)
	f.entries[first].stop()
	fr := f.entries[1-first].Front
	s := f.waitForStatus(fr, func(s map[string]float64) bool { return s["ownerAgeSeconds"] > 3 })
	assert.Equal(t, s["ownerReady"], 0.0)
	_, stepped := s["ownerStepAgeSeconds"]
	assert.Assert(t, !stepped)
	assert.Assert(t, s["ownerRenewalAgeSeconds"] < 2 && s["ownerStoringSeconds"] > 2, "%v", s)
	f.waitForLines(`"ownerReady":0`, 1)
}

func TestStatusShowsBlockedLoop(t *testing.T) {
	f := newTestCluster(t, 1, 2, time.Minute)
	f.waitForOwner(-1)
	fr := f.entries[0].Front
	unblock := make(chan struct{})
	defer close(unblock)
	o := fr.owner.Load()
	assert.Assert(t, o.events.TryPush(func(time.Time) { <-unblock }))
	s := f.waitForStatus(fr, func(s map[string]float64) bool { return s["ownerStepAgeSeconds"] > 1 })
	assert.Assert(t, s["ownerRenewalAgeSeconds"] < 2, "%v", s)
}

// A scrape starts with the gauges, so that one of limited size has the status.
func TestScrapeStartsWithStatus(t *testing.T) {
	f := newTestCluster(t, 1, 2, time.Minute)
	f.waitForOwner(-1)
	fr := f.entries[0].Front
	f.waitForStatus(fr, func(s map[string]float64) bool { return s["ownerWorkers"] == 2 })
	answer := httptest.NewRecorder()
	fr.serveMetrics(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	gauges, rest, found := strings.Cut(answer.Body.String(), "\nordersSent")
	assert.Assert(t, found)
	for name := range fr.status(now()) {
		assert.Assert(t, strings.Contains(gauges, name+"{"), name)
		assert.Assert(t, !strings.Contains(rest, name+"{"), name)
	}
	assert.Assert(t, len(gauges) < 2500, "%d bytes", len(gauges))
}

// A gauge without a value must not keep its last one, or a former owner looks healthy.
func TestGaugesOfFormerOwnerHaveNoValue(t *testing.T) {
	m := newMetrics("a")
	m.updateStatus(map[string]float64{"cellEpoch": 1, "ownerEpoch": 1})
	m.updateStatus(map[string]float64{"cellEpoch": 2})
	got := make(map[string]float64)
	for _, g := range m.Scope.Snapshot().Gauges() {
		got[g.Name()] = g.Value()
	}
	assert.Equal(t, got["cellEpoch"], 2.0)
	assert.Assert(t, math.IsNaN(got["ownerEpoch"]))
}

func TestStatusLineIsValidJSONWithNumbers(t *testing.T) {
	f := newTestCluster(t, 1, 1, time.Minute)
	f.waitForOwner(-1)
	f.waitForLines(`"msg":"status"`, 2)
	for line := range strings.Lines(f.log.String()) {
		if !strings.Contains(line, `"msg":"status"`) {
			continue
		}
		var fields struct {
			Owner     string
			CellEpoch float64
		}
		assert.NilError(t, json.Unmarshal([]byte(line), &fields), line)
	}
}

func TestStatusShowsInboxThatIsNotRead(t *testing.T) {
	t.Parallel()
	var failing atomic.Bool
	f := newClusterWithStoreFault(t, 1, 1, func(w http.ResponseWriter, r *http.Request) bool {
		if !failing.Load() || r.URL.Path != "/v1/log-read" || r.URL.Query().Get("topic") != topicInbox {
			return false
		}
		refuseCall(w, r)
		return true
	})
	fr := f.entries[0].Front
	f.waitForStatus(fr, func(s map[string]float64) bool {
		age, known := s["ownerInboxAgeSeconds"]
		return known && age < 2
	})
	failing.Store(true)
	f.waitForStatus(fr, func(s map[string]float64) bool { return s["ownerInboxAgeSeconds"] > 2 })
}
