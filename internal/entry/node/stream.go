package node

import (
	"time"

	"google.golang.org/protobuf/proto"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/state/catalog"
	"bamboofall.example/bamboofall/internal/state/commit"
	"bamboofall.example/bamboofall/internal/state/ledger"
	"bamboofall.example/bamboofall/internal/wire/recordpb"
)

const (
	// readLongPoll is how long a read at the end of a stream waits for an entry. It
	// must be well below the fence time, because a read proves only the state at the
	// moment it was sent.
	readLongPoll   = time.Second
	readRetryDelay = 250 * time.Millisecond
	// readTimeout is when a read without a result is considered lost.
	readTimeout = 5 * time.Second
	// checkpointsPerRetention is the number of checkpoints per retention time.
	checkpointsPerRetention = 6
	// checkpointStagger separates the checkpoints of the VMs of a data centre, so
	// that usually only the first of them writes one.
	checkpointStagger = 5 * time.Second
	// checkpointPollInterval is the time between reads for the checkpoints of other
	// VMs.
	checkpointPollInterval = 15 * time.Second
)

// phase is the stage of loading a stream's state.
type phase uint8

const (
	// phaseFind looks up the position of the newest checkpoint.
	phaseFind phase = iota
	// phaseLoad reads that checkpoint.
	phaseLoad
	// phaseTail applies entries as they are appended.
	phaseTail
)

// stream tracks the reads, appends and checkpoints of a log stream.
type stream struct {
	name         string
	committer    *commit.Committer
	phase        phase
	readInFlight bool
	readSince    time.Time
	nextRead     time.Time
	// atEnd is set if the last read reached the end of the stream.
	atEnd bool
	// ready is set once the state can be used.
	ready bool
	// readFailing is set while reads fail.
	readFailing bool
	// checkpointEnd is the last known end offset of the checkpoint stream.
	checkpointEnd bamboofall.Offset
	// lastCheckpoint is when a checkpoint was last written or seen.
	lastCheckpoint         time.Time
	nextCheckpointPoll     time.Time
	checkpointPollInFlight bool
	checkpointInFlight     bool
	// fetchInFlight is set while a snapshot is requested from a peer.
	fetchInFlight bool
	fetchCount    int
}

func newStream(name string, c *commit.Committer) *stream {
	return &stream{name: name, committer: c}
}

func (s *stream) checkpointName() string { return s.name + ".checkpoint" }

// nextOffset returns the offset of the next entry to apply.
func (n *Node) nextOffset(s *stream) bamboofall.Offset {
	if s == n.configStream {
		return n.catalog.Next()
	}
	return n.ledger.Next()
}

// requestRead emits the next read of a stream if none is in flight and no retry
// delay is pending.
func (n *Node) requestRead(now time.Time, s *stream) {
	if s.readInFlight && now.Sub(s.readSince) < readTimeout || now.Before(s.nextRead) {
		return
	}
	s.readInFlight = true
	s.readSince = now
	switch s.phase {
	case phaseFind:
		n.emit(Read{Stream: s.checkpointName()})
	case phaseLoad:
		n.emit(Read{Stream: s.checkpointName(), From: s.checkpointEnd - 1})
	case phaseTail:
		if !s.checkpointPollInFlight && !now.Before(s.nextCheckpointPoll) {
			s.checkpointPollInFlight = true
			n.emit(Read{Stream: s.checkpointName(), From: s.checkpointEnd})
			return
		}
		read := Read{Stream: s.name, From: n.nextOffset(s)}
		if s.ready {
			read.Wait = readLongPoll
		}
		n.emit(read)
	}
}

// handleRead handles the result of a read.
func (n *Node) handleRead(now time.Time, e LogRead) {
	for _, s := range n.streams() {
		switch e.Stream {
		case s.name, s.checkpointName():
			s.readInFlight = false
			if e.Err != nil {
				n.readFailed(now, s)
				return
			}
			s.readFailing = false
			s.nextRead = now
			if e.Stream == s.name {
				n.applyPage(now, s, e)
			} else {
				n.handleCheckpointPage(now, s, e)
			}
		}
	}
}

func (n *Node) readFailed(now time.Time, s *stream) {
	n.counters.ReadFailures++
	if !s.readFailing {
		n.recordDecision("log", s.name, "log unavailable")
	}
	s.readFailing = true
	s.checkpointPollInFlight = false
	s.atEnd = false
	s.nextRead = now.Add(readRetryDelay)
	if !s.ready {
		n.fetchSnapshot(now, s)
	}
}

