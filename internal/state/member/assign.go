package member

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"bamboofall.example/bamboofall"
)

// Assign returns the intended owner of each shard, or nil if there is no VM. It
// uses rendezvous hashing with a bound: no VM gets more than its even share,
// rounded up, because plain hashing is uneven for few VMs and shards. All
// callers with the same members get the same result.
func Assign(shards int, vms []bamboofall.VMID) []bamboofall.VMID {
	if len(vms) == 0 {
		return nil
	}
	maxShards := (shards + len(vms) - 1) / len(vms)
	assigned := make(map[bamboofall.VMID]int, len(vms))
	owners := make([]bamboofall.VMID, shards)
	for shard := range shards {
		for _, vm := range rankVMs(shard, vms) {
			if assigned[vm] < maxShards {
				owners[shard] = vm
				assigned[vm]++
				break
			}
		}
	}
	return owners
}

// rankVMs returns the VMs in descending order of their hash weight for a shard.
func rankVMs(shard int, vms []bamboofall.VMID) []bamboofall.VMID {
	weight := func(vm bamboofall.VMID) uint64 {
		return xxhash.Sum64String(fmt.Sprintf("%d/%s", shard, vm))
	}
	ranked := append([]bamboofall.VMID{}, vms...)
	sort.Slice(ranked, func(i, j int) bool {
		a, b := weight(ranked[i]), weight(ranked[j])
		if a != b {
			return a > b
		}
		return ranked[i] < ranked[j]
	})
	return ranked
}
