package node

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/config/object"
	"bamboofall.example/bamboofall/internal/state/catalog"
	"bamboofall.example/bamboofall/internal/state/ledger"
	"bamboofall.example/bamboofall/internal/state/member"
	"bamboofall.example/bamboofall/internal/wire/recordpb"
)

const (
	// questionSpan is how long an operator waits for the log.
	questionSpan = 10 * time.Second
	watchEvery   = 5 * time.Second
	// watchPrefix begins the names of the runs of standing watches.
	watchPrefix = "watch."
	maxRunName  = 120
)

// ask writes a record and remembers who waits for its effect.
func (n *Node) ask(now time.Time, id string, s *stream, r *recordpb.Record) {
	if !s.ready || s.committer.Failing() || s.failing {
		n.refuse(id, "logDown", "the log does not answer; nothing was written")
		return
	}
	r.Id = id
	if !n.write(now, s, r) {
		n.refuse(id, "queueFull", "too many records wait for the log; nothing was written")
		return
	}
	n.questions[id] = now.Add(questionSpan)
}

func (n *Node) refuse(id, counter, reason string) {
	n.counters.QuestionsRefused[counter]++
	n.emit(Answer{id, Result{Status: ResultRefused, Reason: reason}})
}

// answer answers the question with an id, if it waits.
func (n *Node) answer(id string, r Result) {
	if _, waits := n.questions[id]; !waits {
		return
	}
	delete(n.questions, id)
	n.emit(Answer{id, r})
}

func (n *Node) expireQuestions(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(n.questions)) {
		if !now.Before(n.questions[id]) {
			n.answer(id, Result{Status: ResultUnknown, Reason: "the log has not answered; ask again with this id"})
		}
	}
}

func (n *Node) publish(now time.Time, p Publish) {
	if o, known := n.catalog.Outcome(p.ID); known {
		n.emit(Answer{p.ID, OutcomeResult(o)})
		return
	}
	if _, waits := n.questions[p.ID]; waits {
		return
	}
	change := n.catalog.Change(p.Puts, p.Deletes, p.Author)
	if err := n.catalog.Check(change); err != nil {
		n.refuse(p.ID, "invalid", err.Error())
		return
	}
	n.ask(now, p.ID, n.config, &recordpb.Record{Body: &recordpb.Record_Change{Change: change}})
}

// OutcomeResult returns an operator's result for what became of a change.
func OutcomeResult(o catalog.Outcome) Result {
	if o.Void != "" {
		return Result{Status: ResultVoid, Reason: o.Void}
	}
	return Result{Status: ResultInForce, Revision: o.Revision}
}

func (n *Node) submit(now time.Time, s Submit) {
	j := n.catalog.Set().Jobs[s.Job]
	if j == nil {
		n.refuse(s.ID, "unknownJob", fmt.Sprintf("job %q does not exist", s.Job))
		return
	}
	if s.Run == "" || len(s.Run) > maxRunName || strings.HasPrefix(s.Run, watchPrefix) {
		n.refuse(s.ID, "badRun", fmt.Sprintf("run name %q is empty, too long or reserved", s.Run))
		return
	}
	if j.DataCentre != "" && j.DataCentre != n.set.DataCentre {
		n.counters.QuestionsRefused["elsewhere"]++
		n.emit(Answer{s.ID, Result{
			Status: ResultRefused, Reason: fmt.Sprintf("job %q runs in data centre %s", s.Job, j.DataCentre),
			Elsewhere: n.aliveIn(now, j.DataCentre),
		}})
		return
	}
	if reason := n.quotaReason(j); reason != "" {
		n.refuse(s.ID, "quota", reason)
		return
	}
	n.ask(now, s.ID, n.shardLog, &recordpb.Record{Body: &recordpb.Record_Submit{Submit: n.submission(j, s.Run)}})
}

// quotaReason returns why a job can never run within its trade's quota.
func (n *Node) quotaReason(j *object.Job) string {
	t := n.catalog.Set().Trades[j.Trade]
	if t == nil || object.InQuota(j.Size, t.Quota) {
		return ""
	}
	return fmt.Sprintf("one task is larger than the quota of trade %q", t.Name)
}

func (n *Node) aliveIn(now time.Time, dc bamboofall.DataCentre) []bamboofall.VMID {
	var out []bamboofall.VMID
	for _, m := range n.members.In(now, dc) {
		if n.members.Status(now, m.VM) == member.StatusAlive {
			out = append(out, m.VM)
		}
	}
	return out
}

