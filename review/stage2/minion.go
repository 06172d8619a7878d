package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxHold is the longest lease that a minion grants: max_hold_ms of the site.
	maxHold = 10 * time.Second
	// standingStartup is how long a task that lasts takes to be at work.
	standingStartup = 150 * time.Millisecond
	// maxEnds is the number of ends in one answer.
	maxEnds = 500
	// heartbeat is the interval of a minion's entries in the store.
	heartbeat = 1100 * time.Millisecond
	// missedHeartbeats is the number of heartbeats after which the platform removes the
	// entry of a silent minion.
	missedHeartbeats = 3
)

// behaviour tells what a task does at a minion.
type behaviour struct {
	// lasts is set for a task that runs until it is stopped.
	lasts bool
	// work is the run time of any other task.
	work time.Duration
}

// minion is a stand-in for a minion: it keeps its id and address when it restarts.
type minion struct {
	bed     *bed
	id      string
	address string

	mu sync.Mutex
	*life
	// entryUntil is when the platform removes the entry unless a heartbeat arrives.
	entryUntil time.Time
	listed     bool
	// cut is set while no call from the system gets through.
	cut bool
	// kind is the first label.
	kind string
	// restartArmed makes the minion crash and start again in place right after an answer
	// that lists ends. holdLate is set in the life that follows: the first call that
	// acknowledges ends is left unanswered and carried out late.
	restartArmed, holdLate bool
}

// life is what a minion forgets when it crashes.
type life struct {
	born       time.Time
	server     *http.Server
	sequence   int
	token      uint64
	leaseUntil time.Duration
	lastEnd    int
	running    map[string]*run
	ends       []end
	highest    map[string]int
	changed    chan struct{}
	over       chan struct{}
	// waiting is the number of hold calls that wait, and listed the last end that an
	// answer has listed.
	waiting, listed int
	// late is the hold call that is left unanswered since lateSince, or nil.
	late      *call
	lateSince time.Time
}

type run struct {
	task   string
	number int
	began  time.Time
	does   behaviour
	timer  *time.Timer
}

type end struct {
	number int
	task   string
	run    int
	how    string
	// done is set for an end done.
	done *doneEnd
}

