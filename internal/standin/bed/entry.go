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

// entryLogShare is the fraction of the log's append limit that the entry VMs may
// use.
const entryLogShare = 0.7

// errTimedOut is the error of a call over a cut link.
var errTimedOut = errors.New("call over cut link timed out")

// Step is a stage in the processing of a request, log append or task attempt.
type Step string

// Entry simulates one entry VM: its state machines, and its daemon's sockets.
type Entry struct {
	Node   *node.Node
	Router *router.Router
	// Answers holds the results of operators' requests by request ID.
	Answers map[string]node.Result

	bed *Bed
	vm  bamboofall.VM
	// restarts counts how often the daemon was started again.
	restarts int
	// stopped is set after a kill or a completed graceful shutdown.
	stopped bool
	paused  bool
	// deferred holds the functions due while the VM was paused, in their order.
	deferred []func()
	// openCalls holds the requests that have no reply yet, by router request
	// ID.
	openCalls  map[uint64]*pendingCall
	lastCallID uint64
	// pools holds the connection pool of each instance.
	pools map[string]*connpool.Pool[*connection]
	// reportCount counts the router's reports, to add observations to some of
	// them.
	reportCount int
}

// StartEntry starts the daemon of an entry VM, or restarts it with empty state.
func (b *Bed) StartEntry(id bamboofall.VMID) {
	previous := b.entries[id]
	e := &Entry{
		Answers: make(map[string]node.Result), bed: b, openCalls: make(map[uint64]*pendingCall),
		pools: make(map[string]*connpool.Pool[*connection]),
	}
	for _, vm := range b.vms {
		if vm.ID == id {
			e.vm = vm
		}
	}
	if previous != nil {
		e.restarts = previous.restarts + 1
	}
	seed := b.Options.Seed + uint64(len(b.entries))*1000 + uint64(e.restarts)
	entrySettings := &settings.Settings{
		VM: id, DataCentre: e.vm.DataCentre, Shards: b.Options.Shards, Timing: *b.Options.Timing,
		LogAppends: b.Options.Appends * entryLogShare,
		Batch:      settings.Batch{TailWeight: b.Options.TailWeight},
	}
	for _, vm := range b.vms {
		if vm.Entry.IsValid() && vm.DataCentre == e.vm.DataCentre && vm.ID != id {
			entrySettings.Neighbours = append(entrySettings.Neighbours, vm.Entry)
		}
	}
	e.Node = node.New(node.Config{Settings: entrySettings, Incarnation: fmt.Sprintf("life%d", e.restarts), Seed: seed})
	e.Router = router.New(router.Config{VM: id, DataCentre: e.vm.DataCentre, Seed: seed})
	b.entries[id] = e
	b.deliverFleet(e)
	e.every(nodeTickInterval, func() { e.step(node.Tick{}) })
	e.every(routerTickInterval, func() { e.applyRouterActions(e.Router.Tick(b.now)) })
	e.every(reportInterval, e.reportRequests)
	e.every(fleetListInterval, func() { b.deliverFleet(e) })
}

// Kill stops a daemon immediately and breaks the connections of its callers.
func (b *Bed) Kill(id bamboofall.VMID) {
	e := b.entries[id]
	e.stopped = true
	calls := e.openCalls
	e.openCalls = make(map[uint64]*pendingCall)
	for _, id := range sortedIDs(calls) {
		calls[id].onEntryStop()
	}
}

// Pause suspends a daemon until Wake, as SIGSTOP does. Its sockets stay open.
func (b *Bed) Pause(id bamboofall.VMID) { b.entries[id].paused = true }

// Wake resumes a paused daemon, which first processes what arrived meanwhile.
func (b *Bed) Wake(id bamboofall.VMID) {
	e := b.entries[id]
	e.paused = false
	deferred := e.deferred
	e.deferred = nil
	for _, f := range deferred {
		if !e.stopped {
			f()
		}
	}
}

// Stop begins a graceful shutdown. The daemon stops once its node has finished
// and no calls are open.
func (b *Bed) Stop(id bamboofall.VMID) {
	e := b.entries[id]
	e.step(node.Shutdown{})
	var check func()
	check = func() {
		if e.stopped {
			return
		}
		if e.Node.Drained() && e.Router.Pending() == 0 && len(e.openCalls) == 0 {
			e.stopped = true
			return
		}
		e.after(100*time.Millisecond, check)
	}
	check()
}

