package node

import (
	"fmt"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/batch/scheduler"
	"bamboofall.example/bamboofall/internal/config/settings"
	"bamboofall.example/bamboofall/internal/state/catalog"
	"bamboofall.example/bamboofall/internal/state/commit"
	"bamboofall.example/bamboofall/internal/state/fence"
	"bamboofall.example/bamboofall/internal/state/ledger"
	"bamboofall.example/bamboofall/internal/state/member"
	"bamboofall.example/bamboofall/internal/wire/recordpb"
)

// viewInterval is the time between routing views (SetView) for the request side.
const viewInterval = 100 * time.Millisecond

// Config holds the parameters of a Node.
type Config struct {
	Settings *settings.Settings
	// Incarnation identifies this process among all processes of the VM.
	Incarnation string
	// Seed is the seed of the random source.
	Seed uint64
}

// Node is the control plane's state machine. Create it with New. It is not safe
// for concurrent use.
type Node struct {
	cfg      Config
	settings *settings.Settings
	members  *member.Members
	fence    *fence.Fence
	catalog  *catalog.Catalog
	ledger   *ledger.Ledger
	sched    *scheduler.Scheduler
	// configStream carries the changes of the catalog, ledgerStream the records of
	// the data centre's ledger.
	configStream *stream
	ledgerStream *stream
	// shards holds this process's view of each shard, by shard number.
	shards []shardState
	// fleet is the platform's last list of VMs. fleetListed is set once there is one.
	fleet       bamboofall.Fleet
	fleetListed bool
	// requestStats is the last report of the request side.
	requestStats RequestStats
	leaving      bool
	// sequence is the number of the last record id.
	sequence            uint64
	nextHeartbeat       time.Time
	nextRemoteHeartbeat time.Time
	// remoteRounds counts the rounds of heartbeats to other data centres.
	remoteRounds   int
	nextView       time.Time
	nextClaim      time.Time
	nextWatchCheck time.Time
	// operationDeadlines holds when an operator's pending operation is answered as
	// unknown, by operation id.
	operationDeadlines map[string]time.Time
	// cachedPeers holds the result of localPeers at cachedPeersAt.
	cachedPeers   []bamboofall.VMID
	cachedPeersAt time.Time
	counters      Counters
	// actions collects the actions of the current Step.
	actions []Action
}

// Counters holds totals since the node was created.
type Counters struct {
	Claims, Handovers, Activations int64
	AppendFailures, ReadFailures   int64
	// VoidRecords counts records without effect, by reason.
	VoidRecords             map[string]int64
	Gaps, SnapshotsRestored int64
	CheckpointsWritten      int64
	FenceClosings           int64
	// OperationsRefused counts operations that were refused before anything was
	// written, by reason.
	OperationsRefused map[string]int64
}

// New returns a node without state. It loads its state from the log.
func New(cfg Config) *Node {
	set := cfg.Settings
	writer := string(set.VM) + "/" + cfg.Incarnation
	shardLedger := ledger.New(set.Shards)
	return &Node{
		cfg:      cfg,
		settings: set,
		members:  member.New(set.VM, set.Timing.Suspect),
		fence:    fence.New(set.Timing.Fence),
		catalog:  catalog.New(),
		ledger:   shardLedger,
		sched: scheduler.New(scheduler.Config{
			VM: set.VM, Lease: set.Timing.Lease, Sync: set.Timing.Sync, TailWeight: set.Batch.TailWeight,
		}, shardLedger),
		configStream:       newStream(catalog.Stream, commit.New(writer, set.Timing.Commit)),
		ledgerStream:       newStream(ledger.Stream(set.DataCentre), commit.New(writer, set.Timing.Commit)),
		shards:             make([]shardState, set.Shards),
		operationDeadlines: make(map[string]time.Time),
		counters: Counters{
			VoidRecords: make(map[string]int64), OperationsRefused: make(map[string]int64),
		},
	}
}

