package httpserver

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"bamboofall.example/bamboofall/internal/wire/intake"
)

const (
	// defaultMaxBody bounds the size of a request body, in bytes.
	defaultMaxBody = 16 << 20
	// defaultMaxHeld and defaultMaxConnections bound the requests and the connections
	// of a server.
	defaultMaxHeld        = 64 << 20
	defaultMaxConnections = 50_000
	// maxHead bounds the size of the request line with the header fields, in bytes, and
	// maxFields the number of header and trailer fields.
	maxHead   = 32 << 10
	maxFields = 128
	// maxEncoding is the size of a request body as it is sent, relative to its own size:
	// chunks of a few bytes take more to announce than they hold.
	maxEncoding = 2
	// readBufferSize is the size of the read buffer of each connection, in bytes.
	readBufferSize = 4 << 10
	// defaultSocketBuffer is the size of the kernel's buffers of a connection, in bytes.
	// The kernel counts twice as much. Without a size, it grows them to megabytes for
	// clients that send without waiting, or that do not read.
	defaultSocketBuffer = 64 << 10

	// receiveTimeout bounds the time from the first byte of a request to its last, and
	// responseTimeout the time in which a client reads a part of a response.
	receiveTimeout  = 15 * time.Second
	responseTimeout = 10 * time.Second
	// refusalTimeout bounds the writing of the response to a refused request.
	refusalTimeout = time.Second

	// busyRetryAfter is the Retry-After of requests that are refused for other requests.
	busyRetryAfter = time.Second

	// maxDrained and drainTimeout bound what is read and discarded after a refusal, so
	// that the client receives the response before the connection is reset, and
	// maxDraining the number of connections for which this is done at a time.
	maxDrained   = 512 << 10
	drainTimeout = 500 * time.Millisecond
	maxDraining  = 16
)

// Reasons of refusals.
const (
	ReasonBodyTooLarge    = "bodyTooLarge"
	ReasonHeaderTooLarge  = "headerTooLarge"
	ReasonBusy            = "requestsTooLarge"
	ReasonConnections     = "tooManyConnections"
	ReasonReceiveTimeout  = "receiveTimeout"
	ReasonResponseTimeout = "responseTimeout"
)

// Refusal is a request or connection that the server has refused or closed itself. No
// handler has seen the request, but for ReasonResponseTimeout, whose response was not read.
type Refusal struct {
	// Status is the status of the response, or zero if the connection was closed
	// without one.
	Status int
	Reason string
	// RetryAfter is zero if the same request is never accepted.
	RetryAfter time.Duration
}

var (
	bodyTooLarge       = &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: ReasonBodyTooLarge}
	headerTooLarge     = &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: ReasonHeaderTooLarge}
	busy               = &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonBusy, RetryAfter: busyRetryAfter}
	tooManyConnections = &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonConnections, RetryAfter: busyRetryAfter}
	receivedTooSlowly  = &Refusal{Reason: ReasonReceiveTimeout}
	readTooSlowly      = &Refusal{Reason: ReasonResponseTimeout}
)

// refusedError ends the parsing of a request that the tracker has refused.
type refusedError struct{ refusal *Refusal }

func (e *refusedError) Error() string { return "request refused: " + e.refusal.Reason }

// Options holds the limits of a server. Zero values mean defaults.
type Options struct {
	Limits intake.Limits
	// MaxBody returns the size of the largest request body, in bytes.
	MaxBody func() int64
	// Body returns the body of the response to a refused request. It may be nil.
	Body func(Refusal) []byte
	// Refused, if set, is called for each refusal. It must not block.
	Refused func(Refusal)
}

func (o Options) withDefaults() Options {
	if o.Limits.Bytes == 0 {
		o.Limits.Bytes = defaultMaxHeld
	}
	if o.Limits.Connections == 0 {
		o.Limits.Connections = defaultMaxConnections
	}
	if o.MaxBody == nil {
		o.MaxBody = func() int64 { return defaultMaxBody }
	}
	if o.Limits.SocketBuffer == 0 {
		o.Limits.SocketBuffer = defaultSocketBuffer
	}
	if o.Refused == nil {
		o.Refused = func(Refusal) {}
	}
	return o
}

// response returns the response to a refused request.
func (o *Options) response(r Refusal) []byte {
	var body []byte
	if o.Body != nil {
		body = o.Body(r)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: %d\r\n", r.Status, http.StatusText(r.Status), len(body))
	if len(body) > 0 {
		b.WriteString("Content-Type: application/json\r\n")
	}
	if r.RetryAfter > 0 {
		fmt.Fprintf(&b, "Retry-After: %d\r\n", (r.RetryAfter+time.Second-1)/time.Second)
	}
	b.WriteString("\r\n")
	b.Write(body)
	return []byte(b.String())
}