func (n *Node) handleCheckpointPage(now time.Time, s *stream, e LogRead) {
	switch s.phase {
	case phaseFind:
		s.checkpointEnd = e.Page.Next
		if e.Page.Next > e.Page.Oldest {
			s.phase = phaseLoad
			return
		}
		s.phase = phaseTail
	case phaseLoad:
		if len(e.Page.Entries) > 0 {
			n.restore(now, s, e.Page.Entries[len(e.Page.Entries)-1].Data)
		}
		s.phase = phaseTail
		s.lastCheckpoint = now
	case phaseTail:
		s.checkpointPollInFlight = false
		s.nextCheckpointPoll = now.Add(checkpointPollInterval)
		if len(e.Page.Entries) > 0 {
			s.lastCheckpoint = now
		}
		s.checkpointEnd = e.Page.Next
	}
}

// restore replaces the state of a stream by a snapshot, unless the snapshot is
// older than the state.
func (n *Node) restore(now time.Time, s *stream, data []byte) {
	if s == n.configStream {
		c, err := catalog.Restore(data)
		if err != nil {
			n.recordDecision("log", s.name, "snapshot rejected: %v", err)
			return
		}
		if c.Next() < n.catalog.Next() || c.Revision() < n.catalog.Revision() {
			return
		}
		n.catalog = c
		n.objectsChanged(now)
	} else {
		l, err := ledger.Restore(data, n.settings.Shards)
		if err != nil {
			n.recordDecision("log", s.name, "snapshot rejected: %v", err)
			return
		}
		if l.Next() < n.ledger.Next() {
			return
		}
		n.ledger = l
		n.sched.SetLedger(l)
		n.resetShards(now)
	}
	n.counters.SnapshotsRestored++
	s.ready = true
	n.recordDecision("log", s.name, "state restored from a snapshot; next offset %d", n.nextOffset(s))
}

// applyPage applies the entries of a page. A read that reached the end of the
// ledger stream renews the fence, unless a claim to an owned shard is pending.
func (n *Node) applyPage(now time.Time, s *stream, e LogRead) {
	next := n.nextOffset(s)
	if e.From > next {
		return
	}
	if e.Page.Oldest > next {
		n.handleGap(now, s, e.Page)
		return
	}
	for _, entry := range e.Page.Entries {
		if entry.Offset == n.nextOffset(s) {
			n.apply(now, s, entry)
		}
	}
	s.ready = true
	s.atEnd = n.nextOffset(s) >= e.Page.Next
	if s == n.ledgerStream && s.atEnd && !n.hasPendingClaim() {
		n.fence.LogProof(e.Sent)
	}
}

// handleGap handles entries that the log's retention dropped before they were
// read. The state is loaded again from a checkpoint or a peer.
func (n *Node) handleGap(now time.Time, s *stream, p bamboofall.Page) {
	n.counters.Gaps++
	n.recordDecision("log", s.name, "entries %d to %d were dropped before they were read", n.nextOffset(s), p.Oldest)
	s.atEnd = false
	s.phase = phaseFind
	s.nextRead = now.Add(readRetryDelay)
	n.fetchSnapshot(now, s)
}

func (n *Node) apply(now time.Time, s *stream, e bamboofall.Entry) {
	defer n.advanceStream(s, e.Offset)
	var b recordpb.Batch
	if err := proto.Unmarshal(e.Data, &b); err != nil || b.GetVersion() != 1 {
		n.counters.VoidRecords["undecodable"]++
		n.recordDecision("log", s.name, "entry %d cannot be decoded; it has no effect", e.Offset)
		return
	}
	for _, r := range b.GetRecords() {
		if s == n.configStream {
			n.applyConfig(now, e.Offset, r)
		} else {
			n.applyLedger(now, e.Offset, r)
		}
	}
}

func (n *Node) advanceStream(s *stream, offset bamboofall.Offset) {
	if s == n.configStream {
		n.catalog.Advance(offset)
		return
	}
	n.ledger.Advance(offset)
}

func (n *Node) applyConfig(now time.Time, offset bamboofall.Offset, r *recordpb.Record) {
	o, fresh := n.catalog.Apply(offset, r)
	if !fresh {
		return
	}
	if o.VoidReason != "" {
		n.counters.VoidRecords["change"]++
		n.recordDecision("change", o.ID, "void: %s", o.VoidReason)
	} else {
		n.recordDecision("change", o.ID, "in force as revision %d", o.Revision)
		n.objectsChanged(now)
	}
	n.finishOperation(o.ID, OutcomeResult(o))
}

