package front

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Test clusters listen on ports below those that the system assigns to outgoing
// connections, and outside those of internal/standin/site.
const (
	firstTestPort = 10_000
	lastTestPort  = 19_999
	// testPortBlock is the number of ports of a block. The first port of a block is
	// its lock.
	testPortBlock = 8
	testBlocks    = (lastTestPort + 1 - firstTestPort) / testPortBlock
)

// lastTestBlock counts the blocks that this process has tried. A block is not reused
// soon, because pooled connections of earlier tests may refer to its ports.
var lastTestBlock atomic.Int64

// freePorts returns the first of n consecutive unused ports. They are reserved until the
// test ends: no other caller of freePorts, also in other processes, gets them.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	assert.Assert(t, n < testPortBlock)
	for range testBlocks {
		first := firstTestPort + (os.Getpid()+int(lastTestBlock.Add(1)))%testBlocks*testPortBlock
		lock, err := listenOnPort(first)
		if err != nil {
			continue
		}
		if !arePortsFree(t, first+1, n) {
			assert.NilError(t, lock.Close())
			continue
		}
		t.Cleanup(func() { assert.Check(t, lock.Close()) })
		return first + 1
	}
	t.Fatal("no free ports")
	return 0
}

func listenOnPort(port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
}

func arePortsFree(t *testing.T, first, n int) bool {
	for port := first; port < first+n; port++ {
		l, err := listenOnPort(port)
		if err != nil {
			return false
		}
		assert.NilError(t, l.Close())
	}
	return true
}

// Between the search and the start of a server, neither an outgoing connection nor
// another test may take a port.
func TestFreePortsAreNotAssignedTwice(t *testing.T) {
	const n = 5
	low, high := outgoingPorts(t)
	taken := make(map[int]bool)
	for range 20 {
		first := freePorts(t, n)
		for port := first; port < first+n; port++ {
			assert.Assert(t, port < low || port > high, "port %d may be assigned to an outgoing connection", port)
			assert.Assert(t, !taken[port], "port %d was returned twice", port)
			taken[port] = true
		}
	}
}

// outgoingPorts returns the first and the last port that the system assigns to outgoing
// connections.
func outgoingPorts(t *testing.T) (low, high int) {
	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if errors.Is(err, fs.ErrNotExist) {
		return 32768, 65535 // the widest range of common systems
	}
	assert.NilError(t, err)
	_, err = fmt.Sscan(string(data), &low, &high)
	assert.NilError(t, err)
	return low, high
}
