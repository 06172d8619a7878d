package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

const (
	service = "gatecall"
	zone    = "depot-a"
	host    = "jobs.example"
	prefix  = "/panel/"
)

// bed is a small deployment: the store, minions, and entry daemons as processes.
type bed struct {
	store   *standin.Store
	storeAt string
	// relay is between the first daemon and the store.
	relay   *relay
	minions []*minion
	daemons []*daemon
	folder  string
	// does returns what a task does.
	does func(task string) behaviour
	// summary, if set, replaces the lines of starts and ends by their numbers.
	summary bool

	mu            sync.Mutex
	record        *os.File
	began         time.Time
	starts        int
	endsByKind    map[string]int
	startedByTask map[string]int
	// doneEnds holds the ends done by task, and twice the tasks of which a run started
	// after such an end that was taken note of before or later.
	doneEnds map[string][]*doneEnd
	twice    map[string]bool
	// lateDone is set once a late call was carried out.
	lateDone atomic.Bool
}

// daemon is a process of the system.
type daemon struct {
	name, ip string
	port     int
	// store is the address of the store for this daemon.
	store  string
	cmd    *exec.Cmd
	exited chan struct{}
}

// newBed starts the store, the minions and the daemons, and publishes a configuration.
func newBed(record string, daemons, minions int, does func(string) behaviour) (*bed, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	b := &bed{
		store: standin.NewStore(), folder: folder, does: does, record: file, began: time.Now(),
		endsByKind: make(map[string]int), startedByTask: make(map[string]int),
		doneEnds: make(map[string][]*doneEnd), twice: make(map[string]bool),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return b, err
	}
	b.storeAt = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: http.HandlerFunc(b.serveStore)}).Serve(listener) }()
	if b.relay, err = newRelay(b.storeAt); err != nil {
		return b, err
	}
	b.publish(1, prefix)
	for i := range minions {
		port, err := freePort("127.0.0.1", 1)
		if err != nil {
			return b, err
		}
		m := &minion{bed: b, id: fmt.Sprintf("m-%02d", i), address: fmt.Sprintf("127.0.0.1:%d", port), kind: "a"}
		if i == 0 {
			m.kind = "b"
		}
		if err := m.start(); err != nil {
			return b, err
		}
		b.minions = append(b.minions, m)
	}
	go func() {
		for {
			time.Sleep(100 * time.Millisecond)
			for _, m := range b.minions {
				m.expireEntry()
			}
		}
	}()
	network, err := freeNetwork(daemons)
	if err != nil {
		return b, err
	}
	for i := range daemons {
		d := &daemon{name: fmt.Sprintf("frontend-%d", i), ip: daemonIP(network, i), store: b.storeAt}
		if i == 0 {
			d.store = b.relay.address()
		}
		if d.port, err = freePort(d.ip, 4); err != nil {
			return b, err
		}
		b.daemons = append(b.daemons, d)
		if err := b.startDaemon(d); err != nil {
			return b, err
		}
	}
	return b, nil
}

// storeDelay is how long the store takes for an answer.
const storeDelay = 4 * time.Millisecond

func (b *bed) serveStore(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	b.store.ServeHTTP(w, r)
}

// metricsPort is the port of the deploy file, the same at all daemons.
const metricsPort = 9464

// daemonIP returns the loopback address of a daemon.
func daemonIP(network, daemon int) string { return fmt.Sprintf("127.9.%d.%d", network, 11+daemon) }

// freeNetwork returns a network in which the metrics ports of all daemons are free.
func freeNetwork(daemons int) (int, error) {
networks:
	for i := range 250 {
		network := 1 + (os.Getpid()+i)%250
		for d := range daemons {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", daemonIP(network, d), metricsPort))
			if err != nil {
				continue networks
			}
			_ = l.Close()
		}
		return network, nil
	}
	return 0, errors.New("no free loopback network")
}

// freePort returns the first of n consecutive free ports of an address.
func freePort(ip string, n int) (int, error) {
	for range 50 {
		first, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		open := []net.Listener{first}
		for i := 1; i < n; i++ {
			if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port+i)); err == nil {
				open = append(open, l)
			}
		}
		for _, l := range open {
			_ = l.Close()
		}
		if len(open) == n {
			return port, nil
		}
	}
	return 0, errors.New("no free ports")
}

// publish writes a configuration with a queue for each path prefix, as the operator does.
func (b *bed) publish(version int, prefixes ...string) {
	var routes []map[string]any
	for i, p := range prefixes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": host, "path_prefix": p, "kind": "non_idempotent", "timeout_ms": 3000, "objective_ms": 1000,
			"priority": 0, "service": service, "max_attempts": 3, "stretch": 2.0,
		})
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": service, "health_path": "/health", "admission_check": false, "standby": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
	b.store.Put("keyed.op", "config", data)
	b.note("configuration %d is acknowledged, with the queues %v", version, prefixes)
}

// settings is a settings file with the bounds of the site praf-bamboofall.
const settings = `node = %q
role = "entry"
machine_class = "frontend"
serves = ["frontend"]
ip = %q
zone = %q
region = "lhr-region"
internal_ports = [%d, %d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1100
control_mode = "invocation"
[zones]
%s = "lhr-region"
[listen_addresses]
frontend = "%s:%d"
ready = "%s:%d"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
file_descriptors = 4100
link_mbps = 1000.0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
max_hold_ms = 10000
stop_timeout_ms = 200
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 3
checkpoint_interval_s = 2
restore_ms = 250
notice_ms = 4500
lease_ms = 3000
impact_ms = 4000
[platform]
address = %q
form = "log"
writes_per_s = 800
reads_per_s = 2000
record_bytes = 262144
request_bytes = 2097152
keep_s = 300
partition_mb = 200
`

