package placement_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/batch/placement"
)

func resources(processors, gigabytes, accelerators int64) bamboofall.Resources {
	return bamboofall.Resources{MilliProcessors: processors * 1000, MemoryBytes: gigabytes * 1e9, Accelerators: accelerators}
}

func TestChooseReturnsBestWorker(t *testing.T) {
	whole := resources(32, 125, 0)
	small := placement.Request{Size: resources(4, 8, 0), InflationWeight: 1, MaxInflation: 1}
	for name, c := range map[string]struct {
		req     placement.Request
		workers []placement.Worker
		want    int
	}{
		"no worker has enough free resources": {small, []placement.Worker{{Capacity: whole, Free: resources(3, 100, 0)}}, -1},
		"prefers the best fit":                {small, []placement.Worker{{ID: "a", Capacity: whole, Free: whole}, {ID: "b", Capacity: whole, Free: resources(6, 20, 0)}}, 1},
		"avoids workers with accelerators":    {small, []placement.Worker{{ID: "a", Capacity: resources(32, 125, 4), Free: resources(5, 9, 4)}, {ID: "b", Capacity: whole, Free: whole}}, 1},
		"avoids inflation of services":        {small, []placement.Worker{{ID: "a", Capacity: whole, Free: whole, Inflation: 0.9}, {ID: "b", Capacity: whole, Free: whole}}, 1},
		"rejects inflation above the maximum": {small, []placement.Worker{{ID: "a", Capacity: whole, Free: whole, Inflation: 1.1}}, -1},
		"avoids racks with tasks of the run":  {small, []placement.Worker{{ID: "a", Capacity: whole, Free: whole, TasksOnRack: 2}, {ID: "b", Capacity: whole, Free: whole}}, 1},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, placement.Choose(c.req, c.workers), c.want) })
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{16, 65, 190, 3600} {
		b.Run(fmt.Sprintf("workers%d", n), func(b *testing.B) {
			workers := make([]placement.Worker, n)
			for i := range workers {
				workers[i] = placement.Worker{ID: bamboofall.VMID(fmt.Sprint(i)), Capacity: resources(32, 125, 0), Free: resources(int64(i%32), 60, 0)}
			}
			req := placement.Request{Size: resources(4, 8, 0), MaxInflation: 1}
			for b.Loop() {
				placement.Choose(req, workers)
			}
		})
	}
}
