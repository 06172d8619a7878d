package httpclient

import (
	"bytes"
	"fmt"
	"strconv"
)

// write writes the request in wire format. It fails if the request line or a header
// field is malformed.
func (r *Request) write(buf *bytes.Buffer) error {
	b := buf.AvailableBuffer()
	if !isToken(r.Method) || !isVisible(r.Target) || !isVisible(r.Host) {
		return fmt.Errorf("malformed method, host or target %q", r.Target)
	}
	b = append(append(append(b, r.Method...), ' '), r.Target...)
	b = append(append(b, " HTTP/1.1\r\nHost: "...), r.Host...)
	for _, f := range r.Header {
		if !isToken(f.Name) || !isFieldValue(f.Value) {
			return fmt.Errorf("malformed header field %q", f.Name)
		}
		b = append(append(append(append(b, "\r\n"...), f.Name...), ": "...), f.Value...)
	}
	if len(r.Body) > 0 || r.Method != "GET" {
		b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(r.Body)), 10)
	}
	b = append(append(b, "\r\n\r\n"...), r.Body...)
	_, err := buf.Write(b)
	return err
}

// isToken reports whether s is a non-empty method or field name of letters, digits and
// hyphens, the subset of HTTP tokens that is used here.
func isToken(s string) bool {
	for _, c := range []byte(s) {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return s != ""
}

// isVisible reports whether s is not empty and has only visible ASCII characters, so
// that it can stand in a request line.
func isVisible(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return s != ""
}

// isFieldValue reports whether s has no control characters.
func isFieldValue(s string) bool {
	for _, c := range []byte(s) {
		if c < ' ' || c == 0x7f {
			return false
		}
	}
	return true
}
