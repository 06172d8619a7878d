// Package fence decides whether an entry VM may still act as the owner of its
// shards.
//
// A claim against an owner can be confirmed only after the claimant has waited for
// the takeover time from reading the claim back. After any moment at which an
// owner knows that no claim against it was pending, it may therefore act for the
// fence time, which is shorter than the takeover time. There are two proofs of
// such a moment. With the log, it is the moment at which the owner sent a read
// that reached the end of the stream. Without the log, every other entry VM of the
// data centre must have stated that it knows of no claim, or must certainly not
// have been running. An owner without a recent proof stops acting, because it
// cannot distinguish a network partition from a takeover.
package fence

import (
	"time"

	"bamboofall.example/bamboofall"
)

// Fence holds the moments at which no claim was pending. Use New. It is not
// safe for concurrent use.
type Fence struct {
	// validity is how long the owner may act after a proof.
	validity time.Duration
	// logProof is the latest proof by the log.
	logProof time.Time
	// peerProofs holds the latest proof by each peer.
	peerProofs map[bamboofall.VMID]time.Time
}

// New returns a closed fence. A proof is valid for the given duration.
func New(validity time.Duration) *Fence {
	return &Fence{validity: validity, peerProofs: make(map[bamboofall.VMID]time.Time)}
}

// LogProof records that a read that was sent at a time reached the end of the
// stream.
func (f *Fence) LogProof(sent time.Time) {
	if sent.After(f.logProof) {
		f.logProof = sent
	}
}

// PeerProof records that a peer, in its answer to a heartbeat that was sent at
// a time, stated that it knows of no claim, or that nothing listens at its
// address.
func (f *Fence) PeerProof(peer bamboofall.VMID, sent time.Time) {
	if sent.After(f.peerProofs[peer]) {
		f.peerProofs[peer] = sent
	}
}

// RevokePeerProof deletes the proof by a peer that could not state that it knows of
// no claim.
func (f *Fence) RevokePeerProof(peer bamboofall.VMID) {
	delete(f.peerProofs, peer)
}

// Open reports whether the owner may act. The peers are all other entry VMs of
// the data centre that may be running.
func (f *Fence) Open(now time.Time, peers []bamboofall.VMID) bool {
	return now.Before(f.Until(peers))
}

// Until returns when the fence closes unless there is a new proof.
func (f *Fence) Until(peers []bamboofall.VMID) time.Time {
	byLog := f.logProof.Add(f.validity)
	if len(peers) == 0 {
		return byLog
	}
	byPeers := f.peerProofs[peers[0]]
	for _, p := range peers[1:] {
		if at := f.peerProofs[p]; at.Before(byPeers) {
			byPeers = at
		}
	}
	if until := byPeers.Add(f.validity); until.After(byLog) {
		return until
	}
	return byLog
}
