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
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
	"bamboofall.example/bamboofall/platform"
)

const (
	// defaultTimeout is how long a caller waits that does not say.
	defaultTimeout = 3 * time.Second
	// answerMargin is the part of a caller's time that is left for the answer,
	// but at most a share of it.
	answerMargin      = 150 * time.Millisecond
	answerMarginShare = 4
	// ownerRetry is the time between questions for an owner.
	ownerRetry = 60 * time.Millisecond
	// takeOverTime is how long callers are told to wait while there is no owner.
	takeOverTime = 2 * time.Second
	// defaultBody bounds a body if the configuration does not, in bytes.
	defaultBody = 256 << 10
)

// answer is what a caller gets.
type answer struct {
	status int
	body   []byte
	// reason is one of a few words; message may tell more of the call.
	reason, message string
	retryAfter      time.Duration
}

// malformed is the answer to a call that cannot be read.
func malformed(err error) answer {
	return answer{status: http.StatusBadRequest, reason: "malformed", message: err.Error()}
}

func (f *Front) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if f.isLeaving() || f.config.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveCaller answers a call about a job or a queue.
func (f *Front) serveCaller(w http.ResponseWriter, r *http.Request) {
	began := now()
	f.calls.Add(1)
	f.lastCall.Store(began.UnixNano())
	defer func() {
		f.lastCall.Store(now().UnixNano())
		f.calls.Add(-1)
	}()
	conf := f.config.Load()
	var a answer
	id := ""
	queue := ""
	if conf == nil {
		a = answer{status: http.StatusServiceUnavailable, reason: "noConfiguration", retryAfter: takeOverTime}
	} else if q, rest, found := findQueue(conf, r); !found {
		a = answer{status: http.StatusNotFound, reason: "noSuchQueue"}
	} else {
		id, queue = rest, q.Name
		ctx, cancel := context.WithTimeout(r.Context(), callerTime(r))
		a = f.serveQueue(ctx, conf, q, rest, r)
		cancel()
	}
	f.metrics.Count("calls", map[string]string{"method": r.Method, "status": strconv.Itoa(a.status), "reason": a.reason})
	f.metrics.took("call"+r.Method, now().Sub(began))
	version := uint64(0)
	if conf != nil {
		version = conf.Version
	}
	f.log.Call(a.status < 300 && r.Method == http.MethodGet, logrus.Fields{
		"method": r.Method, "job": id, "queue": queue, "status": a.status, "reason": a.reason,
		"message": a.message, "configuration": version, "ms": now().Sub(began).Milliseconds(),
	})
	f.write(w, a)
}

