package front

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"bamboofall.example/bamboofall/internal/jobs/cell"
)

const (
	// delayWindow is the time over which the owner's waits are averaged. It covers two
	// periods of a 100 ms CPU quota.
	delayWindow = 250 * time.Millisecond
	// delayWeight is the weight of the newest window in the moving average. One late
	// window does not classify an owner as slow, three in a row do.
	delayWeight = 0.5
	// minWorkersCalled is the minimum number of workers called in a window for which
	// the lower quartile of response times measures the owner and not the workers.
	minWorkersCalled = 8
	// slowLogInterval is the minimum time between log lines about a slow owner.
	slowLogInterval = 2 * time.Second
)

// delayKind is a place where work waits in the owner.
type delayKind int

const (
	// delayOrder is the time from the decision of an order until it waits for a
	// connection or is written.
	delayOrder delayKind = iota
	// delayEvent is the time from the arrival of an event until it is handled.
	delayEvent
	// delayTick is the delay between a tick of the loop's timer and its handling.
	delayTick
	// delayResponse is the response time of workers. Its lower quartile over many
	// workers measures the owner's link and how late the owner reads responses.
	delayResponse
	// delayProcessor is how late a goroutine that only waits for a timer gets a processor.
	// Each goroutine that an order or an answer passes through waits as long.
	delayProcessor
	delayKindCount
)

var delayMetricNames = [delayKindCount]string{delayOrder: "ownerOrderWait", delayEvent: "ownerEventWait", delayTick: "ownerTickLate", delayResponse: "ownerAnswerTime", delayProcessor: "ownerProcessorWait"}

// delayMonitor measures the owner's own delays. Its clock does not advance while the VM
// is suspended, so a suspension does not count as a delay. Use newDelayMonitor.
type delayMonitor struct {
	waitHistograms [delayKindCount]tally.Histogram
	stepHistogram  tally.Histogram

	mu sync.Mutex
	// window holds the waits of the current window.
	window [delayKindCount]struct {
		sum time.Duration
		n   int
	}
	// smoothed holds the moving averages over windows.
	smoothed [delayKindCount]time.Duration
	// responseTimes are the durations of calls in the window that workers answer
	// without a long poll, and calledWorkers the workers called.
	responseTimes []time.Duration
	calledWorkers map[string]struct{}
	// Maxima since the owner started:
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

// recordWait records how long a piece of work waited.
func (d *delayMonitor) recordWait(kind delayKind, wait time.Duration) {
	d.waitHistograms[kind].RecordDuration(wait)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.window[kind].sum += wait
	d.window[kind].n++
	d.longestWait[kind] = max(d.longestWait[kind], wait)
}

// recordResponse records the duration of a call without a long poll, including one that
// timed out.
func (d *delayMonitor) recordResponse(worker string, took time.Duration) {
	d.waitHistograms[delayResponse].RecordDuration(took)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.responseTimes = append(d.responseTimes, took)
	d.calledWorkers[worker] = struct{}{}
	d.longestWait[delayResponse] = max(d.longestWait[delayResponse], took)
}

// responseQuartile returns the lower quartile of the response times, or zero if too few
// workers were called.
func (d *delayMonitor) responseQuartile() time.Duration {
	if len(d.calledWorkers) < minWorkersCalled {
		return 0
	}
	slices.Sort(d.responseTimes)
	return d.responseTimes[len(d.responseTimes)/4]
}

// recordStep records the duration of a step of the cell.
func (d *delayMonitor) recordStep(took time.Duration) {
	d.stepHistogram.RecordDuration(took)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.longestStep = max(d.longestStep, took)
}

// processorProbeInterval is the time between measurements of delayProcessor.
const processorProbeInterval = 10 * time.Millisecond

// probeProcessor measures delayProcessor until the context is cancelled.
func (d *delayMonitor) probeProcessor(ctx context.Context) error {
	timer := time.NewTimer(processorProbeInterval)
	defer timer.Stop()
	for {
		due := time.Now().Add(processorProbeInterval)
		timer.Reset(processorProbeInterval)
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			d.recordWait(delayProcessor, time.Since(due))
		}
	}
}

// closeWindow ends the window and returns the owner's delay: the longest of the smoothed
// waits. Queueing is the longest of those in the owner's own queues.
func (d *delayMonitor) closeWindow() (delay, queueing time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
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
		if delayKind(kind) != delayResponse {
			queueing = max(queueing, d.smoothed[kind])
		}
		w.sum, w.n = 0, 0
	}
	d.responseTimes = d.responseTimes[:0]
	clear(d.calledWorkers)
	return delay, queueing
}

// logFields returns the smoothed waits, and the longest waits and steps since the owner
// started.
func (d *delayMonitor) logFields() logrus.Fields {
	d.mu.Lock()
	defer d.mu.Unlock()
	return logrus.Fields{
		"longestOrderWaitMs": d.longestWait[delayOrder].Milliseconds(), "longestEventWaitMs": d.longestWait[delayEvent].Milliseconds(),
		"longestTickLateMs": d.longestWait[delayTick].Milliseconds(), "longestStepMs": d.longestStep.Milliseconds(),
		"orderWaitMs": d.smoothed[delayOrder].Milliseconds(), "eventWaitMs": d.smoothed[delayEvent].Milliseconds(),
		"tickLateMs": d.smoothed[delayTick].Milliseconds(), "answerMs": d.smoothed[delayResponse].Milliseconds(), "processorWaitMs": d.smoothed[delayProcessor].Milliseconds(),
	}
}

// updateDelay ends the window if it is over, and reports the owner's delay to the cell,
// the metrics and, if the owner is slow, the log.
func (o *owner) updateDelay(at time.Time) {
	if at.Sub(o.delayUpdatedAt) < delayWindow {
		return
	}
	o.delayUpdatedAt = at
	var queueing time.Duration
	o.delay, queueing = o.delays.closeWindow()
	o.cell.SetOwnerDelay(at, o.delay)
	o.cell.SetOwnerQueueing(at, queueing)
	o.yieldIfOverloaded(at)
	scope := o.front.metrics.Scope
	scope.Gauge("ownerDelaySeconds").Update(o.delay.Seconds())
	scope.Gauge("ownerRing").Update(float64(o.queuedEvents()))
	scope.Gauge("ownerOrdersUnderWay").Update(float64(o.inFlight.Load()))
	scope.Gauge("ownerOrdersWaiting").Update(float64(o.sender.queueLength()))
	if o.delay < cell.SlowOwnerDelay || at.Sub(o.slowLoggedAt) < slowLogInterval {
		return
	}
	o.slowLoggedAt = at
	o.front.log.Event("owner slow", o.logFields())
}

// logFields returns the delays, queue lengths and capacity of the owner for log lines.
func (o *owner) logFields() logrus.Fields {
	fields := o.delays.logFields()
	maps.Copy(fields, o.front.machineFields())
	known, silent := o.cell.Workers()
	maps.Copy(fields, logrus.Fields{
		"epoch": o.record.Epoch, "delayMs": o.delay.Milliseconds(), "ring": o.queuedEvents(), "orders": o.inFlight.Load(), "ordersWaiting": o.sender.queueLength(),
		"workers": known, "workersSilent": silent,
	})
	return fields
}

// resetGauges sets the owner's gauges to zero after the owner has stopped.
func (d *delayMonitor) resetGauges(m *metrics) {
	for _, name := range []string{"ownerDelaySeconds", "ownerRing", "ownerOrdersUnderWay", "ownerOrdersWaiting"} {
		m.Scope.Gauge(name).Update(0)
	}
}
