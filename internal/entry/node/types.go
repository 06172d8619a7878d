package node

import (
	"net/netip"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/config/object"
	"bamboofall.example/bamboofall/internal/request/router"
	"bamboofall.example/bamboofall/internal/state/member"
)

// Event is something that happened: one of the types below.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// FleetListed is the platform's list.
type FleetListed struct{ Fleet bamboofall.Fleet }

// LogRead is the end of a Read.
type LogRead struct {
	Stream string
	From   bamboofall.Offset
	// Sent is when the read was sent.
	Sent time.Time
	Page bamboofall.Page
	Err  error
}

// LogAppended is the end of an Append.
type LogAppended struct {
	Stream string
	Err    error
}

// HeartbeatDone is the end of a Heartbeat.
type HeartbeatDone struct {
	Peer    bamboofall.VMID
	Address netip.AddrPort
	Sent    time.Time
	Answer  member.Heartbeat
	NoClaim bool
	// Refused is set if nothing listens at the address.
	Refused bool
	Err     error
}

// SnapshotFetched is the end of a FetchSnapshot.
type SnapshotFetched struct {
	Stream string
	Data   []byte
	Err    error
}

// RoundDone is the end of a Round.
type RoundDone struct {
	Worker bamboofall.VMID
	Token  bamboofall.Token
	Report bamboofall.SyncReport
	Err    error
}

// Requests is what the request side tells from time to time.
type Requests struct {
	Rooms []member.Room
	// Inflight holds the slots in use by shard.
	Inflight map[int]int
	Observed []router.Latency
}

// Publish asks to put a change of objects in force.
type Publish struct {
	ID      string
	Author  string
	Puts    []object.Object
	Deletes []object.Key
}

// Submit asks to start a run of a job.
type Submit struct {
	// ID names the question, Run the run.
	ID  string
	Run string
	Job string
}

// Cancel asks to cancel a run.
type Cancel struct {
	ID  string
	Run string
}

// Stop says that the VM is about to stop.
type Stop struct{}

func (Tick) event()            {}
func (FleetListed) event()     {}
func (LogRead) event()         {}
func (LogAppended) event()     {}
func (HeartbeatDone) event()   {}
func (SnapshotFetched) event() {}
func (RoundDone) event()       {}
func (Requests) event()        {}
func (Publish) event()         {}
func (Submit) event()          {}
func (Cancel) event()          {}
func (Stop) event()            {}

// Action is something for the shell to do: one of the types below.
type Action interface{ action() }

// Read asks for a page of a stream.
type Read struct {
	Stream string
	From   bamboofall.Offset
	Wait   time.Duration
}

// Append asks to append an entry to a stream.
type Append struct {
	Stream string
	Data   []byte
}

// Heartbeat asks to send a heartbeat.
type Heartbeat struct {
	Peer    bamboofall.VMID
	Address netip.AddrPort
	Self    member.Heartbeat
	Shards  []OwnedShard
}

// OwnedShard is a shard under a token.
type OwnedShard struct {
	Shard int
	Token bamboofall.Token
}

// FetchSnapshot asks a peer for its state of a stream.
type FetchSnapshot struct {
	Stream  string
	Address netip.AddrPort
}

// Round asks for a round with a worker.
type Round struct {
	Worker  bamboofall.VM
	Request bamboofall.SyncRequest
}

// Answer answers an operator.
type Answer struct {
	ID     string
	Result Result
}

// SetView gives the request side what it needs.
type SetView struct{ View router.View }

// SetObjects gives the request side the objects in force.
type SetObjects struct {
	Set      *object.Set
	Revision uint64
}

// Explain records a decision.
type Explain struct{ Kind, Name, Message string }

func (Read) action()          {}
func (Append) action()        {}
func (Heartbeat) action()     {}
func (FetchSnapshot) action() {}
func (Round) action()         {}
func (Answer) action()        {}
func (SetView) action()       {}
func (SetObjects) action()    {}
func (Explain) action()       {}

// ResultStatus says how an operator's question ended.
type ResultStatus uint8

// The ends of an operator's question.
const (
	// ResultInForce means that the change or run is in force.
	ResultInForce ResultStatus = iota + 1
	// ResultVoid means that it has no effect and never will.
	ResultVoid
	// ResultRefused means that it was not written at all.
	ResultRefused
	// ResultUnknown means that it may take effect later.
	ResultUnknown
)

// String returns the name of the status in answers.
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

// Result is the end of an operator's question.
type Result struct {
	Status   ResultStatus
	Revision uint64
	Reason   string
	// Elsewhere holds VMs of the data centre that can answer the question.
	Elsewhere []bamboofall.VMID
}
