package front

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/platform"
	"bamboofall.example/bamboofall/platform/standin"
)

// clientMargin is what the client of the store adds to the wait of a read for its timeout.
const clientMargin = platform.ReadMargin

// failingStore is a store without records whose reads fail until the end of an outage.
type failingStore struct {
	bamboofall.KeyedStore
	outageEnd time.Time
	// silent is set if reads during the outage get no answer. Otherwise they are refused.
	silent bool
	// answerTime is the time until an answer after the outage, newestTime that of the newest
	// records.
	answerTime, newestTime time.Duration
}

func (s *failingStore) Read(ctx context.Context, _ string, _ int, from int64, wait time.Duration) (bamboofall.StorePage, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+clientMargin)
	defer cancel()
	return bamboofall.StorePage{Next: from}, s.call(ctx, s.answerTime+wait)
}

func (s *failingStore) Newest(ctx context.Context, _ string, _ int) ([]bamboofall.StoredRecord, int64, error) {
	return nil, 0, s.call(ctx, s.newestTime)
}

// call answers a call after a time, or fails.
func (s *failingStore) call(ctx context.Context, answerTime time.Duration) error {
	switch {
	case !time.Now().Before(s.outageEnd):
		sleep(ctx, answerTime)
	case s.silent:
		<-ctx.Done()
	default:
		return &bamboofall.NotDoneError{Call: "read", Reason: "HTTP status 503"}
	}
	return ctx.Err()
}

// timeUntilRead follows a topic from the beginning of an outage on, with reads that wait
// for records, and returns the time from its end to the next successful read, a minute at
// most.
func timeUntilRead(t *testing.T, topic string, wait, outage time.Duration, store failingStore) (took time.Duration) {
	took = time.Minute
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), outage+took)
		defer cancel()
		store.outageEnd = time.Now().Add(outage)
		f := &Front{log: NewLog(io.Discard, "entry-0"), store: &store}
		assert.NilError(t, f.follow(ctx, topic, 0, wait, topicReader{newestOnly: topic == platform.TopicOperator, caughtUp: func(int64) {
			took = time.Since(store.outageEnd)
			cancel()
		}}))
	})
	return took
}

// A read that waits for records, or for an answer that never comes, must not delay the
// reads after an outage.
func TestTopicIsReadSoonAfterOutage(t *testing.T) {
	const step = 10 * time.Millisecond
	for outage := step; outage < 15*time.Second; outage += step {
		took := timeUntilRead(t, platform.TopicWorkers, workersLongPoll, outage, failingStore{})
		assert.Assert(t, took <= storeRetryDelay, "reads are refused for %v: %v", outage, took)
	}
	const (
		firstTimeout = workersLongPoll + clientMargin
		// Of fullRetryInterval reads, one has the full timeout.
		cycles = 3
		cycle  = (fullRetryInterval-1)*retryReadTimeout + clientMargin + fullRetryInterval*storeRetryDelay
	)
	var late time.Duration
	for outage := firstTimeout; outage < firstTimeout+cycles*cycle; outage += step {
		took := timeUntilRead(t, platform.TopicWorkers, workersLongPoll, outage, failingStore{silent: true})
		assert.Assert(t, took <= clientMargin+storeRetryDelay, "reads get no answer for %v: %v", outage, took)
		if took > retryReadTimeout+storeRetryDelay {
			late += step
		}
	}
	assert.Assert(t, late <= cycles*(clientMargin-retryReadTimeout), late)
}

// The connection of a read of the configuration goes silent, while new connections work. The
// configuration was read again only after the VM counted as undisturbed, and queues that were added
// meanwhile got 404.
func TestConfigurationIsReadInTimeAfterSilentConnection(t *testing.T) {
	for _, contact := range []time.Duration{2500 * time.Millisecond, 3 * time.Second, 4 * time.Second, 5 * time.Second} {
		const silence = time.Millisecond
		took := silence + timeUntilRead(t, platform.TopicOperator, configurationWait(contact), silence, failingStore{silent: true, newestTime: 50 * time.Millisecond})
		assert.Assert(t, took < contact, "%v, contact time %v", took, contact)
	}
}

// Behind a slow link the versions of a large configuration that were stored during a cut take
// longer than a retry. They were read before the newest one, and machines that had long been back
// answered by an old version.
func TestNewestConfigurationIsReadAfterOutage(t *testing.T) {
	const newestTime, contact = 400 * time.Millisecond, 3 * time.Second
	for outage := 4 * time.Second; outage < 8*time.Second; outage += 10 * time.Millisecond {
		took := timeUntilRead(t, platform.TopicOperator, configurationLongPoll, outage, failingStore{silent: true, answerTime: time.Minute, newestTime: newestTime})
		assert.Assert(t, took < contact, "outage of %v: %v", outage, took)
	}
}