func (n *Node) submission(j *object.Job, run string) *recordpb.Submit {
	s := &recordpb.Submit{
		Run: run, Job: j.Name, Trade: j.Trade, Class: uint32(j.Class), Tasks: uint32(j.Tasks),
		Size: ledger.ToResources(j.Size), RunTimeMs: j.RunTime.Milliseconds(), MaxFailures: uint32(j.MaxFailures),
		AfterRun: n.latestRun(j.After, false),
	}
	s.ContentHash = contentHash(s)
	return s
}

// contentHash tells apart submissions of the same run with other content. What
// a run waits for is found at submission and is not part of the content.
func contentHash(s *recordpb.Submit) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s|%s|%d|%d|%v|%d|%d", s.Job, s.Trade, s.Class, s.Tasks,
		[]int64{s.Size.MilliProcessors, s.Size.MemoryBytes, s.Size.Accelerators}, s.RunTimeMs, s.MaxFailures))
}

// latestRun returns the name of the newest run of a job, or nothing. Cancelled
// runs count only if asked for.
func (n *Node) latestRun(job string, cancelled bool) string {
	if job == "" {
		return ""
	}
	runs := n.ledger.Runs()
	for i := len(runs) - 1; i >= 0; i-- {
		if runs[i].Submit.GetJob() == job && (cancelled || !runs[i].Cancelled) {
			return runs[i].Name()
		}
	}
	return ""
}

func (n *Node) cancel(now time.Time, c Cancel) {
	if n.ledger.Run(c.Run) == nil {
		n.refuse(c.ID, "unknownRun", fmt.Sprintf("run %q does not exist", c.Run))
		return
	}
	n.ask(now, c.ID, n.shardLog, &recordpb.Record{Body: &recordpb.Record_Cancel{Cancel: &recordpb.Cancel{Run: c.Run}}})
}

// watches keeps one standing run for each watch of this data centre. The owner
// of the watch's shard does it. A changed watch gets a new run, which waits for
// the end of the old one.
func (n *Node) watches(now time.Time) {
	if now.Before(n.nextWatch) || !n.shardLog.ready || !n.shardLog.atEnd || !n.config.ready || !n.fenceOpen(now) {
		return
	}
	n.nextWatch = now.Add(watchEvery)
	wanted := make(map[string]bool)
	for _, name := range slices.Sorted(maps.Keys(n.catalog.Set().Watches)) {
		w := n.catalog.Set().Watches[name]
		if w.DataCentre != n.set.DataCentre {
			continue
		}
		run := fmt.Sprintf("%s%s.%d", watchPrefix, name, n.catalog.Version(object.Key{Kind: object.KindWatch, Name: name}))
		wanted[run] = true
		if n.keepsWatch(name) && n.ledger.Run(run) == nil {
			n.write(now, n.shardLog, &recordpb.Record{Body: &recordpb.Record_Submit{Submit: n.watchRun(w, run)}})
		}
	}
	n.cancelOldWatches(now, wanted)
}

// keepsWatch reports whether this process looks after a watch.
func (n *Node) keepsWatch(name string) bool {
	return n.shards[ledger.ShardOf(watchPrefix+name, len(n.shards))].active
}

func (n *Node) watchRun(w *object.Watch, run string) *recordpb.Submit {
	s := &recordpb.Submit{
		Run: run, Job: watchPrefix + w.Name, Trade: w.Trade, Class: uint32(bamboofall.ClassUrgent), Tasks: 1,
		Size: ledger.ToResources(w.Size), Standing: true, AfterRun: n.latestRun(watchPrefix+w.Name, true),
	}
	s.ContentHash = contentHash(s)
	return s
}

func (n *Node) cancelOldWatches(now time.Time, wanted map[string]bool) {
	for _, r := range n.ledger.Runs() {
		if !r.Submit.GetStanding() || r.Cancelled || r.Done() || wanted[r.Name()] {
			continue
		}
		if n.keepsWatch(strings.TrimPrefix(r.Submit.GetJob(), watchPrefix)) {
			n.write(now, n.shardLog, &recordpb.Record{Body: &recordpb.Record_Cancel{Cancel: &recordpb.Cancel{Run: r.Name()}}})
		}
	}
}
