// Package history puts the log lines of several entry VMs about one job in
// order.
package history

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLine bounds a line of a log, in bytes. Longer lines are counted and left out.
const maxLine = 1 << 20

// Line is a decision about a job.
type Line struct {
	At     time.Time
	VM     string
	Event  string
	Task   string
	Worker string
	Run    int
	Epoch  uint64
	// Detail holds what decided, or the outcome of a call.
	Detail string
}

// History is what the logs say of a job.
type History struct {
	Lines []Line
	// Unreadable is the number of lines that are no log lines.
	Unreadable int
}

type logLine struct {
	Time          time.Time `json:"time"`
	VM            string    `json:"vm"`
	Message       string    `json:"msg"`
	Job           string    `json:"job"`
	Task          string    `json:"task"`
	Worker        string    `json:"worker"`
	Run           int       `json:"run"`
	Epoch         uint64    `json:"epoch"`
	Detail        string    `json:"detail"`
	Method        string    `json:"method"`
	Status        int       `json:"status"`
	Reason        string    `json:"reason"`
	Configuration uint64    `json:"configuration"`
	Milliseconds  int64     `json:"ms"`
}

// Read adds the lines about a job from a log. Text before the JSON of a line is
// passed over, as collectors add time and name.
func (h *History) Read(r io.Reader, job string) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		if len(bytes.TrimSpace(text)) == 0 {
			continue
		}
		start := bytes.IndexByte(text, '{')
		var l logLine
		if start < 0 || json.Unmarshal(text[start:], &l) != nil {
			h.Unreadable++
			continue
		}
		if l.Job == job {
			h.Lines = append(h.Lines, l.line())
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	return nil
}

func (l *logLine) line() Line {
	out := Line{At: l.Time, VM: l.VM, Event: l.Message, Task: l.Task, Worker: l.Worker, Run: l.Run, Epoch: l.Epoch, Detail: l.Detail}
	if l.Method != "" {
		out.Event = "call " + l.Method
		parts := []string{fmt.Sprintf("status %d after %d ms", l.Status, l.Milliseconds), fmt.Sprintf("configuration %d", l.Configuration)}
		if l.Reason != "" {
			parts = append(parts, "reason "+l.Reason)
		}
		out.Detail = strings.Join(parts, ", ")
	}
	return out
}

// Write prints the lines in the order of their times.
func (h *History) Write(w io.Writer) error {
	slices.SortStableFunc(h.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	for _, l := range h.Lines {
		var where []string
		if l.Task != "" {
			where = append(where, l.Task)
		}
		if l.Run > 0 {
			where = append(where, fmt.Sprintf("run %d", l.Run))
		}
		if l.Worker != "" {
			where = append(where, "on "+l.Worker)
		}
		if l.Epoch > 0 {
			where = append(where, fmt.Sprintf("epoch %d", l.Epoch))
		}
		if _, err := fmt.Fprintf(w, "%s  %-24s %-18s %s  %s\n", l.At.UTC().Format("15:04:05.000"), l.VM, l.Event, strings.Join(where, " "), l.Detail); err != nil {
			return fmt.Errorf("write history: %w", err)
		}
	}
	return nil
}
