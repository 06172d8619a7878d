// Package holding decides how long submissions are held while the store refuses, and what
// becomes of them.
//
// It answers outages of the store of one to ten seconds under full load: some fifty callers a
// second submit jobs, each has three seconds for all of its attempts, and the store refuses
// appends, resets connections or does not answer. A caller that is refused at once has used up
// its retries before the store is back. One that is held is served if the store is back in its
// time. At the end of that time a job that certainly is not stored is taken back: it would run
// for nobody, at the moment at which the cell has most to catch up on, and "not run" is an
// answer with which the caller can act.
//
// The package has no input or output. An Outbox tells which records may be taken back, Jobs which
// submissions are due, and a Link whether a request may be sent whose outcome must be known.
package holding

import (
	"hash/fnv"
	"time"

	"bamboofall.example/bamboofall"
)

// ReasonStoreRefuses is the reason for the refusal of a submission that was taken back.
const ReasonStoreRefuses = "storeRefuses"

const (
	// answerMargin is the part of a caller's time in which a submission is taken back and the
	// answer is returned: an attempt that is under way ends first, and a weak owner gets its
	// processor 100 ms late. It is at most 1/answerMarginDivisor of the time.
	answerMargin        = 200 * time.Millisecond
	answerMarginDivisor = 3
	// minRetryAfter and retrySpread bound the time after which a caller is to try again. Held
	// callers are refused in the order in which they came, those that came together must not
	// come back together.
	minRetryAfter = 100 * time.Millisecond
	retrySpread   = 400 * time.Millisecond
)

const (
	// MinTime is the least time that a caller must have left for another attempt at the owner.
	MinTime = 100 * time.Millisecond
	// UnreachableFor is how long a request is held at a VM that reaches neither the owner nor
	// the store. A caller with four retries then tries other VMs in the rest of three seconds.
	UnreachableFor = 500 * time.Millisecond
	// MaxAnswerAge is the age of the last answer of the store up to which a request may be sent
	// to it that the owner could not store. Each VM reads from the store twice a second.
	MaxAnswerAge = 650 * time.Millisecond
)

// Until returns when a request that arrives now and must be answered by a deadline is due.
func Until(now, deadline time.Time) time.Time {
	left := deadline.Sub(now)
	return deadline.Add(-min(answerMargin, left/answerMarginDivisor))
}

// RetryAfter returns when the caller of a job that was taken back is to try again.
func RetryAfter(id bamboofall.JobID) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return minRetryAfter + time.Duration(h.Sum32()%uint32(retrySpread/time.Millisecond))*time.Millisecond
}

// Submission is a request that waits for its job to be stored.
type Submission struct {
	Job bamboofall.JobID
	// Until is when it is due, or zero if it is held until the job is stored.
	Until time.Time
	// GaveUp reports whether the caller has left. It may be nil.
	GaveUp func() bool
}

// Due reports whether the job of a submission should be taken back.
func (s Submission) Due(now time.Time) bool {
	return s.Job != "" && !s.Until.IsZero() && (!now.Before(s.Until) || s.GaveUp != nil && s.GaveUp())
}

// Jobs returns the jobs to take back. A job that several callers have submitted is taken back
// once all of them are due.
func Jobs(now time.Time, held []Submission) []bamboofall.JobID {
	var due []bamboofall.JobID
	waiting := make(map[bamboofall.JobID]int)
	for _, s := range held {
		if s.Job == "" {
			continue
		}
		if s.Due(now) {
			if waiting[s.Job] == 0 {
				due = append(due, s.Job)
				waiting[s.Job] = 1
			}
			continue
		}
		waiting[s.Job] = 2
	}
	out := due[:0]
	for _, id := range due {
		if waiting[id] == 1 {
			out = append(out, id)
		}
	}
	return out
}
