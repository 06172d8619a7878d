package front

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"bamboofall.example/bamboofall/internal/jobs/cell"
)

const (
	// delayWindow is the time over which the waits in the owner are averaged. It
	// spans two periods of a processor quota of 100 ms.
	delayWindow = 250 * time.Millisecond
	// delayWeight is the weight of the newest window in the owner's delay: one
	// late window does not make an owner slow, three do.
	delayWeight = 0.5
	// minWorkersCalled is the number of workers that must have been called in a window
	// for the time of the faster calls to tell of the owner and not of them.
	minWorkersCalled = 8
	// slowLogInterval is the time between lines about a slow owner.
	slowLogInterval = 2 * time.Second
)

// delayKind is a place where work waits in the owner.
type delayKind int

const (
	// delayOrder is from a decision until the order is handed over to be written.
	delayOrder delayKind = iota
	// delayEvent is from the arrival of an event until it is handled.
	delayEvent
	// delayTick is how late a timer of the loop is seen.
	delayTick
	// delayResponse is what even the faster answers of many workers take: what they
	// have in common is the owner's link, and how late it reads.
	delayResponse
	delayKindCount
)

var delayMetricNames = [delayKindCount]string{delayOrder: "ownerOrderWait", delayEvent: "ownerEventWait", delayTick: "ownerTickLate", delayResponse: "ownerAnswerTime"}

// delayMonitor measures how late an owner itself is. Its clock stands still while the
// VM is suspended, so a sleep is no slowness. Use newDelays.
type delayMonitor struct {
	waitHistograms [delayKindCount]tally.Histogram
	stepHistogram  tally.Histogram

	mu     sync.Mutex
	window [delayKindCount]struct {
		sum time.Duration
		n   int
	}
	smoothed [delayKindCount]time.Duration
	// responseTimes are the times of calls that are answered at once, and called the workers
	// that they went to, in the window.
	responseTimes []time.Duration
	calledWorkers map[string]struct{}
	// Since the owner began:
	longestWait [delayKindCount]time.Duration
	longestStep time.Duration
}

func newDelayMonitor(m *metrics) *delayMonitor {
	d := &delayMonitor{stepHistogram: m.Scope.Histogram("ownerStep", latencyBuckets), calledWorkers: make(map[string]struct{})}
	for kind, name := range delayMetricNames {
		d.waitHistograms[kind] = m.Scope.Histogram(name, latencyBuckets)
	}
	return d
}

// recordWait notes how long something recordWait.
func (d *delayMonitor) recordWait(kind delayKind, wait time.Duration) {
	d.waitHistograms[kind].RecordDuration(wait)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.window[kind].sum += wait
	d.window[kind].n++
	d.longestWait[kind] = max(d.longestWait[kind], wait)
}

// recordResponse notes how long a worker took to answer at once, or to leave a call
// unanswered.
func (d *delayMonitor) recordResponse(worker string, took time.Duration) {
	d.waitHistograms[delayResponse].RecordDuration(took)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.responseTimes = append(d.responseTimes, took)
	d.calledWorkers[worker] = struct{}{}
	d.longestWait[delayResponse] = max(d.longestWait[delayResponse], took)
}

// responseQuartile returns the lower quartile of the times of answers, or zero if few
// workers were called.
func (d *delayMonitor) responseQuartile() time.Duration {
	if len(d.calledWorkers) < minWorkersCalled {
		return 0
	}
	slices.Sort(d.responseTimes)
	return d.responseTimes[len(d.responseTimes)/4]
}

// recordStep notes how long a step of the cell took.
func (d *delayMonitor) recordStep(took time.Duration) {
	d.stepHistogram.RecordDuration(took)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.longestStep = max(d.longestStep, took)
}

// closeWindow ends a window and returns the owner's delay: the longest of the smoothed
// waits.
func (d *delayMonitor) closeWindow() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	delay := time.Duration(0)
	for kind := range d.window {
		w := &d.window[kind]
		mean := time.Duration(0)
		switch {
		case delayKind(kind) == delayResponse:
			mean = d.responseQuartile()
		case w.n > 0:
			mean = w.sum / time.Duration(w.n)
		}
		d.smoothed[kind] += time.Duration(delayWeight * float64(mean-d.smoothed[kind]))
		delay = max(delay, d.smoothed[kind])
		w.sum, w.n = 0, 0
	}
	d.responseTimes = d.responseTimes[:0]
	clear(d.calledWorkers)
	return delay
}

// logFields returns the waits now, and the longest waits and steps since the owner
// began.
func (d *delayMonitor) logFields() logrus.Fields {
	d.mu.Lock()
	defer d.mu.Unlock()
	return logrus.Fields{
		"longestOrderWaitMs": d.longestWait[delayOrder].Milliseconds(), "longestEventWaitMs": d.longestWait[delayEvent].Milliseconds(),
		"longestTickLateMs": d.longestWait[delayTick].Milliseconds(), "longestStepMs": d.longestStep.Milliseconds(),
		"orderWaitMs": d.smoothed[delayOrder].Milliseconds(), "eventWaitMs": d.smoothed[delayEvent].Milliseconds(),
		"tickLateMs": d.smoothed[delayTick].Milliseconds(), "answerMs": d.smoothed[delayResponse].Milliseconds(),
	}
}

// updateDelay tells the cell how late the owner is, and the log while it is slow.
func (o *owner) updateDelay(at time.Time) {
	if at.Sub(o.delayUpdatedAt) < delayWindow {
		return
	}
	o.delayUpdatedAt = at
	o.delay = o.delays.closeWindow()
	o.cell.SetOwnerDelay(at, o.delay)
	o.yieldIfSlow(at)
	scope := o.front.metrics.Scope
	scope.Gauge("ownerDelaySeconds").Update(o.delay.Seconds())
	scope.Gauge("ownerRing").Update(float64(len(o.events.Items())))
	scope.Gauge("ownerOrdersUnderWay").Update(float64(o.inFlight.Load()))
	scope.Gauge("ownerOrdersWaiting").Update(float64(o.sender.queueLength()))
	if o.delay < cell.SlowOwner || at.Sub(o.slowLoggedAt) < slowLogInterval {
		return
	}
	o.slowLoggedAt = at
	o.front.log.Event("owner slow", o.logFields())
}

// logFields tells how the owner keeps up, and with what.
func (o *owner) logFields() logrus.Fields {
	fields := o.delays.logFields()
	maps.Copy(fields, o.front.machineFields())
	known, silent := o.cell.Workers()
	maps.Copy(fields, logrus.Fields{
		"epoch": o.record.Epoch, "delayMs": o.delay.Milliseconds(), "ring": len(o.events.Items()), "orders": o.inFlight.Load(), "ordersWaiting": o.sender.queueLength(),
		"workers": known, "workersSilent": silent,
	})
	return fields
}

// resetGauges takes the gauges back once the owner has ended.
func (d *delayMonitor) resetGauges(m *metrics) {
	for _, name := range []string{"ownerDelaySeconds", "ownerRing", "ownerOrdersUnderWay", "ownerOrdersWaiting"} {
		m.Scope.Gauge(name).Update(0)
	}
}
