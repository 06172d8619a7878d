package front

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/platform"
)

func TestVMCapacityIsLimitedByProcessorAndLink(t *testing.T) {
	for _, c := range []struct {
		machine platform.Machine
		want    uint32
	}{
		{platform.Machine{}, 0},
		{platform.Machine{MilliProcessors: 192}, 192},
		{platform.Machine{MilliProcessors: 192, LinkBitsPerSecond: 10_000_000}, 192},
		{platform.Machine{MilliProcessors: 800, LinkBitsPerSecond: 10_000_000}, 285},
		{platform.Machine{MilliProcessors: 800, LinkBitsPerSecond: 200_000_000}, 800},
		{platform.Machine{MilliProcessors: 800, LinkBitsPerSecond: 1}, 1},
		{platform.Machine{LinkBitsPerSecond: 10_000_000}, 285},
	} {
		assert.Equal(t, vmCapacity(c.machine), c.want, "%+v", c.machine)
	}
}

// An owner that yields the cell to a stronger VM must go on serving requests.
func TestYieldingOwnerKeepsServingRequests(t *testing.T) {
	f := newTestCluster(t, 2, 2, 50*time.Millisecond)
	first := f.waitForOwner(-1)
	o := f.entries[first].owner.Load()
	o.push(o.ctx, loopTopics, func(time.Time) { close(o.yielding) })
	// Either VM may own the cell next. Both serve requests.
	for at := range f.entries {
		status, body := f.request(at, http.MethodPost, "/q/"+id(at), twoStepJob)
		assert.Equal(t, status, http.StatusOK, body)
		f.waitForState(1-at, id(at), "completed")
	}
	assert.Assert(t, f.entries[first].owner.Load() != o)
	assert.DeepEqual(t, f.audit.Violations(), []string(nil))
}
