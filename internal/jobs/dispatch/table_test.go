package dispatch

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000)
}

// vm returns the nth VM, in data centre dc.
func vm(n int, dc string, capacity uint32) VM {
	return VM{Address: address(n), Process: fmt.Sprintf("vm-%d/1", n), DataCentre: bamboofall.DataCentre(dc), Capacity: capacity}
}

// table returns a table with the given number of workers in each data centre.
func table(owner VM, workers int, dcs ...string) *RoutingTable {
	t := NewRoutingTable(owner, WorkersPerCore)
	for _, dc := range dcs {
		for i := range workers {
			t.SetWorker(fmt.Sprintf("i-%s-%03d", dc, i), bamboofall.DataCentre(dc))
		}
	}
	return t
}

// relaysByWorker returns the relay of each worker that the owner does not call
// itself.
func relaysByWorker(t *RoutingTable) map[string]netip.AddrPort {
	relays := make(map[string]netip.AddrPort)
	for id := range t.workers {
		if vm, relayed := t.RelayOf(id); relayed {
			relays[id] = vm.Address
		}
	}
	return relays
}

// countChanged returns how many workers in after have another relay than in before.
func countChanged(before, after map[string]netip.AddrPort) int {
	n := 0
	for id, relay := range after {
		if before[id] != relay {
			n++
		}
	}
	return n
}

func TestAssignSharesWorkersAmongOwnerAndRelays(t *testing.T) {
	for name, c := range map[string]struct {
		owner           VM
		relays          []VM
		workers         int
		dcs             []string
		workersPerRelay map[netip.AddrPort]int
	}{
		"owner calls all workers of a small fleet": {
			vm(0, "a", 400), []VM{vm(1, "a", 400), vm(2, "b", 400)}, 66, []string{"a"}, map[netip.AddrPort]int{},
		},
		"owner calls all workers without relays": {
			vm(0, "a", 400), nil, 490, []string{"a"}, map[netip.AddrPort]int{},
		},
		"few large relays, each for its data centre": {
			vm(0, "a", 800),
			[]VM{vm(1, "a", 192), vm(2, "a", 800), vm(3, "b", 800), vm(4, "b", 192), vm(5, "c", 800), vm(6, "d", 800), vm(7, "d", 192)},
			120, []string{"a", "b", "c", "d"},
			map[netip.AddrPort]int{address(3): 80, address(5): 120, address(6): 120},
		},
		"large remote relay before small local one": {
			vm(0, "a", 800), []VM{vm(1, "b", 192), vm(2, "a", 800)}, 150, []string{"a", "b"},
			map[netip.AddrPort]int{address(2): 140},
		},
		"small relays once the large ones are full": {
			vm(0, "a", 800), []VM{vm(1, "b", 200), vm(2, "b", 800), vm(3, "b", 200)}, 340, []string{"b"},
			map[netip.AddrPort]int{address(2): 160, address(1): 20},
		},
		"overload shared in proportion to capacity": {
			vm(0, "a", 200), []VM{vm(1, "a", 200), vm(2, "a", 400)}, 320, []string{"a"},
			map[netip.AddrPort]int{address(1): 80, address(2): 160},
		},
		"owner without capacity": {
			vm(0, "a", 0), []VM{vm(1, "a", 400)}, 40, []string{"a"}, map[netip.AddrPort]int{address(1): 40},
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := table(c.owner, c.workers, c.dcs...)
			for _, r := range c.relays {
				table.HandleAnnouncement(at(0), r)
			}
			table.Assign(at(0))
			assert.DeepEqual(t, table.WorkersPerRelay(), c.workersPerRelay, compareAddresses)
		})
	}
}

func TestAssignKeepsWorkersAtTheirRelay(t *testing.T) {
	table := table(vm(0, "a", 400), 200, "a")
	table.HandleAnnouncement(at(0), vm(1, "a", 800))
	table.Assign(at(0))
	before := relaysByWorker(table)
	assert.Equal(t, len(before), 120)
	table.HandleAnnouncement(at(100), vm(2, "a", 800))
	table.SetWorker("i-new", "a")
	table.HandleAnnouncement(at(200), vm(1, "a", 800))
	table.Assign(at(200))
	after := relaysByWorker(table)
	assert.Equal(t, countChanged(before, after), 1, "only the new worker gets a relay")
}

func TestAssignMovesWorkersOffOverloadedOwner(t *testing.T) {
	table := table(vm(0, "a", 400), 200, "a")
	table.Assign(at(0))
	assert.Equal(t, len(relaysByWorker(table)), 0, "no relay has announced itself")
	table.HandleAnnouncement(at(100), vm(1, "a", 800))
	table.Assign(at(100))
	assert.Equal(t, len(relaysByWorker(table)), 120)
}

