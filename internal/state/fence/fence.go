// Package fence decides whether an entry VM may still act as the owner of its
// shards.
//
// A claim against an owner can be confirmed only when the claimant has waited
// for the takeover time after reading it back. So an owner is safe for the fence
// time, which is shorter, after any moment at which it knows that no claim
// against it was pending. It knows this from the log, when a read that it sent
// at that moment reached the end of the stream, or without the log, when every
// other entry VM of the data centre said so or was certainly not running. While
// an owner knows neither, it acts no more; it cannot tell a cut from a takeover.
package fence

import (
	"time"

	"bamboofall.example/bamboofall"
)

// Fence keeps the moments at which no claim was known. Use New.
type Fence struct {
	span  time.Duration
	log   time.Time
	peers map[bamboofall.VMID]time.Time
}

// New returns a fence with the span for which one proof holds. It is closed.
func New(span time.Duration) *Fence {
	return &Fence{span: span, peers: make(map[bamboofall.VMID]time.Time)}
}

// LogRead records that a read sent at a moment reached the end of the stream.
func (f *Fence) LogRead(sent time.Time) {
	if sent.After(f.log) {
		f.log = sent
	}
}

// PeerClear records that a peer answered a heartbeat sent at a moment with
// word that it knows of no claim, or that nothing listens at its address.
func (f *Fence) PeerClear(peer bamboofall.VMID, sent time.Time) {
	if sent.After(f.peers[peer]) {
		f.peers[peer] = sent
	}
}

// PeerDoubt records that a peer could not give that word.
func (f *Fence) PeerDoubt(peer bamboofall.VMID) {
	delete(f.peers, peer)
}

// Open reports whether the owner may act. The peers are the other entry VMs of
// the data centre that may be running.
func (f *Fence) Open(now time.Time, peers []bamboofall.VMID) bool {
	return now.Before(f.Until(peers))
}

// Until returns the moment at which the fence closes unless there is news.
func (f *Fence) Until(peers []bamboofall.VMID) time.Time {
	byLog := f.log.Add(f.span)
	if len(peers) == 0 {
		return byLog
	}
	byPeers := f.peers[peers[0]]
	for _, p := range peers[1:] {
		if at := f.peers[p]; at.Before(byPeers) {
			byPeers = at
		}
	}
	if until := byPeers.Add(f.span); until.After(byLog) {
		return until
	}
	return byLog
}
