package inifile

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Decoder decodes the values of a section and collects errors. A key that was never
// decoded is an error, too.
type Decoder struct {
	section Section
	// label precedes error messages; it may be empty.
	label string
	// requested holds the keys that were decoded.
	requested map[string]bool
	errs      []error
}

// NewDecoder returns a decoder of a section. The label precedes error messages; it may
// be empty.
func NewDecoder(s Section, label string) *Decoder {
	return &Decoder{section: s, label: label, requested: make(map[string]bool)}
}

// Errors returns the errors found so far, and one for each key that was not decoded.
func (d *Decoder) Errors() []error {
	errs := d.errs
	for _, k := range d.section.Keys {
		if !d.requested[k.Name] {
			errs = append(errs, d.errorAtLine(k.Line, fmt.Sprintf("unknown key %q", k.Name)))
		}
	}
	return errs
}

// Fail adds an error at the line of a key, or of the section if the key is not set.
func (d *Decoder) Fail(key, format string, args ...any) {
	line := d.section.Line
	if k, ok := d.find(key); ok {
		line = k.Line
	}
	d.errs = append(d.errs, d.errorAtLine(line, fmt.Sprintf(format, args...)))
}

func (d *Decoder) errorAtLine(line int, message string) error {
	if d.label != "" {
		message = d.label + ": " + message
	}
	return &Error{File: d.section.File, Line: line, Message: message}
}

func (d *Decoder) find(key string) (Key, bool) {
	for _, k := range d.section.Keys {
		if k.Name == key {
			return k, true
		}
	}
	return Key{}, false
}

// Has reports whether a key has a value that is not empty.
func (d *Decoder) Has(key string) bool {
	k, ok := d.find(key)
	return ok && k.Value != ""
}

// String returns the text of a key. A missing required key is an error.
func (d *Decoder) String(key string, required bool) string {
	d.requested[key] = true
	k, _ := d.find(key)
	if k.Value == "" && required {
		d.Fail(key, "key %q is missing", key)
	}
	return k.Value
}

// List returns the elements of a comma-separated list, without empty ones.
func (d *Decoder) List(key string) []string {
	var parts []string
	for _, part := range strings.Split(d.String(key, false), ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

// parseValue parses the value of a key. It returns the default if the key is not set
// or its value does not parse.
func parseValue[T any](d *Decoder, key string, def T, parse func(string) (T, error)) T {
	text := d.String(key, false)
	if text == "" {
		return def
	}
	v, err := parse(text)
	if err != nil {
		d.Fail(key, "%s = %q: %v", key, text, err)
		return def
	}
	return v
}

// Int returns an integer from low to high.
func (d *Decoder) Int(key string, def, low, high int64) int64 {
	return parseValue(d, key, def, func(text string) (int64, error) {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("not an integer")
		}
		return n, inRange(n, low, high)
	})
}

func inRange(n, low, high int64) error {
	if n < low || n > high {
		return fmt.Errorf("not between %d and %d", low, high)
	}
	return nil
}

// Float returns a number from low to high.
func (d *Decoder) Float(key string, def, low, high float64) float64 {
	return parseValue(d, key, def, func(text string) (float64, error) {
		f, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return 0, fmt.Errorf("not a number")
		}
		if !(f >= low && f <= high) {
			return 0, fmt.Errorf("not between %g and %g", low, high)
		}
		return f, nil
	})
}

// Bool returns a boolean in the formats of strconv.ParseBool.
func (d *Decoder) Bool(key string, def bool) bool {
	return parseValue(d, key, def, strconv.ParseBool)
}

// Duration returns a duration from low to high, written like 250ms.
func (d *Decoder) Duration(key string, def, low, high time.Duration) time.Duration {
	return parseValue(d, key, def, func(text string) (time.Duration, error) {
		duration, err := time.ParseDuration(text)
		if err != nil {
			return 0, fmt.Errorf("not a duration such as 250ms")
		}
		if duration < low || duration > high {
			return 0, fmt.Errorf("not between %v and %v", low, high)
		}
		return duration, nil
	})
}

// AddrPort returns an IP address with a port.
func (d *Decoder) AddrPort(key string, required bool) netip.AddrPort {
	if required {
		d.String(key, true)
	}
	return parseValue(d, key, netip.AddrPort{}, netip.ParseAddrPort)
}

// AddrPorts returns the addresses with ports of a comma-separated list.
func (d *Decoder) AddrPorts(key string) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, part := range d.List(key) {
		addr, err := netip.ParseAddrPort(part)
		if err != nil {
			d.Fail(key, "%s: %v", key, err)
			continue
		}
		addrs = append(addrs, addr)
	}
	return addrs
}

// byteUnits lists the units of Bytes with their sizes in bytes. B comes last because
// the other units end in B.
var byteUnits = []struct {
	suffix string
	bytes  int64
}{{"GB", 1e9}, {"MB", 1e6}, {"KB", 1e3}, {"B", 1}}

// Bytes returns a number of bytes from low to high, written with a unit like 2GB.
func (d *Decoder) Bytes(key string, def, low, high int64) int64 {
	return parseValue(d, key, def, func(text string) (int64, error) {
		for _, u := range byteUnits {
			number, ok := strings.CutSuffix(text, u.suffix)
			if !ok {
				continue
			}
			f, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
			if err != nil {
				break
			}
			n := int64(f * float64(u.bytes))
			return n, inRange(n, low, high)
		}
		return 0, fmt.Errorf("not a size such as 2GB")
	})
}
