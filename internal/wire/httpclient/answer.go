package httpclient

import (
	"bytes"
	"fmt"
	"io"
	"net/http"

	"github.com/lesismal/nbio/nbhttp"
)

// answer gathers an answer for nbhttp's parser.
type answer struct {
	nbhttp.EmptyProcessor
	parser *nbhttp.Parser

	proto, status   string
	code            int
	major, minor    int
	header, trailer http.Header
	body            []byte
	whole           bool
	wantsHeader     bool
	// last is set if the other end closes the connection after the answer.
	last bool
	// extra is set if more than one answer came.
	extra bool
}

// reset makes an answer ready for the next call. It has a parser of its own, so
// nothing that came after an answer is taken for the next one.
func (a *answer) reset(limits *nbhttp.Engine) {
	*a = answer{wantsHeader: a.wantsHeader}
	if a.wantsHeader {
		a.header = make(http.Header)
	}
	a.parser = nbhttp.NewParser(nil, limits, a, true, nil)
}

// OnProto implements nbhttp.Processor.
func (a *answer) OnProto(_ *nbhttp.Parser, proto string) error {
	if a.whole {
		a.extra = true
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
func (a *answer) OnStatus(_ *nbhttp.Parser, code int, status string) {
	if !a.whole {
		a.code, a.status = code, status
	}
}

// OnHeader implements nbhttp.Processor.
func (a *answer) OnHeader(_ *nbhttp.Parser, key, value string) {
	if a.whole {
		return
	}
	if key == headerConnection && value == "close" {
		a.last = true
	}
	if a.wantsHeader {
		a.header.Add(key, value)
	}
}

// OnBody implements nbhttp.Processor.
func (a *answer) OnBody(_ *nbhttp.Parser, data []byte) error {
	if !a.whole {
		a.body = append(a.body, data...)
	}
	return nil
}

// OnTrailerHeader implements nbhttp.Processor.
func (a *answer) OnTrailerHeader(_ *nbhttp.Parser, key, value string) {
	if a.whole || !a.wantsHeader {
		return
	}
	if a.trailer == nil {
		a.trailer = make(http.Header)
	}
	a.trailer.Add(key, value)
}

// OnComplete implements nbhttp.Processor.
func (a *answer) OnComplete(*nbhttp.Parser) { a.whole = true }

// response returns the answer as net/http tells it.
func (a *answer) response(req *http.Request) *http.Response {
	return &http.Response{
		Status: a.status, StatusCode: a.code, Proto: a.proto, ProtoMajor: a.major, ProtoMinor: a.minor,
		Header: a.header, Trailer: a.trailer, ContentLength: int64(len(a.body)),
		Body: io.NopCloser(bytes.NewReader(a.body)), Request: req,
	}
}