// startDaemon starts a process of the system with the command of the deploy file.
func (b *bed) startDaemon(d *daemon) error {
	path := filepath.Join(b.folder, d.name+".toml")
	text := fmt.Sprintf(settings, d.name, d.ip, zone, d.port, d.port+1, zone, d.ip, d.port+2, d.ip, d.port+3, d.store)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(b.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command("target/bamboofall", "serve", "--metrics-port", "9464")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + b.folder, "BAMBOOFALL_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	// The signal comes when the thread ends that started the process, the main thread.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd, d.exited = cmd, make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(d.exited)
	}()
	return nil
}

// stop ends everything that the bed has started.
func (b *bed) stop() {
	for _, d := range b.daemons {
		if d.cmd != nil {
			_ = d.cmd.Process.Kill()
			<-d.exited
		}
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", b.folder)
		return
	}
	_ = os.RemoveAll(b.folder)
}

// note writes a line to the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

func (b *bed) started(task string, run int, minion string) {
	b.mu.Lock()
	b.starts++
	b.startedByTask[task]++
	var broken []string
	for _, e := range b.doneEnds[task] {
		e.startedAgain = true
		if e.noted {
			b.twice[task] = true
			broken = append(broken, fmt.Sprintf("TWICE: %s run %d starts at %s after run %d at %s has ended done, which was taken note of", task, run, minion, e.run, e.minion))
		}
	}
	b.mu.Unlock()
	for _, text := range broken {
		b.note("%s", text)
	}
	if !b.summary {
		b.note("start: %s run %d at %s", task, run, minion)
	}
}

// ended records an end, and returns it if it is done.
func (b *bed) ended(task string, run int, minion, how string) *doneEnd {
	b.mu.Lock()
	b.endsByKind[how]++
	var done *doneEnd
	if how == "done" {
		done = &doneEnd{run: run, minion: minion}
		b.doneEnds[task] = append(b.doneEnds[task], done)
	}
	b.mu.Unlock()
	if !b.summary {
		b.note("end %s: %s run %d at %s", how, task, run, minion)
	}
	return done
}

// doneEnd is an end done.
type doneEnd struct {
	run    int
	minion string
	// noted is set once it was taken note of, and startedAgain once another run started.
	noted, startedAgain bool
}

// noted records that an end done was taken note of.
func (b *bed) noted(task string, e *doneEnd) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.noted = true
	if e.startedAgain {
		b.twice[task] = true
	}
}

// noteCounts writes the numbers of starts, ends and running tasks to the record.
func (b *bed) noteCounts() {
	starts, ends := b.counts()
	running := 0
	for _, m := range b.minions {
		running += m.runs()
	}
	b.note("run so far: %d starts, ends %v; %d tasks run now", starts, ends, running)
}

// counts returns the number of starts and the ends by kind.
func (b *bed) counts() (starts int, ends map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ends = make(map[string]int)
	for how, n := range b.endsByKind {
		ends[how] = n
	}
	return b.starts, ends
}

// startsOf returns the number of starts of a job.
func (b *bed) startsOf(job string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for task, starts := range b.startedByTask {
		if strings.HasPrefix(task, job+".") {
			n += starts
		}
	}
	return n
}

// ready waits until all daemons report themselves ready.
func (b *bed) ready(limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range b.daemons {
			res, err := http.Get(fmt.Sprintf("http://%s:%d/v1/readiness", d.ip, d.port+3))
			if err != nil {
				continue
			}
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(b.daemons) {
			return true
		}
	}
	return false
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// ask makes one request of a client about a job at a daemon. The status is zero without an
// answer.
func (b *bed) ask(d *daemon, method, id string, body any) (status int, answer string) {
	return b.askPath(d, method, prefix+id, body)
}

// askPath is ask with the whole path.
func (b *bed) askPath(d *daemon, method, path string, body any) (status int, answer string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", d.ip, d.port+2, path), bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Bamboofall-Timeout-Ms", "3000")
	what := fmt.Sprintf("%s %s at %s", method, path, d.name)
	b.note("sent: %s", what)
	client.Timeout = 4 * time.Second
	res, err := client.Do(req)
	if err != nil {
		b.note("no answer: %s: %v", what, err)
		return 0, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	text, _ := io.ReadAll(res.Body)
	answer = strings.TrimSpace(string(text))
	b.note("answered: %s: %d %s", what, res.StatusCode, answer)
	return res.StatusCode, answer
}

// submit hands a job in as a client does: at another daemon after no success.
func (b *bed) submit(id string, job any) bool {
	for i := range 8 {
		status, _ := b.ask(b.daemons[i%len(b.daemons)], http.MethodPost, id, job)
		if status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job, at most once a daemon.
func (b *bed) state(id string) (status int, state string) {
	for _, d := range b.daemons {
		code, answer := b.ask(d, http.MethodGet, id, nil)
		if code == http.StatusOK {
			var s struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal([]byte(answer), &s)
			return code, s.State
		}
		if code == http.StatusGone {
			return code, ""
		}
	}
	return 0, ""
}
