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
	// answersLeast is the number of workers that must have been called in a window
	// for the time of the faster calls to tell of the owner and not of them.
	answersLeast = 8
	// slowEvery is the time between lines about a slow owner.
	slowEvery = 2 * time.Second
)

// delayKind is a place where work waits in the owner.
type delayKind int

const (
	// waitOrder is from a decision until the order is handed over to be written.
	waitOrder delayKind = iota
	// waitEvent is from the arrival of an event until it is handled.
	waitEvent
	// waitTick is how late a timer of the loop is seen.
	waitTick
	// waitAnswer is what even the faster answers of many workers take: what they
	// have in common is the owner's link, and how late it reads.
	waitAnswer
	delayKinds
)

var delayNames = [delayKinds]string{waitOrder: "ownerOrderWait", waitEvent: "ownerEventWait", waitTick: "ownerTickLate", waitAnswer: "ownerAnswerTime"}

// delays measures how late an owner itself is. Its clock stands still while the
// VM is suspended, so a sleep is no slowness. Use newDelays.
type delays struct {
	waits [delayKinds]tally.Histogram
	steps tally.Histogram

	mu     sync.Mutex
	window [delayKinds]struct {
		sum time.Duration
		n   int
	}
	mean [delayKinds]time.Duration
	// answers are the times of calls that are answered at once, and called the workers
	// that they went to, in the window.
	answers []time.Duration
	called  map[string]struct{}
	// Since the owner began:
	longest [delayKinds]time.Duration
	step    time.Duration
}

func newDelays(m *metrics) *delays {
	d := &delays{steps: m.Scope.Histogram("ownerStep", latencyBuckets), called: make(map[string]struct{})}
	for kind, name := range delayNames {
		d.waits[kind] = m.Scope.Histogram(name, latencyBuckets)
	}
	return d
}

// waited notes how long something waited.
func (d *delays) waited(kind delayKind, wait time.Duration) {
	d.waits[kind].RecordDuration(wait)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.window[kind].sum += wait
	d.window[kind].n++
	d.longest[kind] = max(d.longest[kind], wait)
}

// answered notes how long a worker took to answer at once, or to leave a call
// unanswered.
func (d *delays) answered(worker string, took time.Duration) {
	d.waits[waitAnswer].RecordDuration(took)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answers = append(d.answers, took)
	d.called[worker] = struct{}{}
	d.longest[waitAnswer] = max(d.longest[waitAnswer], took)
}

// commonAnswer returns the lower quartile of the times of answers, or zero if few
// workers were called.
func (d *delays) commonAnswer() time.Duration {
	if len(d.called) < answersLeast {
		return 0
	}
	slices.Sort(d.answers)
	return d.answers[len(d.answers)/4]
}

// stepped notes how long a step of the cell took.
func (d *delays) stepped(took time.Duration) {
	d.steps.RecordDuration(took)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.step = max(d.step, took)
}

// close ends a window and returns the owner's delay: the longest of the smoothed
// waits.
func (d *delays) close() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	delay := time.Duration(0)
	for kind := range d.window {
		w := &d.window[kind]
		mean := time.Duration(0)
		switch {
		case delayKind(kind) == waitAnswer:
			mean = d.commonAnswer()
		case w.n > 0:
			mean = w.sum / time.Duration(w.n)
		}
		d.mean[kind] += time.Duration(delayWeight * float64(mean-d.mean[kind]))
		delay = max(delay, d.mean[kind])
		w.sum, w.n = 0, 0
	}
	d.answers = d.answers[:0]
	clear(d.called)
	return delay
}

// fields returns the waits now, and the longest waits and steps since the owner
// began.
func (d *delays) fields() logrus.Fields {
	d.mu.Lock()
	defer d.mu.Unlock()
	return logrus.Fields{
		"longestOrderWaitMs": d.longest[waitOrder].Milliseconds(), "longestEventWaitMs": d.longest[waitEvent].Milliseconds(),
		"longestTickLateMs": d.longest[waitTick].Milliseconds(), "longestStepMs": d.step.Milliseconds(),
		"orderWaitMs": d.mean[waitOrder].Milliseconds(), "eventWaitMs": d.mean[waitEvent].Milliseconds(),
		"tickLateMs": d.mean[waitTick].Milliseconds(), "answerMs": d.mean[waitAnswer].Milliseconds(),
	}
}

// watchDelay tells the cell how late the owner is, and the log while it is slow.
func (o *owner) watchDelay(at time.Time) {
	if at.Sub(o.delayAt) < delayWindow {
		return
	}
	o.delayAt = at
	o.delay = o.delays.close()
	o.cell.SetOwnerDelay(at, o.delay)
	o.considerYield(at)
	scope := o.front.metrics.Scope
	scope.Gauge("ownerDelaySeconds").Update(o.delay.Seconds())
	scope.Gauge("ownerRing").Update(float64(len(o.events.Items())))
	scope.Gauge("ownerOrdersUnderWay").Update(float64(o.underWay.Load()))
	scope.Gauge("ownerOrdersWaiting").Update(float64(o.sender.waiting()))
	if o.delay < cell.SlowOwner || at.Sub(o.slowNoted) < slowEvery {
		return
	}
	o.slowNoted = at
	o.front.log.Event("owner slow", o.figures())
}

// figures tells how the owner keeps up, and with what.
func (o *owner) figures() logrus.Fields {
	fields := o.delays.fields()
	maps.Copy(fields, o.front.machine())
	known, silent := o.cell.Workers()
	maps.Copy(fields, logrus.Fields{
		"epoch": o.record.Epoch, "delayMs": o.delay.Milliseconds(), "ring": len(o.events.Items()), "orders": o.underWay.Load(), "ordersWaiting": o.sender.waiting(),
		"workers": known, "workersSilent": silent,
	})
	return fields
}

// quiet takes the gauges back once the owner has ended.
func (d *delays) quiet(m *metrics) {
	for _, name := range []string{"ownerDelaySeconds", "ownerRing", "ownerOrdersUnderWay", "ownerOrdersWaiting"} {
		m.Scope.Gauge(name).Update(0)
	}
}