// A store that answers slowly after an outage is read all the same.
func TestTopicOfSlowStoreIsReadAfterOutage(t *testing.T) {
	const limit = (fullRetryInterval-1)*(retryReadTimeout+storeRetryDelay) + clientMargin
	for outage := 10 * time.Millisecond; outage < 5*time.Second; outage += 10 * time.Millisecond {
		took := timeUntilRead(t, platform.TopicWorkers, workersLongPoll, outage, failingStore{answerTime: 1400 * time.Millisecond})
		assert.Assert(t, took <= limit, "outage of %v: %v", outage, took)
	}
}

// Reads of the ownership after an outage leave the owner time to renew, but do not wait
// longer than that for answers that never come.
func TestOwnershipIsReadSoonAfterOutage(t *testing.T) {
	const (
		step         = 10 * time.Millisecond
		firstTimeout = ownersLongPoll + clientMargin
		cycles       = 3
		cycle        = fullRetryInterval*(ownersLongPoll+storeRetryDelay) + (fullRetryInterval-1)*retryReadTimeout + clientMargin
	)
	var late time.Duration
	for outage := firstTimeout; outage < firstTimeout+cycles*cycle; outage += step {
		took := timeUntilRead(t, topicOwners, ownersLongPoll, outage, failingStore{silent: true})
		assert.Assert(t, took >= ownersLongPoll, "no time to renew after %v: %v", outage, took)
		if took > 2*ownersLongPoll+retryReadTimeout+storeRetryDelay {
			late += step
		}
	}
	assert.Assert(t, late <= cycles*(clientMargin-retryReadTimeout), late)
}

// trimmedStore is a store whose history was trimmed. Its newest records cannot be read
// until outageEnd.
type trimmedStore struct {
	bamboofall.KeyedStore
	outageEnd  time.Time
	newestRead bool
}

func (s *trimmedStore) Read(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (bamboofall.StorePage, error) {
	const first = 10
	if from < first {
		return bamboofall.StorePage{}, &bamboofall.TrimmedError{Topic: topic, Partition: partition, Oldest: first}
	}
	sleep(ctx, wait)
	return bamboofall.StorePage{Next: from}, ctx.Err()
}

func (s *trimmedStore) Newest(context.Context, string, int) ([]bamboofall.StoredRecord, int64, error) {
	if time.Now().Before(s.outageEnd) {
		return nil, 0, &bamboofall.NotDoneError{Call: "newest", Reason: "HTTP status 503"}
	}
	s.newestRead = true
	return nil, 10, nil
}

// A topic whose unread records were trimmed has not been read until its newest records have:
// an owner would report jobs in the inbox as unknown, and rely on outdated workers.
func TestTrimmedTopicIsNotUpToDateUntilNewestIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &trimmedStore{outageEnd: time.Now().Add(3 * time.Second)}
		f := &Front{log: NewLog(io.Discard, "entry-0"), store: store}
		assert.NilError(t, f.follow(ctx, topicInbox, 5, inboxLongPoll, topicReader{caughtUp: func(end int64) {
			assert.Check(t, store.newestRead, "caught up before the newest records were read")
			assert.Check(t, end >= 10, "caught up to offset %d", end)
			cancel()
		}}))
	})
}

// A worker whose removal was trimmed before the owner read it stayed listed for good.
func TestWorkerWhoseRemovalWasTrimmedIsRemoved(t *testing.T) {
	t.Parallel()
	f := newTestCluster(t, 1, 2, time.Millisecond)
	f.waitForOwner(-1)
	o := f.entries[0].owner.Load()
	waitForWorkers := func(n int) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if loop := o.progress.loop.Load(); loop != nil && loop.direct == n {
				return poll.Success()
			}
			return poll.Continue("the owner does not list %d workers", n)
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	}
	waitForWorkers(2)
	refused := make(chan struct{}, 1)
	f.store.SetFault(func(r *http.Request) standin.Fault {
		if r.URL.Path != "/v1/log-read" || r.URL.Query().Get("topic") != platform.TopicWorkers {
			return standin.FaultNone
		}
		notify(refused)
		return standin.FaultRefused
	})
	<-refused // the last read that may still get records has ended
	f.workers[1].silence()
	f.store.Put(platform.TopicWorkers, f.workers[1].id, nil)
	f.store.Trim(platform.TopicWorkers)
	f.store.SetFault(nil)
	waitForWorkers(1)
}
