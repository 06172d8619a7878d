package httpclient

import (
	"fmt"
	"sync/atomic"

	"bamboofall.example/bamboofall/internal/wire/intake"
)

const (
	// maxHead bounds the status line and the header fields of a response, in bytes.
	maxHead = 64 << 10
	// maxEncoding is the size of a response body as it is sent, relative to its own.
	maxEncoding = 2
)

// defaultResponseLimits are the limits of clients without limits of their own.
var defaultResponseLimits = intake.ResponseLimits{Bytes: 32 << 20, AllBytes: 256 << 20, AlwaysBytes: 64 << 10}

// ResponseTooLargeError reports a response that exceeds a limit of the client. Its
// connection is closed, and the outcome of the call is unknown.
type ResponseTooLargeError struct {
	Address string
	// Bytes is the size that was announced, or read so far.
	Bytes int64
	// Shared is set if the responses of several calls together were too large.
	Shared bool
}

func (e *ResponseTooLargeError) Error() string {
	if e.Shared {
		return fmt.Sprintf("response from %s exceeds the memory for responses (%d bytes read)", e.Address, e.Bytes)
	}
	return fmt.Sprintf("response from %s is too large (%d bytes)", e.Address, e.Bytes)
}

// responseBudget is the memory that the calls of a client share for their responses.
type responseBudget struct {
	limits intake.ResponseLimits
	held   atomic.Int64
}

// take records that n bytes of a response were read and parsed.
func (b *responseBudget) take(address string, r *response, n int) error {
	r.read += int64(n)
	switch {
	case r.announced > b.limits.Bytes:
		return &ResponseTooLargeError{Address: address, Bytes: r.announced}
	case !r.headRead && r.read > maxHead, r.read > maxHead+maxEncoding*b.limits.Bytes, int64(len(r.body)) > b.limits.Bytes:
		return &ResponseTooLargeError{Address: address, Bytes: r.read}
	}
	r.taken += int64(n)
	if all := b.held.Add(int64(n)); all > b.limits.AllBytes && r.read > b.limits.AlwaysBytes {
		return &ResponseTooLargeError{Address: address, Bytes: r.read, Shared: true}
	}
	return nil
}

// release records that the call of a response has ended.
func (b *responseBudget) release(r *response) {
	b.held.Add(-r.taken)
	r.taken = 0
}
