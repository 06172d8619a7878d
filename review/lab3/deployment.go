package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bamboofall.example/bamboofall/platform/standin"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	// hidden is a part of lines that are left out, or nil.
	hidden atomic.Pointer[string]
}

func (r *record) line(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if h := r.hidden.Load(); h != nil && strings.Contains(text, *h) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), text)
}

const (
	host    = "jobs.example"
	queue   = "/watch/"
	program = "target/bamboofall"
)

// entry is an entry VM: a process of the project.
type entry struct {
	name, ip, settings string
	process            *exec.Cmd
	exited             chan struct{}
	// storeFault returns the fault of calls from this VM to the store.
	storeFault atomic.Pointer[func(r *http.Request) standin.Fault]
}

func (e *entry) frontend() string { return e.ip + ":8161" }

// deployment is a small deployment on loopback addresses.
type deployment struct {
	log     *record
	audit   *audit
	folder  string
	net     string
	store   *standin.Store
	entries []*entry
	minions []*minion
	servers []*http.Server
	client  *http.Client
	random  *rand.Rand
	version int
	gangs   *gangs
	// cpuShare is the share of a core that each entry VM has.
	cpuShare string
}

// newDeployment starts the store, with a first configuration.
func newDeployment(log *record, seed uint64) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{log: log, audit: newAudit(log), folder: folder, store: standin.NewStore(), gangs: &gangs{all: make(map[string]*gang)}, cpuShare: "0.4", random: rand.New(rand.NewPCG(seed, 1))}
	d.client = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for try := 0; ; try++ {
		d.net = fmt.Sprintf("127.%d.%d.", 64+rand.IntN(64), rand.IntN(250))
		l, err := net.Listen("tcp", d.storeAddress())
		if err == nil {
			server := &http.Server{Handler: d.store}
			d.servers = append(d.servers, server)
			go func() { _ = server.Serve(l) }()
			break
		}
		if try > 20 {
			return nil, err
		}
	}
	d.configure(3)
	return d, nil
}

func (d *deployment) storeAddress() string { return d.net + "1:8169" }

