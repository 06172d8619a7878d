package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/state/ledger"
	"bamboofall.example/bamboofall/internal/wire/recordpb"
)

// pendingRun holds the pending tasks of a run in a shard. All tasks of a run are
// identical, so they are deferred together.
type pendingRun struct {
	run   *ledger.Run
	tasks []*ledger.Task
	// sortKeyMS is the submission time in milliseconds, plus a penalty for each class
	// below urgent. Placement is tried in ascending order.
	sortKeyMS int64
}

// pendingState holds what the owner knows of the pending tasks of a run in a shard.
type pendingState struct {
	// retryAt is when the next placement is tried.
	retryAt time.Time
	// deferrals counts the failed tries since the last placement.
	deferrals int
	// reason is why the last try failed. Empty if none has.
	reason string
}

// pendingKey identifies the pending tasks of a run in a shard.
type pendingKey struct {
	shard int
	run   string
}

// pendingRuns returns the runs whose placement is due, most urgent first, and the
// time at which the next one will be due.
func (s *Scheduler) pendingRuns(now time.Time, shard int) ([]*pendingRun, time.Time) {
	wake := now.Add(maxRetryDelay)
	byRun := make(map[string]*pendingRun)
	for id, t := range s.ledger.Live(shard) {
		if t.Status != ledger.TaskPending || s.hasUnconfirmedRecord(now, id) {
			continue
		}
		q := byRun[id.Run]
		if q == nil {
			q = &pendingRun{run: t.Run, sortKeyMS: t.Run.SubmittedMS + int64(t.Run.Class()-bamboofall.ClassUrgent)*ledger.AgingSpan.Milliseconds()}
			byRun[id.Run] = q
		}
		q.tasks = append(q.tasks, t)
	}
	var out []*pendingRun
	for _, q := range byRun {
		if retryAt := s.pendingStateOf(shard, q.run).retryAt; now.Before(retryAt) {
			if retryAt.Before(wake) {
				wake = retryAt
			}
			continue
		}
		out = append(out, q)
	}
	slices.SortFunc(out, func(a, b *pendingRun) int {
		return cmp.Or(cmp.Compare(a.sortKeyMS, b.sortKeyMS), strings.Compare(a.run.Name(), b.run.Name()))
	})
	return out, wake
}

// hasUnconfirmedRecord reports whether a record about a task was sent to the log and
// has not been read back.
func (s *Scheduler) hasUnconfirmedRecord(now time.Time, id bamboofall.TaskID) bool {
	st := s.tasks[id]
	return st != nil && st.sentRecord != recordNone && now.Sub(st.sentAt) < recordTimeout
}

func (s *Scheduler) pendingStateOf(shard int, r *ledger.Run) *pendingState {
	key := pendingKey{shard, r.Name()}
	state := s.pending[key]
	if state == nil {
		state = &pendingState{}
		s.pending[key] = state
	}
	return state
}

// deferRun schedules the next placement of a run. The delay doubles with each
// deferral, except for urgent runs.
func (s *Scheduler) deferRun(now time.Time, shard int, r *ledger.Run, reason string) {
	state := s.pendingStateOf(shard, r)
	if state.reason != reason {
		s.note("task", r.Name(), "shard %d: pending tasks deferred: %s", shard, reason)
		state.reason = reason
	}
	s.counters.Deferred[counterName(reason)]++
	delay := minRetryDelay << min(state.deferrals, 5)
	if r.Class() == bamboofall.ClassUrgent {
		delay = minRetryDelay / 2
	}
	state.deferrals++
	state.retryAt = now.Add(min(delay, maxRetryDelay))
}

// counterName returns the key of Counters.Deferred for a reason.
func counterName(reason string) string {
	switch reason {
	case reasonNoResources:
		return "noRoom"
	case reasonTaskQuota, reasonResourceQuota:
		return "quota"
	case reasonTooLarge:
		return "tooLarge"
	}
	return "dependency"
}

// moveIfStuck moves a task to the next shard if placement has failed often, or if no
// worker of this shard is large enough.
func (s *Scheduler) moveIfStuck(now time.Time, shard int, t *ledger.Task) {
	st := s.state(t.ID)
	if s.ledger.Shards() == 1 || s.pendingStateOf(shard, t.Run).deferrals < deferralsBeforeMove && s.shardCanHold(shard, t) {
		return
	}
	to := (shard + 1) % s.ledger.Shards()
	st.sentRecord, st.sentAt = recordMove, now
	s.counters.Moved++
	s.out.Records = append(s.out.Records, &recordpb.Record{
		Id: taskName(t.ID) + "/move",
		Body: &recordpb.Record_Move{Move: &recordpb.Move{
			Run: t.ID.Run, Index: t.ID.Index, Token: uint64(s.shards[shard].token), ToShard: uint32(to),
		}},
	})
	s.note("task", taskName(t.ID), "moved from shard %d to shard %d: no worker has enough free resources", shard, to)
}

// shardCanHold reports whether some worker of a shard is large enough for a task.
func (s *Scheduler) shardCanHold(shard int, t *ledger.Task) bool {
	size := s.requiredSize(t)
	for _, w := range s.workers {
		if w.shard == shard && !w.vm.Leaving && size.Fits(w.capacity) {
			return true
		}
	}
	return false
}

// Why returns the reason for which a pending task has not started. It is empty if no
// placement of its run has failed.
func (s *Scheduler) Why(id bamboofall.TaskID) string {
	t := s.ledger.Task(id)
	if t == nil {
		return ""
	}
	if state := s.pending[pendingKey{t.Shard, id.Run}]; state != nil {
		return state.reason
	}
	return ""
}
