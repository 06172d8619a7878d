package front

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bamboofall.example/bamboofall/internal/jobs/freshness"
	"bamboofall.example/bamboofall/platform"
)

// sixTasks is a job whose tasks take six of the sixteen processors of a worker each.
const sixTasks = `{"task_spec":"x","steps":[{"count":6,"cpu":6000,"memory_request_mb":64,"estimated_ms":60000}]}`

func (f *testCluster) waitForRunning(w *testWorker, n int) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if running := w.Running(); running != n {
			return poll.Continue("%d tasks are running", running)
		}
		return poll.Success()
	}, poll.WithTimeout(3*time.Second), poll.WithDelay(20*time.Millisecond))
}

func TestOwnerFollowsCapacityOfWorker(t *testing.T) {
	f := newTestCluster(t, 1, 2, time.Minute)
	f.waitForOwner(-1)
	first, second := f.workers[0], f.workers[1]
	first.Resize(6500, 32000)
	second.Resize(500, 32000)
	f.list(first)
	f.list(second)
	settle := func() { time.Sleep(300 * time.Millisecond) }
	settle()
	status, body := f.request(0, http.MethodPost, "/q/"+id(1), sixTasks)
	assert.Equal(t, status, http.StatusOK, body)
	f.waitForRunning(first, 1)
	second.Resize(12_000, 32000)
	f.list(second)
	f.waitForRunning(second, 2)
	first.Resize(100, 100)
	f.list(first)
	second.Resize(18_000, 32000)
	f.list(second)
	f.waitForRunning(second, 3)
	settle()
	assert.Equal(t, first.Running(), 1)
	assert.Equal(t, second.Running(), 3)
}

// assertNothingStarts checks that the owner has started nothing, and starts nothing in its
// next steps.
func (f *testCluster) assertNothingStarts() {
	f.t.Helper()
	const steps = 15 // a start takes several: the cell has to be stored before it
	o := f.entries[f.waitForOwner(-1)].owner.Load()
	for range steps {
		since := now()
		poll.WaitOn(f.t, func(poll.LogT) poll.Result {
			if o.progress.steppedAt.age(since) >= 0 {
				return poll.Continue("no step")
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
	}
	started := make(chan int64, 1)
	o.push(f.t.Context(), loopTopics, func(time.Time) { started <- o.cell.Counters().Started })
	assert.Equal(f.t, <-started, int64(0))
}

// waitForOutdatedList waits until nothing that the owner has read about workers is recent
// enough to start tasks. Its reads must fail and the workers be silent already.
func (f *testCluster) waitForOutdatedList() {
	f.t.Helper()
	f.waitForLines("store lost", 1)
	o := f.entries[f.waitForOwner(-1)].owner.Load()
	handled := make(chan struct{})
	o.push(f.t.Context(), loopTopics, func(time.Time) { close(handled) })
	<-handled // so are the last read and the answers of workers before it
	// An answer is under way for a while, and the owner takes the clock in it for present.
	const answerDelay = 500 * time.Millisecond
	time.Sleep(max(freshness.MaxAge+answerDelay, freshness.MaxReadAge))
}

// checkUnusable checks that a worker gets no tasks after a change of its entry that the
// owner logs with the given event, and gets tasks again after the next usable entry.
func checkUnusable(t *testing.T, event string, change func(f *testCluster, w *testWorker)) {
	t.Helper()
	f := newTestCluster(t, 1, 1, time.Minute)
	f.waitForOwner(-1)
	w := f.workers[0]
	change(f, w)
	f.waitForLines(event, 1)
	f.request(0, http.MethodPost, "/q/"+id(1), sixTasks)
	f.assertNothingStarts()
	w.Resize(18_000, 32000)
	f.list(w)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, body := f.request(0, http.MethodPost, "/q/"+id(2), sixTasks); status != http.StatusOK {
			return poll.Continue("status %d, body %s", status, body)
		}
		return poll.Success()
	}, poll.WithTimeout(3*time.Second), poll.WithDelay(20*time.Millisecond))
	f.waitForRunning(w, 3)
}

func TestWorkerThatShrankToNothingGetsNoTasks(t *testing.T) {
	checkUnusable(t, "worker resized", func(f *testCluster, w *testWorker) {
		w.Resize(0, 32000)
		f.list(w)
	})
}

func TestWorkerWithInvalidEntryGetsNoTasks(t *testing.T) {
	checkUnusable(t, "worker entry rejected", func(f *testCluster, w *testWorker) {
		w.silence()
		f.store.Put(platform.TopicWorkers, w.id, []byte(`{"service":"minions","state":"ready"}`))
	})
}

// Workers may have shrunk while the owner could not read their list. They announce that
// only after it can be read again.
func TestNothingStartsWhileListOfWorkersCannotBeRead(t *testing.T) {
	f := newTestCluster(t, 1, 1, time.Minute)
	f.waitForOwner(-1)
	w := f.workers[0]
	w.Resize(18_000, 32000)
	f.list(w)
	f.waitForLines("worker resized", 1)
	w.silence()
	f.failReads(platform.TopicWorkers)
	f.waitForOutdatedList()
	status, body := f.request(0, http.MethodPost, "/q/"+id(1), sixTasks)
	assert.Equal(t, status, http.StatusOK, body)
	f.assertNothingStarts()
	f.store.SetFault(nil)
	f.waitForLines("store regained", 1)
	f.assertNothingStarts()
	f.list(w)
	f.waitForRunning(w, 3)
}

// An owner may lose the store right after it has restored the cell.
func TestNothingStartsByListReadOnceOnly(t *testing.T) {
	f := newTestCluster(t, 1, 1, time.Minute)
	f.failReads(platform.TopicWorkers)
	f.waitForOwner(-1)
	w := f.workers[0]
	w.silence()
	f.waitForOutdatedList()
	status, body := f.request(0, http.MethodPost, "/q/"+id(1), sixTasks)
	assert.Equal(t, status, http.StatusOK, body)
	f.assertNothingStarts()
	f.store.SetFault(nil)
	f.waitForLines("store regained", 1)
	f.list(w)
	f.waitForRunning(w, 2)
}
