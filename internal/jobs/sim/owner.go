package sim

import (
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// OwnerVM is the capacity of the VM on which an owner runs. Without one the owner's
// work takes no time.
type OwnerVM struct {
	// Processors is the available part of one processor.
	Processors float64
	// LinkBytes is the capacity of the link in bytes per second, in each direction.
	// Zero means unlimited.
	LinkBytes float64
}

// Processor time and message sizes of an owner's work. Tests compare owners with
// the same costs, so no test bound depends on these values.
const (
	orderCost  = 90 * time.Microsecond
	answerCost = 90 * time.Microsecond
	eventCost  = 10 * time.Microsecond
	submitCost = 100 * time.Microsecond
	stepCost   = 20 * time.Microsecond
	// openJobCost is the processor time that each open job adds to a step.
	openJobCost = 300 * time.Nanosecond

	orderBytes  = 500
	answerBytes = 300
	// reportEntryBytes is the size of each run or end in a report.
	reportEntryBytes = 50

	// ownerCallTimeout is how long an owner with an OwnerVM waits for the answer to
	// an order.
	ownerCallTimeout = 400 * time.Millisecond
	// staleOrderAge is the age above which an order is not sent any more.
	staleOrderAge = 500 * time.Millisecond
	// delayInterval is the time between measurements of the owner's own delay.
	delayInterval = 250 * time.Millisecond
	// minCalledWorkers is the minimum number of workers that must have been called
	// for their answer times to count as the owner's delay.
	minCalledWorkers = 8
)

// ownerMachine models the VM of the present owner. All work is queued for its
// processor; messages are queued for the link in their direction.
type ownerMachine struct {
	world *World
	// vm is the capacity, processorFreeAt when the processor has finished the
	// queued work.
	vm              OwnerVM
	processorFreeAt time.Time
	// uplinkFreeAt and downlinkFreeAt are when the link is free for sending and
	// receiving.
	uplinkFreeAt, downlinkFreeAt time.Time
	// waits are the sums and counts of the queueing times of orders and events,
	// answerTimes how long workers took for calls that they answer at once, and
	// calledWorkers the workers of these calls, all since delaySampledAt.
	waits         [2]struct{ sum, n time.Duration }
	answerTimes   []time.Duration
	calledWorkers map[string]bool
	// smoothedDelays are the smoothed waits of orders and events and the smoothed
	// answer time.
	smoothedDelays [3]time.Duration
	delaySampledAt time.Time
	// stepPending is set while a step is queued for the processor.
	stepPending bool
}

// enqueue calls fn once the processor has finished the queued work and then spent
// cost on this one.
func (m *ownerMachine) enqueue(cost time.Duration, fn func()) {
	m.useProcessor(cost)
	m.world.schedule(m.processorFreeAt.Sub(m.world.now), fn)
}

// useProcessor queues processor time.
func (m *ownerMachine) useProcessor(cost time.Duration) {
	m.world.Stats.OwnerBusy += cost
	m.processorFreeAt = later(m.processorFreeAt, m.world.now).Add(time.Duration(float64(cost) / m.vm.Processors))
}

// transmit queues a message for one direction of the link, which is free at
// linkFreeAt, and returns the time until it is transmitted.
func (m *ownerMachine) transmit(linkFreeAt *time.Time, bytes int) time.Duration {
	if m.vm.LinkBytes == 0 {
		return 0
	}
	*linkFreeAt = later(*linkFreeAt, m.world.now).Add(time.Duration(float64(bytes) / m.vm.LinkBytes * float64(time.Second)))
	return linkFreeAt.Sub(m.world.now)
}

// Kinds of queueing times.
const (
	waitOrder = iota
	waitEvent
)

// recordWait records how long an order or event waited for the processor.
func (m *ownerMachine) recordWait(kind int, wait time.Duration) {
	m.waits[kind].sum += wait
	m.waits[kind].n++
}

// sampleDelay returns the highest of the smoothed delays and starts a new
// measurement. As in a real owner, the delays are the mean waits of orders and
// events, and the lower quartile of answer times, which shows the delay of the
// link.
func (m *ownerMachine) sampleDelay() time.Duration {
	longest := time.Duration(0)
	for kind := range m.smoothedDelays {
		wait := time.Duration(0)
		switch {
		case kind < len(m.waits):
			wait = m.waits[kind].sum / max(1, m.waits[kind].n)
		case len(m.calledWorkers) >= minCalledWorkers:
			slices.Sort(m.answerTimes)
			wait = m.answerTimes[len(m.answerTimes)/4]
		}
		m.smoothedDelays[kind] = (m.smoothedDelays[kind] + wait) / 2
		longest = max(longest, m.smoothedDelays[kind])
	}
	clear(m.waits[:])
	clear(m.calledWorkers)
	m.answerTimes = m.answerTimes[:0]
	return longest
}

// recordAnswer records the duration of a call that the worker should answer at
// once, whether it was answered or timed out.
func (m *ownerMachine) recordAnswer(worker string, took time.Duration) {
	m.answerTimes = append(m.answerTimes, took)
	m.calledWorkers[worker] = true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// machineOf returns the VM of an owner, or nil if the owner's work takes no time.
// That includes former owners, whose VMs are not modelled.
func (w *World) machineOf(owner *cell.Cell) *ownerMachine {
	if owner != w.cell {
		return nil
	}
	return w.machine
}

// handleEvent lets an owner process an event and then make decisions. With an
// OwnerVM the event is queued and costs processor time.
func (w *World) handleEvent(owner *cell.Cell, cost time.Duration, process func()) {
	m := w.machineOf(owner)
	if m == nil {
		process()
		w.step()
		return
	}
	arrived := w.now
	m.enqueue(cost, func() {
		if w.cell != owner {
			return
		}
		m.recordWait(waitEvent, w.now.Sub(arrived))
		process()
		w.scheduleStep(m)
	})
}

// scheduleStep queues a step of the owner behind the events that wait for its
// processor, unless one is queued already.
func (w *World) scheduleStep(m *ownerMachine) {
	if m.stepPending {
		return
	}
	m.stepPending = true
	_, open := w.cell.Jobs()
	m.enqueue(stepCost+time.Duration(open)*openJobCost, func() {
		m.stepPending = false
		if w.machine == m && w.cell != nil {
			if w.now.Sub(m.delaySampledAt) >= delayInterval {
				m.delaySampledAt = w.now
				delay := m.sampleDelay()
				w.cell.SetOwnerDelay(w.now, delay)
				w.cell.SetOwnerQueueing(w.now, max(m.smoothedDelays[waitOrder], m.smoothedDelays[waitEvent]))
				if w.cfg.OnOwnerDelay != nil {
					w.cfg.OnOwnerDelay(w.now, w.cell, delay)
				}
			}
			w.step()
		}
	})
}

// reportBytes returns the size of an answer with a report.
func reportBytes(report bamboofall.HoldReport) int {
	return answerBytes + reportEntryBytes*(len(report.Running)+len(report.Ends))
}
