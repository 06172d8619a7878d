package front

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/run/asyncwriter"
)

const (
	// maxLinesPerSecond limits all lines, maxRoutineLinesPerSecond the lines about runs
	// that start and end normally. Writing a line takes 6 µs of processor time
	// (BenchmarkLogLine).
	maxLinesPerSecond        = 500
	maxRoutineLinesPerSecond = 150
	// burstSeconds is the burst size of the limits, in seconds at the full rate.
	burstSeconds = 3
)

// Log writes structured log lines without blocking. Lines beyond the rate limits or the
// buffer are dropped and counted. Use NewLog.
type Log struct {
	logger         *logrus.Logger
	vm             string
	writer         *asyncwriter.Writer
	limiter        *rate.Limiter
	routineLimiter *rate.Limiter

	mu sync.Mutex
	// rateLimited is the number of lines dropped by the rate limits.
	rateLimited int64
}

// NewLog returns a log that buffers lines until Run is called.
func NewLog(out io.Writer, vm bamboofall.VMID) *Log {
	w := asyncwriter.New(out)
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(jsonFormatter{})
	return &Log{
		logger: l, vm: string(vm), writer: w,
		limiter:        rate.NewLimiter(maxLinesPerSecond, maxLinesPerSecond*burstSeconds),
		routineLimiter: rate.NewLimiter(maxRoutineLinesPerSecond, maxRoutineLinesPerSecond*burstSeconds),
	}
}

// Run writes lines until the context is cancelled.
func (l *Log) Run(ctx context.Context) error { return l.writer.Run(ctx) }

// Event logs an event of the process or its dependencies. It is not rate-limited.
func (l *Log) Event(event string, fields logrus.Fields) { l.writeLine(event, fields) }

// writeLine writes a line. It modifies and retains fields.
func (l *Log) writeLine(event string, fields logrus.Fields) {
	if fields == nil {
		fields = logrus.Fields{}
	}
	fields["vm"] = l.vm
	(&logrus.Entry{Logger: l.logger, Data: fields}).Info(event)
}

// Note logs a decision of the cell, unless it exceeds the rate limits.
func (l *Log) Note(epoch uint64, n cell.Note) {
	if !l.allow(n.Routine) {
		return
	}
	fields := logrus.Fields{"epoch": epoch}
	add := func(key, value string) {
		if value != "" {
			fields[key] = value
		}
	}
	add("job", string(n.Job))
	add("task", n.Task)
	add("worker", n.Worker)
	add("detail", n.Detail)
	if n.Run > 0 {
		fields["run"] = n.Run
	}
	l.writeLine(n.Event, fields)
}

// Request logs a caller's request, unless it exceeds the rate limits.
func (l *Log) Request(routine bool, fields logrus.Fields) {
	if l.allow(routine) {
		l.writeLine("call", fields)
	}
}

func (l *Log) allow(routine bool) bool {
	at := time.Now()
	if (!routine || l.routineLimiter.AllowN(at, 1)) && l.limiter.AllowN(at, 1) {
		return true
	}
	l.mu.Lock()
	l.rateLimited++
	l.mu.Unlock()
	return false
}

// Dropped returns the number of dropped lines.
func (l *Log) Dropped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rateLimited + l.writer.Dropped()
}
