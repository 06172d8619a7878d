package bed

import (
	"errors"
	"fmt"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/config/settings"
	"bamboofall.example/bamboofall/internal/entry/node"
	"bamboofall.example/bamboofall/internal/request/router"
	"bamboofall.example/bamboofall/internal/wire/connpool"
)

// logShare is the part of the log's appends that the entry VMs may use.
const logShare = 0.7

// errCut is the end of a call over a cut link.
var errCut = errors.New("timed out")

// Step is a place on the way of a request or an attempt.
type Step string

// Entry is an entry VM.
type Entry struct {
	Node   *node.Node
	Router *router.Router
	// Answers holds the ends of operators' questions, by id.
	Answers map[string]node.Result

	bed         *Bed
	vm          bamboofall.VM
	life        int
	dead        bool
	paused      bool
	backlog     []func()
	calls       map[uint64]*call
	nextCall    uint64
	connections map[string]*connpool.Pool[*connection]
	reports     int
}

// StartEntry starts the daemon of an entry VM anew. What it knew is lost.
func (b *Bed) StartEntry(id bamboofall.VMID) {
	old := b.entries[id]
	e := &Entry{
		Answers: make(map[string]node.Result), bed: b, calls: make(map[uint64]*call),
		connections: make(map[string]*connpool.Pool[*connection]),
	}
	for _, vm := range b.vms {
		if vm.ID == id {
			e.vm = vm
		}
	}
	if old != nil {
		e.life = old.life + 1
	}
	seed := b.Options.Seed + uint64(len(b.entries))*1000 + uint64(e.life)
	set := &settings.Settings{
		VM: id, DataCentre: e.vm.DataCentre, Shards: b.Options.Shards, Timing: *b.Options.Timing,
		LogAppends: b.Options.Appends * logShare,
		Batch:      settings.Batch{TailWeight: b.Options.TailWeight},
	}
	for _, vm := range b.vms {
		if vm.Entry.IsValid() && vm.DataCentre == e.vm.DataCentre && vm.ID != id {
			set.Neighbours = append(set.Neighbours, vm.Entry)
		}
	}
	e.Node = node.New(node.Config{Settings: set, Incarnation: fmt.Sprintf("life%d", e.life), Seed: seed})
	e.Router = router.New(router.Config{VM: id, DataCentre: e.vm.DataCentre, Seed: seed})
	b.entries[id] = e
	b.list(e)
	e.every(nodeTick, func() { e.step(node.Tick{}) })
	e.every(routerTick, func() { e.doRequests(e.Router.Tick(b.now)) })
	e.every(reportEvery, e.report)
	e.every(listEvery, func() { b.list(e) })
}

// Kill ends a daemon at once. Its callers' connections break.
func (b *Bed) Kill(id bamboofall.VMID) {
	e := b.entries[id]
	e.dead = true
	calls := e.calls
	e.calls = make(map[uint64]*call)
	for _, id := range sortedIDs(calls) {
		calls[id].broken()
	}
}

// Pause stops a daemon until Wake. Its sockets stay open.
func (b *Bed) Pause(id bamboofall.VMID) { b.entries[id].paused = true }

// Wake lets a paused daemon go on. What came meanwhile comes now.
func (b *Bed) Wake(id bamboofall.VMID) {
	e := b.entries[id]
	e.paused = false
	backlog := e.backlog
	e.backlog = nil
	for _, f := range backlog {
		if !e.dead {
			f()
		}
	}
}

// Stop begins a graceful shutdown. The daemon ends by itself.
func (b *Bed) Stop(id bamboofall.VMID) {
	e := b.entries[id]
	e.step(node.Stop{})
	var check func()
	check = func() {
		if e.dead {
			return
		}
		if e.Node.Gone() && e.Router.Pending() == 0 && len(e.calls) == 0 {
			e.dead = true
			return
		}
		e.after(100*time.Millisecond, check)
	}
	check()
}

