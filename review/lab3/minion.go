package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bamboofall.example/bamboofall/platform/standin"
)

const (
	heartbeat   = 1100 * time.Millisecond
	maxHold     = 6 * time.Second
	stopTime    = 100 * time.Millisecond
	startupTime = 300 * time.Millisecond
	endsPerPage = 500
)

// task tells how a task behaves at a minion.
type task struct {
	// work is the run time, or zero for a task that lasts.
	work time.Duration
	// fails is set if the run ends as failed.
	fails bool
	// gang names the gang of the run, or is empty, and members is how many tasks it has.
	gang    string
	members int
	// saves is set if the task makes checkpoints.
	saves bool
}

// minion is a stand-in for a minion of the platform. It follows PROTOCOL.md.
type minion struct {
	id, address, zone string
	labels            []string
	cpu, memory       int
	store             *standin.Store
	log               *record
	audit             *audit
	// taskOf tells how a run behaves.
	taskOf func(m *minion, name string, run uint32) task
	// unanswered is called with each call before it is executed. If it returns true, the
	// minion neither executes nor answers it.
	unanswered func(m *minion, path, name string) bool
	// late returns by how much a call is executed later, without an answer, or zero.
	late func(m *minion, path string) time.Duration
	// lost reports whether the answer to a call gets lost.
	lost  func(m *minion, path string) bool
	gangs *gangs
	// coldFor is how long the minion remains slow after its start.
	coldFor time.Duration
	// cut is set while the minion is cut off from all others. It runs on.
	cut atomic.Bool

	// crashing is held while the minion is ended and started again.
	crashing sync.Mutex
	mu       sync.Mutex
	life     *life
	server   *http.Server
	draining bool
	downFrom time.Time
	sequence int
}

// life is one process of a minion. A new one knows nothing of the former.
type life struct {
	born time.Time
	// restarted is set if the minion has crashed before.
	restarted bool
	bornAs    int64
	ended     chan struct{}
	token     uint64
	lease     time.Duration
	running   map[string]*run
	ends      []end
	lastEnd   uint64
	lastRun   map[string]uint32
	changed   chan struct{}
}

type run struct {
	task       string
	number     uint32
	startedAt  time.Time
	does       task
	stopAt     time.Time
	checkpoint string
}

type end struct {
	number     uint64
	task       string
	run        uint32
	how        string
	checkpoint string
}

// runs returns the number of runs.
func (m *minion) runs() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life == nil {
		return 0
	}
	return len(m.life.running)
}

func (l *life) clock() time.Duration { return time.Since(l.born) }

// start begins a new life. A zero bornAs stands for the present time of day.
func (m *minion) start(bornAs time.Time) error {
	var listener net.Listener
	var err error
	for range 50 { // connections of the former life may hold the address for a moment
		if listener, err = net.Listen("tcp", m.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	now := time.Now()
	if bornAs.IsZero() {
		bornAs = now
	}
	l := &life{born: now, bornAs: bornAs.UnixMilli(), ended: make(chan struct{}), running: make(map[string]*run), lastRun: make(map[string]uint32), changed: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.serve(l, w, r) })}
	m.mu.Lock()
	l.restarted = !m.downFrom.IsZero()
	m.life, m.server, m.draining = l, server, false
	m.mu.Unlock()
	m.log.line("minion %s starts, born %d", m.id, l.bornAs)
	go func() { _ = server.Serve(listener) }()
	go m.beat(l)
	go m.work(l)
	return nil
}

// crash ends the life. What ran there is gone.
func (m *minion) crash() {
	m.mu.Lock()
	l, server := m.life, m.server
	m.life, m.server, m.downFrom = nil, nil, time.Now()
	for _, r := range l.running {
		m.audit.gone(m.id, r.task, r.number)
		if r.does.gang != "" {
			m.gangs.leave(r, false)
		}
	}
	close(l.ended)
	n := len(l.running)
	m.mu.Unlock()
	m.log.line("minion %s crashes with %d runs", m.id, n)
	_ = server.Close()
}

// beat announces the life until it ends, and removes the entry after three intervals of silence.
func (m *minion) beat(l *life) {
	written := time.Now()
	for {
		m.mu.Lock()
		switch {
		case m.life != l:
		case !m.cut.Load():
			m.sequence++
			m.store.Put("keyed.servers", m.id, m.entry(l))
			written = time.Now()
		case time.Since(written) >= 3*heartbeat:
			m.store.Put("keyed.servers", m.id, nil)
		}
		m.mu.Unlock()
		select {
		case <-l.ended:
			time.Sleep(3 * heartbeat)
			m.mu.Lock()
			if m.life == nil {
				m.store.Put("keyed.servers", m.id, nil)
			}
			m.mu.Unlock()
			return
		case <-time.After(heartbeat):
		}
	}
}

