package front

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/request/holding"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
)

// errNotStored reports that a submission had no effect, as the owner has taken it back.
var errNotStored = errors.New("the owner has taken the submission back, as the store refuses it")

// waiter is a request that is answered once a flush of the cell is stored.
type waiter struct {
	flush uint64
	done  func()
	// submission is set for a request whose job can be taken back. withheld is called then.
	submission holding.Submission
	withheld   func()
}

// whenStored calls done once a flush is stored, or at once if it is.
func (o *owner) whenStored(flush uint64, done func()) {
	o.wait(waiter{flush: flush, done: done})
}

func (o *owner) wait(w waiter) {
	if o.cell.IsStored(w.flush) {
		w.done()
		return
	}
	o.waiters = append(o.waiters, w)
}

// held returns the number of submissions that wait for the store.
func (o *owner) held() (n int) {
	for _, w := range o.waiters {
		if w.submission.Job != "" {
			n++
		}
	}
	return n
}

// submissionOf returns the submission of a job by a call with the given context.
func submissionOf(ctx context.Context, at time.Time, id bamboofall.JobID) holding.Submission {
	s := holding.Submission{Job: id, GaveUp: func() bool { return ctx.Err() != nil }}
	if deadline, limited := ctx.Deadline(); limited {
		s.Until = holding.Until(at, deadline)
	}
	return s
}

// takeBackDue takes back the submissions that are due and answers their callers.
func (o *owner) takeBackDue(at time.Time) {
	if at.Sub(o.dueCheckedAt) < stepInterval {
		return
	}
	o.dueCheckedAt = at
	var held []holding.Submission
	due := false
	for _, w := range o.waiters {
		due = due || w.submission.Due(at)
	}
	if !due {
		return
	}
	for _, w := range o.waiters {
		held = append(held, w.submission)
	}
	o.takeBack(at, holding.Jobs(at, held))
}

// takeBack takes back jobs as far as they are certainly not stored and answers their callers.
func (o *owner) takeBack(at time.Time, jobs []bamboofall.JobID) {
	withdrawn := make(map[bamboofall.JobID]bool, len(jobs))
	for _, id := range jobs {
		if o.cell.Withdraw(at, id, func(keys ...string) bool { return o.outbox != nil && o.outbox.TakeBack(keys...) }) {
			withdrawn[id] = true
		}
	}
	if len(withdrawn) == 0 {
		return
	}
	kept := o.waiters[:0]
	for _, w := range o.waiters {
		if withdrawn[w.submission.Job] {
			w.withheld()
			continue
		}
		kept = append(kept, w)
	}
	clear(o.waiters[len(kept):])
	o.waiters = kept
}

// endLoop takes back all held submissions that are certainly not stored: this owner makes no
// further appends.
func (o *owner) endLoop() {
	var jobs []bamboofall.JobID
	for _, w := range o.waiters {
		if w.submission.Job != "" {
			jobs = append(jobs, w.submission.Job)
		}
	}
	held := len(o.waiters)
	o.takeBack(now(), jobs)
	if held > 0 {
		o.front.log.Event("requests held at the end", logrus.Fields{"epoch": o.record.Epoch, "held": held, "unknown": len(o.waiters)})
	}
	close(o.loopEnded)
}

// runInLoop runs f in the owner's loop and returns the value that f passes to reply.
func runInLoop[T any](ctx context.Context, o *owner, f func(at time.Time, reply func(T))) (T, error) {
	var none T
	if !o.ready.Load() || o.isReleasing() {
		return none, errNotOwner
	}
	done := make(chan T, 1)
	var begun atomic.Bool
	run := func(at time.Time) {
		begun.Store(true)
		f(at, func(v T) { done <- v })
	}
	if !o.queueOf(loopRequests).TryPush(o.measured(loopRequests, run)) {
		return none, errNotOwner
	}
	select {
	case v := <-done:
		return v, nil
	case <-ctx.Done():
		return none, &bamboofall.UnknownOutcomeError{Call: "owner", Err: ctx.Err()}
	case <-o.loopEnded:
	}
	select {
	case v := <-done:
		return v, nil
	default:
	}
	if !begun.Load() {
		return none, errNotOwner
	}
	return none, &bamboofall.UnknownOutcomeError{Call: "owner", Err: errDeposed}
}

// recordStoreCall records the outcome of a call of this VM to the store.
func (f *Front) recordStoreCall(at time.Time, err error) {
	var notDone *bamboofall.NotDoneError
	var trimmed *bamboofall.TrimmedError
	switch {
	case err == nil || errors.As(err, &trimmed):
		f.storeLink.Answered(at)
	case errors.As(err, &notDone) && notDone.Err == nil:
		f.storeLink.Refused(at)
	default:
		f.storeLink.Unanswered(at)
	}
}

// mayDefer reports whether a request that has had no effect may be sent to the inbox. If the
// owner could not store it, the store must have answered this VM since.
func (f *Front) mayDefer(at time.Time, refusedByOwner bool) bool {
	maxAge := time.Duration(0)
	if refusedByOwner {
		maxAge = holding.MaxAnswerAge
	}
	return f.storeLink.MaySend(at, maxAge)
}

// timeLeft returns the time until the deadline of ctx.
func timeLeft(ctx context.Context, at time.Time) time.Duration {
	deadline, limited := ctx.Deadline()
	if !limited {
		return defaultRequestTimeout
	}
	return deadline.Sub(at)
}

// notRun returns the response to a request that certainly had no effect.
func (f *Front) notRun(deferred *jobpb.Deferred, reason string) response {
	res := f.unavailable(reason)
	if job := deferred.GetJob(); job != nil && res.reason == holding.ReasonStoreRefuses {
		res.retryAfter = holding.RetryAfter(bamboofall.JobID(job.GetId()))
	}
	return res
}
