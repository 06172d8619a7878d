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

// target holds the VMs that a fault affects.
type target struct {
	// entry is the VM that receives the caller's requests or owns the task. peer is
	// another entry VM of the data centre.
	entry, peer bamboofall.VMID
	worker      bamboofall.VMID
}

// fault is a failure that can be injected and cleared.
type fault struct {
	name   string
	inject func(*scenario, target)
	clear  func(*scenario, target)
}

// faultDuration is the time until a fault is cleared. It is longer than a
// takeover.
const faultDuration = 12 * time.Second

func startIfDead(s *scenario, vm bamboofall.VMID) {
	if !s.Entry(vm).Alive() {
		s.StartEntry(vm)
	}
}

func killIfAlive(s *scenario, vm bamboofall.VMID) {
	if s.Entry(vm).Alive() {
		s.Kill(vm)
	}
}

var (
	entryDies = fault{"entryDies",
		func(s *scenario, p target) { killIfAlive(s, p.entry) }, func(s *scenario, p target) { startIfDead(s, p.entry) }}
	peerDies = fault{"peerDies",
		func(s *scenario, p target) { killIfAlive(s, p.peer) }, func(s *scenario, p target) { startIfDead(s, p.peer) }}
	entryPauses = fault{"entryPauses",
		func(s *scenario, p target) { s.Pause(p.entry) }, func(s *scenario, p target) { s.Wake(p.entry) }}
	peerPauses = fault{"peerPauses",
		func(s *scenario, p target) { s.Pause(p.peer) }, func(s *scenario, p target) { s.Wake(p.peer) }}
	entryStops = fault{"entryStops",
		func(s *scenario, p target) { s.Stop(p.entry) }, func(s *scenario, p target) { startIfDead(s, p.entry) }}
	peersCut = fault{"peersCut",
		func(s *scenario, p target) { s.Cut(string(p.entry), string(p.peer), true) },
		func(s *scenario, p target) { s.Cut(string(p.entry), string(p.peer), false) }}
	entryCutOff = fault{"entryCutOff",
		func(s *scenario, p target) {
			s.Cut(string(p.entry), string(p.peer), true)
			s.Cut(string(p.entry), "platform", true)
		},
		func(s *scenario, p target) {
			s.Cut(string(p.entry), string(p.peer), false)
			s.Cut(string(p.entry), "platform", false)
		}}
	logDown = fault{"logDown",
		func(s *scenario, _ target) { s.Store.SetFaults(logstore.Faults{Down: true}) }, clearLogFaults}
	logSlow = fault{"logSlow",
		func(s *scenario, _ target) { s.Store.SetFaults(logstore.Faults{Delay: 700 * time.Millisecond}) }, clearLogFaults}
	logAnswersLost = fault{"answersLost",
		func(s *scenario, _ target) { s.Store.SetFaults(logstore.Faults{LoseAnswers: 0.5}) }, clearLogFaults}
	instancesDie = fault{"instancesDie",
		func(s *scenario, p target) { s.SetGone(p.worker, true) }, func(s *scenario, p target) { s.SetGone(p.worker, false) }}
	instancesSilent   = instanceFault("silent", upstream.Faults{Silent: true})
	instancesSlow     = instanceFault("late", upstream.Faults{Slow: 200})
	instancesTruncate = instanceFault("truncated", upstream.Faults{Truncates: true})
	instancesRefuse   = instanceFault("refusing", upstream.Faults{Refuses: true})
	vmLeaves          = fault{"vmLeaves",
		func(s *scenario, p target) { s.SetLeaving(p.worker, true) }, func(s *scenario, p target) { s.SetLeaving(p.worker, false) }}
	configChanges = fault{"configChanges",
		func(s *scenario, p target) {
			s.Entry(p.peer).Step(node.Publish{ID: "change", Puts: bed.Objects("[trade \"pier\"]\ndataCentre = north\nweight = 5\n")})
		}, func(*scenario, target) {}}
	workerDies = fault{"workerDies",
		func(s *scenario, p target) {
			s.Worker(p.worker).Restart(s.Clock())
			s.Worker(p.worker).SetFaults(s.Clock(), worker.Faults{Silent: true})
			s.SetGone(p.worker, true)
		},
		func(s *scenario, p target) {
			s.Worker(p.worker).SetFaults(s.Clock(), worker.Faults{})
			s.SetGone(p.worker, false)
		}}
	workerRestarts = fault{"workerRestarts",
		func(s *scenario, p target) { s.Worker(p.worker).Restart(s.Clock()) }, func(*scenario, target) {}}
	workerSilent   = workerFault("workerSilent", worker.Faults{Silent: true})
	workerPauses   = workerFault("workerPauses", worker.Faults{Paused: true})
	workerFailsAll = workerFault("workerFailsAll", worker.Faults{FailsAll: true})
	runCancelled   = fault{"cancelled",
		func(s *scenario, p target) { s.Entry(p.peer).Step(node.Cancel{ID: "cancel", Run: "r1"}) }, func(*scenario, target) {}}
)

func clearLogFaults(s *scenario, _ target) { s.Store.SetFaults(logstore.Faults{}) }

// instanceFault returns a fault of all instances.
func instanceFault(name string, f upstream.Faults) fault {
	set := func(s *scenario, f upstream.Faults) {
		for _, id := range s.Instances() {
			s.Instance(id).SetFaults(s.Clock(), f)
		}
	}
	return fault{name,
		func(s *scenario, _ target) { set(s, f) }, func(s *scenario, _ target) { set(s, upstream.Faults{}) }}
}

func workerFault(name string, f worker.Faults) fault {
	return fault{name,
		func(s *scenario, p target) { s.Worker(p.worker).SetFaults(s.Clock(), f) },
		func(s *scenario, p target) { s.Worker(p.worker).SetFaults(s.Clock(), worker.Faults{}) }}
}

// combine returns a fault that consists of two.
func combine(a, b fault) fault {
	return fault{a.name + "+" + b.name,
		func(s *scenario, p target) { a.inject(s, p); b.inject(s, p) },
		func(s *scenario, p target) { a.clear(s, p); b.clear(s, p) }}
}
