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
	// surplus is set if another response followed the first one.
	surplus bool
}

// reset prepares for the next call. Each call has its own parser, so surplus data
// after a response is not taken for the next response.
func (a *response) reset(parserEngine *nbhttp.Engine) {
	*a = response{keepsHeader: a.keepsHeader}
	if a.keepsHeader {
		a.header = make(http.Header)
	}
	a.parser = nbhttp.NewParser(nil, parserEngine, a, true, nil)
}

// OnProto implements nbhttp.Processor.
func (a *response) OnProto(_ *nbhttp.Parser, proto string) error {
	if a.complete {
		a.surplus = true
		return nil
	}
	var ok bool
	if a.major, a.minor, ok = http.ParseHTTPVersion(proto); !ok {
		return fmt.Errorf("malformed HTTP version %q", proto)
	}
	a.proto = proto
	return nil
}

// OnStatus implements nbhttp.Processor.
func (a *response) OnStatus(_ *nbhttp.Parser, code int, status string) {
	if !a.complete {
		a.code, a.status = code, status
	}
}

// OnHeader implements nbhttp.Processor.
func (a *response) OnHeader(_ *nbhttp.Parser, key, value string) {
	if a.complete {
		return
	}
	if key == headerConnection && value == "close" {
		a.closes = true
	}
	if a.keepsHeader {
		a.header.Add(key, value)
	}
}

// OnBody implements nbhttp.Processor.
func (a *response) OnBody(_ *nbhttp.Parser, data []byte) error {
	if !a.complete {
		a.body = append(a.body, data...)
	}
	return nil
}

// OnTrailerHeader implements nbhttp.Processor.
func (a *response) OnTrailerHeader(_ *nbhttp.Parser, key, value string) {
	if a.complete || !a.keepsHeader {
		return
	}
	if a.trailer == nil {
		a.trailer = make(http.Header)
	}
	a.trailer.Add(key, value)
}

// OnComplete implements nbhttp.Processor.
func (a *response) OnComplete(*nbhttp.Parser) { a.complete = true }

// httpResponse converts the response for net/http.
func (a *response) httpResponse(req *http.Request) *http.Response {
	return &http.Response{
		Status: a.status, StatusCode: a.code, Proto: a.proto, ProtoMajor: a.major, ProtoMinor: a.minor,
		Header: a.header, Trailer: a.trailer, ContentLength: int64(len(a.body)),
		Body: io.NopCloser(bytes.NewReader(a.body)), Request: req,
	}
}
