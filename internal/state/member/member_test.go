package member_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/state/member"
)

func TestAssignGivesNoVMMoreThanItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 64).Draw(t, "shards")
		var vms []bamboofall.VMID
		for i := range rapid.IntRange(1, 12).Draw(t, "vms") {
			vms = append(vms, bamboofall.VMID(fmt.Sprintf("e%d", i)))
		}
		owners := member.Assign(shards, vms)
		count := make(map[bamboofall.VMID]int)
		for _, vm := range owners {
			count[vm]++
		}
		share := (shards + len(vms) - 1) / len(vms)
		for vm, n := range count {
			if n > share {
				t.Fatalf("%s owns %d of %d shards with %d VMs", vm, n, shards, len(vms))
			}
		}
	})
	assert.Assert(t, member.Assign(4, nil) == nil)
}

func TestStatusMergesListAndHeartbeats(t *testing.T) {
	now := time.Unix(1000, 0)
	m := member.New("self", 2*time.Second)
	assert.Equal(t, m.Status(now, "a"), member.StatusSuspect, "before the first list no VM is gone")
	m.RecordHeartbeat(now, member.Heartbeat{VM: "a", DataCentre: "x", Ready: true}, bamboofall.VM{}.Entry)
	assert.Equal(t, m.Status(now, "a"), member.StatusAlive, "a VM that answers is alive before it is listed")
	m.UpdateList(now, bamboofall.Fleet{})
	assert.Equal(t, m.Status(now, "a"), member.StatusAlive)
	later := now.Add(2 * time.Second)
	assert.Equal(t, m.Status(later, "a"), member.StatusGone, "a VM that is silent and not listed is gone")
	m.RecordHeartbeat(later, member.Heartbeat{VM: "a", DataCentre: "x", Leaving: true}, bamboofall.VM{}.Entry)
	assert.Equal(t, m.Status(later, "a"), member.StatusLeaving)
	assert.DeepEqual(t, m.EligibleOwners(later, "x", false), []bamboofall.VMID{"self"})
}
