package httpserver

import (
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// requestTracker is a processor that records whether the parser is within a request, and
// refuses requests that exceed the limits before the next processor keeps their bytes.
type requestTracker struct {
	nbhttp.Processor
	server *Server
	conn   *conn

	// inRequest is set while the parser is within a request, inBody once it has passed
	// its head, and inHandler while its handler runs.
	inRequest, inBody, inHandler bool
	// ended is set if a request has ended since begin.
	ended bool
	// received is the number of bytes of the current request that were read, including
	// those before it in the same read.
	received int64
	fields   int
	// body is the size of the body so far, maxBody its limit.
	body, maxBody int64
	refusal       *Refusal
}

// begin records that n bytes were read and are about to be parsed.
func (t *requestTracker) begin(n int) {
	t.ended = false
	t.received += int64(n)
}

// check returns the refusal of a request whose parsed part is too large. The parser has
// parsed all n bytes of the last read.
func (t *requestTracker) check(n int) *Refusal {
	if t.ended {
		// Where in the read the current request began is not known. All of the read is
		// counted, which is little beside the limits.
		t.received = int64(n)
	}
	switch {
	case t.refusal != nil || !t.inRequest:
	case !t.inBody && t.received > maxHead:
		t.refusal = headerTooLarge
	case t.inBody && t.received > 2*maxHead+maxEncoding*t.maxBody:
		t.refusal = bodyTooLarge
	}
	return t.refusal
}

// OnMethod implements nbhttp.Processor. It is called at the start of a request.
func (t *requestTracker) OnMethod(parser *nbhttp.Parser, method string) {
	t.inRequest, t.inBody = true, false
	t.fields, t.body = 0, 0
	t.Processor.OnMethod(parser, method)
}

// OnHeader implements nbhttp.Processor.
func (t *requestTracker) OnHeader(parser *nbhttp.Parser, key, value string) {
	if t.countField() {
		t.Processor.OnHeader(parser, key, value)
	}
}

// OnTrailerHeader implements nbhttp.Processor.
func (t *requestTracker) OnTrailerHeader(parser *nbhttp.Parser, key, value string) {
	if t.countField() {
		t.Processor.OnTrailerHeader(parser, key, value)
	}
}

// countField counts a field and reports whether it may be kept.
func (t *requestTracker) countField() bool {
	t.fields++
	if t.fields > maxFields {
		t.refusal = headerTooLarge
	}
	return t.refusal == nil
}

// OnContentLength implements nbhttp.Processor. It is called at the end of the head, with a
// negative length if the body has chunks.
func (t *requestTracker) OnContentLength(parser *nbhttp.Parser, length int) {
	t.inBody = true
	t.maxBody = t.server.options.MaxBody()
	if int64(length) > t.maxBody {
		t.refusal = bodyTooLarge
	}
	t.Processor.OnContentLength(parser, length)
}

// OnBody implements nbhttp.Processor.
func (t *requestTracker) OnBody(parser *nbhttp.Parser, data []byte) error {
	t.body += int64(len(data))
	if t.refusal == nil && t.body > t.maxBody {
		t.refusal = bodyTooLarge
	}
	if t.refusal != nil {
		return &refusedError{t.refusal}
	}
	return t.Processor.OnBody(parser, data)
}

// OnComplete implements nbhttp.Processor. It returns after the response. A request that was
// refused does not reach its handler, nor does one that follows it on its connection.
func (t *requestTracker) OnComplete(parser *nbhttp.Parser) {
	t.ended = true
	if t.refusal == nil && !t.server.run(t.conn) {
		t.refusal = busy
	}
	if t.refusal != nil {
		return
	}
	t.inHandler = true
	t.Processor.OnComplete(parser)
	t.inHandler = false
	t.inRequest, t.received = false, 0
	t.server.done(time.Now(), t.conn)
}
