package front

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/jobspec"
	"bamboofall.example/bamboofall/internal/state/lease"
	"bamboofall.example/bamboofall/internal/wire/httpclient"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
	"bamboofall.example/bamboofall/platform"
	"bamboofall.example/bamboofall/platform/standin"
)

const testService = "minions"

// testCluster is a simulated platform with entry VMs, on loopback addresses.
type testCluster struct {
	t       *testing.T
	store   *standin.Store
	audit   standin.Audit
	entries []*entryVM
	workers []*testWorker
	log     *logBuffer
	// options are passed to each entry VM.
	options []Option
}

// testWorker is a worker with the address where it is served.
type testWorker struct {
	*standin.Worker
	id, address string
	server      *httptest.Server

	announceMu sync.Mutex
	// silent is set if the worker does not announce itself regularly. Guarded by
	// announceMu.
	silent bool
}

// silence ends the regular announcements of the worker.
func (w *testWorker) silence() {
	w.announceMu.Lock()
	defer w.announceMu.Unlock()
	w.silent = true
}

// restart restarts the worker in place, which breaks its connections, and ends its regular
// announcements.
func (w *testWorker) restart() {
	w.silence()
	w.Restart()
	w.server.CloseClientConnections()
}

// list stores the entry of a worker.
func (f *testCluster) list(w *testWorker) {
	f.store.Put(platform.TopicWorkers, w.id, w.Entry(testService, w.address))
}

// announceWorkers announces all workers regularly until the test ends.
func (f *testCluster) announceWorkers() {
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	ended.Go(func() {
		for {
			sleep(ctx, time.Second)
			if ctx.Err() != nil {
				return
			}
			for _, w := range f.workers {
				w.announceMu.Lock()
				if !w.silent {
					f.list(w)
				}
				w.announceMu.Unlock()
			}
		}
	})
	f.t.Cleanup(func() {
		cancel()
		ended.Wait()
	})
}

type entryVM struct {
	*Front
	stop func()
	url  string
	// signals takes the signals to the process, and stopped is closed when it has ended.
	signals chan<- os.Signal
	stopped <-chan struct{}
}

// logBuffer collects the log lines of all entry VMs.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func newTestCluster(t *testing.T, entries, workers int, work time.Duration, options ...Option) *testCluster {
	t.Helper()
	f := &testCluster{t: t, store: standin.NewStore(), log: &logBuffer{}, options: options}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(f.log.String())
		}
	})
	store := httptest.NewServer(f.store)
	t.Cleanup(store.Close)
	f.store.Put(platform.TopicOperator, "config", standin.Configuration(1, testService, "q"))
	for i := range workers {
		id := fmt.Sprintf("i-%d", i)
		worker := standin.NewWorker(id, &f.audit, work)
		server := httptest.NewServer(worker)
		t.Cleanup(server.Close)
		f.workers = append(f.workers, &testWorker{Worker: worker, id: id, address: strings.TrimPrefix(server.URL, "http://"), server: server})
		f.list(f.workers[i])
	}
	f.announceWorkers()
	for i := range entries {
		f.startEntry(i, strings.TrimPrefix(store.URL, "http://"))
	}
	return f
}

func (f *testCluster) startEntry(i int, store string) {
	port := freePorts(f.t, 5)
	path := filepath.Join(f.t.TempDir(), "node.toml")
	text := standin.Settings(fmt.Sprintf("entry-%d", i), "127.0.0.1", store, port)
	assert.NilError(f.t, os.WriteFile(path, []byte(text), 0o600))
	set, err := platform.ReadSettings(path)
	assert.NilError(f.t, err)
	engine, err := httpclient.NewEngine()
	assert.NilError(f.t, err)
	log := NewLog(f.log, set.VM)
	ctx, cancel := context.WithCancel(context.Background())
	fr := New(path, set, engine, log, f.options...)
	var ended sync.WaitGroup
	ended.Go(func() { assert.Check(f.t, log.Run(ctx)) })
	signals := make(chan os.Signal, 4)
	stopped := make(chan struct{})
	ended.Go(func() {
		defer close(stopped)
		assert.Check(f.t, fr.run(ctx, uint16(port+4), signals))
	})
	stop := sync.OnceFunc(func() {
		cancel()
		ended.Wait()
		engine.Stop()
	})
	f.t.Cleanup(stop)
	f.entries = append(f.entries, &entryVM{Front: fr, stop: stop, url: fmt.Sprintf("http://127.0.0.1:%d", port+2), signals: signals, stopped: stopped})
}