// Alive reports whether the daemon has been started and not stopped; a paused
// daemon is alive.
func (e *Entry) Alive() bool { return !e.stopped }

// after schedules a function on the VM, with the rules of run.
func (e *Entry) after(d time.Duration, f func()) {
	e.bed.after(d, func() { e.run(f) })
}

// run calls a function on the VM: now, on waking up if the VM is paused, or
// never if it is stopped.
func (e *Entry) run(f func()) {
	switch {
	case e.stopped:
	case e.paused:
		e.deferred = append(e.deferred, f)
	default:
		f()
	}
}

// every calls a function periodically until the VM stops. Calls due while the
// VM is paused are skipped.
func (e *Entry) every(d time.Duration, f func()) {
	var tick func()
	tick = func() {
		if e.stopped {
			return
		}
		if !e.paused {
			f()
		}
		e.bed.after(d, tick)
	}
	e.bed.after(d, tick)
}

// deliverFleet sends the current list of VMs to an entry VM, to arrive after
// fleetListLag. The list at the start arrives at once.
func (b *Bed) deliverFleet(e *Entry) {
	if !b.connected(e.vm.ID, "platform") {
		return
	}
	fleet := b.fleet()
	lag := fleetListLag
	if b.now.Equal(Epoch) {
		lag = 0
	}
	e.after(lag, func() { e.step(node.FleetListed{Fleet: fleet}) })
}

// Step passes an event to the node, such as an operator's request.
func (e *Entry) Step(ev node.Event) { e.run(func() { e.step(ev) }) }

func (e *Entry) step(ev node.Event) {
	for _, a := range e.Node.Step(e.bed.now, ev) {
		e.applyNodeAction(a)
	}
}

// reportRequests passes the router's figures to the node.
func (e *Entry) reportRequests() {
	report := node.RequestStats{Slots: e.Router.OfferedSlots(e.bed.now), Inflight: make(map[int]int)}
	for shard := range e.bed.Options.Shards {
		report.Inflight[shard] = e.Router.ShardInflight(shard)
	}
	e.reportCount++
	if e.reportCount%reportsPerObservation == 0 {
		report.Observed = e.Router.Observe()
	}
	e.step(report)
}

// applyNodeAction carries out an action that the node requests.
func (e *Entry) applyNodeAction(a node.Action) {
	b := e.bed
	switch a := a.(type) {
	case node.Read:
		b.readLog(e, a, b.now)
	case node.Append:
		b.appendLog(e, a)
	case node.Heartbeat:
		b.sendHeartbeat(e, a)
	case node.FetchSnapshot:
		b.fetchSnapshot(e, a)
	case node.SyncWorker:
		b.syncWorker(e, a)
	case node.OperationResult:
		e.Answers[a.ID] = a.Result
	case node.SetView:
		e.applyRouterActions(e.Router.SetView(b.now, a.View))
	case node.SetObjects:
		e.applyRouterActions(e.Router.Configure(b.now, a.Set, a.Revision))
	case node.Decision:
		if b.Trace != nil {
			b.Trace(b.Now(), e.vm.ID, a.Kind, a.Name, a.Message)
		}
	}
}

// readLog polls the log until it has new entries, fails, or the read's wait is
// over, and then passes the result to the node.
func (b *Bed) readLog(e *Entry, a node.Read, sent time.Time) {
	finish := func(page bamboofall.Page, err error) {
		e.after(platformDelay, func() {
			e.step(node.LogRead{Stream: a.Stream, From: a.From, Sent: sent, Page: page, Err: err})
		})
	}
	var poll func()
	poll = func() {
		if e.stopped {
			return
		}
		if !b.connected(e.vm.ID, "platform") {
			b.after(cutLinkTimeout, func() { finish(bamboofall.Page{}, errTimedOut) })
			return
		}
		page, _, err := b.Store.Read(b.now, a.Stream, a.From)
		if err != nil || len(page.Entries) > 0 || page.Next != a.From || b.now.Sub(sent) >= a.Wait {
			finish(page, err)
			return
		}
		b.after(logPollInterval, poll)
	}
	b.after(platformDelay+b.Store.Delay(), poll)
}

