package httpclient

import (
	"bytes"
	"fmt"
	"strconv"
)

// write writes a request as it goes over the wire.
func (r *Request) write(out *bytes.Buffer) error {
	b := out.AvailableBuffer()
	if !isToken(r.Method) || !isVisible(r.Target) || !isVisible(r.Host) {
		return fmt.Errorf("request line of %q", r.Target)
	}
	b = append(append(append(b, r.Method...), ' '), r.Target...)
	b = append(append(b, " HTTP/1.1\r\nHost: "...), r.Host...)
	for _, f := range r.Header {
		if !isToken(f.Name) || !isFieldValue(f.Value) {
			return fmt.Errorf("field %q of a request", f.Name)
		}
		b = append(append(append(append(b, "\r\n"...), f.Name...), ": "...), f.Value...)
	}
	if len(r.Body) > 0 || r.Method != "GET" {
		b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(r.Body)), 10)
	}
	b = append(append(b, "\r\n\r\n"...), r.Body...)
	_, err := out.Write(b)
	return err
}

// isToken reports whether a text is a name as HTTP takes it, of the letters that
// the project uses.
func isToken(s string) bool {
	for _, c := range []byte(s) {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return s != ""
}

// isVisible reports whether a text has neither spaces nor control characters.
func isVisible(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return s != ""
}

func isFieldValue(s string) bool {
	for _, c := range []byte(s) {
		if c < ' ' || c == 0x7f {
			return false
		}
	}
	return true
}
