package bamboofall

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// JobID names a job. The caller chooses it.
type JobID string

// JobState is what callers learn of a job.
type JobState uint8

// The states of a job.
const (
	JobQueued JobState = iota + 1
	JobRunning
	JobCompleted
	JobFailed
	JobCancelled
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool { return s >= JobCompleted }

// String returns the name of the state in logs.
func (s JobState) String() string {
	switch s {
	case JobQueued:
		return "queued"
	case JobRunning:
		return "running"
	case JobCompleted:
		return "completed"
	case JobFailed:
		return "failed"
	case JobCancelled:
		return "cancelled"
	}
	return "invalid"
}

// Job is work of several steps, each of many tasks.
type Job struct {
	ID      JobID
	Queue   string
	Payload string
	Steps   []Step
	// FirstRun is when the first occurrence is due. It is zero for a job
	// without a schedule.
	FirstRun    time.Time
	Interval    time.Duration
	Repetitions int
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repetitions) }

// Step is a number of tasks that are alike.
type Step struct {
	Count int
	Size  Resources
	// Estimate is the declared run time of a task.
	Estimate time.Duration
	// After lists earlier steps that must be done first.
	After         []int
	Checkpointing bool
	// Gang means that the tasks run together or not at all.
	Gang bool
	// SameRack means that the tasks slow each other down across racks.
	SameRack bool
	// Speculative allows copies of a task beside each other.
	Speculative bool
	// Standing tasks run until the job is cancelled.
	Standing bool
	// Fills means that the processors of the step are not reserved: it gets
	// what other tasks leave.
	Fills bool
	// Label is a label that the worker must have. It may be empty.
	Label string
	// Rack is where the data is. It may be empty.
	Rack string
	// MaxPerWorker bounds the tasks of an occurrence on one worker. Zero is no
	// bound.
	MaxPerWorker int
	// Image names the program. Tasks of one image behave alike.
	Image string
	// TailTarget is the tail latency that a standing task must keep.
	TailTarget time.Duration
	// MaxUnavailable bounds the tasks that the scheduler may take down at once.
	MaxUnavailable int
}

// TaskName names a task of a job.
type TaskName struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the name that workers know.
func (n TaskName) String() string {
	b := make([]byte, 0, len(n.Job)+12)
	b = append(b, n.Job...)
	for _, v := range [...]int{n.Occurrence, n.Step, n.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(v), 10)
	}
	return string(b)
}

// ParseTaskName reads a name as String writes it.
func ParseTaskName(text string) (TaskName, error) {
	job, rest, _ := strings.Cut(text, ".")
	var n [3]int
	for i := range n {
		part, more, found := strings.Cut(rest, ".")
		if job == "" || found != (i < len(n)-1) {
			return TaskName{}, fmt.Errorf("task name %q does not have four parts", text)
		}
		v, err := strconv.Atoi(part)
		if err != nil || v < 0 {
			return TaskName{}, fmt.Errorf("task name %q: part %q is not a number", text, part)
		}
		n[i], rest = v, more
	}
	return TaskName{JobID(job), n[0], n[1], n[2]}, nil
}

// Queue is a queue of jobs as the operators configure it.
type Queue struct {
	Name string
	// Host and PathPrefix select the queue of a call.
	Host, PathPrefix string
	// Service names the pool of workers that runs the tasks.
	Service string
	// Priority orders queues; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the failures of a task.
	MaxAttempts int
	// Stretch and Slack bound the time in which a job should be done: Stretch
	// times its longest chain, and Slack more.
	Stretch float64
	Slack   time.Duration
	// Timeout bounds a call.
	Timeout time.Duration
	// NeedsAdvice means that only an external service knows which workers may
	// run a step.
	NeedsAdvice bool
}

// Configuration is what operators have published.
type Configuration struct {
	Version uint64
	Queues  []Queue
	Limits  CallLimits
}

// CallLimits bounds callers' requests.
type CallLimits struct {
	BodyBytes int64
}

// WorkerRef addresses one life of a worker.
type WorkerRef struct {
	ID      string
	Address netip.AddrPort
}

