package bamboofall

import (
	"fmt"
	"time"
)

// StaleTokenError reports that a worker rejected a request because it has seen a
// larger fencing token.
type StaleTokenError struct {
	// Given is the token of the rejected request.
	Given Token
	// Seen is the largest token that the worker has seen.
	Seen Token
}

func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("fencing token %d is superseded by token %d", e.Given, e.Seen)
}

// UnavailableError reports that a component of the platform did not answer.
type UnavailableError struct {
	// Component names the component.
	Component string
	Err       error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s unavailable: %v", e.Component, e.Err)
}

func (e *UnavailableError) Unwrap() error { return e.Err }

// NotDoneError reports that a call had no effect and will have none later.
type NotDoneError struct {
	// Call names the call, such as "append" or "start".
	Call   string
	Reason string
	// Overloaded means that the server asked for fewer calls (HTTP status 429).
	Overloaded bool
	// NoListener means that nothing listens at the address: the process has ended.
	NoListener bool
	// Err is the underlying error. It may be nil.
	Err error
}

func (e *NotDoneError) Error() string { return fmt.Sprintf("%s had no effect: %s", e.Call, e.Reason) }

func (e *NotDoneError) Unwrap() error { return e.Err }

// RelayError reports that an order failed at the relay, an entry VM that
// forwards orders to workers for the owner. It says nothing about the health of
// the worker.
type RelayError struct {
	// Relay is the address of the relay.
	Relay  string
	Reason string
}

func (e *RelayError) Error() string { return fmt.Sprintf("relay %s: %s", e.Relay, e.Reason) }

// WithholdCause is the reason for which the owner did not send an order.
type WithholdCause string

const (
	// WithheldUnconfirmed means that the sender's ownership was not confirmed.
	WithheldUnconfirmed WithholdCause = "unconfirmed"
	// WithheldStale means that the order waited too long in the owner's queue.
	WithheldStale WithholdCause = "stale"
	// WithheldWithdrawn means that the order was cancelled while it was queued.
	WithheldWithdrawn WithholdCause = "withdrawn"
	// WithheldEvacuated means that the data centre of the worker is evacuated.
	WithheldEvacuated WithholdCause = "evacuated"
)

// WithheldError reports that the owner decided not to send an order. It says
// nothing about the health of the worker.
type WithheldError struct {
	Cause WithholdCause
	// Age is the time since the order was created.
	Age time.Duration
}

func (e *WithheldError) Error() string {
	return fmt.Sprintf("order not sent (%s), %v after it was created", e.Cause, e.Age.Round(time.Millisecond))
}

// UnknownOutcomeError reports that a call may have had its effect, or may have it
// later.
type UnknownOutcomeError struct {
	Call string
	Err  error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("%s: outcome unknown: %v", e.Call, e.Err)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// RejectCause is the reason for which a worker rejected an order.
type RejectCause string

const (
	// RejectFenced means that the worker has seen a larger fencing token.
	RejectFenced RejectCause = "fenced"
	// RejectEndedRun means that this run or a later one of the task has already ended
	// or been stopped at the worker.
	RejectEndedRun RejectCause = "old"
	// RejectLeaseExpired means that the lease of the order expired before it arrived.
	RejectLeaseExpired RejectCause = "late"
	// RejectNoResources means that the worker lacks the resources for the task.
	RejectNoResources RejectCause = "room"
	// RejectTicket means that the ticket of the recommendation service does not
	// permit the start.
	RejectTicket RejectCause = "ticket"
	// RejectWrongProcess means that another worker process than the addressed one
	// answered.
	RejectWrongProcess RejectCause = "life"
)

// RejectedError reports that a worker rejected an order. The order had no effect.
type RejectedError struct {
	Call  string
	Cause RejectCause
	ResponseMeta
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s rejected by worker: %s", e.Call, e.Cause)
}

// FencedError reports that an append was rejected because a producer with a newer
// epoch has written to the partition, or because of a wrong sequence number.
type FencedError struct {
	Topic     string
	Partition int
	// Expected is the next sequence number. It is set only if Sequence is.
	Expected uint64
	// Sequence is set if the epoch was current but the sequence number was wrong.
	Sequence bool
}

func (e *FencedError) Error() string {
	if e.Sequence {
		return fmt.Sprintf("append to %s/%d: sequence number %d expected", e.Topic, e.Partition, e.Expected)
	}
	return fmt.Sprintf("append to %s/%d: fenced by a newer epoch", e.Topic, e.Partition)
}

// OffsetMismatchError reports that a conditional append failed because the partition does
// not end at the expected offset.
type OffsetMismatchError struct {
	Topic     string
	Partition int
	// End is the end offset of the partition.
	End int64
}

func (e *OffsetMismatchError) Error() string {
	return fmt.Sprintf("append to %s/%d: expected end offset does not match, partition ends at %d", e.Topic, e.Partition, e.End)
}

// TrimmedError reports that the record at the requested offset has expired.
type TrimmedError struct {
	Topic     string
	Partition int
	// Oldest is the oldest offset that is retained.
	Oldest int64
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("read of %s/%d: records expired, oldest retained offset is %d", e.Topic, e.Partition, e.Oldest)
}
