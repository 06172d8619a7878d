package front

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/admission"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/jobs/jobspec"
	"bamboofall.example/bamboofall/internal/jobs/recordsize"
	"bamboofall.example/bamboofall/internal/request/holding"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
	"bamboofall.example/bamboofall/platform"
)

const (
	// defaultRequestTimeout is the timeout of a request that states none.
	defaultRequestTimeout = 3 * time.Second
	// maxRequestTimeout bounds what a request may state: until then it runs, and is not
	// closed for others.
	maxRequestTimeout = time.Minute
	// responseMargin is the part of a request's timeout that is reserved for the
	// response, at most 1/responseMarginDivisor of the timeout.
	responseMargin        = 150 * time.Millisecond
	responseMarginDivisor = 4
	// ownerRetryDelay is the time between attempts to reach the owner.
	ownerRetryDelay = 60 * time.Millisecond
	// takeoverRetryAfter is the Retry-After value while there is no owner: the expected
	// time of a takeover.
	takeoverRetryAfter = 2 * time.Second
	// defaultMaxBodyBytes is the maximum size of a request body if the configuration
	// sets none.
	defaultMaxBodyBytes = 256 << 10
)

// response is the HTTP response to a caller. An empty body is replaced by a refusal with
// the message or reason.
type response struct {
	status int
	body   []byte
	// reason is one of a fixed set of words that label metrics. Message may contain
	// details of the request.
	reason, message string
	retryAfter      time.Duration
}

// malformedRequest returns the response to a request that cannot be parsed.
func malformedRequest(err error) response {
	return response{status: http.StatusBadRequest, reason: "malformed", message: err.Error()}
}

