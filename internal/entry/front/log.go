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
	// maxLinesPerSecond bounds all lines, routinePerSecond those of runs that
	// start and end as they should. A line costs 6 us of a
	// processor (BenchmarkLogLine).
	maxLinesPerSecond        = 500
	maxRoutineLinesPerSecond = 150
	// burstSeconds is how long a burst of lines may be.
	burstSeconds = 3
)

// Log writes one structured line for each decision. It never waits, and it
// counts the lines that it leaves out. Use NewLog.
type Log struct {
	logger         *logrus.Logger
	vm             string
	writer         *asyncwriter.Writer
	limiter        *rate.Limiter
	routineLimiter *rate.Limiter

	mu      sync.Mutex
	skipped int64
}

// NewLog returns a log that writes nothing before Run is called.
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

// Run writes lines until the context ends.
func (l *Log) Run(ctx context.Context) error { return l.writer.Run(ctx) }

// Event writes a line about the process or its dependencies.
func (l *Log) Event(event string, fields logrus.Fields) { l.writeLine(event, fields) }

// writeLine writes a line and keeps the fields.
func (l *Log) writeLine(event string, fields logrus.Fields) {
	if fields == nil {
		fields = logrus.Fields{}
	}
	fields["vm"] = l.vm
	(&logrus.Entry{Logger: l.logger, Data: fields}).Info(event)
}

// Note writes a line about a decision of the cell.
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

// Request writes a line about a call of a caller.
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
	l.skipped++
	l.mu.Unlock()
	return false
}

// Dropped returns the number of lines that were not written.
func (l *Log) Dropped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.skipped + l.writer.Dropped()
}