// appendLog appends to the log and passes the result to the node.
func (b *Bed) appendLog(e *Entry, a node.Append) {
	b.traceStep("append", a.Stream)
	finish := func(err error) {
		e.after(platformDelay, func() {
			b.traceStep("appended", a.Stream)
			e.step(node.LogAppended{Stream: a.Stream, Err: err})
		})
	}
	b.after(platformDelay+b.Store.Delay(), func() {
		if !b.connected(e.vm.ID, "platform") {
			b.after(cutLinkTimeout, func() { finish(errTimedOut) })
			return
		}
		_, err := b.Store.Append(b.now, a.Stream, a.Data)
		finish(err)
	})
}

// traceStep calls the OnStep callback, if there is one.
func (b *Bed) traceStep(s Step, subject string) {
	if b.OnStep != nil {
		b.OnStep(s, subject)
	}
}

// callPeer calls f on another entry VM after the network delay. If the peer
// cannot be reached, it calls failed instead: with true if the connection was
// refused, with false if the call timed out.
func (b *Bed) callPeer(from *Entry, to bamboofall.VMID, f func(*Entry), failed func(refused bool)) {
	b.after(b.networkDelay(from.vm.ID, to), func() {
		peer := b.entries[to]
		switch {
		case peer == nil || !b.connected(from.vm.ID, string(to)):
			b.after(cutLinkTimeout, func() { failed(false) })
		case peer.stopped:
			b.after(b.networkDelay(from.vm.ID, to), func() { failed(true) })
		default:
			peer.run(func() { f(peer) })
		}
	})
}

// entryByAddress returns the entry VM with a peer address, or "".
func (b *Bed) entryByAddress(address string) bamboofall.VMID {
	for _, vm := range b.vms {
		if vm.Entry.String() == address {
			return vm.ID
		}
	}
	return ""
}

// sendHeartbeat sends a heartbeat to a peer and passes the answer to the node.
func (b *Bed) sendHeartbeat(e *Entry, a node.Heartbeat) {
	sent := b.now
	finish := func(d node.HeartbeatDone) {
		d.Peer, d.Address, d.Sent = a.Peer, a.Address, sent
		e.run(func() { e.step(d) })
	}
	b.callPeer(e, a.Peer, func(peer *Entry) {
		answer, noClaim := peer.Node.ReceiveHeartbeat(b.now, a.Self, a.Shards)
		b.after(b.networkDelay(e.vm.ID, a.Peer), func() {
			if b.connected(e.vm.ID, string(a.Peer)) {
				finish(node.HeartbeatDone{Answer: answer, NoClaim: noClaim})
			}
		})
	}, func(refused bool) { finish(node.HeartbeatDone{ConnectionRefused: refused, Err: errTimedOut}) })
}

// fetchSnapshot fetches the state of a stream from a peer and passes it to the
// node.
func (b *Bed) fetchSnapshot(e *Entry, a node.FetchSnapshot) {
	finish := func(data []byte, err error) {
		e.run(func() { e.step(node.SnapshotFetched{Stream: a.Stream, Data: data, Err: err}) })
	}
	b.callPeer(e, b.entryByAddress(a.Address.String()), func(peer *Entry) {
		if !peer.Node.Ready() {
			finish(nil, errors.New("peer has not loaded its state yet"))
			return
		}
		data, err := peer.Node.Snapshot(a.Stream)
		b.after(localDelay, func() { finish(data, err) })
	}, func(bool) { finish(nil, errTimedOut) })
}

// syncWorker sends a sync request to a worker and passes the report to the
// node.
func (b *Bed) syncWorker(e *Entry, a node.SyncWorker) {
	for _, c := range a.Request.Commands {
		b.traceStep(commandStep(c.Kind), fmt.Sprintf("%s/%d", c.Task.Run, c.Task.Index))
	}
	finish := func(report bamboofall.SyncReport, err error) {
		e.run(func() {
			e.step(node.WorkerSynced{Worker: a.Worker.ID, Token: a.Request.Token, Report: report, Err: err})
		})
	}
	e.after(localDelay, func() {
		report, err, answered := b.workers[a.Worker.ID].Sync(b.now, a.Request)
		if !answered || !b.connected(e.vm.ID, string(a.Worker.ID)) {
			b.after(cutLinkTimeout, func() { finish(bamboofall.SyncReport{}, errTimedOut) })
			return
		}
		for _, r := range report.Attempts {
			if r.Status != bamboofall.AttemptRunning {
				b.traceStep("report", fmt.Sprintf("%s/%d", r.Task.Run, r.Task.Index))
			}
		}
		b.after(localDelay, func() { finish(report, err) })
	})
}

// commandStep returns the step that the bed reports when a command is sent.
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
