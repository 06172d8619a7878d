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

// queue holds the pending tasks of a run in a shard. They are alike, so they
// wait and are put off together.
type queue struct {
	run   *ledger.Run
	tasks []*ledger.Task
	// rank is the submission time plus the aging of the class, in milliseconds.
	rank int64
}

// waiting is what the owner keeps about the pending tasks of a run in a shard.
type waiting struct {
	// deferTill is when the run is looked at again.
	deferTill time.Time
	deferred  int
	why       string
}

// waitKey names the pending tasks of a run in a shard.
type waitKey struct {
	shard int
	run   string
}

// queues returns the runs with tasks that are due, most pressing first, and
// when the next one will be.
func (s *Scheduler) queues(now time.Time, shard int) ([]*queue, time.Time) {
	wake := now.Add(maxDefer)
	byRun := make(map[string]*queue)
	for id, t := range s.ledger.Live(shard) {
		if t.Status != ledger.TaskPending || s.isWriting(now, id) {
			continue
		}
		q := byRun[id.Run]
		if q == nil {
			q = &queue{run: t.Run, rank: t.Run.SubmittedMS + int64(t.Run.Class()-bamboofall.ClassUrgent)*ledger.AgingSpan.Milliseconds()}
			byRun[id.Run] = q
		}
		q.tasks = append(q.tasks, t)
	}
	var out []*queue
	for _, q := range byRun {
		if till := s.waitingOf(shard, q.run).deferTill; now.Before(till) {
			if till.Before(wake) {
				wake = till
			}
			continue
		}
		out = append(out, q)
	}
	slices.SortFunc(out, func(a, b *queue) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), strings.Compare(a.run.Name(), b.run.Name()))
	})
	return out, wake
}

// isWriting reports whether a record about a task is on its way to the log.
func (s *Scheduler) isWriting(now time.Time, id bamboofall.TaskID) bool {
	st := s.tasks[id]
	return st != nil && st.writing != writingNothing && now.Sub(st.wroteAt) < rewriteAfter
}

func (s *Scheduler) waitingOf(shard int, r *ledger.Run) *waiting {
	key := waitKey{shard, r.Name()}
	w := s.waiting[key]
	if w == nil {
		w = &waiting{}
		s.waiting[key] = w
	}
	return w
}

// putOff looks at a run again after a delay that grows.
func (s *Scheduler) putOff(now time.Time, shard int, r *ledger.Run, why string) {
	w := s.waitingOf(shard, r)
	if w.why != why {
		s.note("task", r.Name(), "shard %d: pending tasks wait: %s", shard, why)
		w.why = why
	}
	s.counters.Deferred[reasonKey(why)]++
	delay := firstDefer << min(w.deferred, 5)
	if r.Class() == bamboofall.ClassUrgent {
		delay = firstDefer / 2
	}
	w.deferred++
	w.deferTill = now.Add(min(delay, maxDefer))
}

// reasonKey maps a reason to the name of its counter.
func reasonKey(why string) string {
	switch why {
	case whyNoRoom:
		return "noRoom"
	case whyQuotaTasks, whyQuotaRoom:
		return "quota"
	case whyTooLarge:
		return "tooLarge"
	}
	return "dependency"
}

// maybeMove gives a task that finds no room to the next shard.
func (s *Scheduler) maybeMove(now time.Time, shard int, t *ledger.Task) {
	st := s.state(t.ID)
	if s.ledger.Shards() == 1 || s.waitingOf(shard, t.Run).deferred < moveAfter && s.shardTakes(shard, t) {
		return
	}
	to := (shard + 1) % s.ledger.Shards()
	st.writing, st.wroteAt = writingMove, now
	s.counters.Moved++
	s.out.Records = append(s.out.Records, &recordpb.Record{
		Id: taskName(t.ID) + "/move",
		Body: &recordpb.Record_Move{Move: &recordpb.Move{
			Run: t.ID.Run, Index: t.ID.Index, Token: uint64(s.shards[shard].token), ToShard: uint32(to),
		}},
	})
	s.note("task", taskName(t.ID), "moves from shard %d to shard %d: no room", shard, to)
}

// shardTakes reports whether a worker of a shard could ever take a task.
func (s *Scheduler) shardTakes(shard int, t *ledger.Task) bool {
	size := s.sizeOf(t)
	for _, w := range s.workers {
		if w.shard == shard && !w.vm.Leaving && size.Fits(w.room) {
			return true
		}
	}
	return false
}

// Why returns why a pending task has not started, or nothing.
func (s *Scheduler) Why(id bamboofall.TaskID) string {
	t := s.ledger.Task(id)
	if t == nil {
		return ""
	}
	if w := s.waiting[waitKey{t.Shard, id.Run}]; w != nil {
		return w.why
	}
	return ""
}
