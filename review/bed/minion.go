package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxHold is max_hold_ms of the settings.
	maxHold = 10 * time.Second
	// startup is how long a task that lasts needs before it is at work.
	startup = 300 * time.Millisecond
	// failAfter is when a task fails on a minion that fails all that it starts.
	failAfter = 300 * time.Millisecond
	// stopTime is how long a stop takes. stop_timeout_ms is 200.
	stopTime = 50 * time.Millisecond
	// maxRecordedRejections bounds the rejected starts that a minion records.
	maxRecordedRejections = 10
	// maxListed is the number of ends in an answer.
	maxListed = 500
)

// minion is one life of a minion.
type minion struct {
	bed     *bed
	id      string
	labels  []string
	cpu     int
	born    time.Time
	address string
	server  *http.Server

	mu       sync.Mutex
	sequence int
	// up is cleared when the minion crashes.
	up bool
	// failing is set while everything that the minion starts fails.
	failing    bool
	token      uint64
	leaseUntil time.Duration
	lastEnd    uint64
	running    map[string]*taskRun
	ends       []taskEnd
	// lastEnded holds the highest run that was stopped or has ended, by task.
	lastEnded map[string]uint32
	changed   chan struct{}
	// rejected counts the starts that were rejected for want of a ticket.
	rejected int
}

type taskRun struct {
	task      string
	number    uint32
	spec      taskSpec
	startedAt time.Time
	timer     *time.Timer
}

type taskEnd struct {
	number uint64
	task   string
	run    uint32
	how    string
}

// taskSpec is the content of task_spec: how long a task works and whether it lasts.
type taskSpec struct {
	WorkMS int  `json:"work_ms"`
	Lasts  bool `json:"lasts"`
	// Advised is set for a job of a queue whose starts need a ticket.
	Advised bool `json:"advised"`
}

// addMinion starts a minion. Kind and rack are its labels.
func (b *bed) addMinion(kind, rack string) (*minion, error) {
	l, err := net.Listen("tcp", b.host()+":0")
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	m := &minion{
		bed: b, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+7919*len(b.minions)), labels: []string{kind, rack}, cpu: 16000, born: time.Now(), address: l.Addr().String(), up: true,
		running: make(map[string]*taskRun), lastEnded: make(map[string]uint32), changed: make(chan struct{}),
	}
	b.minions = append(b.minions, m)
	b.mu.Unlock()
	m.server = &http.Server{Handler: m}
	go func() { _ = m.server.Serve(l) }()
	go m.heartbeats()
	return m, nil
}

// heartbeats writes the entry of the minion, and has it removed after three intervals of
// silence.
func (m *minion) heartbeats() {
	last := time.Now()
	for {
		m.mu.Lock()
		up := m.up
		m.sequence++
		entry, _ := json.Marshal(map[string]any{
			"service": service, "address": m.address, "zone": zones[0], "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int{"cpu": m.cpu, "memory_request_mb": 32768, "gpu": 0}, "labels": m.labels,
			"clock_ms": m.clock().Milliseconds(), "born": m.born.UnixMilli(), "sequence": m.sequence,
		})
		m.mu.Unlock()
		if !up {
			time.Sleep(time.Until(last.Add(missedHeartbeats * heartbeat)))
			m.bed.store.Put(topicServers, m.id, nil)
			return
		}
		last = time.Now()
		m.bed.store.Put(topicServers, m.id, entry)
		time.Sleep(heartbeat)
	}
}

// crash ends the minion and all that runs on it.
func (m *minion) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return
	}
	m.up = false
	for _, r := range m.running {
		r.timer.Stop()
	}
	clear(m.running)
	close(m.changed)
	_ = m.server.Close()
}

// setFailing makes everything that the minion starts fail, or ends that.
func (m *minion) setFailing(v bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failing = v
	if v {
		for _, r := range m.running {
			m.endAfter(r, "failed", failAfter)
		}
	}
}

func (m *minion) clock() time.Duration { return time.Since(m.born) }

// endAfter makes a run end in some time. The caller holds the lock.
func (m *minion) endAfter(r *taskRun, how string, d time.Duration) {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.timer = time.AfterFunc(d, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.expire()
		m.end(r, how)
	})
}

