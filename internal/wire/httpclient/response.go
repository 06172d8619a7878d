package httpclient

import (
	"bytes"
	"fmt"
	"io"
	"net/http"

	"github.com/lesismal/nbio/nbhttp"
)

// response collects the parts of a response as nbhttp's parser delivers them.
type response struct {
	nbhttp.EmptyProcessor
	parser *nbhttp.Parser

	// proto is the version as sent (HTTP/1.1), status the reason phrase.
	proto, status   string
	code            int
	major, minor    int
	header, trailer http.Header
	body            []byte
	// complete is set once the parser has reached the end of the response.
	complete bool
	// keepsHeader is set if header and trailer fields are collected.
	keepsHeader bool
	// closes is set if the server closes the connection after the response.
	closes bool
	// read is the number of bytes that were read, and taken those that count for the
	// client's budget. announced is the size of the body according to its header.
	read, taken, announced int64
	// headRead is set once the parser has passed the header.
	headRead bool
	// surplus is set if another response followed the first one.
	surplus bool
}

// reset prepares for the next call. Each call has its own parser, so surplus data
// after a response is not taken for the next response.
func (r *response) reset(parserEngine *nbhttp.Engine) {
	*r = response{keepsHeader: r.keepsHeader}
	if r.keepsHeader {
		r.header = make(http.Header)
	}
	r.parser = nbhttp.NewParser(nil, parserEngine, r, true, nil)
}

// OnProto implements nbhttp.Processor.
func (r *response) OnProto(_ *nbhttp.Parser, proto string) error {
	if r.complete {
		r.surplus = true
		return nil
	}
	var ok bool
	if r.major, r.minor, ok = http.ParseHTTPVersion(proto); !ok {
		return fmt.Errorf("malformed HTTP version %q", proto)
	}
	r.proto = proto
	return nil
}

// OnStatus implements nbhttp.Processor.
func (r *response) OnStatus(_ *nbhttp.Parser, code int, status string) {
	if !r.complete {
		r.code, r.status = code, status
	}
}

// OnHeader implements nbhttp.Processor.
func (r *response) OnHeader(_ *nbhttp.Parser, key, value string) {
	if r.complete {
		return
	}
	if key == headerConnection && value == "close" {
		r.closes = true
	}
	if r.keepsHeader {
		r.header.Add(key, value)
	}
}

// OnContentLength implements nbhttp.Processor. It is called at the end of the header.
func (r *response) OnContentLength(_ *nbhttp.Parser, length int) {
	if !r.complete {
		r.headRead, r.announced = true, int64(length)
	}
}

// OnBody implements nbhttp.Processor.
func (r *response) OnBody(_ *nbhttp.Parser, data []byte) error {
	if !r.complete {
		r.body = append(r.body, data...)
	}
	return nil
}

// OnTrailerHeader implements nbhttp.Processor.
func (r *response) OnTrailerHeader(_ *nbhttp.Parser, key, value string) {
	if r.complete || !r.keepsHeader {
		return
	}
	if r.trailer == nil {
		r.trailer = make(http.Header)
	}
	r.trailer.Add(key, value)
}

// OnComplete implements nbhttp.Processor.
func (r *response) OnComplete(*nbhttp.Parser) { r.complete = true }

// httpResponse converts the response for net/http.
func (r *response) httpResponse(req *http.Request) *http.Response {
	return &http.Response{
		Status: r.status, StatusCode: r.code, Proto: r.proto, ProtoMajor: r.major, ProtoMinor: r.minor,
		Header: r.header, Trailer: r.trailer, ContentLength: int64(len(r.body)),
		Body: io.NopCloser(bytes.NewReader(r.body)), Request: req,
	}
}