func (m *minion) entry(l *life) []byte {
	state := "ready"
	if m.draining {
		state = "draining"
	}
	e := map[string]any{
		"service": "service-a", "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": state, "sequence": m.sequence,
		"capacity": map[string]int{"cpu": m.cpu, "memory_request_mb": m.memory, "gpu": 0}, "labels": m.labels,
		"born": l.bornAs, "clock_ms": l.clock().Milliseconds(),
	}
	if m.draining {
		e["remaining_ms"] = 2000
	}
	if cold := m.coldFor - l.clock(); cold > 0 && l.restarted {
		e["cold_remaining_ms"] = cold.Milliseconds()
	}
	data, _ := json.Marshal(e)
	return data
}

// work ends runs whose work is done or stopped, and all of them when the lease ends.
func (m *minion) work(l *life) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-l.ended:
			return
		case <-ticker.C:
		}
		m.mu.Lock()
		if m.life != l {
			m.mu.Unlock()
			return
		}
		m.endDue(l)
		m.mu.Unlock()
	}
}

func (m *minion) endDue(l *life) {
	now := time.Now()
	lapsed := l.clock() > l.lease
	for _, r := range l.running {
		age := now.Sub(r.startedAt)
		if r.does.gang != "" && !lapsed {
			if how := m.gangs.due(r, now); how != "" {
				m.endRun(l, r, how)
			} else if !r.stopAt.IsZero() && now.After(r.stopAt) {
				m.endRun(l, r, "stopped")
			}
			continue
		}
		switch {
		case lapsed:
			m.endRun(l, r, "lapsed")
		case r.does.work > 0 && age >= r.does.work && r.does.fails:
			m.endRun(l, r, "failed")
		case r.does.work > 0 && age >= r.does.work:
			m.endRun(l, r, "done")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			m.endRun(l, r, "stopped")
		}
	}
	if lapsed {
		m.audit.lapsed(m.id)
	}
}