// request sends a request to an entry VM and returns the status and body, or 0 and the
// error.
func (f *testCluster) request(at int, method, path, body string) (int, string) {
	req, err := http.NewRequest(method, f.entries[at].url+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	req.Host = "jobs.example"
	req.Header.Set("X-Bamboofall-Timeout-Ms", "3000")
	client := http.Client{Timeout: 5 * time.Second}
	res, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	assert.NilError(f.t, err)
	return res.StatusCode, string(data)
}

func (f *testCluster) ownerIndex() int {
	for i, e := range f.entries {
		if o := e.owner.Load(); o != nil && o.ready.Load() {
			return i
		}
	}
	return -1
}

func (f *testCluster) waitForOwner(previous int) int {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if o := f.ownerIndex(); o >= 0 && o != previous {
			return poll.Success()
		}
		return poll.Continue("no owner")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	return f.ownerIndex()
}

func (f *testCluster) waitForState(at int, id, state string) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		status, body := f.request(at, http.MethodGet, "/q/"+id, "")
		var answer struct{ State string }
		if status == http.StatusOK && json.Unmarshal([]byte(body), &answer) == nil && answer.State == state {
			return poll.Success()
		}
		return poll.Continue("status %d, body %s", status, body)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}

const twoStepJob = `{"task_spec":"x","steps":[{"count":4,"cpu":500,"memory_request_mb":64,"estimated_ms":100},{"count":2,"cpu":500,"memory_request_mb":64,"estimated_ms":100,"after":[0]}]}`

func id(n int) string { return fmt.Sprintf("%016x", n) }

func TestJobSubmittedAtAnyEntryVMCompletes(t *testing.T) {
	f := newTestCluster(t, 3, 3, 50*time.Millisecond)
	f.waitForOwner(-1)
	for at := range f.entries {
		status, body := f.request(at, http.MethodPost, "/q/"+id(at), twoStepJob)
		assert.Equal(t, status, http.StatusOK, body)
	}
	for at := range f.entries {
		f.waitForState((at+1)%len(f.entries), id(at), "completed")
	}
	status, body := f.request(0, http.MethodGet, "/q/", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, `{"pending":0}`)
	assert.DeepEqual(t, f.audit.Violations(), []string(nil))
}

func TestInvalidRequestGetsStatusAndReason(t *testing.T) {
	f := newTestCluster(t, 1, 1, time.Millisecond)
	f.waitForOwner(-1)
	for _, c := range []struct {
		method, path, body string
		status             int
		contains           string
	}{
		{"POST", "/nothing/" + id(1), twoStepJob, 404, "noSuchQueue"},
		{"POST", "/q/xyz", twoStepJob, 400, "16 hexadecimal digits"},
		{"POST", "/q/" + id(1), "{", 400, "body"},
		{"POST", "/q/" + id(1), `{"steps":[]}`, 400, "0 steps"},
		{"POST", "/q/" + id(1), `{"steps":[{"count":1,"after":[0]}]}`, 400, "not an earlier one"},
		{"POST", "/q/" + id(1), `{"steps":[{"count":-1,"cpu":-5}]}`, 400, "count -1 out of range"},
		{"POST", "/q/" + id(1), `{"task_spec":"` + strings.Repeat("x", 300_000) + `"}`, 413, "bodyTooLarge"},
		{"GET", "/q/" + id(9), "", 410, "unknownJob"},
		{"PUT", "/q/" + id(9), "", 405, "method"},
	} {
		status, body := f.request(0, c.method, c.path, c.body)
		assert.Equal(t, status, c.status, "%s %s: %s", c.method, c.path, body)
		assert.Assert(t, strings.Contains(body, c.contains), body)
	}
}

