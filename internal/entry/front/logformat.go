package front

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/sirupsen/logrus"
)

const (
	timestampLayout = "2006-01-02T15:04:05.000Z07:00"
	// initialLineBytes is the buffer capacity reserved for a line. It suffices for a
	// long line.
	initialLineBytes = 512
)

// unescaped marks the bytes that need no escaping in a JSON string.
var unescaped = func() (p [256]bool) {
	for c := range p {
		p[c] = c >= ' ' && c < utf8.RuneSelf-1 && !strings.ContainsRune(`"\<>&`, rune(c))
	}
	return p
}()

// jsonFormatter writes the same lines as logrus.JSONFormatter with timestampLayout. It
// appends the common value types directly, which avoids the copy of the fields and the
// reflection of logrus.JSONFormatter.
type jsonFormatter struct{}

// Format implements logrus.Formatter.
func (jsonFormatter) Format(e *logrus.Entry) ([]byte, error) {
	const standardFields = 3 // level, msg and time
	keys := make([]string, 0, 16)
	for key := range e.Data {
		keys = append(keys, key)
	}
	keys = append(keys, logrus.FieldKeyLevel, logrus.FieldKeyMsg, logrus.FieldKeyTime)
	custom := len(keys) - standardFields
	for i, key := range keys[:custom] {
		if slices.Contains(keys[custom:], key) {
			keys[i] = "fields." + key
		}
	}
	slices.Sort(keys)
	var b []byte
	if e.Buffer != nil {
		e.Buffer.Grow(initialLineBytes)
		b = e.Buffer.AvailableBuffer()
	}
	b = append(b, '{')
	for i, key := range keys {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(appendString(b, key), ':')
		var err error
		switch key {
		case logrus.FieldKeyLevel:
			b = appendString(b, e.Level.String())
		case logrus.FieldKeyMsg:
			b = appendString(b, e.Message)
		case logrus.FieldKeyTime:
			b = append(b, '"')
			b = append(e.Time.AppendFormat(b, timestampLayout), '"')
		default:
			v, present := e.Data[key]
			if !present {
				v = e.Data[key[len("fields."):]]
			}
			b, err = appendValue(b, v)
		}
		if err != nil {
			return nil, fmt.Errorf("encode log field %s: %w", key, err)
		}
	}
	return append(b, '}', '\n'), nil
}

func appendValue(b []byte, v any) ([]byte, error) {
	switch v := v.(type) {
	case string:
		return appendString(b, v), nil
	case int:
		return strconv.AppendInt(b, int64(v), 10), nil
	case int64:
		return strconv.AppendInt(b, v, 10), nil
	case uint32:
		return strconv.AppendUint(b, uint64(v), 10), nil
	case uint64:
		return strconv.AppendUint(b, v, 10), nil
	case bool:
		return strconv.AppendBool(b, v), nil
	case error:
		return appendString(b, v.Error()), nil
	}
	data, err := json.Marshal(v)
	return append(b, data...), err
}

func appendString(b []byte, s string) []byte {
	for i := range len(s) {
		if !unescaped[s[i]] {
			// Marshalling a string cannot fail.
			text, _ := json.Marshal(s)
			return append(b, text...)
		}
	}
	return append(append(append(b, '"'), s...), '"')
}
