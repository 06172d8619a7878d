package fence_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/state/fence"
)

var start = time.Unix(1000, 0)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func TestFenceIsOpenWhileProofIsValid(t *testing.T) {
	peers := []bamboofall.VMID{"a", "b"}
	f := fence.New(4 * time.Second)
	assert.Assert(t, !f.Open(at(0), nil), "a new fence is closed")
	f.LogProof(at(0))
	assert.Assert(t, f.Open(at(3), peers))
	assert.Assert(t, !f.Open(at(4), peers), "the proof has expired")
	f.PeerProof("a", at(5))
	assert.Assert(t, !f.Open(at(5), peers), "one of two peers does not suffice")
	f.PeerProof("b", at(6))
	assert.Assert(t, f.Open(at(8), peers), "all peers together are a proof")
	assert.Assert(t, !f.Open(at(9), peers), "the oldest statement of a peer decides")
	f.PeerProof("a", at(9))
	f.RevokePeerProof("b")
	assert.Assert(t, !f.Open(at(9), peers), "revoking the proof by one peer closes the fence at once")
	f.LogProof(at(2))
	assert.Assert(t, !f.Open(at(9), peers), "a proof dates from the request, not from the answer")
	assert.Assert(t, !f.Open(at(9), nil), "without peers only the log is a proof")
}