// Worker is what a worker announces.
type Worker struct {
	WorkerRef
	// Born is the start of this life. ID and Born name a life.
	Born     time.Time
	Service  string
	Zone     DataCentre
	Draining bool
	// Remaining is the least time that is left to a draining worker.
	Remaining time.Duration
	Room      Resources
	Labels    []string
}

// Placed is a task that a worker runs.
type Placed struct {
	Task       TaskName
	Run        uint32
	Checkpoint string
	// Percent is the share at which the task works. A standing task serves
	// once it is 100.
	Percent int
	// Gauge is a rough tail latency in milliseconds of a task that serves, and
	// the thousandths of a processor in use of any other.
	Gauge int64
}

// EndCause says how a run ended.
type EndCause uint8

// The causes of an end.
const (
	EndDone EndCause = iota + 1
	EndFailed
	EndStopped
	EndLapsed
	// EndBroken means that another member of the gang ended.
	EndBroken
	// EndAlone means that the gang did not assemble.
	EndAlone
)

// String returns the name of the cause in logs.
func (c EndCause) String() string {
	names := [...]string{"invalid", "done", "failed", "stopped", "lapsed", "broken", "alone"}
	if int(c) >= len(names) {
		return names[0]
	}
	return names[c]
}

// End is the end of a run at a worker.
type End struct {
	// Number counts the ends of one life of a worker from 1.
	Number     uint64
	Task       TaskName
	Run        uint32
	Cause      EndCause
	Checkpoint string
}

// Sighting is when a worker answered, by its own steady clock.
type Sighting struct {
	Clock time.Duration
	Born  time.Time
}

// StartOrder orders a worker to run a task.
type StartOrder struct {
	Task TaskName
	Run  uint32
	// Payload is passed to the task.
	Payload    string
	Checkpoint string
	// LeaseUntil is a time on the worker's clock.
	LeaseUntil time.Duration
	Token      Token
	Ticket     string
}

// HoldOrder extends the lease of all that a worker runs and asks what it runs.
type HoldOrder struct {
	LeaseUntil time.Duration
	Token      Token
	// Seen is the number of the last end that is stored.
	Seen uint64
	// Wait is how long the worker may wait for an end.
	Wait time.Duration
}

// HoldReport is what a worker runs and what has ended.
type HoldReport struct {
	Sighting
	Running []Placed
	Ends    []End
}

// TaskWorkers gives orders to workers. An error is a *NotDoneError,
// *RejectedError or *UnknownOutcomeError.
type TaskWorkers interface {
	Start(ctx context.Context, w WorkerRef, o StartOrder) (Sighting, error)
	Stop(ctx context.Context, w WorkerRef, task TaskName, run uint32, token Token) (Sighting, error)
	Hold(ctx context.Context, w WorkerRef, o HoldOrder) (HoldReport, error)
	Pace(ctx context.Context, w WorkerRef, task TaskName, run uint32, percent int, token Token) (Sighting, error)
}

// StoreRecord is a record of a keyed topic. A record without a value removes
// its key.
type StoreRecord struct {
	Key   string
	Value []byte
}

// StoreAppend is one append to a partition of a topic. All records are added
// or none.
type StoreAppend struct {
	Topic   string
	Part    int
	Records []StoreRecord
	// At is the offset at which the partition must end, if it is not negative.
	At int64
	// Producer, if it is set, makes the append idempotent: Epoch fences older
	// epochs and Sequence counts its appends.
	Producer string
	Epoch    uint64
	Sequence uint64
}

// StoredRecord is a record with its place.
type StoredRecord struct {
	StoreRecord
	Offset int64
}

// StorePage is a part of a partition.
type StorePage struct {
	Records []StoredRecord
	// Next is where to read on.
	Next int64
	// More means that there is more to read now.
	More bool
}

// KeyedStore is the platform's store. It keeps the newest record of each key.
// An error is a *NotDoneError, *UnknownOutcomeError, *FencedError, *MovedError
// or *TrimmedError.
type KeyedStore interface {
	Append(ctx context.Context, a StoreAppend) (end int64, err error)
	// Read returns records from an offset on. It waits for one to appear.
	Read(ctx context.Context, topic string, part int, from int64, wait time.Duration) (StorePage, error)
	// Newest returns all newest records of a partition, and the end of the
	// partition before the first was read.
	Newest(ctx context.Context, topic string, part int) ([]StoredRecord, int64, error)
}
