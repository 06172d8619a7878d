package bamboofall

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// JobID identifies a job. The caller chooses it.
type JobID string

// JobState is the state of a job as reported to callers.
type JobState uint8

const (
	JobQueued JobState = iota + 1
	JobRunning
	JobCompleted
	JobFailed
	JobCancelled
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool { return s >= JobCompleted }

// String returns the name used in answers to callers and in logs.
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

// Job is a batch job: a sequence of dependent steps, each of many tasks.
type Job struct {
	ID JobID
	// Queue is the name of the queue to which the job was submitted.
	Queue string
	// Payload is passed to every task.
	Payload string
	Steps   []Step
	// FirstRun is when the first occurrence is due. It is zero for a job
	// without a schedule.
	FirstRun time.Time
	// Interval is the time from one occurrence to the next.
	Interval time.Duration
	// Repetitions is the number of scheduled occurrences. It is zero for a job
	// without a schedule, which runs once.
	Repetitions int
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repetitions) }

// Step is a group of identical tasks.
type Step struct {
	// Count is the number of tasks.
	Count int
	// Size is the amount of resources that a task requests.
	Size Resources
	// Estimate is the declared run time of a task.
	Estimate time.Duration
	// After holds the indices of the earlier steps that must finish first.
	After []int
	// Checkpointing means that a task writes checkpoints from which it can resume.
	Checkpointing bool
	// Gang means that the tasks are co-scheduled: all run at the same time or none.
	Gang bool
	// SameRack means that the tasks run more slowly if they span several racks.
	SameRack bool
	// Speculative allows several copies of a task to run concurrently.
	Speculative bool
	// Standing tasks are long-running services that run until the job is cancelled.
	Standing bool
	// BestEffort means that no processor time is reserved for the tasks: they use what
	// other tasks of the worker leave idle.
	BestEffort bool
	// Label is a label that the worker must have. Empty means any worker.
	Label string
	// Rack is the rack that holds the input data. Empty means that no rack is
	// preferred.
	Rack string
	// MaxPerWorker bounds the tasks of one occurrence on one worker. Zero means
	// no bound.
	MaxPerWorker int
	// Image names the program. Tasks of the same image have similar run times and
	// resource usage.
	Image string
	// TailTarget is the highest tail latency that a standing task may have. Zero
	// means that there is no target.
	TailTarget time.Duration
	// MaxUnavailable bounds the tasks that the scheduler may stop at the same time.
	MaxUnavailable int
}

// TaskName identifies a task of a job.
type TaskName struct {
	Job JobID
	// Occurrence, Step and Index count from 0.
	Occurrence int
	Step       int
	Index      int
}

// String returns the name used in worker calls: job, occurrence, step and index,
// separated by dots.
func (n TaskName) String() string {
	b := make([]byte, 0, len(n.Job)+12)
	b = append(b, n.Job...)
	for _, v := range [...]int{n.Occurrence, n.Step, n.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(v), 10)
	}
	return string(b)
}

// ParseTaskName parses a name in the format of String.
func ParseTaskName(text string) (TaskName, error) {
	job, rest, _ := strings.Cut(text, ".")
	var n [3]int
	for i := range n {
		part, more, found := strings.Cut(rest, ".")
		if job == "" || found != (i < len(n)-1) {
			return TaskName{}, fmt.Errorf("task name %q does not have the form job.occurrence.step.index", text)
		}
		v, err := strconv.Atoi(part)
		if err != nil || v < 0 {
			return TaskName{}, fmt.Errorf("task name %q: %q is not a non-negative integer", text, part)
		}
		n[i], rest = v, more
	}
	return TaskName{JobID(job), n[0], n[1], n[2]}, nil
}

// Queue is the configuration of a job queue.
type Queue struct {
	Name string
	// Host and PathPrefix select the requests that belong to the queue.
	Host, PathPrefix string
	// Service names the pool of workers that runs the tasks.
	Service string
	// Priority orders queues; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of attempts after which a failing task is given up.
	MaxAttempts int
	// Stretch and Slack set the deadline of a job, counted from its acceptance:
	// Stretch times the length of its critical path, plus Slack.
	Stretch float64
	Slack   time.Duration
	// Timeout bounds a request about a job.
	Timeout time.Duration
	// NeedsAdvice means that an external recommendation service must approve the
	// workers of a step, with a ticket for each start.
	NeedsAdvice bool
}

// Configuration is the configuration that operators have published in the store.
type Configuration struct {
	Version uint64
	Queues  []Queue
	Limits  CallLimits
}

// CallLimits bounds callers' requests.
type CallLimits struct {
	// BodyBytes is the longest request body.
	BodyBytes int64
}

// WorkerRef is the ID and address of a worker process.
type WorkerRef struct {
	ID      string
	Address netip.AddrPort
}

// Worker is a worker process as it announces itself in the store.
type Worker struct {
	WorkerRef
	// Born is the start time of the process. A restarted worker keeps its ID, so
	// that only ID and Born together identify a process.
	Born time.Time
	// Service names the pool of workers to which the worker belongs.
	Service  string
	Zone     DataCentre
	Draining bool
	// Remaining is the minimum time until a draining worker shuts down.
	Remaining time.Duration
	// ColdFor is how much longer the worker is slow after its start.
	ColdFor time.Duration
	// Room is the total amount of resources of the worker.
	Room   Resources
	Labels []string
	// Clock is the reading of the worker's clock at the announcement, or zero if it is not
	// known.
	Clock time.Duration
}

