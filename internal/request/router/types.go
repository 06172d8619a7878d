package router

import (
	"net/netip"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/request/idempotency"
	"bamboofall.example/bamboofall/internal/state/member"
)

// Request is a caller's request as the router sees it.
type Request struct {
	// ID is unique in this process.
	ID      uint64
	Service string
	Kind    string
	Trade   string
	// Key is the idempotency key. It may be empty for idempotent requests.
	Key string
	// First is set if the caller says that it never sent the key before.
	First bool
	// Content is a hash of the body, Size its length in bytes.
	Content uint64
	Size    int64
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Hop is set if another entry VM of this data centre forwarded the request.
	Hop bool
	// Far is set if the request came from another data centre.
	Far bool
	// HomeHeld is set if the sender is the key's home and has begun the key.
	HomeHeld bool
	// Token is the token under which the sender believes the home to be owned.
	Token bamboofall.Token
}

// Reason says why a request was refused, retried or left unknown. Each has a
// counter.
type Reason string

// The reasons.
const (
	ReasonNone            Reason = ""
	ReasonUnknownService  Reason = "unknownService"
	ReasonUnknownKind     Reason = "unknownKind"
	ReasonUnknownTrade    Reason = "unknownTrade"
	ReasonBodyTooLarge    Reason = "bodyTooLarge"
	ReasonMissingKey      Reason = "missingKey"
	ReasonDeadlinePassed  Reason = "deadlinePassed"
	ReasonLimited         Reason = "limited"
	ReasonQueueFull       Reason = "queueFull"
	ReasonNoInstances     Reason = "noInstances"
	ReasonHomeUnreachable Reason = "homeUnreachable"
	ReasonNotHome         Reason = "notHome"
	ReasonKeyReused       Reason = "keyReused"
	ReasonKeyMemoryFull   Reason = "keyMemoryFull"
	ReasonAlreadyRun      Reason = "alreadyRun"
	ReasonCannotKnow      Reason = "homeMoved"
	ReasonNoAnswer        Reason = "noAnswer"
	ReasonPeerLost        Reason = "peerLost"
	ReasonRefused         Reason = "upstreamRefused"
	ReasonConnect         Reason = "connectFailed"
	ReasonBroken          Reason = "connectionBroken"
	ReasonTimeout         Reason = "attemptTimeout"
	ReasonStale           Reason = "decisionTooOld"
	ReasonRetryBudget     Reason = "retryBudget"
	ReasonStopping        Reason = "stopping"
	ReasonNotReady        Reason = "notReady"
)

// SendStatus is how an attempt at an instance ended.
type SendStatus uint8

// The ends of an attempt.
const (
	// SendAnswered is a whole answer to this very request.
	SendAnswered SendStatus = iota + 1
	// SendRefused is the upstream's word that it did not start.
	SendRefused
	// SendUnconnected means that no connection could be opened.
	SendUnconnected
	// SendStale means that the send was not tried, for it was too late.
	SendStale
	// SendBroken means that the connection ended without a whole answer.
	SendBroken
	// SendTimeout means that the attempt's time was up without an answer.
	SendTimeout
)

// SendResult is the end of an attempt.
type SendResult struct {
	Status SendStatus
	// Fresh is set if the connection was opened for this attempt.
	Fresh  bool
	Answer *idempotency.Answer
	Took   time.Duration
}

// PeerResult is the answer of an entry VM to a forwarded request.
type PeerResult struct {
	// Reached is false if the request was not sent at all.
	Reached bool
	// Lost is set if it was sent and no answer came.
	Lost       bool
	Outcome    bamboofall.Outcome
	Reason     Reason
	RetryAfter time.Duration
	Answer     *idempotency.Answer
	// Vouched is set if the key's home stands behind the outcome.
	Vouched bool
}

// Action is something for the shell to do: a Send, a Forward or a Reply.
type Action interface{ action() }

// Send sends a request to an instance.
type Send struct {
	Request  Request
	Attempt  uint64
	Instance bamboofall.Instance
	// Before is the moment after which the request must not be written.
	Before time.Time
	// Timeout is how long the attempt may take.
	Timeout time.Duration
	// GiveUp is when the instance has given up working for certain. A late answer
	// is not awaited any longer, so that an instance's connections are bounded by
	// its slots.
	GiveUp time.Duration
	// Patience is how long the instance's open connections may leave requests
	// without an answer before new ones are opened.
	Patience time.Duration
}

// Forward sends a request to another entry VM.
type Forward struct {
	Request Request
	Peer    bamboofall.VMID
	Address netip.AddrPort
	Token   bamboofall.Token
	// HomeHeld tells the peer that this VM is the key's home.
	HomeHeld bool
	// Hop and Far are the peer's marks of the request.
	Hop bool
	Far bool
}

// Reply answers the caller.
type Reply struct {
	Request    Request
	Outcome    bamboofall.Outcome
	Reason     Reason
	RetryAfter time.Duration
	// Answer is set if the outcome is answered.
	Answer *idempotency.Answer
	// Vouched is set if the key's home stands behind the outcome.
	Vouched bool
}

func (Send) action()    {}
func (Forward) action() {}
func (Reply) action()   {}

// OwnedInstance is an instance of a shard that this VM owns.
type OwnedInstance struct {
	bamboofall.Instance
	VM      bamboofall.VMID
	Shard   int
	Leaving bool
	// ActiveSince is when the shard became this VM's.
	ActiveSince time.Time
	// HandedOver is set if the previous owner's requests have ended.
	HandedOver bool
}

// Home is the ownership of a shard of this data centre.
type Home struct {
	Owner bamboofall.VMID
	Token bamboofall.Token
}

// View is what the control side knows and the router needs.
type View struct {
	// FenceUntil is the moment up to which this VM may act as an owner.
	FenceUntil time.Time
	// Active holds the shards that this VM owns, with their tokens.
	Active map[int]bamboofall.Token
	// Homes holds the owner of each shard of this data centre.
	Homes     []Home
	Instances []OwnedInstance
	// Listed holds the services that have instances in this data centre.
	Listed map[string]bool
	Peers  []Peer
	// Sharers is the number of entry VMs that share this data centre's limits.
	Sharers int
	Leaving bool
}

// Peer is another entry VM that answers.
type Peer struct {
	VM         bamboofall.VMID
	DataCentre bamboofall.DataCentre
	Address    netip.AddrPort
	Leaving    bool
	Rooms      []member.Room
	RTT        time.Duration
	// Heard changes with each heartbeat.
	Heard time.Time
}