// call is the body of every call to a minion.
type call struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	TaskSpec     string `json:"task_spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken uint64 `json:"fencing_token"`
	LastSeen     int    `json:"last_seen"`
	WaitMS       int64  `json:"wait_ms"`
}

func (l *life) clock() time.Duration { return time.Since(l.born) }

// start begins a life of the minion.
func (m *minion) start() error {
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	l := &life{
		born: time.Now(), running: make(map[string]*run), highest: make(map[string]int),
		changed: make(chan struct{}), over: make(chan struct{}),
	}
	l.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.serve(l, w, r) })}
	m.mu.Lock()
	first := m.life == nil
	m.life = l
	m.mu.Unlock()
	go func() { _ = l.server.Serve(listener) }()
	go func() {
		if !first {
			time.Sleep(heartbeat / 2) // on average
		}
		m.beat(l)
	}()
	return nil
}

// crash ends the life of the minion: its connections break and its tasks are gone.
func (m *minion) crash() {
	m.mu.Lock()
	l := m.life
	close(l.over)
	for _, r := range l.running {
		r.timer.Stop()
		m.bed.ended(r.task, r.number, m.id, "lost with its minion")
	}
	l.running = make(map[string]*run)
	m.mu.Unlock()
	_ = l.server.Close()
}

func (l *life) isOver() bool {
	select {
	case <-l.over:
		return true
	default:
		return false
	}
}

// beat writes the minion's entry until its life is over.
func (m *minion) beat(l *life) {
	for !l.isOver() {
		m.mu.Lock()
		l.sequence++
		entry, _ := json.Marshal(map[string]any{
			"service": service, "address": m.address, "zone": zone, "version": "1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int{"cpu": minionCPU, "memory_request_mb": minionMB, "gpu": 0}, "labels": []string{m.kind, "r1-1"},
			"sequence": l.sequence, "born": l.born.UnixMilli(), "clock_ms": l.clock().Milliseconds(),
		})
		m.entryUntil, m.listed = time.Now().Add(missedHeartbeats*heartbeat), true
		m.mu.Unlock()
		m.bed.store.Put("keyed.servers", m.id, entry)
		select {
		case <-time.After(heartbeat):
		case <-l.over:
		}
	}
}

// expireEntry removes the entry of a minion that has been silent for too long.
func (m *minion) expireEntry() {
	m.mu.Lock()
	gone := m.listed && time.Now().After(m.entryUntil)
	if gone {
		m.listed = false
	}
	m.mu.Unlock()
	if gone {
		m.bed.store.Put("keyed.servers", m.id, nil)
	}
}

// setCut cuts the minion off, or ends the cut. Calls that wait get no answer.
func (m *minion) setCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
}

// runs returns the number of running tasks.
func (m *minion) runs() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.running)
}

func (m *minion) serve(l *life, w http.ResponseWriter, r *http.Request) {
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Bamboofall-Expected-Instance") != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.mu.Lock()
	if m.cut {
		m.mu.Unlock()
		<-r.Context().Done() // neither executed nor answered
		panic(http.ErrAbortHandler)
	}
	if l.isOver() {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	m.expireLease(l)
	if c.FencingToken < l.token {
		m.mu.Unlock()
		l.reply(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	l.token = c.FencingToken
	switch strings.TrimPrefix(r.URL.Path, "/v1/") {
	case "run-start":
		reason := m.begin(l, c)
		m.mu.Unlock()
		if reason != "" {
			l.reply(w, http.StatusConflict, map[string]any{"reason": reason})
			return
		}
		l.reply(w, http.StatusOK, map[string]any{})
	case "run-stop":
		l.highest[c.Task] = max(l.highest[c.Task], c.Run)
		if x := l.running[c.Task]; x != nil && x.number <= c.Run {
			m.finish(l, x, "stopped")
		}
		m.mu.Unlock()
		l.reply(w, http.StatusOK, map[string]any{})
	case "pace":
		m.mu.Unlock()
		l.reply(w, http.StatusOK, map[string]any{})
	case "hold":
		if m.holdLate && c.LastSeen > l.lastEnd { // it acknowledges ends of the former process
			m.holdLate = false
			l.late, l.lateSince = &c, time.Now()
			m.bed.note("disruption: a hold call reaches the new process of %s and is left unanswered; it acknowledges the ends up to %d", m.id, c.LastSeen)
			m.mu.Unlock()
			<-r.Context().Done()
			return
		}
		l.extend(c.DeadlineMS)
		m.acknowledge(l, c.LastSeen)
		m.mu.Unlock()
		m.hold(l, w, r.Context(), time.Duration(c.WaitMS)*time.Millisecond)
	default:
		m.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
	}
}

func (l *life) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = l.clock().Milliseconds()
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// restartIfArmed crashes and starts again at once if that was asked for and nothing runs.
func (m *minion) restartIfArmed() {
	m.mu.Lock()
	armed := m.restartArmed && len(m.running) == 0
	m.restartArmed = m.restartArmed && !armed
	m.holdLate = m.holdLate || armed
	m.mu.Unlock()
	if !armed {
		return
	}
	m.bed.note("disruption: %s crashes after an answer that lists ends, and starts again at once under its id", m.id)
	m.crash()
	if err := m.start(); err != nil {
		m.bed.note("%s does not start: %v", m.id, err)
	}
}

func (l *life) extend(deadlineMS int64) {
	until := min(time.Duration(deadlineMS)*time.Millisecond, l.clock()+maxHold)
	l.leaseUntil = max(l.leaseUntil, until)
}

// hasLate reports whether a call is left unanswered or was carried out late.
func (m *minion) hasLate() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.late != nil || m.bed.lateDone.Load()
}

// lateAfter is the least time after which an unanswered call is carried out.
const lateAfter = 2 * time.Second

// carryOutLate carries out the hold call that was left unanswered, once it is late enough
// and ends have not been listed yet. The caller holds the lock.
func (m *minion) carryOutLate(l *life) {
	if l.late == nil || l.waiting > 0 || time.Since(l.lateSince) < lateAfter || l.late.FencingToken < l.token {
		return
	}
	late := *l.late
	l.late = nil
	l.extend(late.DeadlineMS)
	m.bed.note("the late call is carried out at %s after %v: it acknowledges the ends up to %d", m.id, time.Since(l.lateSince).Round(time.Millisecond), late.LastSeen)
	for _, e := range l.ends {
		m.bed.note("forgotten by the late call: end %d, %s run %d %s, listed before: %t", e.number, e.task, e.run, e.how, e.number <= l.listed)
	}
	m.acknowledge(l, late.LastSeen)
	m.bed.lateDone.Store(true)
}

// acknowledge forgets the ends up to a number. The caller holds the lock.
func (m *minion) acknowledge(l *life, last int) {
	for len(l.ends) > 0 && l.ends[0].number <= last {
		if e := l.ends[0]; e.done != nil {
			m.bed.noted(e.task, e.done)
		}
		l.ends = l.ends[1:]
	}
}

// expireLease ends all runs if the lease is over. The caller holds the lock.
func (m *minion) expireLease(l *life) {
	if l.clock() <= l.leaseUntil {
		return
	}
	for _, x := range l.running {
		m.finish(l, x, "lapsed")
	}
}

// begin starts a run. It returns the reason if it rejects the call.
func (m *minion) begin(l *life, c call) string {
	if x := l.running[c.Task]; x != nil && x.number == c.Run {
		return ""
	}
	if l.clock() > time.Duration(c.DeadlineMS)*time.Millisecond {
		return "late"
	}
	l.extend(c.DeadlineMS)
	if l.highest[c.Task] >= c.Run {
		return "old"
	}
	does := m.bed.does(c.Task)
	x := &run{task: c.Task, number: c.Run, began: time.Now(), does: does}
	work := does.work
	if does.lasts {
		work = 24 * time.Hour
	}
	x.timer = time.AfterFunc(work, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.expireLease(l)
		if l.running[x.task] == x {
			m.finish(l, x, "done")
		}
	})
	l.running[c.Task] = x
	m.bed.started(c.Task, c.Run, m.id)
	return ""
}

// finish ends a run. The caller holds the lock.
func (m *minion) finish(l *life, x *run, how string) {
	x.timer.Stop()
	delete(l.running, x.task)
	l.highest[x.task] = max(l.highest[x.task], x.number)
	l.lastEnd++
	l.ends = append(l.ends, end{l.lastEnd, x.task, x.number, how, m.bed.ended(x.task, x.number, m.id, how)})
	m.carryOutLate(l)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (x *run) percent() int {
	if x.does.lasts {
		if time.Since(x.began) >= standingStartup {
			return 100
		}
		return 0
	}
	return int(min(99, 100*time.Since(x.began)/max(x.does.work, 1)))
}

// hold waits for an end and reports both lists.
func (m *minion) hold(l *life, w http.ResponseWriter, ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waited := wait <= 0; ; {
		m.mu.Lock()
		m.expireLease(l)
		if n := min(len(l.ends), maxEnds); n > 0 {
			l.listed = max(l.listed, l.ends[n-1].number)
		}
		if len(l.ends) > 0 || waited || l.isOver() {
			running, finished := [][]any{}, [][]any{}
			for _, x := range l.running {
				running = append(running, []any{x.task, x.number, "", x.percent(), 1})
			}
			for _, e := range l.ends[:min(len(l.ends), maxEnds)] {
				finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
			}
			over, cut := l.isOver(), m.cut
			m.mu.Unlock()
			switch {
			case cut: // the answer is lost, and the caller hears nothing
				<-ctx.Done()
				return
			case over:
				panic(http.ErrAbortHandler)
			}
			l.reply(w, http.StatusOK, map[string]any{"running": running, "finished": finished, "born": l.born.UnixMilli()})
			if len(finished) > 0 {
				m.restartIfArmed()
			}
			return
		}
		changed := l.changed
		l.waiting++
		m.mu.Unlock()
		gone := false
		select {
		case <-changed:
		case <-timer.C:
			waited = true
		case <-l.over:
		case <-ctx.Done():
			gone = true
		}
		m.mu.Lock()
		l.waiting--
		m.mu.Unlock()
		if gone {
			return
		}
	}
}