// Rack returns the rack label of the worker, an "r" followed by a digit, or nothing.
func (w *Worker) Rack() string {
	for _, l := range w.Labels {
		if len(l) > 1 && l[0] == 'r' && l[1] >= '0' && l[1] <= '9' {
			return l
		}
	}
	return ""
}

// RunningTask is a running task, as its worker reports it.
type RunningTask struct {
	Task TaskName
	// Run is the number of the attempt.
	Run        uint32
	Checkpoint string
	// ProgressPercent is the progress of the task. A standing task is ready for requests
	// once it is 100.
	ProgressPercent int
	// Gauge depends on the task: for a standing task it is an estimate of its tail
	// latency in milliseconds, for any other its processor usage in thousandths of
	// a processor.
	Gauge int64
}

// EndCause is the reason for which a run ended.
type EndCause uint8

const (
	EndDone EndCause = iota + 1
	EndFailed
	EndStopped
	// EndLapsed means that the worker stopped the run because its lease expired.
	EndLapsed
	// EndBroken means that another task of the gang ended.
	EndBroken
	// EndAlone means that some tasks of the gang did not start in time.
	EndAlone
)

// String returns the name used in logs.
func (c EndCause) String() string {
	names := [...]string{"invalid", "done", "failed", "stopped", "lapsed", "broken", "alone"}
	if int(c) >= len(names) {
		return names[0]
	}
	return names[c]
}

// End is the end of a run, as its worker reports it.
type End struct {
	// Number counts the ends reported by a worker process, from 1.
	Number uint64
	Task   TaskName
	// Run is the number of the attempt.
	Run        uint32
	Cause      EndCause
	Checkpoint string
}

// ResponseMeta is the part of every worker answer that tells the clock and the start time
// of the worker process.
type ResponseMeta struct {
	// Clock is the reading of the worker's monotonic clock.
	Clock time.Duration
	// Born is the start time of the worker process.
	Born time.Time
}

// StartOrder orders a worker to run a task.
type StartOrder struct {
	Task TaskName
	// Run is the number of the attempt.
	Run uint32
	// Payload is passed to the task.
	Payload string
	// Checkpoint is the checkpoint to resume from. Empty means from the beginning.
	Checkpoint string
	// LeaseUntil is the end of the lease, on the worker's monotonic clock.
	LeaseUntil time.Duration
	Token      Token
	// Ticket is the permission of the recommendation service. Empty if the queue
	// needs none.
	Ticket string
}

// HoldOrder extends the lease of all tasks of a worker and asks for a report.
type HoldOrder struct {
	// LeaseUntil is the end of the lease, on the worker's monotonic clock. Zero
	// leaves the lease unchanged.
	LeaseUntil time.Duration
	Token      Token
	// AcknowledgedEnd is the number of the last end that is stored. The worker need
	// not report the ends up to it again.
	AcknowledgedEnd uint64
	// Wait is how long the worker may delay its answer until a run ends.
	Wait time.Duration
}

// HoldReport is the answer of a worker to a hold: its running tasks, and the ends
// that are not acknowledged yet.
type HoldReport struct {
	ResponseMeta
	Running []RunningTask
	Ends    []End
}

// TaskWorkers is the client of the workers. Its methods fail with a
// *NotDoneError, *RejectedError or *UnknownOutcomeError.
type TaskWorkers interface {
	Start(ctx context.Context, w WorkerRef, o StartOrder) (ResponseMeta, error)
	// Stop stops a run and prevents a start of it that arrives later.
	Stop(ctx context.Context, w WorkerRef, task TaskName, run uint32, token Token) (ResponseMeta, error)
	Hold(ctx context.Context, w WorkerRef, o HoldOrder) (HoldReport, error)
	// Pace limits a task to a percentage of its processor share.
	Pace(ctx context.Context, w WorkerRef, task TaskName, run uint32, percent int, token Token) (ResponseMeta, error)
}

// StoreRecord is a record of a keyed topic. A record without a value deletes
// its key.
type StoreRecord struct {
	Key   string
	Value []byte
}

// StoreAppend is an atomic append to a partition of a topic.
type StoreAppend struct {
	Topic     string
	Partition int
	Records   []StoreRecord
	// ExpectedEnd makes the append conditional: it fails unless the partition ends at
	// this offset. A negative value means no condition.
	ExpectedEnd int64
	// Producer, if it is set, makes the append idempotent: Epoch fences producers
	// with older epochs, and Sequence is the append's number within the epoch.
	Producer string
	Epoch    uint64
	Sequence uint64
}

// StoredRecord is a record with its offset in the partition.
type StoredRecord struct {
	StoreRecord
	Offset int64
}

// StorePage is the result of a read.
type StorePage struct {
	Records []StoredRecord
	// Next is the offset at which to continue reading.
	Next int64
	// More means that the partition holds further records.
	More bool
}

// KeyedStore is the platform's store: partitioned logs that retain the newest
// record of each key. Its methods fail with a *NotDoneError,
// *UnknownOutcomeError, *FencedError, *OffsetMismatchError or *TrimmedError.
type KeyedStore interface {
	// Append returns the offset at which the partition ends afterwards.
	Append(ctx context.Context, a StoreAppend) (end int64, err error)
	// Read returns the records from an offset on. If there are none, it waits for
	// one up to the given time.
	Read(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (StorePage, error)
	// Newest returns the newest record of every key of a partition, and the offset
	// at which the partition ended before the read.
	Newest(ctx context.Context, topic string, partition int) ([]StoredRecord, int64, error)
}
