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

// vm returns the VM with a number, in a data centre, with a capacity.
func vm(n int, dc string, capacity uint32) VM {
	return VM{Address: address(n), Process: fmt.Sprintf("vm-%d/1", n), DataCentre: bamboofall.DataCentre(dc), Capacity: capacity}
}

// table returns a table with an owner and some workers in each of some data centres.
func table(owner VM, workers int, dcs ...string) *Table {
	t := NewTable(owner, WorkersPerCore)
	for _, dc := range dcs {
		for i := range workers {
			t.SetWorker(fmt.Sprintf("i-%s-%03d", dc, i), bamboofall.DataCentre(dc))
		}
	}
	return t
}

func ways(t *Table) map[string]netip.AddrPort {
	w := make(map[string]netip.AddrPort)
	for id := range t.workers {
		if vm, relayed := t.Way(id); relayed {
			w[id] = vm.Address
		}
	}
	return w
}

func moved(before, after map[string]netip.AddrPort) int {
	n := 0
	for id, way := range after {
		if before[id] != way {
			n++
		}
	}
	return n
}

func TestSpread(t *testing.T) {
	for name, c := range map[string]struct {
		owner   VM
		relays  []VM
		workers int
		dcs     []string
		loads   map[netip.AddrPort]int
	}{
		"the owner carries a small fleet alone": {
			vm(0, "a", 400), []VM{vm(1, "a", 400), vm(2, "b", 400)}, 66, []string{"a"}, map[netip.AddrPort]int{},
		},
		"without relays the owner carries all": {
			vm(0, "a", 400), nil, 490, []string{"a"}, map[netip.AddrPort]int{},
		},
		"few strong relays, each for its data centre": {
			vm(0, "a", 800),
			[]VM{vm(1, "a", 192), vm(2, "a", 800), vm(3, "b", 800), vm(4, "b", 192), vm(5, "c", 800), vm(6, "d", 800), vm(7, "d", 192)},
			120, []string{"a", "b", "c", "d"},
			map[netip.AddrPort]int{address(3): 80, address(5): 120, address(6): 120},
		},
		"a strong relay elsewhere before weak ones here": {
			vm(0, "a", 800), []VM{vm(1, "b", 192), vm(2, "a", 800)}, 150, []string{"a", "b"},
			map[netip.AddrPort]int{address(2): 140},
		},
		"weak ones once the strong ones are full": {
			vm(0, "a", 800), []VM{vm(1, "b", 200), vm(2, "b", 800), vm(3, "b", 200)}, 340, []string{"b"},
			map[netip.AddrPort]int{address(2): 160, address(1): 20},
		},
		"all are full, so all get more in proportion": {
			vm(0, "a", 200), []VM{vm(1, "a", 200), vm(2, "a", 400)}, 320, []string{"a"},
			map[netip.AddrPort]int{address(1): 80, address(2): 160},
		},
		"an owner without room of its own": {
			vm(0, "a", 0), []VM{vm(1, "a", 400)}, 40, []string{"a"}, map[netip.AddrPort]int{address(1): 40},
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := table(c.owner, c.workers, c.dcs...)
			for _, r := range c.relays {
				table.Heard(at(0), r)
			}
			table.Assign(at(0))
			assert.DeepEqual(t, table.Loads(), c.loads, compareAddresses)
		})
	}
}

func TestWorkersStayWithTheirRelay(t *testing.T) {
	table := table(vm(0, "a", 400), 200, "a")
	table.Heard(at(0), vm(1, "a", 800))
	table.Assign(at(0))
	before := ways(table)
	assert.Equal(t, len(before), 120)
	table.Heard(at(100), vm(2, "a", 800))
	table.SetWorker("i-new", "a")
	table.Heard(at(200), vm(1, "a", 800))
	table.Assign(at(200))
	after := ways(table)
	assert.Equal(t, moved(before, after), 1, "only the new one gets a way")
}

func TestWorkersMoveOffAnOverloadedOwner(t *testing.T) {
	table := table(vm(0, "a", 400), 200, "a")
	table.Assign(at(0))
	assert.Equal(t, len(ways(table)), 0, "no relay is known yet")
	table.Heard(at(100), vm(1, "a", 800))
	table.Assign(at(100))
	assert.Equal(t, len(ways(table)), 120)
}

func TestOnlyTheWorkersOfALostRelayMove(t *testing.T) {
	for name, lose := range map[string]func(*Table){
		"left out": func(table *Table) { table.LeaveOut(at(100), address(1)) },
		"leaving": func(table *Table) {
			leaving := vm(1, "a", 800)
			leaving.Leaving = true
			table.Heard(at(100), leaving)
		},
		"silent": func(*Table) {},
	} {
		t.Run(name, func(t *testing.T) {
			table := table(vm(0, "o", 0), 100, "a", "b")
			for n := 1; n <= 3; n++ {
				table.Heard(at(0), vm(n, map[int]string{1: "a", 2: "b", 3: "b"}[n], 800))
			}
			table.Assign(at(0))
			before := ways(table)
			table.Heard(at(2400), vm(2, "b", 800))
			table.Heard(at(2400), vm(3, "b", 800))
			lose(table)
			table.Assign(at(2501))
			after := ways(table)
			assert.Equal(t, len(after), 200)
			assert.Equal(t, moved(before, after), 100)
			for id, way := range after {
				assert.Assert(t, way != address(1), id)
			}
		})
	}
}

func TestARelayThatWasLeftOutComesBack(t *testing.T) {
	table := table(vm(0, "a", 0), 10, "a")
	assert.DeepEqual(t, table.Heard(at(0), vm(1, "a", 800)), []Event{{RelayJoined, vm(1, "a", 800)}}, compareAddresses)
	table.Assign(at(0))
	assert.Assert(t, table.LeaveOut(at(10), address(1)))
	assert.Assert(t, !table.LeaveOut(at(20), address(1)), "it is out already")
	table.Assign(at(20))
	assert.Equal(t, len(ways(table)), 0, "the owner has to carry them")
	table.Heard(at(2000), vm(1, "a", 800))
	out := 20 + int(LeftOutFor.Milliseconds())
	assert.DeepEqual(t, table.Assign(at(out-1)), []Event(nil), compareAddresses)
	assert.DeepEqual(t, table.Assign(at(out)), []Event{{RelayBack, vm(1, "a", 800)}}, compareAddresses)
	assert.Equal(t, len(ways(table)), 10)
}

func TestAnotherProcessAtTheAddressOfARelay(t *testing.T) {
	table := table(vm(0, "a", 0), 1, "a")
	table.Heard(at(0), vm(1, "a", 800))
	next := vm(1, "a", 800)
	next.Process = "vm-1/2"
	assert.DeepEqual(t, table.Heard(at(10), next), []Event{{RelayRestarted, next}}, compareAddresses)
}

// The map of workers must not decide.
func TestTheSameFleetIsSpreadTheSameWay(t *testing.T) {
	var first map[string]netip.AddrPort
	for range 20 {
		table := table(vm(0, "a", 100), 60, "a", "b", "c")
		for n := 1; n < 9; n++ {
			table.Heard(at(0), vm(n, string(rune('a'+n%3)), uint32(100*(n%4+1))))
		}
		table.Assign(at(0))
		if first == nil {
			first = ways(table)
		}
		assert.DeepEqual(t, ways(table), first, compareAddresses)
	}
}
