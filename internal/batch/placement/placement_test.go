package placement_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/batch/placement"
)

func room(processors, gigabytes, accelerators int64) bamboofall.Resources {
	return bamboofall.Resources{MilliProcessors: processors * 1000, MemoryBytes: gigabytes * 1e9, Accelerators: accelerators}
}

func TestChoose(t *testing.T) {
	whole := room(32, 125, 0)
	small := placement.Request{Size: room(4, 8, 0), HarmWeight: 1, MaxHarm: 1}
	for name, c := range map[string]struct {
		req     placement.Request
		workers []placement.Worker
		want    int
	}{
		"none fits":             {small, []placement.Worker{{Room: whole, Free: room(3, 100, 0)}}, -1},
		"fills the fuller one":  {small, []placement.Worker{{ID: "a", Room: whole, Free: whole}, {ID: "b", Room: whole, Free: room(6, 20, 0)}}, 1},
		"not on accelerators":   {small, []placement.Worker{{ID: "a", Room: room(32, 125, 4), Free: room(5, 9, 4)}, {ID: "b", Room: whole, Free: whole}}, 1},
		"away from harm":        {small, []placement.Worker{{ID: "a", Room: whole, Free: whole, Harm: 0.9}, {ID: "b", Room: whole, Free: whole}}, 1},
		"never beyond the harm": {small, []placement.Worker{{ID: "a", Room: whole, Free: whole, Harm: 1.1}}, -1},
		"spread over racks":     {small, []placement.Worker{{ID: "a", Room: whole, Free: whole, SameRack: 2}, {ID: "b", Room: whole, Free: whole}}, 1},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, placement.Choose(c.req, c.workers), c.want) })
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{16, 65, 190, 3600} {
		b.Run(fmt.Sprintf("workers%d", n), func(b *testing.B) {
			workers := make([]placement.Worker, n)
			for i := range workers {
				workers[i] = placement.Worker{ID: bamboofall.VMID(fmt.Sprint(i)), Room: room(32, 125, 0), Free: room(int64(i%32), 60, 0)}
			}
			req := placement.Request{Size: room(4, 8, 0), MaxHarm: 1}
			for b.Loop() {
				placement.Choose(req, workers)
			}
		})
	}
}
