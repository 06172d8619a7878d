package front

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

// loopDuty is a kind of work of the owner's loop.
type loopDuty int

const (
	// loopResults is to apply the results of orders.
	loopResults loopDuty = iota
	// loopRequests is to handle requests of callers.
	loopRequests
	// loopStored is to handle the end of an append.
	loopStored
	// loopTopics is to apply records of topics, the configuration and announcements.
	loopTopics
	// loopDecide is to let the cell decide, loopRoute to queue its orders and to encode
	// batches, and loopFlush to encode records.
	loopDecide
	loopRoute
	loopFlush
	numLoopDuties
)

func (d loopDuty) String() string {
	return [numLoopDuties]string{"results", "requests", "stored", "topics", "decide", "route", "flush"}[d]
}

// workLogInterval is the time between lines about the owner's work.
const workLogInterval = 2 * time.Second

// loopTime accounts for the time of the owner's loop. It includes the time for which the
// loop did not get a processor.
type loopTime struct {
	// spent is the time spent on each duty, and calls how often it was begun.
	spent [numLoopDuties]time.Duration
	calls [numLoopDuties]int64
	// logged is the state as of loggedAt, when it was last logged.
	loggedAt time.Time
	logged   struct {
		spent   [numLoopDuties]time.Duration
		calls   [numLoopDuties]int64
		process time.Duration
	}
}

// add adds the time since began to a duty.
func (l *loopTime) add(d loopDuty, began time.Time) {
	l.spent[d] += time.Since(began)
	l.calls[d]++
}

// logFields returns the milliseconds and the number of calls of each duty since the last call,
// and the processor time of the whole process.
func (l *loopTime) logFields(at time.Time, process time.Duration) logrus.Fields {
	fields := logrus.Fields{"elapsedMs": at.Sub(l.loggedAt).Milliseconds(), "processMs": (process - l.logged.process).Milliseconds()}
	for d := range numLoopDuties {
		fields[d.String()+"Ms"] = (l.spent[d] - l.logged.spent[d]).Milliseconds()
		fields[d.String()] = l.calls[d] - l.logged.calls[d]
	}
	l.loggedAt, l.logged.process, l.logged.spent, l.logged.calls = at, process, l.spent, l.calls
	return fields
}

// processTime returns the processor time that this process has used.
func processTime() (time.Duration, error) {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// logWork logs where the time of the loop went, and the time of the whole process.
func (o *owner) logWork(at time.Time) {
	if at.Sub(o.loopTime.loggedAt) < workLogInterval {
		return
	}
	process, err := processTime()
	fields := o.loopTime.logFields(at, process)
	maps.Copy(fields, o.delays.logFields())
	fields["callsPerSecond"], fields["callsLimited"] = o.cell.CallLimit()
	fields["epoch"] = o.record.Epoch
	if err != nil {
		fields["error"] = err.Error()
	}
	o.front.log.Event("owner work", fields)
}
