package member

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"bamboofall.example/bamboofall"
)

// Assign returns the wanted owner of each shard. It is rendezvous hashing with
// a bound: no VM gets more than its even share, rounded up, so that few VMs
// share few shards evenly. The result is the same for every caller with the
// same members. It is nil if there is no VM.
func Assign(shards int, vms []bamboofall.VMID) []bamboofall.VMID {
	if len(vms) == 0 {
		return nil
	}
	share := (shards + len(vms) - 1) / len(vms)
	load := make(map[bamboofall.VMID]int, len(vms))
	out := make([]bamboofall.VMID, shards)
	for shard := range shards {
		for _, vm := range ranked(shard, vms) {
			if load[vm] < share {
				out[shard] = vm
				load[vm]++
				break
			}
		}
	}
	return out
}

// ranked returns the VMs in the order of their weight for a shard.
func ranked(shard int, vms []bamboofall.VMID) []bamboofall.VMID {
	weight := func(vm bamboofall.VMID) uint64 {
		return xxhash.Sum64String(fmt.Sprintf("%d/%s", shard, vm))
	}
	out := append([]bamboofall.VMID{}, vms...)
	sort.Slice(out, func(i, j int) bool {
		a, b := weight(out[i]), weight(out[j])
		if a != b {
			return a > b
		}
		return out[i] < out[j]
	})
	return out
}
