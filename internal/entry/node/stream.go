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
	// readWait is how long a read may wait for an entry. It must be well below
	// the fence time, for a read proves only what was true when it was sent.
	readWait  = time.Second
	readRetry = 250 * time.Millisecond
	// readTimeout is when a read that did not end is given up.
	readTimeout = 5 * time.Second
	// checkpointPart of the retention passes between checkpoints.
	checkpointPart = 6
	// checkpointStagger keeps the daemons from writing the same checkpoint.
	checkpointStagger = 5 * time.Second
	// lookEvery is the time between looks for the others' checkpoints.
	lookEvery = 15 * time.Second
)

// phase is how far the state of a stream has come.
type phase uint8

const (
	// phaseFind looks for the newest checkpoint.
	phaseFind phase = iota
	// phaseLoad reads it.
	phaseLoad
	// phaseTail applies entries as they come.
	phaseTail
)

// stream is one stream of the log and the way to its state.
type stream struct {
	name      string
	committer *commit.Committer
	phase     phase
	reading   bool
	readSince time.Time
	nextRead  time.Time
	// atEnd is set if the last read reached the end of the stream.
	atEnd bool
	// ready is set once the state can be used.
	ready bool
	// failing is set while reads fail.
	failing bool
	// checkpointNext is the end of the checkpoint stream as last seen.
	checkpointNext bamboofall.Offset
	checkpointAt   time.Time
	nextLook       time.Time
	looking        bool
	writing        bool
	// fetching is set while a peer is asked for the state.
	fetching  bool
	fetchTurn int
}

func newStream(name string, c *commit.Committer) *stream {
	return &stream{name: name, committer: c}
}

func (s *stream) checkpointName() string { return s.name + ".checkpoint" }

// next returns the offset of the next entry to apply.
func (n *Node) next(s *stream) bamboofall.Offset {
	if s == n.config {
		return n.catalog.Next()
	}
	return n.ledger.Next()
}

// read asks for the next page, if none is asked for already.
func (n *Node) read(now time.Time, s *stream) {
	if s.reading && now.Sub(s.readSince) < readTimeout || now.Before(s.nextRead) {
		return
	}
	s.reading = true
	s.readSince = now
	switch s.phase {
	case phaseFind:
		n.emit(Read{Stream: s.checkpointName()})
	case phaseLoad:
		n.emit(Read{Stream: s.checkpointName(), From: s.checkpointNext - 1})
	case phaseTail:
		if !s.looking && !now.Before(s.nextLook) {
			s.looking = true
			n.emit(Read{Stream: s.checkpointName(), From: s.checkpointNext})
			return
		}
		read := Read{Stream: s.name, From: n.next(s)}
		if s.ready {
			read.Wait = readWait
		}
		n.emit(read)
	}
}

// takeRead takes the end of a read.
func (n *Node) takeRead(now time.Time, e LogRead) {
	for _, s := range n.streams() {
		switch e.Stream {
		case s.name, s.checkpointName():
			s.reading = false
			if e.Err != nil {
				n.readFailed(now, s)
				return
			}
			s.failing = false
			s.nextRead = now
			if e.Stream == s.name {
				n.takePage(now, s, e)
			} else {
				n.takeCheckpointPage(now, s, e)
			}
		}
	}
}

func (n *Node) readFailed(now time.Time, s *stream) {
	n.counters.ReadFailures++
	if !s.failing {
		n.explain("log", s.name, "the log does not answer")
	}
	s.failing = true
	s.looking = false
	s.atEnd = false
	s.nextRead = now.Add(readRetry)
	if !s.ready {
		n.fetch(now, s)
	}
}

func (n *Node) takeCheckpointPage(now time.Time, s *stream, e LogRead) {
	switch s.phase {
	case phaseFind:
		s.checkpointNext = e.Page.Next
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
		s.checkpointAt = now
	case phaseTail:
		s.looking = false
		s.nextLook = now.Add(lookEvery)
		if len(e.Page.Entries) > 0 {
			s.checkpointAt = now
		}
		s.checkpointNext = e.Page.Next
	}
}

// restore takes a snapshot over if it is ahead of the state.
func (n *Node) restore(now time.Time, s *stream, data []byte) {
	if s == n.config {
		c, err := catalog.Restore(data)
		if err != nil {
			n.explain("log", s.name, "snapshot is not usable: %v", err)
			return
		}
		if c.Next() < n.catalog.Next() || c.Revision() < n.catalog.Revision() {
			return
		}
		n.catalog = c
		n.tookObjects(now)
	} else {
		l, err := ledger.Restore(data, n.set.Shards)
		if err != nil {
			n.explain("log", s.name, "snapshot is not usable: %v", err)
			return
		}
		if l.Next() < n.ledger.Next() {
			return
		}
		n.ledger = l
		n.sched.SetLedger(l)
		n.shardsRestored(now)
	}
	n.counters.SnapshotsTaken++
	s.ready = true
	n.explain("log", s.name, "state taken over up to offset %d", n.next(s))
}

// takePage applies the entries of a page.
func (n *Node) takePage(now time.Time, s *stream, e LogRead) {
	next := n.next(s)
	if e.From > next {
		return
	}
	if e.Page.Oldest > next {
		n.gap(now, s, e.Page)
		return
	}
	for _, entry := range e.Page.Entries {
		if entry.Offset == n.next(s) {
			n.apply(now, s, entry)
		}
	}
	s.ready = true
	s.atEnd = n.next(s) >= e.Page.Next
	if s == n.shardLog && s.atEnd && !n.contested() {
		n.fence.LogRead(e.Sent)
	}
}

