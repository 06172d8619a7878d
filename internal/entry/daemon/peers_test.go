package daemon

import (
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/internal/config/settings"
	"bamboofall.example/bamboofall/internal/entry/node"
	"bamboofall.example/bamboofall/internal/run/ring"
	"bamboofall.example/bamboofall/internal/wire/httpclient"
)

// The node waits for the result of each call, so the result of a call that timed out must
// arrive too.
func TestTimedOutPeerCallsReportResults(t *testing.T) {
	// The kernel accepts connections, and nothing responds.
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer silent.Close()
	address := netip.MustParseAddrPort(silent.Addr().String())
	engine, err := httpclient.NewEngine()
	assert.NilError(t, err)
	defer engine.Stop()
	const calls = 16
	d := &Daemon{
		settings: &settings.Settings{}, peers: httpclient.New(engine), control: ring.New[controlItem](2 * calls),
	}
	d.settings.Timing.Suspect = 50 * time.Millisecond
	var ended sync.WaitGroup
	for range calls {
		ended.Go(func() { d.doHeartbeat(t.Context(), node.Heartbeat{Address: address}) })
		ended.Go(func() { d.doFetch(t.Context(), node.FetchSnapshot{Address: address}) })
	}
	ended.Wait()
	heartbeats, snapshots := 0, 0
	for range len(d.control.Items()) {
		switch e := (<-d.control.Items()).event.(type) {
		case node.HeartbeatDone:
			heartbeats++
			assert.Assert(t, e.Err != nil)
		case node.SnapshotFetched:
			snapshots++
			assert.Assert(t, e.Err != nil)
		}
	}
	assert.Equal(t, heartbeats, calls)
	assert.Equal(t, snapshots, calls)
}