func (n *Node) objectsChanged(now time.Time) {
	n.sched.SetObjects(n.catalog.Set())
	n.emit(SetObjects{n.catalog.Set(), n.catalog.Revision()})
	n.nextWatchCheck = now
}

func (n *Node) applyLedger(now time.Time, offset bamboofall.Offset, r *recordpb.Record) {
	v := n.ledger.Apply(offset, r)
	if v.VoidReason != "" {
		n.counters.VoidRecords[v.VoidReason]++
	}
	if s := r.GetSubmit(); s != nil && v == (ledger.Verdict{}) {
		n.recordDecision("job", s.GetJob(), "run %s is accepted with %d tasks", s.GetRun(), s.GetTasks())
	}
	n.applyOwnership(now, r, v)
	n.sched.Applied(now, r, v)
	if v.VoidReason != "" {
		n.finishOperation(r.GetId(), Result{Status: ResultVoid, Reason: v.VoidReason})
		return
	}
	n.finishOperation(r.GetId(), Result{Status: ResultInForce})
}

// append emits an append of the queued records if one is due.
func (n *Node) append(now time.Time, s *stream) {
	data, err := s.committer.Next(now)
	if err != nil {
		n.recordDecision("log", s.name, "%v", err)
		return
	}
	if data != nil {
		n.emit(Append{s.name, data})
	}
}

func (n *Node) handleAppended(now time.Time, e LogAppended) {
	for _, s := range n.streams() {
		switch {
		case e.Stream == s.name && e.Err == nil:
			s.committer.Done()
		case e.Stream == s.name:
			n.counters.AppendFailures++
			s.committer.Failed(now)
		case e.Stream == s.checkpointName():
			s.checkpointInFlight = false
			if e.Err == nil {
				s.lastCheckpoint = now
				n.counters.CheckpointsWritten++
			}
		}
	}
}

// writeCheckpoint emits a checkpoint of a stream several times per retention time.
// VMs are staggered by rank, and duplicate checkpoints are harmless. Checkpoints
// are also written while nothing changes, because retention drops old ones.
func (n *Node) writeCheckpoint(now time.Time, s *stream) {
	if !s.ready || !s.atEnd || s.checkpointInFlight {
		return
	}
	every := n.settings.Timing.Retention / checkpointsPerRetention
	stagger := time.Duration(n.checkpointRank(now)) * min(checkpointStagger, every/8)
	if s.lastCheckpoint.IsZero() {
		s.lastCheckpoint = now.Add(-every)
	}
	if now.Sub(s.lastCheckpoint) < every+stagger {
		return
	}
	data, err := n.Snapshot(s.name)
	if err != nil {
		n.recordDecision("log", s.name, "cannot encode checkpoint: %v", err)
		return
	}
	s.checkpointInFlight = true
	n.emit(Append{s.checkpointName(), data})
}

// checkpointRank returns this VM's position among the VMs of the data centre that
// may own shards.
func (n *Node) checkpointRank(now time.Time) int {
	for i, vm := range n.members.EligibleOwners(now, n.settings.DataCentre, n.leaving) {
		if vm == n.settings.VM {
			return i
		}
	}
	return 0
}

// Snapshot encodes the state of the stream with the given name.
func (n *Node) Snapshot(name string) ([]byte, error) {
	if name == n.configStream.name {
		return n.catalog.Snapshot()
	}
	return n.ledger.Snapshot()
}

// fetchSnapshot requests the state of a stream from a peer of the data centre,
// each time from the next one.
func (n *Node) fetchSnapshot(now time.Time, s *stream) {
	if s.fetchInFlight {
		return
	}
	addresses := n.settings.Neighbours
	for _, m := range n.members.InDataCentre(now, n.settings.DataCentre) {
		if m.Address.IsValid() {
			addresses = append(addresses[:len(addresses):len(addresses)], m.Address)
		}
	}
	if len(addresses) == 0 {
		return
	}
	s.fetchInFlight = true
	s.fetchCount++
	n.emit(FetchSnapshot{s.name, addresses[s.fetchCount%len(addresses)]})
}

func (n *Node) handleSnapshot(now time.Time, e SnapshotFetched) {
	for _, s := range n.streams() {
		if s.name != e.Stream {
			continue
		}
		s.fetchInFlight = false
		if e.Err == nil {
			n.restore(now, s, e.Data)
			if s.phase != phaseTail && s.ready {
				s.phase = phaseTail
			}
		}
	}
}