// Step applies an event and returns the actions to perform, in order.
func (n *Node) Step(now time.Time, e Event) []Action {
	n.actions = nil
	switch e := e.(type) {
	case Tick:
	case FleetListed:
		n.handleFleet(now, e.Fleet)
	case LogRead:
		n.handleRead(now, e)
	case LogAppended:
		n.handleAppended(now, e)
	case HeartbeatDone:
		n.handleHeartbeatDone(now, e)
	case SnapshotFetched:
		n.handleSnapshot(now, e)
	case WorkerSynced:
		n.applySchedulerOutput(now, n.sched.Report(now, e.Worker, e.Token, e.Report, e.Err))
	case RequestStats:
		n.handleRequestStats(now, e)
	case Publish:
		n.publish(now, e)
	case Submit:
		n.submit(now, e)
	case Cancel:
		n.cancel(now, e)
	case Shutdown:
		n.leaving = true
		// Peers must learn of it before they hand over further shards to this VM.
		n.nextHeartbeat, n.nextRemoteHeartbeat = now, now
		n.recordDecision("vm", string(n.settings.VM), "is shutting down and hands over its shards")
	}
	n.runDue(now)
	return n.actions
}

// runDue performs the periodic work that is due at this time.
func (n *Node) runDue(now time.Time) {
	n.sendHeartbeats(now)
	n.updateShards(now)
	if n.fenceOpen(now) {
		n.applySchedulerOutput(now, n.sched.Step(now))
	}
	n.updateWatches(now)
	n.expireOperations(now)
	appendRate := n.settings.LogAppends / float64(1+n.members.Count())
	for _, s := range n.streams() {
		s.committer.SetRate(now, appendRate)
		n.writeCheckpoint(now, s)
		n.requestRead(now, s)
		n.append(now, s)
	}
	if !now.Before(n.nextView) {
		n.nextView = now.Add(viewInterval)
		n.emit(SetView{n.view(now)})
	}
}

func (n *Node) streams() [2]*stream { return [2]*stream{n.configStream, n.ledgerStream} }

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

func (n *Node) recordDecision(kind, name, format string, args ...any) {
	n.emit(Decision{kind, name, fmt.Sprintf(format, args...)})
}

// newID returns a record id that is unique across processes.
func (n *Node) newID() string {
	n.sequence++
	return fmt.Sprintf("%s/%s/%d", n.settings.VM, n.cfg.Incarnation, n.sequence)
}

// queueRecord queues a record to be appended to a stream. It reports false if the
// queue is full.
func (n *Node) queueRecord(now time.Time, s *stream, r *recordpb.Record) bool {
	if r.Id == "" {
		r.Id = n.newID()
	}
	r.WrittenUnixMs = now.UnixMilli()
	if err := s.committer.Add(now, r); err != nil {
		n.counters.VoidRecords["queueFull"]++
		return false
	}
	return true
}

// applySchedulerOutput queues the scheduler's records and emits its worker syncs
// and decisions. Syncs are dropped while the fence is closed.
func (n *Node) applySchedulerOutput(now time.Time, out scheduler.Output) {
	for _, r := range out.Records {
		r.Id = ""
		n.queueRecord(now, n.ledgerStream, r)
	}
	if !n.fenceOpen(now) {
		out.Syncs = nil
	}
	for _, sync := range out.Syncs {
		n.emit(SyncWorker{sync.Worker, sync.Request})
	}
	for _, note := range out.Notes {
		n.emit(Decision{note.Kind, note.Name, note.Message})
	}
}

func (n *Node) handleFleet(now time.Time, fleet bamboofall.Fleet) {
	n.fleet = fleet
	n.fleetListed = true
	n.members.UpdateList(now, fleet)
	var local []bamboofall.VM
	for _, vm := range fleet.VMs {
		if vm.DataCentre == n.settings.DataCentre {
			local = append(local, vm)
		}
	}
	n.sched.SetFleet(now, local)
	n.nextView = now
}

func (n *Node) handleRequestStats(now time.Time, r RequestStats) {
	n.requestStats = r
	if !n.fenceOpen(now) || len(r.Observed) == 0 {
		return
	}
	observations := make([]scheduler.Observation, len(r.Observed))
	for i, o := range r.Observed {
		observations[i] = scheduler.Observation{
			Service: o.Service, VM: o.VM, Mean: o.Mean, Baseline: o.Baseline, Target: o.Target, Count: o.Count,
		}
	}
	n.applySchedulerOutput(now, n.sched.Observe(now, observations))
}