func (f *Front) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	cutOff := f.isCutOff(now())
	f.noteCutOff(cutOff)
	if f.isDraining() || f.config.Load() == nil || cutOff {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveRequest handles a caller's request about a job or a queue.
func (f *Front) serveRequest(w http.ResponseWriter, r *http.Request) {
	began := now()
	f.activeRequests.Add(1)
	f.lastRequest.Store(began.UnixNano())
	defer func() {
		f.lastRequest.Store(now().UnixNano())
		f.activeRequests.Add(-1)
	}()
	conf := f.config.Load()
	var res response
	job := ""
	queue := ""
	if conf == nil {
		res = response{status: http.StatusServiceUnavailable, reason: "noConfiguration", retryAfter: takeoverRetryAfter}
	} else if q, rest, found := findQueue(conf, r); !found {
		res = response{status: http.StatusNotFound, reason: "noSuchQueue"}
	} else if f.isCutOff(began) {
		res = f.unavailable(reasonCutOff)
		job, queue = rest, q.Name
	} else {
		job, queue = rest, q.Name
		ctx, cancel := f.requestContext(r)
		res = f.serveQueueRequest(ctx, conf, q, rest, r)
		cancel()
	}
	f.metrics.Increment("calls", map[string]string{"method": r.Method, "status": strconv.Itoa(res.status), "reason": res.reason})
	f.metrics.recordLatency("call"+r.Method, now().Sub(began))
	version := uint64(0)
	if conf != nil {
		version = conf.Version
	}
	f.log.Request(res.status < 300 && r.Method == http.MethodGet, logrus.Fields{
		"method": r.Method, "job": job, "queue": queue, "status": res.status, "reason": res.reason,
		"message": res.message, "configuration": version, "ms": now().Sub(began).Milliseconds(),
	})
	f.writeResponse(w, res)
}

func (f *Front) writeResponse(w http.ResponseWriter, res response) {
	w.Header().Set("Content-Type", "application/json")
	if f.isDraining() || res.reason == reasonCutOff {
		w.Header().Set("Connection", "close")
	}
	if res.retryAfter > 0 {
		seconds := int64((res.retryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	body := res.body
	if body == nil && res.reason != "" {
		body = platform.EncodeRefusal(cmp.Or(res.message, res.reason), res.retryAfter)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(res.status)
	// An error means that the caller has disconnected.
	_, _ = w.Write(body)
}

// workTimeout returns the time available for handling a request, without the margin for
// the response.
func workTimeout(r *http.Request) time.Duration {
	d := min(platform.RequestTimeout(r, defaultRequestTimeout), maxRequestTimeout)
	return d - min(responseMargin, d/responseMarginDivisor)
}

// requestContext returns the context for handling a request. It ends in time for the
// response to arrive before the caller's timeout or the end of this process.
func (f *Front) requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(r.Context(), workTimeout(r))
	stop := context.AfterFunc(f.serving, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// unavailable returns the response to a request that had no effect for the given reason,
// or because this process stops.
func (f *Front) unavailable(reason string) response {
	if f.serving.Err() != nil {
		reason = "stopping"
	}
	return response{status: http.StatusServiceUnavailable, reason: reason, retryAfter: takeoverRetryAfter}
}

// findQueue returns the queue with the longest matching path prefix, and the rest of the
// path.
func findQueue(conf *bamboofall.Configuration, r *http.Request) (*bamboofall.Queue, string, bool) {
	host := strings.ToLower(r.Host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	var longest *bamboofall.Queue
	for i := range conf.Queues {
		queue := &conf.Queues[i]
		if queue.Host == host && strings.HasPrefix(r.URL.Path, queue.PathPrefix) && (longest == nil || len(queue.PathPrefix) > len(longest.PathPrefix)) {
			longest = queue
		}
	}
	if longest == nil {
		return nil, "", false
	}
	return longest, r.URL.Path[len(longest.PathPrefix):], true
}

func (f *Front) serveQueueRequest(ctx context.Context, conf *bamboofall.Configuration, queue *bamboofall.Queue, rest string, r *http.Request) response {
	if rest == "" && r.Method == http.MethodGet {
		return f.pending(ctx, queue)
	}
	id, err := platform.ParseJobID(rest)
	if err != nil {
		return malformedRequest(err)
	}
	switch r.Method {
	case http.MethodPost:
		limit := maxBodyBytes(conf)
		body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
		if err != nil {
			return malformedRequest(fmt.Errorf("read request body: %w", err))
		}
		if int64(len(body)) > limit {
			return response{status: http.StatusRequestEntityTooLarge, reason: "bodyTooLarge"}
		}
		job, err := platform.DecodeJob(id, queue.Name, body)
		if err != nil {
			return malformedRequest(err)
		}
		return f.submit(ctx, job, queue)
	case http.MethodGet:
		return f.lookup(ctx, id)
	case http.MethodDelete:
		return f.cancel(ctx, id)
	}
	return response{status: http.StatusMethodNotAllowed, reason: "method"}
}

// submit submits a job to the owner, or stores the submission in the inbox with the
// settings of its queue, which the next owner may not know. The owner cannot refuse what
// the inbox holds, and may know an older configuration, so a job that can never run is
// refused here.
func (f *Front) submit(ctx context.Context, job *bamboofall.Job, queue *bamboofall.Queue) response {
	if reason := admission.UnservableReason(queue); reason != "" {
		return response{status: http.StatusTooManyRequests, reason: reason, retryAfter: admission.MaxRetryAfter}
	}
	req := &jobpb.SubmitRequest{Job: jobspec.Encode(job)}
	req.Job.Settings = jobspec.EncodeQueue(queue)
	if !recordsize.FitsJob(req.Job, f.settings.MaxRecordBytes) {
		return response{status: http.StatusRequestEntityTooLarge, reason: "jobTooLarge"}
	}
	return f.callOwnerOrDefer(ctx, "s"+string(job.ID), &jobpb.Deferred{Job: req.Job}, bamboofall.JobQueued, func() (*response, error) {
		res, err := callOwner(ctx, f, req, f.submitLocal, jobpb.JobsClient.Submit, (*jobpb.SubmitResponse).GetNotOwner)
		if err != nil {
			return nil, err
		}
		if res.GetAccepted() {
			return nil, nil
		}
		if res.GetReason() == holding.ReasonStoreRefuses {
			return nil, errNotStored
		}
		status := http.StatusTooManyRequests
		if res.GetReason() == cell.ReasonJobTooLarge {
			status = http.StatusRequestEntityTooLarge
		}
		return &response{
			status: status, reason: res.GetReason(),
			retryAfter: time.Duration(res.GetRetryAfterMs()) * time.Millisecond,
		}, nil
	})
}

// cancel cancels a job at the owner, or stores the cancellation in the inbox.
func (f *Front) cancel(ctx context.Context, id bamboofall.JobID) response {
	return f.callOwnerOrDefer(ctx, "c"+string(id), &jobpb.Deferred{Cancel: string(id)}, bamboofall.JobCancelled, func() (*response, error) {
		res, err := callOwner(ctx, f, &jobpb.CancelRequest{Id: string(id)}, f.cancelLocal, jobpb.JobsClient.Cancel, (*jobpb.CancelResponse).GetNotOwner)
		if err != nil {
			return nil, err
		}
		if res.GetCancelled() {
			return nil, nil
		}
		return &response{status: http.StatusGone, reason: "unknownJob"}, nil
	})
}

// callOwnerOrDefer makes a request to the owner, or stores it in the inbox for the next
// owner. State is the job's state after success. Attempt calls the owner: it returns a
// response if the owner declines the request, and nil if the request succeeded.
//
// If it is certain that the request had no effect as neither owner nor inbox can be reached from
// here, the caller is told soon, as it can retry at another entry VM. While the owner cannot store
// it, no other VM has more success, so the request is held until the timeout. After an unknown
// outcome the caller cannot retry, so the request, which is idempotent here, is retried until the
// timeout, too.
func (f *Front) callOwnerOrDefer(ctx context.Context, key string, deferred *jobpb.Deferred, state bamboofall.JobState, attempt func() (*response, error)) response {
	success := response{status: http.StatusOK, body: platform.EncodeState(state.String())}
	unknown := response{status: http.StatusGatewayTimeout, reason: "unknown"}
	value, err := proto.Marshal(deferred)
	if err != nil {
		return malformedRequest(err)
	}
	began := now()
	notExecuted, heldByOwner := true, false
	var takenAt time.Time // when the intake allowed the call to be stored
	notRun := func(reason string) response {
		if !takenAt.IsZero() {
			f.intake.giveBack(takenAt, deferred)
		}
		return f.notRun(deferred, reason)
	}
	for {
		if notExecuted && f.isCutOff(now()) {
			return notRun(reasonCutOff)
		}
		declined, err := attempt()
		switch {
		case err == nil && declined == nil:
			return success
		case err == nil && (notExecuted || declined.status == http.StatusGone):
			return *declined
		case err == nil:
			return unknown // an earlier attempt may still submit the job
		}
		notExecuted = notExecuted && hadNoEffect(err)
		withheld := errors.Is(err, errNotStored)
		heldByOwner = heldByOwner || withheld
		if notExecuted && ctx.Err() != nil {
			return notRun("noTime")
		}
		if !notExecuted || f.mayDefer(now(), withheld) {
			if at := now(); takenAt.IsZero() && f.intake.mayDefer(at, deferred) {
				takenAt = at
			}
			if takenAt.IsZero() && notExecuted {
				return notRun(cell.ReasonTooManyTasks)
			}
			if !takenAt.IsZero() {
				_, err = f.store.Append(ctx, bamboofall.StoreAppend{
					Topic: topicInbox, Partition: cellPartition, Records: []bamboofall.StoreRecord{{Key: key, Value: value}}, ExpectedEnd: -1,
				})
				f.recordStoreCall(now(), err)
				if err == nil {
					f.metrics.Increment("callsDeferred", nil)
					return success
				}
				var notDone *bamboofall.NotDoneError
				notExecuted = notExecuted && errors.As(err, &notDone)
			}
		}
		if notExecuted {
			left := timeLeft(ctx, now())
			switch {
			case heldByOwner && left <= holding.MinTime:
				return notRun(holding.ReasonStoreRefuses)
			case !heldByOwner && (now().Sub(began) >= holding.UnreachableFor || left <= holding.MinTime):
				return notRun("noOwner")
			}
		}
		if !withheld { // the owner has held the request for a while
			sleep(ctx, ownerRetryDelay)
		}
		if ctx.Err() != nil {
			if notExecuted {
				return notRun("noTime")
			}
			return unknown
		}
	}
}

func (f *Front) lookup(ctx context.Context, id bamboofall.JobID) response {
	res, err := retryUntilDone(ctx, f.cutOffNow, func() (*jobpb.LookupResponse, error) {
		return callOwner(ctx, f, &jobpb.LookupRequest{Id: string(id)}, f.lookupLocal, jobpb.JobsClient.Lookup, (*jobpb.LookupResponse).GetNotOwner)
	})
	switch {
	case err != nil:
		return f.unavailable("noOwner")
	case res.GetUnknownJob():
		return response{status: http.StatusGone, reason: "unknownJob"}
	}
	return response{status: http.StatusOK, body: platform.EncodeState(res.GetState())}
}

func (f *Front) pending(ctx context.Context, q *bamboofall.Queue) response {
	res, err := retryUntilDone(ctx, f.cutOffNow, func() (*jobpb.PendingResponse, error) {
		return callOwner(ctx, f, &jobpb.PendingRequest{Queue: q.Name}, f.pendingLocal, jobpb.JobsClient.Pending, (*jobpb.PendingResponse).GetNotOwner)
	})
	if err != nil {
		return f.unavailable("noOwner")
	}
	return response{status: http.StatusOK, body: platform.EncodePending(int(res.GetJobs()))}
}

// retryUntilDone retries a read-only call until it succeeds, ctx is done or this VM is cut off.
func retryUntilDone[T any](ctx context.Context, cutOff func() bool, f func() (T, error)) (T, error) {
	for {
		v, err := f()
		if err == nil || ctx.Err() != nil || cutOff() {
			return v, err
		}
		sleep(ctx, ownerRetryDelay)
	}
}
