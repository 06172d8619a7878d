package sessions

import (
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/entry/node"
	"bamboofall.example/bamboofall/internal/standin/bed"
	"bamboofall.example/bamboofall/internal/standin/logstore"
	"bamboofall.example/bamboofall/internal/standin/upstream"
	"bamboofall.example/bamboofall/internal/standin/worker"
)

// place tells a fault where to strike.
type place struct {
	// entry is the VM to which the caller speaks or which owns the task, peer
	// the other one.
	entry, peer bamboofall.VMID
	worker      bamboofall.VMID
}

// fault is something that breaks and is mended after a time.
type fault struct {
	name   string
	strike func(*script, place)
	mend   func(*script, place)
}

// mendAfter is how long a fault lasts. It is longer than the takeover.
const mendAfter = 12 * time.Second

func restart(s *script, vm bamboofall.VMID) {
	if !s.Entry(vm).Alive() {
		s.StartEntry(vm)
	}
}

func kill(s *script, vm bamboofall.VMID) {
	if s.Entry(vm).Alive() {
		s.Kill(vm)
	}
}

var (
	entryDies = fault{"entryDies",
		func(s *script, p place) { kill(s, p.entry) }, func(s *script, p place) { restart(s, p.entry) }}
	peerDies = fault{"peerDies",
		func(s *script, p place) { kill(s, p.peer) }, func(s *script, p place) { restart(s, p.peer) }}
	entryPauses = fault{"entryPauses",
		func(s *script, p place) { s.Pause(p.entry) }, func(s *script, p place) { s.Wake(p.entry) }}
	peerPauses = fault{"peerPauses",
		func(s *script, p place) { s.Pause(p.peer) }, func(s *script, p place) { s.Wake(p.peer) }}
	entryStops = fault{"entryStops",
		func(s *script, p place) { s.Stop(p.entry) }, func(s *script, p place) { restart(s, p.entry) }}
	peersCut = fault{"peersCut",
		func(s *script, p place) { s.Cut(string(p.entry), string(p.peer), true) },
		func(s *script, p place) { s.Cut(string(p.entry), string(p.peer), false) }}
	entryCutOff = fault{"entryCutOff",
		func(s *script, p place) {
			s.Cut(string(p.entry), string(p.peer), true)
			s.Cut(string(p.entry), "platform", true)
		},
		func(s *script, p place) {
			s.Cut(string(p.entry), string(p.peer), false)
			s.Cut(string(p.entry), "platform", false)
		}}
	logDown = fault{"logDown",
		func(s *script, _ place) { s.Store.SetFaults(logstore.Faults{Down: true}) }, mendLog}
	logSlow = fault{"logSlow",
		func(s *script, _ place) { s.Store.SetFaults(logstore.Faults{Delay: 700 * time.Millisecond}) }, mendLog}
	answersLost = fault{"answersLost",
		func(s *script, _ place) { s.Store.SetFaults(logstore.Faults{LoseAnswers: 0.5}) }, mendLog}
	instancesDie = fault{"instancesDie",
		func(s *script, p place) { s.SetGone(p.worker, true) }, func(s *script, p place) { s.SetGone(p.worker, false) }}
	silent    = instanceFault("silent", upstream.Faults{Silent: true})
	late      = instanceFault("late", upstream.Faults{Slow: 200})
	truncated = instanceFault("truncated", upstream.Faults{Truncates: true})
	refusing  = instanceFault("refusing", upstream.Faults{Refuses: true})
	vmLeaves  = fault{"vmLeaves",
		func(s *script, p place) { s.SetLeaving(p.worker, true) }, func(s *script, p place) { s.SetLeaving(p.worker, false) }}
	configChanges = fault{"configChanges",
		func(s *script, p place) {
			s.Entry(p.peer).Step(node.Publish{ID: "change", Puts: bed.Objects("[trade \"pier\"]\ndataCentre = north\nweight = 5\n")})
		}, func(*script, place) {}}
	workerDies = fault{"workerDies",
		func(s *script, p place) {
			s.Worker(p.worker).Restart(s.Clock())
			s.Worker(p.worker).SetFaults(s.Clock(), worker.Faults{Silent: true})
			s.SetGone(p.worker, true)
		},
		func(s *script, p place) {
			s.Worker(p.worker).SetFaults(s.Clock(), worker.Faults{})
			s.SetGone(p.worker, false)
		}}
	workerRestarts = fault{"workerRestarts",
		func(s *script, p place) { s.Worker(p.worker).Restart(s.Clock()) }, func(*script, place) {}}
	workerSilent   = workerFault("workerSilent", worker.Faults{Silent: true})
	workerPauses   = workerFault("workerPauses", worker.Faults{Paused: true})
	workerFailsAll = workerFault("workerFailsAll", worker.Faults{FailsAll: true})
	cancelled      = fault{"cancelled",
		func(s *script, p place) { s.Entry(p.peer).Step(node.Cancel{ID: "cancel", Run: "r1"}) }, func(*script, place) {}}
)

func mendLog(s *script, _ place) { s.Store.SetFaults(logstore.Faults{}) }

// instanceFault strikes all instances.
func instanceFault(name string, f upstream.Faults) fault {
	set := func(s *script, f upstream.Faults) {
		for _, id := range s.Instances() {
			s.Instance(id).SetFaults(s.Clock(), f)
		}
	}
	return fault{name,
		func(s *script, _ place) { set(s, f) }, func(s *script, _ place) { set(s, upstream.Faults{}) }}
}

func workerFault(name string, f worker.Faults) fault {
	return fault{name,
		func(s *script, p place) { s.Worker(p.worker).SetFaults(s.Clock(), f) },
		func(s *script, p place) { s.Worker(p.worker).SetFaults(s.Clock(), worker.Faults{}) }}
}

// both is two faults at once.
func both(a, b fault) fault {
	return fault{a.name + "+" + b.name,
		func(s *script, p place) { a.strike(s, p); b.strike(s, p) },
		func(s *script, p place) { a.mend(s, p); b.mend(s, p) }}
}