func (m *minion) endRun(l *life, r *run, how string) {
	delete(l.running, r.task)
	if r.does.gang != "" {
		m.gangs.leave(r, how == "done")
	}
	checkpoint := ""
	if how != "done" {
		checkpoint = r.saved(time.Now())
	}
	l.lastRun[r.task] = max(l.lastRun[r.task], r.number)
	l.lastEnd++
	l.ends = append(l.ends, end{l.lastEnd, r.task, r.number, how, checkpoint})
	m.log.line("minion %s: %s run %d ends %s", m.id, r.task, r.number, how)
	m.audit.ended(m.id, r.task, r.number, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

type call struct {
	Task         string `json:"task"`
	Run          uint32 `json:"run"`
	TaskSpec     string `json:"task_spec"`
	Checkpoint   string `json:"checkpoint"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken uint64 `json:"fencing_token"`
	LastSeen     uint64 `json:"last_seen"`
	WaitMS       int64  `json:"wait_ms"`
	Percent      int    `json:"percent"`
}

func (m *minion) serve(l *life, w http.ResponseWriter, r *http.Request) {
	if m.cut.Load() {
		m.log.line("minion %s: %s is neither carried out nor answered", m.id, r.URL.Path)
		select {
		case <-r.Context().Done():
		case <-l.ended:
		}
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	path := strings.TrimPrefix(r.URL.Path, "/v1/")
	if m.unanswered != nil && m.unanswered(m, path, c.Task) {
		select {
		case <-r.Context().Done():
		case <-l.ended:
		}
		panic(http.ErrAbortHandler)
	}
	if m.late != nil {
		if d := m.late(m, path); d > 0 {
			m.log.line("minion %s: %s %s run %d is executed %v later", m.id, path, c.Task, c.Run, d.Round(time.Millisecond))
			header := r.Header.Clone()
			time.AfterFunc(d, func() {
				again := (&http.Request{Header: header}).WithContext(context.Background())
				c.WaitMS = 0
				m.execute(l, again, path, &c)
			})
			select {
			case <-r.Context().Done():
			case <-l.ended:
			}
			panic(http.ErrAbortHandler)
		}
	}
	status, body := m.execute(l, r, path, &c)
	if m.cut.Load() {
		m.log.line("minion %s: the answer to %s %s run %d is cut off", m.id, path, c.Task, c.Run)
		status = 0
	}
	if m.lost != nil && status != 0 && m.lost(m, path) {
		m.log.line("minion %s: the answer to %s %s run %d is lost", m.id, path, c.Task, c.Run)
		status = 0
	}
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// execute executes a call. The status is zero if the life has ended.
func (m *minion) execute(l *life, r *http.Request, path string, c *call) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life != l {
		return 0, nil
	}
	body := map[string]any{"clock_ms": l.clock().Milliseconds()}
	if r.Header.Get("X-Bamboofall-Expected-Instance") != m.id {
		return http.StatusMisdirectedRequest, body
	}
	if path == "hold" {
		m.endDue(l)
	}
	if c.FencingToken < l.token {
		body["reason"] = "fence"
		return http.StatusConflict, body
	}
	l.token = c.FencingToken
	switch path {
	case "run-start":
		if reason := m.startRun(l, c); reason != "" {
			body["reason"] = reason
			m.log.line("minion %s: start of %s run %d rejected: %s", m.id, c.Task, c.Run, reason)
			return http.StatusConflict, body
		}
	case "run-stop":
		l.lastRun[c.Task] = max(l.lastRun[c.Task], c.Run)
		if x := l.running[c.Task]; x != nil && x.number <= c.Run && x.stopAt.IsZero() {
			x.stopAt = time.Now().Add(stopTime)
		}
	case "pace":
	case "hold":
		l.extend(time.Duration(c.DeadlineMS) * time.Millisecond)
		l.ends = slices.DeleteFunc(l.ends, func(e end) bool {
			if e.number <= c.LastSeen {
				m.audit.noted(m.id, e.task, e.run)
			}
			return e.number <= c.LastSeen
		})
		return m.hold(l, r, time.Duration(c.WaitMS)*time.Millisecond)
	default:
		return http.StatusNotFound, body
	}
	return http.StatusOK, body
}

func (l *life) extend(until time.Duration) { l.lease = max(l.lease, min(until, l.clock()+maxHold)) }

func (m *minion) startRun(l *life, c *call) string {
	if x := l.running[c.Task]; x != nil && x.number == c.Run {
		return ""
	}
	until := time.Duration(c.DeadlineMS) * time.Millisecond
	if l.clock() > until {
		return "late"
	}
	l.extend(until)
	if l.lastRun[c.Task] >= c.Run {
		return "old"
	}
	m.log.line("minion %s: %s run %d starts", m.id, c.Task, c.Run)
	x := &run{task: c.Task, number: c.Run, startedAt: time.Now(), does: m.taskOf(m, c.Task, c.Run), checkpoint: c.Checkpoint}
	l.running[c.Task] = x
	if x.does.gang != "" {
		m.gangs.join(x)
	}
	m.audit.started(m, c)
	return ""
}

// hold waits for an end and returns both lists. The caller holds the lock.
func (m *minion) hold(l *life, r *http.Request, wait time.Duration) (int, map[string]any) {
	deadline := time.Now().Add(wait)
	for len(l.ends) == 0 && time.Now().Before(deadline) {
		changed := l.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-l.ended:
		case <-r.Context().Done():
		}
		m.mu.Lock()
		if m.life != l || r.Context().Err() != nil {
			return 0, nil
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, x := range l.running {
		running = append(running, []any{x.task, x.number, x.saved(time.Now()), x.percent(), 1})
	}
	for _, e := range l.ends[:min(len(l.ends), endsPerPage)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, e.checkpoint})
	}
	return http.StatusOK, map[string]any{"clock_ms": l.clock().Milliseconds(), "born": l.bornAs, "running": running, "finished": finished}
}

func (x *run) percent() int {
	age := time.Since(x.startedAt)
	if x.does.work == 0 {
		return int(min(100, 100*age/startupTime))
	}
	return int(min(99, 100*age/x.does.work))
}

func (m *minion) String() string { return fmt.Sprintf("%s at %s", m.id, m.address) }

const (
	checkpointInterval = 500 * time.Millisecond
	gangTimeout        = 3 * time.Second
)

// saved returns the newest checkpoint of a run.
func (x *run) saved(now time.Time) string {
	n := int(now.Sub(x.startedAt) / checkpointInterval)
	if !x.does.saves || n == 0 {
		return x.checkpoint
	}
	of := x.does.gang
	if of == "" {
		of = x.task
	}
	return fmt.Sprintf("%s/%d", of, n)
}

// gangs holds the gangs at all minions. The tasks of a gang work together from when all are
// there, end together as done, and end as broken once one has ended otherwise.
type gangs struct {
	mu  sync.Mutex
	all map[string]*gang
}

type gang struct {
	present     map[string]bool
	fullAt      time.Time
	broken      bool
	checkpoints map[string]bool
}

func (g *gangs) of(r *run) *gang {
	key := fmt.Sprintf("%s run %d", r.does.gang, r.number)
	x := g.all[key]
	if x == nil {
		x = &gang{present: make(map[string]bool), checkpoints: make(map[string]bool)}
		g.all[key] = x
	}
	return x
}

func (g *gangs) join(r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := g.of(r)
	x.present[r.task] = true
	x.checkpoints[r.checkpoint] = true
	if len(x.present) == r.does.members && x.fullAt.IsZero() && !x.broken {
		x.fullAt = time.Now()
	}
}

func (g *gangs) leave(r *run, done bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := g.of(r)
	delete(x.present, r.task)
	x.broken = x.broken || !done
}

func (g *gangs) due(r *run, now time.Time) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := g.of(r)
	switch {
	case x.broken:
		return "broken"
	case !x.fullAt.IsZero() && now.Sub(x.fullAt) >= r.does.work:
		return "done"
	case x.fullAt.IsZero() && now.Sub(r.startedAt) >= gangTimeout:
		return "alone"
	}
	return ""
}