func (f *Front) write(w http.ResponseWriter, a answer) {
	w.Header().Set("Content-Type", "application/json")
	if f.isLeaving() {
		w.Header().Set("Connection", "close")
	}
	if a.retryAfter > 0 {
		seconds := int64((a.retryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	body := a.body
	if body == nil && a.reason != "" {
		body = platform.EncodeRefusal(cmp.Or(a.message, a.reason), a.retryAfter)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(a.status)
	// The caller has gone if this fails.
	_, _ = w.Write(body)
}

// callerTime returns how long the work for a call may take.
func callerTime(r *http.Request) time.Duration {
	d := platform.Timeout(r, defaultTimeout)
	return d - min(answerMargin, d/answerMarginShare)
}

// findQueue returns the queue of a call and what follows its prefix.
func findQueue(conf *bamboofall.Configuration, r *http.Request) (*bamboofall.Queue, string, bool) {
	host := strings.ToLower(r.Host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	var best *bamboofall.Queue
	for i := range conf.Queues {
		q := &conf.Queues[i]
		if q.Host == host && strings.HasPrefix(r.URL.Path, q.PathPrefix) && (best == nil || len(q.PathPrefix) > len(best.PathPrefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, "", false
	}
	return best, r.URL.Path[len(best.PathPrefix):], true
}

func (f *Front) serveQueue(ctx context.Context, conf *bamboofall.Configuration, q *bamboofall.Queue, rest string, r *http.Request) answer {
	if rest == "" && r.Method == http.MethodGet {
		return f.pending(ctx, q)
	}
	id, err := platform.ParseJobID(rest)
	if err != nil {
		return malformed(err)
	}
	switch r.Method {
	case http.MethodPost:
		limit := conf.Limits.BodyBytes
		if limit <= 0 {
			limit = defaultBody
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
		if err != nil {
			return malformed(fmt.Errorf("the body is not whole: %w", err))
		}
		if int64(len(body)) > limit {
			return answer{status: http.StatusRequestEntityTooLarge, reason: "bodyTooLarge"}
		}
		job, err := platform.DecodeJob(id, q.Name, body)
		if err != nil {
			return malformed(err)
		}
		return f.submit(ctx, job)
	case http.MethodGet:
		return f.lookup(ctx, id)
	case http.MethodDelete:
		return f.cancel(ctx, id)
	}
	return answer{status: http.StatusMethodNotAllowed, reason: "method"}
}

// submit hands a job to the owner, or stores it for the next one.
func (f *Front) submit(ctx context.Context, job *bamboofall.Job) answer {
	req := &jobpb.SubmitRequest{Job: cell.EncodeSpec(job)}
	return f.handIn(ctx, "s"+string(job.ID), &jobpb.Deferred{Job: req.Job}, bamboofall.JobQueued, func() (*answer, error) {
		res, err := call(ctx, f, req, f.submitHere, jobpb.JobsClient.Submit, (*jobpb.SubmitResponse).GetNotOwner)
		if err != nil {
			return nil, err
		}
		if res.GetAccepted() {
			return nil, nil
		}
		return &answer{
			status: http.StatusTooManyRequests, reason: res.GetReason(),
			retryAfter: time.Duration(res.GetRetryAfterMs()) * time.Millisecond,
		}, nil
	})
}

// cancel cancels a job at the owner, or stores that for the next one.
func (f *Front) cancel(ctx context.Context, id bamboofall.JobID) answer {
	return f.handIn(ctx, "c"+string(id), &jobpb.Deferred{Cancel: string(id)}, bamboofall.JobCancelled, func() (*answer, error) {
		res, err := call(ctx, f, &jobpb.CancelRequest{Id: string(id)}, f.cancelHere, jobpb.JobsClient.Cancel, (*jobpb.CancelResponse).GetNotOwner)
		if err != nil {
			return nil, err
		}
		if res.GetCancelled() {
			return nil, nil
		}
		return &answer{status: http.StatusGone, reason: "unknownJob"}, nil
	})
}

// handIn has a call done by the owner, or stores it in the inbox for the next
// one. The job of the call is then in the state. Owner returns an answer if the
// call is declined, and nothing if it is done.
//
// A caller may go elsewhere if it is certain that nothing was done, so it is told
// at once. With an unknown outcome it cannot, so the call, which may be repeated
// here, is tried until the time is up.
func (f *Front) handIn(ctx context.Context, key string, m *jobpb.Deferred, state bamboofall.JobState, owner func() (*answer, error)) answer {
	done := answer{status: http.StatusOK, body: platform.EncodeState(state.String())}
	unknown := answer{status: http.StatusGatewayTimeout, reason: "unknown"}
	value, err := proto.Marshal(m)
	if err != nil {
		return malformed(err)
	}
	certain := true
	for {
		declined, err := owner()
		switch {
		case err == nil && declined == nil:
			return done
		case err == nil && (certain || declined.status == http.StatusGone):
			return *declined
		case err == nil:
			return unknown // an earlier try may yet bring the job in
		}
		certain = certain && notSent(err)
		if certain && ctx.Err() != nil {
			return answer{status: http.StatusServiceUnavailable, reason: "noTime", retryAfter: takeOverTime}
		}
		_, err = f.store.Append(ctx, bamboofall.StoreAppend{
			Topic: topicInbox, Part: cellPart, Records: []bamboofall.StoreRecord{{Key: key, Value: value}}, At: -1,
		})
		if err == nil {
			f.metrics.Count("callsDeferred", nil)
			return done
		}
		var notDone *bamboofall.NotDoneError
		certain = certain && errors.As(err, &notDone)
		if certain {
			return answer{status: http.StatusServiceUnavailable, reason: "noOwner", retryAfter: takeOverTime}
		}
		sleep(ctx, ownerRetry)
		if ctx.Err() != nil {
			return unknown
		}
	}
}

func (f *Front) lookup(ctx context.Context, id bamboofall.JobID) answer {
	res, err := askUntil(ctx, func() (*jobpb.LookupResponse, error) {
		return call(ctx, f, &jobpb.LookupRequest{Id: string(id)}, f.lookupHere, jobpb.JobsClient.Lookup, (*jobpb.LookupResponse).GetNotOwner)
	})
	switch {
	case err != nil:
		return answer{status: http.StatusServiceUnavailable, reason: "noOwner", retryAfter: takeOverTime}
	case res.GetUnknownJob():
		return answer{status: http.StatusGone, reason: "unknownJob"}
	}
	return answer{status: http.StatusOK, body: platform.EncodeState(res.GetState())}
}

func (f *Front) pending(ctx context.Context, q *bamboofall.Queue) answer {
	res, err := askUntil(ctx, func() (*jobpb.PendingResponse, error) {
		return call(ctx, f, &jobpb.PendingRequest{Queue: q.Name}, f.pendingHere, jobpb.JobsClient.Pending, (*jobpb.PendingResponse).GetNotOwner)
	})
	if err != nil {
		return answer{status: http.StatusServiceUnavailable, reason: "noOwner", retryAfter: takeOverTime}
	}
	return answer{status: http.StatusOK, body: platform.EncodePending(int(res.GetJobs()))}
}

// askUntil asks until there is an answer or no time left. It is for calls that
// change nothing.
func askUntil[T any](ctx context.Context, f func() (T, error)) (T, error) {
	for {
		v, err := f()
		if err == nil || ctx.Err() != nil {
			return v, err
		}
		sleep(ctx, ownerRetry)
	}
}
