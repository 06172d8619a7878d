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
	// initialLineBytes is the length of a long line, in bytes.
	initialLineBytes = 512
)

// unescaped holds the bytes that stand for themselves in a text.
var unescaped = func() (p [256]bool) {
	for c := range p {
		p[c] = c >= ' ' && c < utf8.RuneSelf-1 && !strings.ContainsRune(`"\<>&`, rune(c))
	}
	return p
}()

// jsonFormatter writes lines as logrus.JSONFormatter does, with the time of logTime.
// It appends the kinds of values that lines are made of; that one copies the
// fields and has them found out by reflection.
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
			return nil, fmt.Errorf("field %s of a line: %w", key, err)
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
			// A string can always be encoded.
			text, _ := json.Marshal(s)
			return append(b, text...)
		}
	}
	return append(append(append(b, '"'), s...), '"')
}
