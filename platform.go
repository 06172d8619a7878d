package bamboofall

import (
	"context"
	"net/netip"
	"time"
)

// VMID identifies a VM of the platform: an entry VM, a worker or both.
type VMID string

// DataCentre is the name of a data centre.
type DataCentre string

// Offset is the position of an entry in a stream of the log.
type Offset uint64

// Token is a fencing token. Workers reject requests with a smaller token than
// the largest that they have seen. In the log-based scheduler it is the offset of
// the claim that granted a shard. Zero means no token.
type Token uint64

// Entry is an entry of a log stream.
type Entry struct {
	Offset Offset
	Data   []byte
}

// Page is the result of Log.Read.
type Page struct {
	Entries []Entry
	// Oldest is the first offset that the log retains.
	Oldest Offset
	// Next is the offset that the next append will get.
	Next Offset
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds an entry to a stream. After an error the entry may have been
	// written or not.
	Append(ctx context.Context, stream string, data []byte) (Offset, error)
	// Read returns the entries from the offset from on. If there are none, it waits
	// for one up to wait. For an offset below Page.Oldest it reads from Oldest on.
	Read(ctx context.Context, stream string, from Offset, wait time.Duration) (Page, error)
}

// Resources is an amount of a VM's resources.
type Resources struct {
	// MilliProcessors is the processor time in thousandths of a processor.
	MilliProcessors int64
	MemoryBytes     int64
	// Accelerators is the number of accelerators, such as GPUs.
	Accelerators int64
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

// Fits reports whether r is at most available in every dimension.
func (r Resources) Fits(available Resources) bool {
	return r.MilliProcessors <= available.MilliProcessors &&
		r.MemoryBytes <= available.MemoryBytes &&
		r.Accelerators <= available.Accelerators
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

// VM is a VM as the platform lists it.
type VM struct {
	ID         VMID
	DataCentre DataCentre
	Rack       string
	// Leaving means that the VM is about to shut down.
	Leaving bool
	// Entry is the address for other entry VMs if the VM is an entry VM.
	Entry netip.AddrPort
	// Agent is the address of the platform's agent if the VM is a worker.
	Agent netip.AddrPort
	// Room is the total amount of resources of a worker, including those that its
	// instances use.
	Room      Resources
	Instances []Instance
}

// Instance is an upstream instance of a service on a VM.
type Instance struct {
	ID      string
	Service string
	Address netip.AddrPort
	// Slots is the number of requests that the instance processes at once.
	Slots int
	// Connections is the number of connections that the instance accepts.
	Connections int
	// Size is the amount of the VM's resources that the instance uses.
	Size Resources
}

// Fleet is the platform's list of running VMs, including those that are about to
// shut down. The list lags behind the actual state.
type Fleet struct {
	VMs []VM
}

// VMList gives access to the platform's list of VMs.
type VMList interface {
	List(ctx context.Context) (Fleet, error)
}

// TaskID identifies a task by its run and its index within the run. It is never
// reused.
type TaskID struct {
	Run   string
	Index uint32
}

// CommandKind is the kind of a command to a worker.
type CommandKind uint8

const (
	// CommandRun starts the attempt, or extends its lease if it already runs.
	CommandRun CommandKind = iota + 1
	// CommandEvict checkpoints the task, then stops it.
	CommandEvict
	// CommandStop stops the task without a checkpoint.
	CommandStop
	// CommandForget discards the worker's record of an ended attempt.
	CommandForget
)

// Command is a command to a worker about one attempt of a task.
type Command struct {
	Kind    CommandKind
	Task    TaskID
	Attempt uint32
	// LeaseUntil is the end of the lease on the worker's own clock, so that a
	// delayed command cannot extend a lease.
	LeaseUntil time.Duration
	// Size is the amount of resources reserved for the attempt.
	Size Resources
	// Job is the name of the job to which the task belongs.
	Job string
	// RunTime is the declared run time.
	RunTime time.Duration
	// Standing means that the task runs until it is stopped.
	Standing bool
	// Progress is the amount of work done at the checkpoint to resume from.
	Progress time.Duration
	// Throttle is the share of its processors that the task may use, in
	// thousandths. Zero means all of them.
	Throttle int64
}

// AttemptStatus is the status of an attempt at its worker.
type AttemptStatus uint8

const (
	AttemptRunning AttemptStatus = iota + 1
	AttemptFinished
	AttemptFailed
	AttemptEvicted
	AttemptStopped
	// AttemptLapsed means that the worker stopped the attempt because its lease
	// expired.
	AttemptLapsed
)

// AttemptReport is a worker's report on one attempt.
type AttemptReport struct {
	Task    TaskID
	Attempt uint32
	Status  AttemptStatus
	// Progress is the amount of work done at the last checkpoint. Checkpoints are
	// stored where every worker can read them.
	Progress time.Duration
	// Usage is the resource usage of the task. It lags by some seconds.
	Usage Resources
}

// SyncRequest is the request of one sync of an owner with a worker.
type SyncRequest struct {
	Owner    VMID
	Token    Token
	Commands []Command
}

// SyncReport is the worker's answer to a SyncRequest.
type SyncReport struct {
	// Clock is the reading of the worker's own clock.
	Clock time.Duration
	// Attempts holds every attempt that the worker has a record of.
	Attempts []AttemptReport
}

// Workers is the client of the platform's agents on the workers.
type Workers interface {
	// Sync sends commands to a worker and returns all its attempts. It fails with
	// a *StaleTokenError if the worker has seen a larger token.
	Sync(ctx context.Context, worker VM, req SyncRequest) (SyncReport, error)
}