// Alive reports whether a daemon runs.
func (e *Entry) Alive() bool { return !e.dead }

// after runs a function on the VM. A paused VM runs it when it wakes, a dead
// one never.
func (e *Entry) after(d time.Duration, f func()) {
	e.bed.after(d, func() { e.run(f) })
}

func (e *Entry) run(f func()) {
	switch {
	case e.dead:
	case e.paused:
		e.backlog = append(e.backlog, f)
	default:
		f()
	}
}

// every runs a function again and again. A paused VM misses its turns.
func (e *Entry) every(d time.Duration, f func()) {
	var again func()
	again = func() {
		if e.dead {
			return
		}
		if !e.paused {
			f()
		}
		e.bed.after(d, again)
	}
	e.bed.after(d, again)
}

// list gives the platform's list of some time ago.
func (b *Bed) list(e *Entry) {
	if !b.connected(e.vm.ID, "platform") {
		return
	}
	fleet := b.fleet()
	lag := listLag
	if b.now.Equal(Epoch) {
		lag = 0
	}
	e.after(lag, func() { e.step(node.FleetListed{Fleet: fleet}) })
}

// Step gives an event to the control side, as an operator's question.
func (e *Entry) Step(ev node.Event) { e.run(func() { e.step(ev) }) }

func (e *Entry) step(ev node.Event) {
	for _, a := range e.Node.Step(e.bed.now, ev) {
		e.doControl(a)
	}
}

func (e *Entry) report() {
	rep := node.Requests{Rooms: e.Router.Rooms(e.bed.now), Inflight: make(map[int]int)}
	for shard := range e.bed.Options.Shards {
		rep.Inflight[shard] = e.Router.ShardInflight(shard)
	}
	e.reports++
	if e.reports%observeEach == 0 {
		rep.Observed = e.Router.Observe()
	}
	e.step(rep)
}

func (e *Entry) doControl(a node.Action) {
	b := e.bed
	switch a := a.(type) {
	case node.Read:
		b.read(e, a, b.now)
	case node.Append:
		b.append(e, a)
	case node.Heartbeat:
		b.heartbeat(e, a)
	case node.FetchSnapshot:
		b.fetch(e, a)
	case node.Round:
		b.round(e, a)
	case node.Answer:
		e.Answers[a.ID] = a.Result
	case node.SetView:
		e.doRequests(e.Router.SetView(b.now, a.View))
	case node.SetObjects:
		e.doRequests(e.Router.Configure(b.now, a.Set, a.Revision))
	case node.Explain:
		if b.Trace != nil {
			b.Trace(b.Now(), e.vm.ID, a.Kind, a.Name, a.Message)
		}
	}
}

// read polls the store until there is an entry or the time is up.
func (b *Bed) read(e *Entry, a node.Read, sent time.Time) {
	done := func(page bamboofall.Page, err error) {
		e.after(platformDelay, func() {
			e.step(node.LogRead{Stream: a.Stream, From: a.From, Sent: sent, Page: page, Err: err})
		})
	}
	var poll func()
	poll = func() {
		if e.dead {
			return
		}
		if !b.connected(e.vm.ID, "platform") {
			b.after(cutTimeout, func() { done(bamboofall.Page{}, errCut) })
			return
		}
		page, _, err := b.Store.Read(b.now, a.Stream, a.From)
		if err != nil || len(page.Entries) > 0 || page.Next != a.From || b.now.Sub(sent) >= a.Wait {
			done(page, err)
			return
		}
		b.after(pollEvery, poll)
	}
	b.after(platformDelay+b.Store.Delay(), poll)
}

func (b *Bed) append(e *Entry, a node.Append) {
	b.step("append", a.Stream)
	done := func(err error) {
		e.after(platformDelay, func() {
			b.step("appended", a.Stream)
			e.step(node.LogAppended{Stream: a.Stream, Err: err})
		})
	}
	b.after(platformDelay+b.Store.Delay(), func() {
		if !b.connected(e.vm.ID, "platform") {
			b.after(cutTimeout, func() { done(errCut) })
			return
		}
		_, err := b.Store.Append(b.now, a.Stream, a.Data)
		done(err)
	})
}

