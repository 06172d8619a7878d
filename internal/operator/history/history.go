// Package history extracts the log lines about one job, and about the workers that it ran
// at, from the logs of several entry VMs and sorts them by time.
package history

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLine bounds the length of a log line, in bytes. Longer ones are not parsed.
const maxLine = 1 << 20

// Line is a log line about a job.
type Line struct {
	At     time.Time
	VM     string
	Event  string
	Task   string
	Worker string
	Run    int
	Epoch  uint64
	// Detail holds the reasons for a decision, or the outcome of a call.
	Detail string
}

// History holds the log lines about a job.
type History struct {
	Lines []Line
	// workerLines holds the lines about workers that name no job.
	workerLines []Line
	// UnparsedLines is the number of lines without a JSON record, and of overlong ones.
	UnparsedLines int
}

// logRecord holds the fields of a log line that history prints.
type logRecord struct {
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

// Read adds the lines about a job from a log. It skips text before the JSON record of
// a line, because log collectors prepend a time and a name.
func (h *History) Read(r io.Reader, job string) error {
	reader := bufio.NewReaderSize(r, 64<<10)
	for {
		text, err := readLine(reader)
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("read log: %w", err)
		}
		h.addLine(text, job)
		if err != nil {
			return nil
		}
	}
}

// readLine returns the next line, of an overlong one only the beginning. The error is
// io.EOF if it is the last line, which may be empty.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		if len(line) <= maxLine {
			line = append(line, part...)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// addLine adds a line of a log if it is about a job.
func (h *History) addLine(text []byte, job string) {
	if len(bytes.TrimSpace(text)) == 0 {
		return
	}
	start := bytes.IndexByte(text, '{')
	var record logRecord
	if start < 0 || len(text) > maxLine || json.Unmarshal(text[start:], &record) != nil {
		h.UnparsedLines++
		return
	}
	switch {
	case record.Job == job:
		h.Lines = append(h.Lines, record.toLine())
	case record.Job == "" && record.Worker != "":
		h.workerLines = append(h.workerLines, record.toLine())
	}
}

// toLine converts a record to a line. A record of a call has its outcome as detail.
func (r *logRecord) toLine() Line {
	line := Line{At: r.Time, VM: r.VM, Event: r.Message, Task: r.Task, Worker: r.Worker, Run: r.Run, Epoch: r.Epoch, Detail: r.Detail}
	if r.Method != "" {
		line.Event = "call " + r.Method
		parts := []string{fmt.Sprintf("status %d after %d ms", r.Status, r.Milliseconds), fmt.Sprintf("configuration %d", r.Configuration)}
		if r.Reason != "" {
			parts = append(parts, "reason "+r.Reason)
		}
		line.Detail = strings.Join(parts, ", ")
	}
	return line
}

// linesByTime returns the lines sorted by time, with those about workers of the job in
// between.
func (h *History) linesByTime() []Line {
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	lines := slices.SortedStableFunc(slices.Values(h.Lines), byTime)
	if len(lines) == 0 {
		return nil
	}
	first, last := lines[0].At, lines[len(lines)-1].At
	workers := make(map[string]bool)
	for _, l := range lines {
		workers[l.Worker] = true
	}
	for _, l := range h.workerLines {
		if workers[l.Worker] && !l.At.Before(first) && !l.At.After(last) {
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, byTime)
	return lines
}

// Write prints the lines by time.
func (h *History) Write(w io.Writer) error {
	for _, l := range h.linesByTime() {
		var fields []string
		if l.Task != "" {
			fields = append(fields, l.Task)
		}
		if l.Run > 0 {
			fields = append(fields, fmt.Sprintf("run %d", l.Run))
		}
		if l.Worker != "" {
			fields = append(fields, "on "+l.Worker)
		}
		if l.Epoch > 0 {
			fields = append(fields, fmt.Sprintf("epoch %d", l.Epoch))
		}
		if _, err := fmt.Fprintf(w, "%s  %-24s %-18s %s  %s\n", l.At.UTC().Format("15:04:05.000"), l.VM, l.Event, strings.Join(fields, " "), l.Detail); err != nil {
			return fmt.Errorf("write history: %w", err)
		}
	}
	return nil
}