func TestCancelledJobStaysCancelled(t *testing.T) {
	f := newTestCluster(t, 2, 2, time.Minute)
	f.waitForOwner(-1)
	status, _ := f.request(0, http.MethodPost, "/q/"+id(1), twoStepJob)
	assert.Equal(t, status, http.StatusOK)
	f.waitForState(1, id(1), "running")
	status, _ = f.request(1, http.MethodDelete, "/q/"+id(1), "")
	assert.Equal(t, status, http.StatusOK)
	f.waitForState(0, id(1), "cancelled")
	// A cancellation may arrive before the submission that it cancels.
	status, _ = f.request(0, http.MethodDelete, "/q/"+id(2), "")
	assert.Equal(t, status, http.StatusGone)
	status, _ = f.request(0, http.MethodPost, "/q/"+id(2), twoStepJob)
	assert.Equal(t, status, http.StatusOK)
	f.waitForState(1, id(2), "cancelled")
}

func TestSuccessorCompletesJobsOfStoppedOwner(t *testing.T) {
	f := newTestCluster(t, 3, 3, 1500*time.Millisecond)
	first := f.waitForOwner(-1)
	other := (first + 1) % 3
	for n := range 5 {
		status, body := f.request(other, http.MethodPost, "/q/"+id(n), twoStepJob)
		assert.Equal(t, status, http.StatusOK, body)
	}
	f.waitForState(other, id(0), "running")
	f.entries[first].stop()
	f.entries[first] = f.entries[other]
	for n := range 5 {
		f.waitForState(other, id(n), "completed")
	}
	assert.DeepEqual(t, f.audit.Violations(), []string(nil))
}

func TestJobIsAcceptedWithoutOwner(t *testing.T) {
	f := newTestCluster(t, 3, 2, 50*time.Millisecond)
	first := f.waitForOwner(-1)
	other := (first + 1) % 3
	f.entries[first].stop()
	status, body := f.request(other, http.MethodPost, "/q/"+id(7), twoStepJob)
	assert.Equal(t, status, http.StatusOK, body)
	f.waitForState(other, id(7), "completed")
	assert.DeepEqual(t, f.audit.Violations(), []string(nil))
}

func TestJobsCompleteDespiteLostRefusedAndLateAppends(t *testing.T) {
	f := newTestCluster(t, 2, 2, 100*time.Millisecond)
	f.waitForOwner(-1)
	var calls atomic.Int64
	f.store.SetFault(func(r *http.Request) standin.Fault {
		if !strings.HasSuffix(r.URL.Path, "log-append") {
			return standin.FaultNone
		}
		switch calls.Add(1) % 7 {
		case 2:
			return standin.FaultLost
		case 4:
			return standin.FaultRefused
		case 6:
			return standin.FaultLate
		}
		return standin.FaultNone
	})
	for n := range 6 {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if status, body := f.request(n%2, http.MethodPost, "/q/"+id(n), twoStepJob); status != http.StatusOK {
				return poll.Continue("status %d: %s", status, body)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second))
	}
	for n := range 6 {
		f.waitForState(n%2, id(n), "completed")
	}
	assert.DeepEqual(t, f.audit.Violations(), []string(nil))
}

// A stopping owner must report itself as not ready, release the cell and exit before the
// grace period ends.
func TestDrainingOwnerReleasesCell(t *testing.T) {
	f := newTestCluster(t, 2, 2, 50*time.Millisecond)
	first := f.waitForOwner(-1)
	leaving := f.entries[first].Front
	leaving.settings.Bounds.Grace = 20 * time.Second
	leaving.startDraining()
	status, body := f.request(1-first, http.MethodPost, "/q/"+id(1), twoStepJob)
	assert.Equal(t, status, http.StatusOK, body)
	assert.Assert(t, leaving.owner.Load() != nil, "owner released the cell before minDrainTime")
	ready := httptest.NewRecorder()
	leaving.serveReadiness(ready, nil)
	assert.Equal(t, ready.Code, http.StatusServiceUnavailable)
	began := time.Now()
	leaving.drain(context.Background())
	assert.Assert(t, time.Since(began) < 5*time.Second, "drain took the whole grace period without requests")
	assert.Assert(t, leaving.owner.Load() == nil)
	f.waitForOwner(first)
	f.waitForState(1-first, id(1), "completed")
	assert.DeepEqual(t, f.audit.Violations(), []string(nil))
}

