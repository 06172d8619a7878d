package bamboofall

import (
	"context"
	"net/netip"
	"time"
)

// VMID names a VM of the platform: an entry VM, a worker or both.
type VMID string

// DataCentre names a data centre.
type DataCentre string

// Offset is the position of an entry in one stream of the log.
type Offset uint64

// Token is a fencing token: the offset of the claim that granted a shard.
// A larger token fences every smaller one. Zero is no token.
type Token uint64

// Entry is one entry of a stream.
type Entry struct {
	Offset Offset
	Data   []byte
}

// Page is the answer to a read.
type Page struct {
	Entries []Entry
	// Oldest is the first offset that the log still keeps.
	Oldest Offset
	// Next is the offset that the next append will get.
	Next Offset
}

// Log is the platform's append-only log. An error from Append does not tell
// whether the entry was written.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (Offset, error)
	// Read returns entries from the offset from on. It waits up to wait for
	// one to appear. An offset below Oldest is answered from Oldest on.
	Read(ctx context.Context, stream string, from Offset, wait time.Duration) (Page, error)
}

// Resources is an amount of a VM's room. The zero value is no room.
type Resources struct {
	MilliProcessors int64
	MemoryBytes     int64
	Accelerators    int64
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		MilliProcessors: r.MilliProcessors + o.MilliProcessors,
		MemoryBytes:     r.MemoryBytes + o.MemoryBytes,
		Accelerators:    r.Accelerators + o.Accelerators,
	}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return r.Add(Resources{-o.MilliProcessors, -o.MemoryBytes, -o.Accelerators})
}

// Fits reports whether r fits into room in every dimension.
func (r Resources) Fits(room Resources) bool {
	return r.MilliProcessors <= room.MilliProcessors &&
		r.MemoryBytes <= room.MemoryBytes &&
		r.Accelerators <= room.Accelerators
}

// Max returns the larger of r and o in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		MilliProcessors: max(r.MilliProcessors, o.MilliProcessors),
		MemoryBytes:     max(r.MemoryBytes, o.MemoryBytes),
		Accelerators:    max(r.Accelerators, o.Accelerators),
	}
}

// Valid reports whether no dimension is negative.
func (r Resources) Valid() bool {
	return r.MilliProcessors >= 0 && r.MemoryBytes >= 0 && r.Accelerators >= 0
}

// VM is one line of the platform's lagging list.
type VM struct {
	ID         VMID
	DataCentre DataCentre
	Rack       string
	Leaving    bool
	// Entry is the address for peers if the VM is an entry VM.
	Entry netip.AddrPort
	// Agent is the address of the platform's agent if the VM is a worker.
	Agent netip.AddrPort
	// Room is what a worker has for all its work.
	Room      Resources
	Instances []Instance
}

// Instance is one upstream instance of a service on a VM.
type Instance struct {
	ID          string
	Service     string
	Address     netip.AddrPort
	Slots       int
	Connections int
	// Size is the part of the VM's room that the instance takes.
	Size Resources
}

// Fleet is the platform's list of live and leaving VMs. It lags. A VM that is
// not listed is gone.
type Fleet struct {
	VMs []VM
}

// VMList gives the platform's list.
type VMList interface {
	List(ctx context.Context) (Fleet, error)
}

// TaskID names a task for good: the index-th task of a run.
type TaskID struct {
	Run   string
	Index uint32
}

// CommandKind says what a worker shall do with a task.
type CommandKind uint8

// The commands that a worker takes.
const (
	// CommandRun starts the attempt if it does not run yet, and extends its
	// lease if it does.
	CommandRun CommandKind = iota + 1
	// CommandEvict checkpoints the task, then stops it.
	CommandEvict
	// CommandStop stops the task without a checkpoint.
	CommandStop
	// CommandForget drops what the worker keeps about an ended attempt.
	CommandForget
)

// Command is an order for one attempt of a task.
type Command struct {
	Kind    CommandKind
	Task    TaskID
	Attempt uint32
	// LeaseUntil is a reading of the worker's own clock, so that a command
	// that arrives late cannot extend a lease.
	LeaseUntil time.Duration
	Size       Resources
	Job        string
	RunTime    time.Duration
	Standing   bool
	// Progress is the checkpoint from which the attempt resumes.
	Progress time.Duration
	// Throttle is the share of its processors that the task may use, in
	// thousandths. Zero means all of them.
	Throttle int64
}

// AttemptStatus is what a worker says of an attempt.
type AttemptStatus uint8

// The states of an attempt at its worker.
const (
	AttemptRunning AttemptStatus = iota + 1
	AttemptFinished
	AttemptFailed
	AttemptEvicted
	AttemptStopped
	// AttemptLapsed is an attempt that the worker stopped at its lease's end.
	AttemptLapsed
)

// AttemptReport is a worker's report on one attempt.
type AttemptReport struct {
	Task    TaskID
	Attempt uint32
	Status  AttemptStatus
	// Progress is the last checkpoint. It is kept where every worker reaches it.
	Progress time.Duration
	// Usage is what the task took some seconds ago.
	Usage Resources
}

// SyncRequest is one round of an owner with a worker.
type SyncRequest struct {
	Owner    VMID
	Token    Token
	Commands []Command
}

// SyncReport is the worker's answer. Attempts holds every attempt that the
// worker knows, so it is the inventory as well.
type SyncReport struct {
	Clock    time.Duration
	Attempts []AttemptReport
}

// Workers reaches the platform's agents on the workers.
type Workers interface {
	// Sync gives a worker its commands and returns its inventory. It fails
	// with a StaleTokenError if the worker has seen a larger token.
	Sync(ctx context.Context, worker VM, req SyncRequest) (SyncReport, error)
}
