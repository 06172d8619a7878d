package sim_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/jobs/sim"
	"bamboofall.example/bamboofall/internal/state/lease"
)

// maxRecoveryTime is how long callers may go without service once the VMs that they
// need are up.
const maxRecoveryTime = 15 * time.Second

// simulateYield simulates an owner on a VM with a quarter of the capacity of the
// strongest other one. It returns when the owner first had to yield, or zero, and the
// totals up to the limit.
func simulateYield(vm *sim.OwnerVM, limit time.Duration) (yieldedAfter time.Duration, stats sim.Stats) {
	const weak, strong = 200, 800
	var l *lease.Lease
	var startedAt time.Time
	cfg := largeConfig(vm)
	cfg.OnOwnerDelay = func(now time.Time, owner *cell.Cell, _ time.Duration) {
		if l == nil {
			startedAt = now
			l = lease.New(now, lease.DefaultTiming(), "owner", netip.AddrPort{}, 0)
			l.SetCapacity(weak)
			l.Claimed(now, lease.Record{Epoch: 1, Capacity: weak}, 1)
		}
		if l.Yield(now, owner.Overloaded(now), strong) && yieldedAfter == 0 {
			yieldedAfter = now.Sub(startedAt)
		}
	}
	w := sim.New(cfg)
	submitLargeLoad(w, limit)
	w.Run(limit)
	return yieldedAfter, w.Stats
}

// The rate limit keeps an overloaded owner from being slow for long, so it kept the cell.
func TestOverloadedOwnerYieldsToStrongerVM(t *testing.T) {
	skipShort(t)
	for _, part := range []float64{0.4, 0.2} {
		for name, vm := range limitedVMs(part) {
			t.Run(fmt.Sprintf("%s at %v of sufficient capacity", name, part), func(t *testing.T) {
				t.Parallel()
				yieldedAfter, s := simulateYield(&vm, maxRecoveryTime)
				assert.Assert(t, yieldedAfter > 0, "not yielded after %v; %d of %d accepted jobs completed", maxRecoveryTime, s.Completed, s.Accepted)
			})
		}
	}
}

// An owner that holds back calls only now and then keeps the cell, as a handover takes a
// second without starts.
func TestOwnerWithSpareCapacityDoesNotYield(t *testing.T) {
	skipShort(t)
	vm := sim.OwnerVM{Processors: 2 * sufficientVM.Processors, LinkBytes: 2 * sufficientVM.LinkBytes}
	yieldedAfter, s := simulateYield(&vm, loadDuration)
	assert.Equal(t, yieldedAfter, time.Duration(0), "%d of %d accepted jobs completed", s.Completed, s.Accepted)
}
