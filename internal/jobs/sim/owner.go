package sim

import (
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// OwnerVM is what the VM of an owner can carry. Without it an owner takes no time.
type OwnerVM struct {
	// Processors is how much of one processor the owner has.
	Processors float64
	// LinkBytes is what its link carries in a second, in each direction. Zero means
	// any amount.
	LinkBytes float64
}

// The processor time and the bytes of what an owner does. All owners that are
// compared pay them, so no bound depends on their size.
const (
	orderCost  = 90 * time.Microsecond
	answerCost = 90 * time.Microsecond
	eventCost  = 10 * time.Microsecond
	submitCost = 100 * time.Microsecond
	stepCost   = 20 * time.Microsecond
	// openCost is what an open job adds to a step.
	openCost = 300 * time.Nanosecond

	orderBytes  = 500
	answerBytes = 300
	// entryBytes is the size of a run or an end in an answer.
	entryBytes = 50

	// ownerCallTimeout is how long an owner with a VM waits for the answer to an
	// order.
	ownerCallTimeout = 400 * time.Millisecond
	// staleOrder is the age at which an order is not sent any more.
	staleOrder = 500 * time.Millisecond
	// delayEvery is the time between looks at its own delay.
	delayEvery = 250 * time.Millisecond
	// answersLeast is how many workers must have been called for the time of their
	// answers to tell of the owner.
	answersLeast = 8
)

// machine is the VM of the present owner. All that it does waits in one line for
// the processor; what it sends and receives waits for the link.
type machine struct {
	w    *World
	vm   OwnerVM
	free time.Time
	// out and in are when the link is free.
	out, in time.Time
	// waits are how long orders and events waited since delayAt, answers how long
	// workers took to answer at once, and called the workers that were called.
	waits   [2]struct{ sum, n time.Duration }
	answers []time.Duration
	called  map[string]bool
	// means are the smoothed waits, the last that of answers.
	means   [3]time.Duration
	delayAt time.Time
	// stepping is set while a step waits for the processor.
	stepping bool
}

// run does something once the processor has had time for what came before and
// for this.
func (m *machine) run(cost time.Duration, do func()) {
	m.take(cost)
	m.w.after(m.free.Sub(m.w.now), do)
}

// take uses processor time.
func (m *machine) take(cost time.Duration) {
	m.w.Stats.OwnerBusy += cost
	m.free = later(m.free, m.w.now).Add(time.Duration(float64(cost) / m.vm.Processors))
}

// send returns how long it takes until bytes are through a link that is free at a
// time, and moves that time.
func (m *machine) send(free *time.Time, bytes int) time.Duration {
	if m.vm.LinkBytes == 0 {
		return 0
	}
	*free = later(*free, m.w.now).Add(time.Duration(float64(bytes) / m.vm.LinkBytes * float64(time.Second)))
	return free.Sub(m.w.now)
}

// What waits in an owner.
const (
	waitOrder = iota
	waitEvent
)

// waited notes how long something waited for the processor.
func (m *machine) waited(kind int, wait time.Duration) {
	m.waits[kind].sum += wait
	m.waits[kind].n++
}

// delay returns the longest of the smoothed waits, as an owner measures them: the
// means, and the lower quartile of the times of answers, in which the link shows.
func (m *machine) delay() time.Duration {
	longest := time.Duration(0)
	for kind := range m.means {
		wait := time.Duration(0)
		switch {
		case kind < len(m.waits):
			wait = m.waits[kind].sum / max(1, m.waits[kind].n)
		case len(m.called) >= answersLeast:
			slices.Sort(m.answers)
			wait = m.answers[len(m.answers)/4]
		}
		m.means[kind] = (m.means[kind] + wait) / 2
		longest = max(longest, m.means[kind])
	}
	clear(m.waits[:])
	clear(m.called)
	m.answers = m.answers[:0]
	return longest
}

// answered notes how long a worker took to answer at once, or to leave a call
// unanswered.
func (m *machine) answered(worker string, took time.Duration) {
	m.answers = append(m.answers, took)
	m.called[worker] = true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// machineOf returns the VM of an owner, or nil if it takes no time. A former owner
// is not modelled.
func (w *World) machineOf(owner *cell.Cell) *machine {
	if owner != w.cell {
		return nil
	}
	return w.machine
}

// event lets the owner take something in, and decide.
func (w *World) event(owner *cell.Cell, cost time.Duration, take func()) {
	m := w.machineOf(owner)
	if m == nil {
		take()
		w.step()
		return
	}
	arrived := w.now
	m.run(cost, func() {
		if w.cell != owner {
			return
		}
		m.waited(waitEvent, w.now.Sub(arrived))
		take()
		w.stepSoon(m)
	})
}

// stepSoon lets an owner with a VM decide once the events before are taken in.
func (w *World) stepSoon(m *machine) {
	if m.stepping {
		return
	}
	m.stepping = true
	_, open := w.cell.Jobs()
	m.run(stepCost+time.Duration(open)*openCost, func() {
		m.stepping = false
		if w.machine == m && w.cell != nil {
			if w.now.Sub(m.delayAt) >= delayEvery {
				m.delayAt = w.now
				w.cell.SetOwnerDelay(w.now, m.delay())
			}
			w.step()
		}
	})
}

// sizeOf returns the bytes of an answer.
func sizeOf(report bamboofall.HoldReport) int {
	return answerBytes + entryBytes*(len(report.Running)+len(report.Ends))
}