// end lists the end of a run. The caller holds the lock.
func (m *minion) end(r *taskRun, how string) {
	if !m.up || m.running[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(m.running, r.task)
	m.lastEnded[r.task] = max(m.lastEnded[r.task], r.number)
	m.lastEnd++
	m.ends = append(m.ends, taskEnd{m.lastEnd, r.task, r.number, how})
	close(m.changed)
	m.changed = make(chan struct{})
	m.bed.noteEnd(r.task, how)
	m.bed.record("%s: run %d of %s ended %s", m.id, r.number, r.task, how)
}

// expire kills everything after the lease. The caller holds the lock.
func (m *minion) expire() {
	if m.clock() <= m.leaseUntil {
		return
	}
	for _, r := range m.running {
		m.end(r, "lapsed")
	}
}

// extend applies a deadline. The caller holds the lock.
func (m *minion) extend(deadlineMS int64) {
	until := min(time.Duration(deadlineMS)*time.Millisecond, m.clock()+maxHold)
	m.leaseUntil = max(m.leaseUntil, until)
}

type orderBody struct {
	Task         string  `json:"task"`
	Run          uint32  `json:"run"`
	Spec         string  `json:"task_spec"`
	Ticket       string  `json:"ticket"`
	DeadlineMS   int64   `json:"deadline_ms"`
	FencingToken uint64  `json:"fencing_token"`
	LastSeen     uint64  `json:"last_seen"`
	WaitMS       float64 `json:"wait_ms"`
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		w.WriteHeader(http.StatusOK) // health
		return
	}
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("X-Bamboofall-Expected-Instance"); id != "" && id != m.id {
		m.answer(w, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	m.mu.Lock()
	m.expire()
	if o.FencingToken < m.token {
		m.mu.Unlock()
		m.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	m.token = o.FencingToken
	reason := ""
	switch strings.TrimPrefix(r.URL.Path, "/v1/") {
	case "run-start":
		reason = m.startRun(&o)
	case "run-stop":
		m.stopRun(&o)
	case "pace":
	case "hold":
		m.extend(o.DeadlineMS)
		m.mu.Unlock()
		m.hold(w, r, &o)
		return
	default:
		m.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	m.mu.Unlock()
	if reason != "" {
		m.answer(w, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	m.answer(w, http.StatusOK, map[string]any{})
}

func (m *minion) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"], body["born"] = m.clock().Milliseconds(), m.born.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// startRun starts a run and returns the reason of a rejection. The caller holds the lock.
func (m *minion) startRun(o *orderBody) string {
	if r := m.running[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	if m.clock() > time.Duration(o.DeadlineMS)*time.Millisecond {
		return "late"
	}
	m.extend(o.DeadlineMS)
	if m.lastEnded[o.Task] >= o.Run {
		return "old"
	}
	r := &taskRun{task: o.Task, number: o.Run, startedAt: time.Now()}
	if err := json.Unmarshal([]byte(o.Spec), &r.spec); err != nil {
		return "late"
	}
	if r.spec.Advised && o.Ticket != ticketOf(stepOf(o.Task), m.id) {
		m.rejected++
		if m.rejected <= maxRecordedRejections {
			m.bed.record("%s: start of run %d of %s rejected: ticket %q", m.id, o.Run, o.Task, o.Ticket)
		}
		return "ticket"
	}
	m.running[o.Task] = r
	switch {
	case m.failing:
		m.endAfter(r, "failed", failAfter)
	case r.spec.Lasts:
		m.endAfter(r, "stopped", time.Hour)
	default:
		m.endAfter(r, "done", time.Duration(r.spec.WorkMS)*time.Millisecond)
	}
	m.bed.record("%s: run %d of %s begins", m.id, o.Run, o.Task)
	m.bed.noteStart(startEvent{o.Task, o.Run, m, r.startedAt})
	return ""
}

// stopRun stops a run and rejects it from now on. The caller holds the lock.
func (m *minion) stopRun(o *orderBody) {
	m.lastEnded[o.Task] = max(m.lastEnded[o.Task], o.Run)
	if r := m.running[o.Task]; r != nil && r.number <= o.Run {
		m.endAfter(r, "stopped", stopTime)
	}
}

func (m *minion) percent(r *taskRun) int {
	if r.spec.Lasts {
		return int(min(100, 100*time.Since(r.startedAt)/startup))
	}
	return int(min(99, 100*time.Since(r.startedAt)/(time.Duration(r.spec.WorkMS)*time.Millisecond)))
}

// hold answers with both lists, and waits for an end if it is to.
func (m *minion) hold(w http.ResponseWriter, r *http.Request, o *orderBody) {
	timer := time.NewTimer(time.Duration(o.WaitMS) * time.Millisecond)
	defer timer.Stop()
	for waited := o.WaitMS == 0; ; {
		m.mu.Lock()
		m.expire()
		m.ends = slices.DeleteFunc(m.ends, func(e taskEnd) bool { return e.number <= o.LastSeen })
		if len(m.ends) > 0 || waited {
			running, finished := [][]any{}, [][]any{}
			for _, r := range m.running {
				running = append(running, []any{r.task, r.number, "", m.percent(r), 1000})
			}
			for _, e := range m.ends[:min(len(m.ends), maxListed)] {
				finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
			}
			m.mu.Unlock()
			m.answer(w, http.StatusOK, map[string]any{"running": running, "finished": finished})
			return
		}
		up, changed := m.up, m.changed
		m.mu.Unlock()
		if !up {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

// runs reports whether a task runs on the minion, and since when.
func (m *minion) runs(task string) (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.running[task]
	if r == nil {
		return time.Time{}, false
	}
	return r.startedAt, true
}

// noteEnd counts the tasks of a job that have ended done.
func (b *bed) noteEnd(task, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if job, _, found := strings.Cut(task, "."); found && how == "done" {
		b.ends[job]++
	}
}

func (b *bed) noteStart(s startEvent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts = append(b.starts, s)
}

// runningOn returns the minion on which a task runs, or nil, and since when.
func (b *bed) runningOn(task string) (*minion, time.Time) {
	b.mu.Lock()
	minions := slices.Clone(b.minions)
	b.mu.Unlock()
	for _, m := range minions {
		if since, runs := m.runs(task); runs {
			return m, since
		}
	}
	return nil, time.Time{}
}
