// Package platformapi implements an HTTP API for the platform's interfaces: the
// client that the entry daemons use, and the server side over the stand-ins.
// The client is the only adapter between the daemons and the platform; a
// platform with another API needs only a replacement of this package.
package platformapi

import (
	"net/netip"
	"time"

	"bamboofall.example/bamboofall"
)

// The wire types are the JSON forms of the root package's types. Field names
// that end in NS hold nanoseconds.
type wirePage struct {
	Entries []wireEntry `json:"entries"`
	Oldest  uint64      `json:"oldest"`
	Next    uint64      `json:"next"`
}

type wireEntry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

type wireAppendResult struct {
	Offset uint64 `json:"offset"`
}

type wireResources struct {
	MilliProcessors int64 `json:"milliProcessors"`
	MemoryBytes     int64 `json:"memoryBytes"`
	Accelerators    int64 `json:"accelerators"`
}

type wireInstance struct {
	ID          string         `json:"id"`
	Service     string         `json:"service"`
	Address     netip.AddrPort `json:"address"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	Size        wireResources  `json:"size"`
}

type wireVM struct {
	ID         string         `json:"id"`
	DataCentre string         `json:"dataCentre"`
	Rack       string         `json:"rack"`
	Leaving    bool           `json:"leaving"`
	Entry      netip.AddrPort `json:"entry"`
	Agent      netip.AddrPort `json:"agent"`
	Room       wireResources  `json:"room"`
	Instances  []wireInstance `json:"instances"`
}

type wireFleet struct {
	VMs []wireVM `json:"vms"`
}

type wireCommand struct {
	Kind         uint8         `json:"kind"`
	Run          string        `json:"run"`
	Index        uint32        `json:"index"`
	Attempt      uint32        `json:"attempt"`
	LeaseUntilNS int64         `json:"leaseUntilNs"`
	Size         wireResources `json:"size"`
	Job          string        `json:"job"`
	RunTimeNS    int64         `json:"runTimeNs"`
	Standing     bool          `json:"standing"`
	ProgressNS   int64         `json:"progressNs"`
	Throttle     int64         `json:"throttle"`
}

type wireSync struct {
	Owner    string        `json:"owner"`
	Token    uint64        `json:"token"`
	Commands []wireCommand `json:"commands"`
}

type wireAttempt struct {
	Run        string        `json:"run"`
	Index      uint32        `json:"index"`
	Attempt    uint32        `json:"attempt"`
	Status     uint8         `json:"status"`
	ProgressNS int64         `json:"progressNs"`
	Usage      wireResources `json:"usage"`
}

type wireReport struct {
	ClockNS  int64         `json:"clockNs"`
	Attempts []wireAttempt `json:"attempts"`
	// SeenToken is the largest token that the worker has seen. It is set, and
	// all other fields are empty, if the token of the request is stale.
	SeenToken uint64 `json:"seenToken,omitempty"`
}

func toWireResources(r bamboofall.Resources) wireResources {
	return wireResources{r.MilliProcessors, r.MemoryBytes, r.Accelerators}
}

func (r wireResources) resources() bamboofall.Resources {
	return bamboofall.Resources{MilliProcessors: r.MilliProcessors, MemoryBytes: r.MemoryBytes, Accelerators: r.Accelerators}
}

func toWireVM(vm bamboofall.VM) wireVM {
	w := wireVM{
		ID: string(vm.ID), DataCentre: string(vm.DataCentre), Rack: vm.Rack, Leaving: vm.Leaving,
		Entry: vm.Entry, Agent: vm.Agent, Room: toWireResources(vm.Room),
	}
	for _, i := range vm.Instances {
		w.Instances = append(w.Instances, wireInstance{
			i.ID, i.Service, i.Address, i.Slots, i.Connections, toWireResources(i.Size),
		})
	}
	return w
}

func (w wireVM) vm() bamboofall.VM {
	vm := bamboofall.VM{
		ID: bamboofall.VMID(w.ID), DataCentre: bamboofall.DataCentre(w.DataCentre), Rack: w.Rack, Leaving: w.Leaving,
		Entry: w.Entry, Agent: w.Agent, Room: w.Room.resources(),
	}
	for _, i := range w.Instances {
		vm.Instances = append(vm.Instances, bamboofall.Instance{
			ID: i.ID, Service: i.Service, Address: i.Address, Slots: i.Slots,
			Connections: i.Connections, Size: i.Size.resources(),
		})
	}
	return vm
}

func toWireSync(req bamboofall.SyncRequest) wireSync {
	w := wireSync{Owner: string(req.Owner), Token: uint64(req.Token)}
	for _, c := range req.Commands {
		w.Commands = append(w.Commands, wireCommand{
			Kind: uint8(c.Kind), Run: c.Task.Run, Index: c.Task.Index, Attempt: c.Attempt,
			LeaseUntilNS: int64(c.LeaseUntil), Size: toWireResources(c.Size), Job: c.Job, RunTimeNS: int64(c.RunTime),
			Standing: c.Standing, ProgressNS: int64(c.Progress), Throttle: c.Throttle,
		})
	}
	return w
}

func (w wireSync) request() bamboofall.SyncRequest {
	req := bamboofall.SyncRequest{Owner: bamboofall.VMID(w.Owner), Token: bamboofall.Token(w.Token)}
	for _, c := range w.Commands {
		req.Commands = append(req.Commands, bamboofall.Command{
			Kind: bamboofall.CommandKind(c.Kind), Task: bamboofall.TaskID{Run: c.Run, Index: c.Index}, Attempt: c.Attempt,
			LeaseUntil: time.Duration(c.LeaseUntilNS), Size: c.Size.resources(), Job: c.Job,
			RunTime: time.Duration(c.RunTimeNS), Standing: c.Standing, Progress: time.Duration(c.ProgressNS),
			Throttle: c.Throttle,
		})
	}
	return req
}

func toWireReport(rep bamboofall.SyncReport) wireReport {
	w := wireReport{ClockNS: int64(rep.Clock)}
	for _, a := range rep.Attempts {
		w.Attempts = append(w.Attempts, wireAttempt{
			a.Task.Run, a.Task.Index, a.Attempt, uint8(a.Status), int64(a.Progress), toWireResources(a.Usage),
		})
	}
	return w
}

func (w wireReport) report() bamboofall.SyncReport {
	rep := bamboofall.SyncReport{Clock: time.Duration(w.ClockNS)}
	for _, a := range w.Attempts {
		rep.Attempts = append(rep.Attempts, bamboofall.AttemptReport{
			Task: bamboofall.TaskID{Run: a.Run, Index: a.Index}, Attempt: a.Attempt,
			Status: bamboofall.AttemptStatus(a.Status), Progress: time.Duration(a.ProgressNS), Usage: a.Usage.resources(),
		})
	}
	return rep
}