// A caller cannot retry a request with an unknown outcome at another entry VM, so the
// entry VM retries it until the caller's timeout.
func TestRequestWithUnknownOutcomeIsRetried(t *testing.T) {
	f := newTestCluster(t, 2, 2, 50*time.Millisecond)
	first := f.waitForOwner(-1)
	other := 1 - first
	f.entries[first].stop()
	var lost atomic.Int64
	f.store.SetFault(func(r *http.Request) standin.Fault {
		if strings.HasSuffix(r.URL.Path, "log-append") && r.URL.Query().Get("topic") == topicInbox && lost.Add(1) <= 2 {
			return standin.FaultLost
		}
		return standin.FaultNone
	})
	status, body := f.request(other, http.MethodPost, "/q/"+id(1), twoStepJob)
	assert.Equal(t, status, http.StatusOK, body)
	lost.Store(0)
	status, body = f.request(other, http.MethodDelete, "/q/"+id(1), "")
	assert.Equal(t, status, http.StatusOK, body)
	assert.DeepEqual(t, f.audit.Violations(), []string(nil))
}

// If it is certain that nothing was stored, the caller must be told at once, so that it
// can retry at another entry VM.
func TestRequestWithoutEffectIsRefusedAtOnce(t *testing.T) {
	f := newTestCluster(t, 2, 1, 50*time.Millisecond)
	first := f.waitForOwner(-1)
	f.entries[first].stop()
	f.store.SetFault(func(*http.Request) standin.Fault { return standin.FaultRefused })
	began := time.Now()
	status, body := f.request(1-first, http.MethodPost, "/q/"+id(1), twoStepJob)
	assert.Equal(t, status, http.StatusServiceUnavailable, body)
	assert.Assert(t, time.Since(began) < time.Second)
}