// gap handles entries that the log dropped before they were read.
func (n *Node) gap(now time.Time, s *stream, p bamboofall.Page) {
	n.counters.Gaps++
	n.explain("log", s.name, "entries %d to %d were dropped before they were read", n.next(s), p.Oldest)
	s.atEnd = false
	s.phase = phaseFind
	s.nextRead = now.Add(readRetry)
	n.fetch(now, s)
}

func (n *Node) apply(now time.Time, s *stream, e bamboofall.Entry) {
	defer n.advanceStream(s, e.Offset)
	var b recordpb.Batch
	if err := proto.Unmarshal(e.Data, &b); err != nil || b.GetVersion() != 1 {
		n.counters.VoidRecords["undecodable"]++
		n.explain("log", s.name, "entry %d cannot be decoded and is void", e.Offset)
		return
	}
	for _, r := range b.GetRecords() {
		if s == n.config {
			n.applyConfig(now, e.Offset, r)
		} else {
			n.applyLedger(now, e.Offset, r)
		}
	}
}

func (n *Node) advanceStream(s *stream, offset bamboofall.Offset) {
	if s == n.config {
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
	if o.Void != "" {
		n.counters.VoidRecords["change"]++
		n.explain("change", o.ID, "void: %s", o.Void)
	} else {
		n.explain("change", o.ID, "in force as revision %d", o.Revision)
		n.tookObjects(now)
	}
	n.answer(o.ID, OutcomeResult(o))
}

func (n *Node) tookObjects(now time.Time) {
	n.sched.SetObjects(n.catalog.Set())
	n.emit(SetObjects{n.catalog.Set(), n.catalog.Revision()})
	n.nextWatch = now
}

func (n *Node) applyLedger(now time.Time, offset bamboofall.Offset, r *recordpb.Record) {
	v := n.ledger.Apply(offset, r)
	if v.Void != "" {
		n.counters.VoidRecords[v.Void]++
	}
	if s := r.GetSubmit(); s != nil && v == (ledger.Verdict{}) {
		n.explain("job", s.GetJob(), "run %s is accepted with %d tasks", s.GetRun(), s.GetTasks())
	}
	n.shardsChanged(now, r, v)
	n.sched.Applied(now, r, v)
	if v.Void != "" {
		n.answer(r.GetId(), Result{Status: ResultVoid, Reason: v.Void})
		return
	}
	n.answer(r.GetId(), Result{Status: ResultInForce})
}

// append asks to append what waits.
func (n *Node) append(now time.Time, s *stream) {
	data, err := s.committer.Next(now)
	if err != nil {
		n.explain("log", s.name, "%v", err)
		return
	}
	if data != nil {
		n.emit(Append{s.name, data})
	}
}

func (n *Node) takeAppended(now time.Time, e LogAppended) {
	for _, s := range n.streams() {
		switch {
		case e.Stream == s.name && e.Err == nil:
			s.committer.Done()
		case e.Stream == s.name:
			n.counters.AppendFailures++
			s.committer.Failed(now)
		case e.Stream == s.checkpointName():
			s.writing = false
			if e.Err == nil {
				s.checkpointAt = now
				n.counters.CheckpointsWritten++
			}
		}
	}
}

// checkpoint writes the state of a stream well inside the retention time. The
// daemons wait for each other by their order, and repeats do no harm. It is
// written in quiet times too, for the log drops old checkpoints as well.
func (n *Node) checkpoint(now time.Time, s *stream) {
	if !s.ready || !s.atEnd || s.writing {
		return
	}
	every := n.set.Timing.Retention / checkpointPart
	turn := time.Duration(n.turn(now)) * min(checkpointStagger, every/8)
	if s.checkpointAt.IsZero() {
		s.checkpointAt = now.Add(-every)
	}
	if now.Sub(s.checkpointAt) < every+turn {
		return
	}
	data, err := n.Snapshot(s.name)
	if err != nil {
		n.explain("log", s.name, "no checkpoint: %v", err)
		return
	}
	s.writing = true
	n.emit(Append{s.checkpointName(), data})
}

// turn returns this VM's place among the live ones of the data centre.
func (n *Node) turn(now time.Time) int {
	for i, vm := range n.members.Owners(now, n.set.DataCentre, n.leaving) {
		if vm == n.set.VM {
			return i
		}
	}
	return 0
}

// Snapshot encodes the state of a stream.
func (n *Node) Snapshot(name string) ([]byte, error) {
	if name == n.config.name {
		return n.catalog.Snapshot()
	}
	return n.ledger.Snapshot()
}

// fetch asks a peer of the data centre for the state of a stream.
func (n *Node) fetch(now time.Time, s *stream) {
	if s.fetching {
		return
	}
	addresses := n.set.Neighbours
	for _, m := range n.members.In(now, n.set.DataCentre) {
		if m.Address.IsValid() {
			addresses = append(addresses[:len(addresses):len(addresses)], m.Address)
		}
	}
	if len(addresses) == 0 {
		return
	}
	s.fetching = true
	s.fetchTurn++
	n.emit(FetchSnapshot{s.name, addresses[s.fetchTurn%len(addresses)]})
}

func (n *Node) takeSnapshot(now time.Time, e SnapshotFetched) {
	for _, s := range n.streams() {
		if s.name != e.Stream {
			continue
		}
		s.fetching = false
		if e.Err == nil {
			n.restore(now, s, e.Data)
			if s.phase != phaseTail && s.ready {
				s.phase = phaseTail
			}
		}
	}
}