func (b *Bed) step(s Step, subject string) {
	if b.OnStep != nil {
		b.OnStep(s, subject)
	}
}

// reach runs a function on another VM after the delay of the link. If that
// does not work, failed is told whether the connection was refused.
func (b *Bed) reach(from *Entry, to bamboofall.VMID, f func(*Entry), failed func(refused bool)) {
	b.after(b.delay(from.vm.ID, to), func() {
		peer := b.entries[to]
		switch {
		case peer == nil || !b.connected(from.vm.ID, string(to)):
			b.after(cutTimeout, func() { failed(false) })
		case peer.dead:
			b.after(b.delay(from.vm.ID, to), func() { failed(true) })
		default:
			peer.run(func() { f(peer) })
		}
	})
}

func (b *Bed) entryAt(address string) bamboofall.VMID {
	for _, vm := range b.vms {
		if vm.Entry.String() == address {
			return vm.ID
		}
	}
	return ""
}

func (b *Bed) heartbeat(e *Entry, a node.Heartbeat) {
	sent := b.now
	end := func(d node.HeartbeatDone) {
		d.Peer, d.Address, d.Sent = a.Peer, a.Address, sent
		e.run(func() { e.step(d) })
	}
	b.reach(e, a.Peer, func(peer *Entry) {
		answer, clear := peer.Node.HearHeartbeat(b.now, a.Self, a.Shards)
		b.after(b.delay(e.vm.ID, a.Peer), func() {
			if b.connected(e.vm.ID, string(a.Peer)) {
				end(node.HeartbeatDone{Answer: answer, NoClaim: clear})
			}
		})
	}, func(refused bool) { end(node.HeartbeatDone{Refused: refused, Err: errCut}) })
}

func (b *Bed) fetch(e *Entry, a node.FetchSnapshot) {
	end := func(data []byte, err error) {
		e.run(func() { e.step(node.SnapshotFetched{Stream: a.Stream, Data: data, Err: err}) })
	}
	b.reach(e, b.entryAt(a.Address.String()), func(peer *Entry) {
		if !peer.Node.Ready() {
			end(nil, errors.New("no state yet"))
			return
		}
		data, err := peer.Node.Snapshot(a.Stream)
		b.after(localDelay, func() { end(data, err) })
	}, func(bool) { end(nil, errCut) })
}

func (b *Bed) round(e *Entry, a node.Round) {
	for _, c := range a.Request.Commands {
		b.step(commandStep(c.Kind), fmt.Sprintf("%s/%d", c.Task.Run, c.Task.Index))
	}
	end := func(rep bamboofall.SyncReport, err error) {
		e.run(func() {
			e.step(node.RoundDone{Worker: a.Worker.ID, Token: a.Request.Token, Report: rep, Err: err})
		})
	}
	e.after(localDelay, func() {
		rep, err, answers := b.workers[a.Worker.ID].Sync(b.now, a.Request)
		if !answers || !b.connected(e.vm.ID, string(a.Worker.ID)) {
			b.after(cutTimeout, func() { end(bamboofall.SyncReport{}, errCut) })
			return
		}
		for _, r := range rep.Attempts {
			if r.Status != bamboofall.AttemptRunning {
				b.step("report", fmt.Sprintf("%s/%d", r.Task.Run, r.Task.Index))
			}
		}
		b.after(localDelay, func() { end(rep, err) })
	})
}

func commandStep(k bamboofall.CommandKind) Step {
	switch k {
	case bamboofall.CommandRun:
		return "run"
	case bamboofall.CommandEvict:
		return "evict"
	case bamboofall.CommandStop:
		return "stop"
	}
	return "forget"
}
