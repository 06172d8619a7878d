package daemon

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/request/router"
	"bamboofall.example/bamboofall/internal/run/ring"
	"bamboofall.example/bamboofall/internal/wire/httpclient"
)

// The result of a timed-out attempt is reported twice, as its slot is released later.
func TestTimedOutAttemptIsCountedOnce(t *testing.T) {
	// The kernel accepts connections, and nothing responds.
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer silent.Close()
	engine, err := httpclient.NewEngine()
	assert.NilError(t, err)
	defer engine.Stop()
	d := &Daemon{requests: ring.New[requestItem](2), metrics: newMetrics("north")}
	d.upstreams.init(engine)
	d.send(router.Send{
		Request:  router.Request{Service: "ledger", Kind: "plan"},
		Instance: bamboofall.Instance{Address: netip.MustParseAddrPort(silent.Addr().String())},
		NotAfter: time.Now().Add(time.Minute), Timeout: 20 * time.Millisecond, MaxWait: 40 * time.Millisecond, StallTimeout: time.Minute,
	}, nil)
	assert.Equal(t, len(d.requests.Items()), 2)
	total := int64(0)
	for _, c := range d.metrics.Scope.Snapshot().Counters() {
		assert.Equal(t, c.Name(), "attemptFailures")
		total += c.Value()
	}
	assert.Equal(t, total, int64(1))
}
