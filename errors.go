package bamboofall

import (
	"fmt"
	"time"
)

// StaleTokenError says that a fencing token was refused for a larger one.
type StaleTokenError struct {
	Given Token
	Seen  Token
}

func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("token %d is fenced by token %d", e.Given, e.Seen)
}

// UnavailableError says that a part of the platform did not answer.
type UnavailableError struct {
	Part string
	Err  error
}

func (e *UnavailableError) Error() string { return fmt.Sprintf("%s unavailable: %v", e.Part, e.Err) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// NotDoneError says that a call had no effect and never will.
type NotDoneError struct {
	Call   string
	Reason string
	// Overloaded means that the other side asked for fewer calls.
	Overloaded bool
	// Err is the cause, if there is one.
	Err error
}

func (e *NotDoneError) Error() string { return fmt.Sprintf("%s not done: %s", e.Call, e.Reason) }

// Unwrap returns the cause.
func (e *NotDoneError) Unwrap() error { return e.Err }

// CarrierError says that an order failed on its way to its worker, inside this
// system. It tells nothing of the worker.
type CarrierError struct {
	Carrier string
	Reason  string
}

func (e *CarrierError) Error() string { return fmt.Sprintf("by way of %s: %s", e.Carrier, e.Reason) }

// WithholdCause says why an order was not sent.
type WithholdCause string

// The causes for which an order is withheld.
const (
	// WithheldUnconfirmed means that the owner may not act.
	WithheldUnconfirmed WithholdCause = "unconfirmed"
	// WithheldStale means that the order has waited too long in this system.
	WithheldStale WithholdCause = "stale"
	// WithheldWithdrawn means that the order is not wanted any more.
	WithheldWithdrawn WithholdCause = "withdrawn"
)

// WithheldError says that the owner did not send an order for a cause of its own.
// It tells nothing of the worker.
type WithheldError struct {
	Cause WithholdCause
	// Age is how long before the order was decided.
	Age time.Duration
}

func (e *WithheldError) Error() string {
	return fmt.Sprintf("withheld as %s %v after it was decided", e.Cause, e.Age.Round(time.Millisecond))
}

// UnknownOutcomeError says that a call may have had its effect, or may have it
// later.
type UnknownOutcomeError struct {
	Call string
	Err  error
}

func (e *UnknownOutcomeError) Error() string { return fmt.Sprintf("%s unknown: %v", e.Call, e.Err) }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// RejectCause says why a worker did not do what it was ordered.
type RejectCause string

// The causes of a rejection.
const (
	// RejectFenced means that the worker has seen a larger token.
	RejectFenced RejectCause = "fenced"
	// RejectOld means that the worker has stopped or ended this run or a later one.
	RejectOld RejectCause = "old"
	// RejectLate means that the lease had already ended.
	RejectLate RejectCause = "late"
	// RejectRoom means that the task does not fit.
	RejectRoom RejectCause = "room"
	// RejectTicket means that the advice does not cover the start.
	RejectTicket RejectCause = "ticket"
	// RejectLife means that another life of the worker answered.
	RejectLife RejectCause = "life"
)

// RejectedError says that a worker refused an order. Nothing was done.
type RejectedError struct {
	Call  string
	Cause RejectCause
	Sighting
}

func (e *RejectedError) Error() string { return fmt.Sprintf("%s rejected: %s", e.Call, e.Cause) }

// FencedError says that a newer epoch writes the partition.
type FencedError struct {
	Topic string
	Part  int
	// Expected is the next sequence number if only that was wrong.
	Expected uint64
	Sequence bool
}

func (e *FencedError) Error() string {
	if e.Sequence {
		return fmt.Sprintf("append to %s/%d: sequence number %d expected", e.Topic, e.Part, e.Expected)
	}
	return fmt.Sprintf("append to %s/%d: fenced by a newer epoch", e.Topic, e.Part)
}

// MovedError says that a partition does not end where an append expected it.
type MovedError struct {
	Topic string
	Part  int
	End   int64
}

func (e *MovedError) Error() string {
	return fmt.Sprintf("append to %s/%d: it ends at %d", e.Topic, e.Part, e.End)
}

// TrimmedError says that records have expired.
type TrimmedError struct {
	Topic string
	Part  int
	First int64
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("read of %s/%d: kept from %d", e.Topic, e.Part, e.First)
}