// configure writes the next configuration: one queue.
func (d *deployment) configure(maxAttempts int) {
	d.version++
	data, _ := json.Marshal(map[string]any{
		"version": d.version,
		"routes": []map[string]any{{
			"name": "r-watch", "host": host, "path_prefix": queue, "kind": "non_idempotent", "timeout_ms": 3000,
			"objective_ms": 2500, "priority": 0, "service": "service-a", "max_attempts": maxAttempts, "stretch": 2.2,
		}},
		"services": []map[string]any{{"name": "service-a", "health_path": "/health", "admission_check": false, "standby": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
	d.store.Put("keyed.op", "config", data)
	d.log.line("operator writes configuration %d", d.version)
}

// addMinions starts minions of 32 cores with 128 GB.
func (d *deployment) addMinions(n int, taskOf func(m *minion, name string, run uint32) task) error {
	for range n {
		i := len(d.minions)
		m := &minion{
			id: fmt.Sprintf("i-%08x", d.random.Uint32()), address: fmt.Sprintf("%s%d:8200", d.net, 100+i), zone: "zone-a", labels: []string{"a", fmt.Sprintf("r1-%d", 1+i/8)},
			cpu: 32000, memory: 128000, store: d.store, log: d.log, audit: d.audit, taskOf: taskOf, gangs: d.gangs,
		}
		if err := m.start(time.Time{}); err != nil {
			return err
		}
		d.minions = append(d.minions, m)
	}
	return nil
}

// addEntries starts entry VMs, as the deploy file has them.
func (d *deployment) addEntries(n int) error {
	for range n {
		i := len(d.entries)
		e := &entry{name: fmt.Sprintf("frontend-zone-a-%d", i+1), ip: fmt.Sprintf("%s%d", d.net, 10+i)}
		e.settings = filepath.Join(d.folder, e.name+".toml")
		if err := os.WriteFile(e.settings, []byte(d.settings(e)), 0o600); err != nil {
			return err
		}
		if err := d.serveStore(e); err != nil {
			return err
		}
		d.entries = append(d.entries, e)
		if err := d.startEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// storeAddressOf returns the address at which an entry VM reaches the store.
func (d *deployment) storeAddressOf(e *entry) string {
	return fmt.Sprintf("%s%s:8169", d.net, "2"+e.ip[len(d.net):])
}

// serveStore serves the store to an entry VM at an address of its own, so that it can be cut
// off or turned away alone.
func (d *deployment) serveStore(e *entry) error {
	l, err := net.Listen("tcp", d.storeAddressOf(e))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault := standin.FaultNone
		if f := e.storeFault.Load(); f != nil {
			fault = (*f)(r)
		}
		switch fault {
		case standin.FaultRefused:
			w.WriteHeader(http.StatusServiceUnavailable)
		case standin.FaultReset:
			panic(http.ErrAbortHandler)
		case standin.FaultSilent:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		default:
			d.store.ServeHTTP(w, r)
		}
	})}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(l) }()
	return nil
}

func (d *deployment) settings(e *entry) string {
	return fmt.Sprintf(`node = %q
role = "entry"
machine_class = "frontend"
serves = ["frontend"]
ip = %q
zone = "zone-a"
region = "region-a"
internal_ports = [7720, 7735]
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1100
contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
control_mode = "invocation"
[zones]
zone-a = "region-a"
[listen_addresses]
frontend = "%s"
ready = "%s:8167"
[limits]
cpu_share = %s
cores = 1
memory_mb = 284
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
max_stretch_ms = 5000
recovery_s = 12
max_hold_ms = %d
stop_timeout_ms = 400
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 2
checkpoint_interval_s = 0.5
restore_ms = 100
notice_ms = 4500
require_fencing = false
lease_ms = 3000
impact_ms = 4000
[platform]
address = %q
form = "log"
writes_per_s = 600
reads_per_s = 2000
record_bytes = 262144
request_bytes = 2097152
keep_s = 300
`, e.name, e.ip, e.frontend(), e.ip, d.cpuShare, maxHold.Milliseconds(), d.storeAddressOf(e))
}

func (d *deployment) startEntry(e *entry) error {
	out, err := os.OpenFile(filepath.Join(d.folder, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(program, "serve", "--metrics-port", "9464")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "BAMBOOFALL_CONFIG=" + e.settings}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	e.process, e.exited = c, exited
	d.log.line("%s starts, process %d", e.name, c.Process.Pid)
	go func() {
		err := c.Wait()
		d.log.line("%s process %d has ended: %v", e.name, c.Process.Pid, err)
		close(exited)
	}()
	return nil
}

func (d *deployment) signal(e *entry, s syscall.Signal) {
	d.log.line("%v to %s", s, e.name)
	_ = e.process.Process.Signal(s)
}

// waitReady waits until all entry VMs are ready and a job would be accepted.
func (d *deployment) waitReady() error {
	for _, e := range d.entries {
		for since := time.Now(); ; time.Sleep(50 * time.Millisecond) {
			res, err := d.client.Get("http://" + e.ip + ":8167/v1/readiness")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Since(since) > 15*time.Second {
				return fmt.Errorf("%s is not ready: %v", e.name, err)
			}
		}
	}
	return nil
}

// stop ends all processes and servers, and keeps the logs of the entry VMs if asked to.
func (d *deployment) stop() {
	for _, e := range d.entries {
		_ = e.process.Process.Signal(syscall.SIGCONT)
		_ = e.process.Process.Kill()
		<-e.exited
	}
	for _, m := range d.minions {
		m.mu.Lock()
		up := m.life != nil
		m.mu.Unlock()
		if up {
			m.crash()
		}
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	if keep := os.Getenv("LOGS"); keep != "" {
		_ = os.Rename(d.folder, keep)
		return
	}
	_ = os.RemoveAll(d.folder)
}

// send sends a request of a client and returns the status, or zero without an answer.
func (d *deployment) send(e *entry, method, id string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+e.frontend()+queue+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Bamboofall-Timeout-Ms", "3000")
	began := time.Now()
	res, err := d.client.Do(req)
	if err != nil {
		d.log.line("client: %s %s at %s: no answer after %v", method, id, e.name, time.Since(began).Round(time.Millisecond))
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		d.log.line("client: %s %s at %s: %d, the answer is cut off", method, id, e.name, res.StatusCode)
		return 0, ""
	}
	d.log.line("client: %s %s at %s: %d %s after %v", method, id, e.name, res.StatusCode, text, time.Since(began).Round(time.Millisecond))
	return res.StatusCode, string(text)
}

// newJob makes a job that the audit knows.
func (d *deployment) newJob(steps ...step) *job {
	j := &job{id: fmt.Sprintf("%016x", d.random.Uint64()), queue: queue, steps: steps}
	j.spec = "spec of " + j.id
	d.audit.mu.Lock()
	defer d.audit.mu.Unlock()
	d.audit.jobs[j.id] = j
	return j
}

func (j *job) body() []byte {
	body := map[string]any{"task_spec": j.spec, "steps": j.steps}
	if j.repetitions > 0 {
		body["first_run_ms"], body["interval_ms"], body["repetitions"] = j.firstRun, j.interval, j.repetitions
	}
	data, _ := json.Marshal(body)
	return data
}

// handIn hands a job in once, and notes whether it may have been accepted.
func (d *deployment) handIn(j *job, at int) int {
	d.audit.mu.Lock()
	j.pending++
	d.audit.mu.Unlock()
	status, _ := d.send(d.entries[at], http.MethodPost, j.id, j.body())
	d.audit.mu.Lock()
	defer d.audit.mu.Unlock()
	j.pending--
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusNotFound:
		j.rejected = true
	default:
		j.unknown = true
	}
	return status
}

// submit hands a job in until it is accepted, at one entry VM after the other.
func (d *deployment) submit(j *job, from int) bool {
	for i := range 8 {
		if d.handIn(j, (from+i)%len(d.entries))/100 == 2 {
			j.accepted = true
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job.
func (d *deployment) state(e *entry, id string) (int, string) {
	status, text := d.send(e, http.MethodGet, id, nil)
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &body)
	return status, body.State
}
