package node

import (
	"net/netip"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/config/object"
	"bamboofall.example/bamboofall/internal/request/router"
	"bamboofall.example/bamboofall/internal/state/member"
)

// Event is an input of Node.Step: one of the types below.
type Event interface{ event() }

// Tick reports that time has passed.
type Tick struct{}

// FleetListed reports the platform's current list of VMs.
type FleetListed struct{ Fleet bamboofall.Fleet }

// LogRead reports the result of a Read.
type LogRead struct {
	Stream string
	From   bamboofall.Offset
	// Sent is when the read was sent.
	Sent time.Time
	Page bamboofall.Page
	Err  error
}

// LogAppended reports the result of an Append.
type LogAppended struct {
	Stream string
	Err    error
}

// HeartbeatDone reports the result of a Heartbeat.
type HeartbeatDone struct {
	Peer    bamboofall.VMID
	Address netip.AddrPort
	Sent    time.Time
	Answer  member.Heartbeat
	// NoClaim is set if the peer knows of no claim or newer token against the
	// shards that this VM sent.
	NoClaim bool
	// ConnectionRefused is set if the connection was refused, so no process runs there.
	ConnectionRefused bool
	Err               error
}

// SnapshotFetched reports the result of a FetchSnapshot.
type SnapshotFetched struct {
	Stream string
	Data   []byte
	Err    error
}

// WorkerSynced reports the result of a SyncWorker.
type WorkerSynced struct {
	Worker bamboofall.VMID
	Token  bamboofall.Token
	Report bamboofall.SyncReport
	Err    error
}

// RequestStats is the periodic report of the request side.
type RequestStats struct {
	Slots []member.ServiceSlots
	// Inflight holds the number of slots in use, by shard.
	Inflight map[int]int
	// Observed holds the latencies since the last observation. It is empty in most
	// reports.
	Observed []router.Latency
}

// Publish is an operator's request to change configuration objects.
type Publish struct {
	ID      string
	Author  string
	Puts    []object.Object
	Deletes []object.Key
}

// Submit is an operator's request to start a run of a job.
type Submit struct {
	// ID identifies this operation. Run is the name of the new run.
	ID  string
	Run string
	Job string
}

// Cancel is an operator's request to cancel a run.
type Cancel struct {
	ID  string
	Run string
}

// Shutdown reports that the process is about to shut down.
type Shutdown struct{}

func (Tick) event()            {}
func (FleetListed) event()     {}
func (LogRead) event()         {}
func (LogAppended) event()     {}
func (HeartbeatDone) event()   {}
func (SnapshotFetched) event() {}
func (WorkerSynced) event()    {}
func (RequestStats) event()    {}
func (Publish) event()         {}
func (Submit) event()          {}
func (Cancel) event()          {}
func (Shutdown) event()        {}

// Action is an output of Node.Step that the caller performs: one of the types
// below.
type Action interface{ action() }

// Read reads a page of a stream. The read waits up to Wait for an entry.
type Read struct {
	Stream string
	From   bamboofall.Offset
	Wait   time.Duration
}

// Append appends an entry to a stream.
type Append struct {
	Stream string
	Data   []byte
}

// Heartbeat sends a heartbeat to a peer.
type Heartbeat struct {
	Peer    bamboofall.VMID
	Address netip.AddrPort
	Self    member.Heartbeat
	Shards  []OwnedShard
}

// OwnedShard is a shard that a process owns, and the token of that ownership.
type OwnedShard struct {
	Shard int
	Token bamboofall.Token
}

// FetchSnapshot requests the state of a stream from a peer.
type FetchSnapshot struct {
	Stream  string
	Address netip.AddrPort
}

// SyncWorker sends the task commands to a worker and collects its report.
type SyncWorker struct {
	Worker  bamboofall.VM
	Request bamboofall.SyncRequest
}

// OperationResult sends an operator the result of an operation.
type OperationResult struct {
	ID     string
	Result Result
}

// SetView passes a new routing view to the request side.
type SetView struct{ View router.View }

// SetObjects passes the configuration objects in force to the request side.
type SetObjects struct {
	Set      *object.Set
	Revision uint64
}

// Decision records a decision in the trail that operators query.
type Decision struct{ Kind, Name, Message string }

func (Read) action()            {}
func (Append) action()          {}
func (Heartbeat) action()       {}
func (FetchSnapshot) action()   {}
func (SyncWorker) action()      {}
func (OperationResult) action() {}
func (SetView) action()         {}
func (SetObjects) action()      {}
func (Decision) action()        {}

// ResultStatus is the outcome of an operator's operation.
type ResultStatus uint8

// The outcomes of an operation.
const (
	// ResultInForce means that the change or run is in force.
	ResultInForce ResultStatus = iota + 1
	// ResultVoid means that the record was read back and never takes effect.
	ResultVoid
	// ResultRefused means that nothing was written.
	ResultRefused
	// ResultUnknown means that the record may still take effect.
	ResultUnknown
)

// String returns the name of the status in operators' answers.
func (s ResultStatus) String() string {
	switch s {
	case ResultInForce:
		return "inForce"
	case ResultVoid:
		return "void"
	case ResultRefused:
		return "refused"
	}
	return "unknown"
}

// Result is the result of an operator's operation.
type Result struct {
	Status   ResultStatus
	Revision uint64
	Reason   string
	// AlternateVMs holds VMs of the data centre that can run the operation.
	AlternateVMs []bamboofall.VMID
}
