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
	// operationTimeout is how long an operator waits until a record is read back.
	operationTimeout = 10 * time.Second
	watchInterval    = 5 * time.Second
	// watchPrefix is the reserved prefix of the names of watch runs.
	watchPrefix     = "watch."
	maxRunNameBytes = 120
)

// writeOperation queues an operator's record. The operation is answered when the
// record is read back, or after operationTimeout.
func (n *Node) writeOperation(now time.Time, id string, s *stream, r *recordpb.Record) {
	if !s.ready || s.committer.Failing() || s.readFailing {
		n.refuse(id, "logDown", "log unavailable; nothing was written")
		return
	}
	r.Id = id
	if !n.queueRecord(now, s, r) {
		n.refuse(id, "queueFull", "log append queue is full; nothing was written")
		return
	}
	n.operationDeadlines[id] = now.Add(operationTimeout)
}

func (n *Node) refuse(id, counter, reason string) {
	n.counters.OperationsRefused[counter]++
	n.emit(OperationResult{id, Result{Status: ResultRefused, Reason: reason}})
}

// finishOperation answers the pending operation with the given id. It does
// nothing if there is none.
func (n *Node) finishOperation(id string, r Result) {
	if _, waits := n.operationDeadlines[id]; !waits {
		return
	}
	delete(n.operationDeadlines, id)
	n.emit(OperationResult{id, r})
}

func (n *Node) expireOperations(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(n.operationDeadlines)) {
		if !now.Before(n.operationDeadlines[id]) {
			n.finishOperation(id, Result{Status: ResultUnknown, Reason: "not confirmed by the log within the timeout; retry with the same id"})
		}
	}
}

func (n *Node) publish(now time.Time, p Publish) {
	if o, known := n.catalog.Outcome(p.ID); known {
		n.emit(OperationResult{p.ID, OutcomeResult(o)})
		return
	}
	if _, waits := n.operationDeadlines[p.ID]; waits {
		return
	}
	change := n.catalog.Change(p.Puts, p.Deletes, p.Author)
	if err := n.catalog.Check(change); err != nil {
		n.refuse(p.ID, "invalid", err.Error())
		return
	}
	n.writeOperation(now, p.ID, n.configStream, &recordpb.Record{Body: &recordpb.Record_Change{Change: change}})
}

// OutcomeResult converts the outcome of a change into an operator's result.
func OutcomeResult(o catalog.Outcome) Result {
	if o.VoidReason != "" {
		return Result{Status: ResultVoid, Reason: o.VoidReason}
	}
	return Result{Status: ResultInForce, Revision: o.Revision}
}

func (n *Node) submit(now time.Time, s Submit) {
	j := n.catalog.Set().Jobs[s.Job]
	if j == nil {
		n.refuse(s.ID, "unknownJob", fmt.Sprintf("job %q does not exist", s.Job))
		return
	}
	if s.Run == "" || len(s.Run) > maxRunNameBytes || strings.HasPrefix(s.Run, watchPrefix) {
		n.refuse(s.ID, "badRun", fmt.Sprintf("run name %q is empty, too long or reserved", s.Run))
		return
	}
	if j.DataCentre != "" && j.DataCentre != n.settings.DataCentre {
		n.counters.OperationsRefused["elsewhere"]++
		n.emit(OperationResult{s.ID, Result{
			Status: ResultRefused, Reason: fmt.Sprintf("job %q runs in data centre %s", s.Job, j.DataCentre),
			AlternateVMs: n.aliveVMs(now, j.DataCentre),
		}})
		return
	}
	if reason := n.quotaReason(j); reason != "" {
		n.refuse(s.ID, "quota", reason)
		return
	}
	n.writeOperation(now, s.ID, n.ledgerStream, &recordpb.Record{Body: &recordpb.Record_Submit{Submit: n.submission(j, s.Run)}})
}

// quotaReason returns why a job can never run within its trade's quota. It is
// empty if the job fits.
func (n *Node) quotaReason(j *object.Job) string {
	t := n.catalog.Set().Trades[j.Trade]
	if t == nil || object.WithinQuota(j.Size, t.Quota) {
		return ""
	}
	return fmt.Sprintf("one task is larger than the quota of trade %q", t.Name)
}

