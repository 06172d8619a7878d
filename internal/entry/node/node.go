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

// viewEvery is the time between views for the request side.
const viewEvery = 100 * time.Millisecond

// Config is what a node knows from the start.
type Config struct {
	Settings *settings.Settings
	// Incarnation is unique to this process.
	Incarnation string
	// Seed is the seed of the random source.
	Seed uint64
}

// Node is the state machine. Use New. It is not safe for concurrent use.
type Node struct {
	cfg       Config
	set       *settings.Settings
	members   *member.Members
	fence     *fence.Fence
	catalog   *catalog.Catalog
	ledger    *ledger.Ledger
	sched     *scheduler.Scheduler
	config    *stream
	shardLog  *stream
	shards    []shardUse
	fleet     bamboofall.Fleet
	listed    bool
	requests  Requests
	leaving   bool
	sequence  uint64
	nextBeat  time.Time
	nextFar   time.Time
	farTurn   int
	nextView  time.Time
	nextClaim time.Time
	nextWatch time.Time
	// questions holds when operators stop waiting for the log, by id.
	questions map[string]time.Time
	// peers holds the other VMs of the data centre as of peersAt.
	peers    []bamboofall.VMID
	peersAt  time.Time
	counters Counters
	out      []Action
}

// Counters counts what a node did since its start.
type Counters struct {
	Claims, Handovers, Activations int64
	AppendFailures, ReadFailures   int64
	VoidRecords                    map[string]int64
	Gaps, SnapshotsTaken           int64
	CheckpointsWritten             int64
	FenceClosings                  int64
	QuestionsRefused               map[string]int64
}

// New returns a node that knows nothing yet.
func New(cfg Config) *Node {
	set := cfg.Settings
	writer := string(set.VM) + "/" + cfg.Incarnation
	l := ledger.New(set.Shards)
	return &Node{
		cfg:     cfg,
		set:     set,
		members: member.New(set.VM, set.Timing.Suspect),
		fence:   fence.New(set.Timing.Fence),
		catalog: catalog.New(),
		ledger:  l,
		sched: scheduler.New(scheduler.Config{
			VM: set.VM, Lease: set.Timing.Lease, Sync: set.Timing.Sync, TailWeight: set.Batch.TailWeight,
		}, l),
		config:    newStream(catalog.Stream, commit.New(writer, set.Timing.Commit)),
		shardLog:  newStream(ledger.Stream(set.DataCentre), commit.New(writer, set.Timing.Commit)),
		shards:    make([]shardUse, set.Shards),
		questions: make(map[string]time.Time),
		counters: Counters{
			VoidRecords: make(map[string]int64), QuestionsRefused: make(map[string]int64),
		},
	}
}

// Step takes an event and returns what to do.
func (n *Node) Step(now time.Time, e Event) []Action {
	n.out = nil
	switch e := e.(type) {
	case Tick:
	case FleetListed:
		n.takeFleet(now, e.Fleet)
	case LogRead:
		n.takeRead(now, e)
	case LogAppended:
		n.takeAppended(now, e)
	case HeartbeatDone:
		n.takeHeartbeat(now, e)
	case SnapshotFetched:
		n.takeSnapshot(now, e)
	case RoundDone:
		n.takeSched(now, n.sched.Report(now, e.Worker, e.Token, e.Report, e.Err))
	case Requests:
		n.takeRequests(now, e)
	case Publish:
		n.publish(now, e)
	case Submit:
		n.submit(now, e)
	case Cancel:
		n.cancel(now, e)
	case Stop:
		n.leaving = true
		// The others must know before they hand anything over to this VM.
		n.nextBeat, n.nextFar = now, now
		n.explain("vm", string(n.set.VM), "is stopping: hands its shards over")
	}
	n.advance(now)
	return n.out
}

// advance does what is due.
func (n *Node) advance(now time.Time) {
	n.heartbeats(now)
	n.own(now)
	if n.fenceOpen(now) {
		n.takeSched(now, n.sched.Step(now))
	}
	n.watches(now)
	n.expireQuestions(now)
	share := n.set.LogAppends / float64(1+n.members.Count())
	for _, s := range n.streams() {
		s.committer.SetRate(now, share)
		n.checkpoint(now, s)
		n.read(now, s)
		n.append(now, s)
	}
	if !now.Before(n.nextView) {
		n.nextView = now.Add(viewEvery)
		n.emit(SetView{n.view(now)})
	}
}

func (n *Node) streams() [2]*stream { return [2]*stream{n.config, n.shardLog} }

func (n *Node) emit(a Action) { n.out = append(n.out, a) }

func (n *Node) explain(kind, name, format string, args ...any) {
	n.emit(Explain{kind, name, fmt.Sprintf(format, args...)})
}

// newID returns a record id that no other process uses.
func (n *Node) newID() string {
	n.sequence++
	return fmt.Sprintf("%s/%s/%d", n.set.VM, n.cfg.Incarnation, n.sequence)
}

// write queues a record for a stream. It reports whether it was taken.
func (n *Node) write(now time.Time, s *stream, r *recordpb.Record) bool {
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

// takeSched does what the scheduler decided.
func (n *Node) takeSched(now time.Time, out scheduler.Output) {
	for _, r := range out.Records {
		r.Id = ""
		n.write(now, n.shardLog, r)
	}
	if !n.fenceOpen(now) {
		out.Rounds = nil
	}
	for _, r := range out.Rounds {
		n.emit(Round{r.Worker, r.Request})
	}
	for _, note := range out.Notes {
		n.emit(Explain{note.Kind, note.Name, note.Message})
	}
}

func (n *Node) takeFleet(now time.Time, f bamboofall.Fleet) {
	n.fleet = f
	n.listed = true
	n.members.List(now, f)
	var local []bamboofall.VM
	for _, vm := range f.VMs {
		if vm.DataCentre == n.set.DataCentre {
			local = append(local, vm)
		}
	}
	n.sched.SetFleet(now, local)
	n.nextView = now
}

func (n *Node) takeRequests(now time.Time, r Requests) {
	n.requests = r
	if !n.fenceOpen(now) || len(r.Observed) == 0 {
		return
	}
	seen := make([]scheduler.Observation, len(r.Observed))
	for i, o := range r.Observed {
		seen[i] = scheduler.Observation{
			Service: o.Service, VM: o.VM, Mean: o.Mean, Usual: o.Usual, Target: o.Target, Count: o.Count,
		}
	}
	n.takeSched(now, n.sched.Observe(now, seen))
}
