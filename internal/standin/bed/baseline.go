package bed

import (
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/request/router"
	"bamboofall.example/bamboofall/internal/standin/upstream"
)

// Baseline is the simple load balancer that measurements compare with. Each
// entry VM uses all instances of its data centre round robin, with a fixed
// share of each instance's slots. Requests beyond that wait in one FIFO queue
// without classes until their deadline. Use NewBaseline.
type Baseline struct {
	bed     *Bed
	entries map[bamboofall.VMID]*baselineEntry
}

// baselineEntry is the load balancer of one entry VM.
type baselineEntry struct {
	instances []*upstream.Instance
	// usedSlots counts the slots in use of each instance, at most slotLimit.
	usedSlots []int
	slotLimit int
	// next is the index of the instance whose turn it is.
	next  int
	queue []*baselineCall
}

type baselineCall struct {
	call      Call
	startedAt time.Time
	deadline  time.Time
	onEnd     func(Told)
}

// NewBaseline returns a baseline that sends requests to a bed's instances.
func NewBaseline(b *Bed) *Baseline {
	base := &Baseline{bed: b, entries: make(map[bamboofall.VMID]*baselineEntry)}
	for _, id := range b.entryIDs {
		e := &baselineEntry{slotLimit: max(b.Options.Slots/b.Options.Entries, 1)}
		for _, vm := range b.vms {
			for _, i := range vm.Instances {
				if vm.DataCentre == b.dataCentreOf(id) {
					e.instances = append(e.instances, b.instances[i.ID])
				}
			}
		}
		e.usedSlots = make([]int, len(e.instances))
		base.entries[id] = e
	}
	return base
}

// Call makes a caller's request to an entry VM and calls onEnd when it ends.
func (base *Baseline) Call(to bamboofall.VMID, c Call, onEnd func(Told)) {
	e := base.entries[to]
	now := base.bed.now
	e.queue = append(e.queue, &baselineCall{c, now, now.Add(c.Deadline), onEnd})
	base.dispatch(e)
}

// dispatch starts queued requests while instances have free slots, and ends
// those whose deadline has passed.
func (base *Baseline) dispatch(e *baselineEntry) {
	b := base.bed
	for len(e.queue) > 0 {
		c := e.queue[0]
		if !b.now.Before(c.deadline) {
			e.queue = e.queue[1:]
			c.onEnd(Told{Outcome: bamboofall.OutcomeNotRun, Reason: router.ReasonDeadlinePassed, Took: b.now.Sub(c.startedAt)})
			continue
		}
		i, ok := e.nextInstance()
		if !ok {
			return
		}
		e.queue = e.queue[1:]
		base.serve(e, i, c)
	}
}

// nextInstance returns the index of the next instance in turn with a free slot.
// It returns false if there is none.
func (e *baselineEntry) nextInstance() (int, bool) {
	for range e.instances {
		i := e.next
		e.next = (e.next + 1) % len(e.instances)
		if e.usedSlots[i] < e.slotLimit {
			return i, true
		}
	}
	return 0, false
}

// serve runs a request at instance i.
func (base *Baseline) serve(e *baselineEntry, i int, c *baselineCall) {
	b := base.bed
	inst := e.instances[i]
	e.usedSlots[i]++
	work, _ := inst.Begin("", "", b.Options.Work[c.call.Kind])
	b.after(work+2*localDelay, func() {
		inst.End()
		e.usedSlots[i]--
		result := Told{Outcome: bamboofall.OutcomeAnswered, Took: b.now.Sub(c.startedAt)}
		if !b.now.Before(c.deadline) {
			result.Outcome = bamboofall.OutcomeUnknown
		}
		c.onEnd(result)
		base.dispatch(e)
	})
}