func (n *Node) aliveVMs(now time.Time, dc bamboofall.DataCentre) []bamboofall.VMID {
	var out []bamboofall.VMID
	for _, m := range n.members.InDataCentre(now, dc) {
		if n.members.Status(now, m.VM) == member.StatusAlive {
			out = append(out, m.VM)
		}
	}
	return out
}

func (n *Node) submission(j *object.Job, run string) *recordpb.Submit {
	s := &recordpb.Submit{
		Run: run, Job: j.Name, Trade: j.Trade, Class: uint32(j.Class), Tasks: uint32(j.Tasks),
		Size: ledger.ResourcesToProto(j.Size), RunTimeMs: j.RunTime.Milliseconds(), MaxFailures: uint32(j.MaxFailures),
		AfterRun: n.latestRun(j.After, false),
	}
	s.ContentHash = contentHash(s)
	return s
}

// contentHash distinguishes submissions that reuse a run name with different
// content. AfterRun is resolved at submission and therefore not hashed.
func contentHash(s *recordpb.Submit) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s|%s|%d|%d|%v|%d|%d", s.Job, s.Trade, s.Class, s.Tasks,
		[]int64{s.Size.MilliProcessors, s.Size.MemoryBytes, s.Size.Accelerators}, s.RunTimeMs, s.MaxFailures))
}

// latestRun returns the name of the newest run of a job, or an empty string.
// Cancelled runs are skipped unless includeCancelled is set.
func (n *Node) latestRun(job string, includeCancelled bool) string {
	if job == "" {
		return ""
	}
	runs := n.ledger.Runs()
	for i := len(runs) - 1; i >= 0; i-- {
		if runs[i].Submit.GetJob() == job && (includeCancelled || !runs[i].Cancelled) {
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
	n.writeOperation(now, c.ID, n.ledgerStream, &recordpb.Record{Body: &recordpb.Record_Cancel{Cancel: &recordpb.Cancel{Run: c.Run}}})
}

// updateWatches keeps one standing run for each watch of this data centre. It acts
// for the watches whose shard is active in this process. A changed watch gets a
// new run, which starts after the old one has ended.
func (n *Node) updateWatches(now time.Time) {
	if now.Before(n.nextWatchCheck) || !n.ledgerStream.ready || !n.ledgerStream.atEnd || !n.configStream.ready || !n.fenceOpen(now) {
		return
	}
	n.nextWatchCheck = now.Add(watchInterval)
	current := make(map[string]bool)
	for _, name := range slices.Sorted(maps.Keys(n.catalog.Set().Watches)) {
		w := n.catalog.Set().Watches[name]
		if w.DataCentre != n.settings.DataCentre {
			continue
		}
		run := fmt.Sprintf("%s%s.%d", watchPrefix, name, n.catalog.Version(object.Key{Kind: object.KindWatch, Name: name}))
		current[run] = true
		if n.ownsWatch(name) && n.ledger.Run(run) == nil {
			n.queueRecord(now, n.ledgerStream, &recordpb.Record{Body: &recordpb.Record_Submit{Submit: n.watchSubmission(w, run)}})
		}
	}
	n.cancelOldWatches(now, current)
}

// ownsWatch reports whether this process acts for the watch's shard.
func (n *Node) ownsWatch(name string) bool {
	return n.shards[ledger.ShardOf(watchPrefix+name, len(n.shards))].active
}

func (n *Node) watchSubmission(w *object.Watch, run string) *recordpb.Submit {
	s := &recordpb.Submit{
		Run: run, Job: watchPrefix + w.Name, Trade: w.Trade, Class: uint32(bamboofall.ClassUrgent), Tasks: 1,
		Size: ledger.ResourcesToProto(w.Size), Standing: true, AfterRun: n.latestRun(watchPrefix+w.Name, true),
	}
	s.ContentHash = contentHash(s)
	return s
}

func (n *Node) cancelOldWatches(now time.Time, current map[string]bool) {
	for _, r := range n.ledger.Runs() {
		if !r.Submit.GetStanding() || r.Cancelled || r.Done() || current[r.Name()] {
			continue
		}
		if n.ownsWatch(strings.TrimPrefix(r.Submit.GetJob(), watchPrefix)) {
			n.queueRecord(now, n.ledgerStream, &recordpb.Record{Body: &recordpb.Record_Cancel{Cancel: &recordpb.Cancel{Run: r.Name()}}})
		}
	}
}
