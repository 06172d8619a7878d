package bed

import (
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/request/router"
	"bamboofall.example/bamboofall/internal/standin/upstream"
)

// Baseline is what measurements compare with: each entry VM goes round robin
// over all instances of its data centre, spends a fixed share of each one's
// slots, and lets requests wait in one line without classes until their deadline.
// Use NewBaseline.
type Baseline struct {
	bed     *Bed
	entries map[bamboofall.VMID]*baselineEntry
}

type baselineEntry struct {
	instances []*upstream.Instance
	busy      []int
	limit     int
	next      int
	line      []*baselineCall
}

type baselineCall struct {
	call     Call
	begun    time.Time
	deadline time.Time
	told     func(Told)
}

// NewBaseline returns a baseline over a bed's stand-ins.
func NewBaseline(b *Bed) *Baseline {
	base := &Baseline{bed: b, entries: make(map[bamboofall.VMID]*baselineEntry)}
	for _, id := range b.order {
		e := &baselineEntry{limit: max(b.Options.Slots/b.Options.Entries, 1)}
		for _, vm := range b.vms {
			for _, i := range vm.Instances {
				if vm.DataCentre == b.dataCentre(id) {
					e.instances = append(e.instances, b.instances[i.ID])
				}
			}
		}
		e.busy = make([]int, len(e.instances))
		base.entries[id] = e
	}
	return base
}

// Call makes a caller's request to an entry VM and tells its end.
func (base *Baseline) Call(to bamboofall.VMID, c Call, told func(Told)) {
	e := base.entries[to]
	now := base.bed.now
	e.line = append(e.line, &baselineCall{c, now, now.Add(c.Deadline), told})
	base.pump(e)
}

func (base *Baseline) pump(e *baselineEntry) {
	b := base.bed
	for len(e.line) > 0 {
		c := e.line[0]
		if !b.now.Before(c.deadline) {
			e.line = e.line[1:]
			c.told(Told{Outcome: bamboofall.OutcomeNotRun, Reason: router.ReasonDeadlinePassed, Took: b.now.Sub(c.begun)})
			continue
		}
		i, ok := e.pick()
		if !ok {
			return
		}
		e.line = e.line[1:]
		base.serve(e, i, c)
	}
}

// pick returns the next instance in turn that is below the limit.
func (e *baselineEntry) pick() (int, bool) {
	for range e.instances {
		i := e.next
		e.next = (e.next + 1) % len(e.instances)
		if e.busy[i] < e.limit {
			return i, true
		}
	}
	return 0, false
}

func (base *Baseline) serve(e *baselineEntry, i int, c *baselineCall) {
	b := base.bed
	inst := e.instances[i]
	e.busy[i]++
	work, _ := inst.Begin("", "", b.Options.Work[c.call.Kind])
	b.after(work+2*localDelay, func() {
		inst.End()
		e.busy[i]--
		told := Told{Outcome: bamboofall.OutcomeAnswered, Took: b.now.Sub(c.begun)}
		if !b.now.Before(c.deadline) {
			told.Outcome = bamboofall.OutcomeUnknown
		}
		c.told(told)
		base.pump(e)
	})
}