func TestAssignMovesOnlyWorkersOfUnavailableRelay(t *testing.T) {
	for name, disable := range map[string]func(*RoutingTable){
		"suspended": func(table *RoutingTable) { table.Suspend(at(100), address(1)) },
		"leaving": func(table *RoutingTable) {
			leaving := vm(1, "a", 800)
			leaving.Leaving = true
			table.HandleAnnouncement(at(100), leaving)
		},
		"announcement expired": func(*RoutingTable) {},
	} {
		t.Run(name, func(t *testing.T) {
			table := table(vm(0, "o", 0), 100, "a", "b")
			for n := 1; n <= 3; n++ {
				table.HandleAnnouncement(at(0), vm(n, map[int]string{1: "a", 2: "b", 3: "b"}[n], 800))
			}
			table.Assign(at(0))
			before := relaysByWorker(table)
			table.HandleAnnouncement(at(2400), vm(2, "b", 800))
			table.HandleAnnouncement(at(2400), vm(3, "b", 800))
			disable(table)
			table.Assign(at(2501))
			after := relaysByWorker(table)
			assert.Equal(t, len(after), 200)
			assert.Equal(t, countChanged(before, after), 100)
			for id, relay := range after {
				assert.Assert(t, relay != address(1), id)
			}
		})
	}
}

func TestSuspendedRelayResumesAfterSuspendDuration(t *testing.T) {
	table := table(vm(0, "a", 0), 10, "a")
	assert.DeepEqual(t, table.HandleAnnouncement(at(0), vm(1, "a", 800)), []Event{{RelayJoined, vm(1, "a", 800)}}, compareAddresses)
	table.Assign(at(0))
	assert.Assert(t, table.Suspend(at(10), address(1)))
	assert.Assert(t, !table.Suspend(at(20), address(1)), "already suspended")
	table.Assign(at(20))
	assert.Equal(t, len(relaysByWorker(table)), 0, "the owner calls all workers")
	table.HandleAnnouncement(at(2000), vm(1, "a", 800))
	resumeMS := 20 + int(SuspendDuration.Milliseconds())
	assert.DeepEqual(t, table.Assign(at(resumeMS-1)), []Event(nil), compareAddresses)
	assert.DeepEqual(t, table.Assign(at(resumeMS)), []Event{{RelayResumed, vm(1, "a", 800)}}, compareAddresses)
	assert.Equal(t, len(relaysByWorker(table)), 10)
}

func TestNewProcessAtRelayAddressIsReportedAsRestart(t *testing.T) {
	table := table(vm(0, "a", 0), 1, "a")
	table.HandleAnnouncement(at(0), vm(1, "a", 800))
	next := vm(1, "a", 800)
	next.Process = "vm-1/2"
	assert.DeepEqual(t, table.HandleAnnouncement(at(10), next), []Event{{RelayRestarted, next}}, compareAddresses)
}

// Guards against assignments that depend on the iteration order of the map of
// workers.
func TestAssignIsDeterministic(t *testing.T) {
	var first map[string]netip.AddrPort
	for range 20 {
		table := table(vm(0, "a", 100), 60, "a", "b", "c")
		for n := 1; n < 9; n++ {
			table.HandleAnnouncement(at(0), vm(n, string(rune('a'+n%3)), uint32(100*(n%4+1))))
		}
		table.Assign(at(0))
		if first == nil {
			first = relaysByWorker(table)
		}
		assert.DeepEqual(t, relaysByWorker(table), first, compareAddresses)
	}
}

func TestRoutesAndRelaysAreCounted(t *testing.T) {
	tab := table(vm(0, "a", 400), 100, "a", "b")
	for n := 1; n <= 3; n++ {
		tab.HandleAnnouncement(at(0), vm(n, "b", 800))
	}
	tab.Assign(at(0))
	relayed := 0
	for id, r := range tab.Routes() {
		_, want := tab.RelayOf(id)
		assert.Equal(t, r, want, id)
		if r {
			relayed++
		}
	}
	assert.Equal(t, relayed, 200-400*WorkersPerCore/capacityPerCore)
	tab.Suspend(at(10), address(1))
	leaving := vm(2, "b", 800)
	leaving.Leaving = true
	tab.HandleAnnouncement(at(10), leaving)
	active, suspended := tab.Relays()
	assert.Equal(t, active, 1)
	assert.Equal(t, suspended, 1)
}