func TestConfigurationIgnoresLowerVersionAndInvalidRecord(t *testing.T) {
	f := newTestCluster(t, 2, 1, time.Millisecond)
	f.waitForOwner(-1)
	f.store.Put(platform.TopicOperator, "config", standin.Configuration(5, testService, "q", "more"))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, _ := f.request(0, http.MethodPost, "/more/"+id(3), twoStepJob); status != http.StatusOK {
			return poll.Continue("status %d", status)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
	f.store.Put(platform.TopicOperator, "config", standin.Configuration(4, testService, "q"))
	f.store.Put(platform.TopicOperator, "config", []byte("{nonsense"))
	time.Sleep(200 * time.Millisecond)
	status, body := f.request(0, http.MethodGet, "/more/", "")
	assert.Equal(t, status, http.StatusOK, body)
	assert.Assert(t, strings.Contains(f.log.String(), "configuration rejected"))
}

// A configuration may arrive after the owner was created and before run is called.
func TestOwnerAcceptsConfigurationBeforeRun(t *testing.T) {
	f := newTestCluster(t, 1, 0, time.Millisecond)
	o := newOwner(context.Background(), f.entries[0].Front, lease.Record{Epoch: 1}, time.Time{}, lease.CellClock{}, 1)
	o.setConfiguration(&bamboofall.Configuration{Version: 1})
}

// Texts from requests must not become metric tags, or invalid requests could fill the
// memory.
func TestInvalidRequestsCreateNoNewMetrics(t *testing.T) {
	f := newTestCluster(t, 1, 1, time.Millisecond)
	f.waitForOwner(-1)
	counters := func() int {
		snapshot := f.entries[0].metrics.Scope.Snapshot()
		return len(snapshot.Counters()) + len(snapshot.Histograms())
	}
	bad := func(n int) {
		status, _ := f.request(0, http.MethodGet, fmt.Sprintf("/q/bad%d", n), "")
		assert.Equal(t, status, http.StatusBadRequest)
		status, _ = f.request(0, http.MethodPost, "/q/"+id(n), fmt.Sprintf(`{"steps":"%d"`, n))
		assert.Equal(t, status, http.StatusBadRequest)
	}
	bad(0)
	before := counters()
	for n := range 5 {
		bad(n + 1)
	}
	assert.Equal(t, counters(), before)
}

// Two VMs that claim the cell from the same view must not both own it: the store answers
// a repeated sequence number with its first answer.
func TestOnlyOneOfTwoConcurrentClaimsWins(t *testing.T) {
	f := newTestCluster(t, 0, 0, time.Millisecond)
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	var servers []*Front
	for i := range 2 {
		path := filepath.Join(t.TempDir(), "node.toml")
		text := standin.Settings(fmt.Sprintf("entry-%d", i), "127.0.0.1", strings.TrimPrefix(server.URL, "http://"), freePorts(t, 5))
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		set, err := platform.ReadSettings(path)
		assert.NilError(t, err)
		engine, err := httpclient.NewEngine()
		assert.NilError(t, err)
		t.Cleanup(engine.Stop)
		fr := New(path, set, engine, NewLog(f.log, set.VM))
		fr.config.Store(&bamboofall.Configuration{Version: 1})
		fr.claimIfExpired(ctx, 0) // starts the stagger time of the claim
		servers = append(servers, fr)
	}
	time.Sleep(lease.DefaultTiming().MaxStagger)
	owners := 0
	for _, fr := range servers {
		fr.claimIfExpired(ctx, 0)
		if fr.owner.Load() != nil {
			owners++
		}
	}
	cancel()
	for _, fr := range servers {
		fr.owners.Wait()
	}
	assert.Equal(t, owners, 1)
}

// failReads makes the store refuse reads of a topic from an offset on.
func (f *testCluster) failReads(topic string) {
	f.store.SetFault(func(r *http.Request) standin.Fault {
		if r.URL.Path == "/v1/log-read" && r.URL.Query().Get("topic") == topic {
			return standin.FaultRefused
		}
		return standin.FaultNone
	})
}

// An owner that cannot read the inbox cannot know which jobs were accepted, so it must
// not report a job as unknown.
func TestUnknownJobIsUnavailableWhileInboxIsUnreadable(t *testing.T) {
	f := newTestCluster(t, 1, 1, time.Millisecond)
	f.waitForOwner(-1)
	status, _ := f.request(0, http.MethodGet, "/q/"+id(9), "")
	assert.Equal(t, status, http.StatusGone)
	f.failReads(topicInbox)
	o := f.entries[0].owner.Load()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if age := o.progress.inboxReadAt.age(now()); age <= inboxMaxAge {
			return poll.Continue("the inbox was read %v ago", age)
		}
		return poll.Success()
	}, poll.WithTimeout(inboxMaxAge+2*inboxLongPoll), poll.WithDelay(time.Millisecond))
	status, body := f.request(0, http.MethodGet, "/q/"+id(9), "")
	assert.Equal(t, status, http.StatusServiceUnavailable, body)
}

// A new owner must apply the inbox before it serves requests, even if it cannot follow
// the inbox afterwards.
func TestSuccessorAppliesInboxBeforeServing(t *testing.T) {
	f := newTestCluster(t, 3, 2, 50*time.Millisecond)
	first := f.waitForOwner(-1)
	other := (first + 1) % 3
	f.entries[first].stop()
	f.failReads(topicInbox)
	status, body := f.request(other, http.MethodPost, "/q/"+id(7), twoStepJob)
	assert.Equal(t, status, http.StatusOK, body)
	f.waitForState(other, id(7), "completed")
}

// The inbox returns the cancellation before the submission that it cancels.
func TestInboxCancellationBeforeSubmissionCancelsJob(t *testing.T) {
	f := newTestCluster(t, 1, 1, 50*time.Millisecond)
	f.waitForOwner(-1)
	put := func(key string, m *jobpb.Deferred) {
		value, err := proto.Marshal(m)
		assert.NilError(t, err)
		f.store.Put(topicInbox, key, value)
	}
	job, err := platform.DecodeJob(bamboofall.JobID(id(5)), "r-q", []byte(twoStepJob))
	assert.NilError(t, err)
	put("c"+id(5), &jobpb.Deferred{Cancel: id(5)})
	put("s"+id(5), &jobpb.Deferred{Job: jobspec.Encode(job)})
	f.waitForState(0, id(5), "cancelled")
}
