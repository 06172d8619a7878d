package main

import (
	"bytes"
	"encoding/binary"
	"errors"
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

const (
	program       = "target/bamboofall"
	topicOwners   = "keyed.bamboofall-owners"
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
	service       = "huvo11a"
	queueHost     = "nony24.example"
	// heartbeat and missedHeartbeats are those of the pages: an entry is removed after
	// three intervals of silence.
	heartbeat        = 1500 * time.Millisecond
	missedHeartbeats = 3
	// trafficDelay is the time from the start of the machines to that of the traffic.
	trafficDelay = 10 * time.Second
)

// bed is a deployment: the store, the entry VMs and the minions.
type bed struct {
	// trouble is set unless the case runs without its disruption.
	trouble bool
	began   time.Time
	folder  string
	store   *standin.Store
	// storeAt is the address of the store, adviceAt that of the recommendation service.
	storeAt, adviceAt string
	// subnet is the start of the loopback addresses of this run.
	subnet    string
	listeners []net.Listener

	mu      sync.Mutex
	log     *os.File
	vms     []*vm
	minions []*minion
	ended   bool
	starts  []startEvent
	// ends counts the tasks that have ended done, by job.
	ends     map[string]int
	nextHost int
}

// startEvent is a start of a task that a minion has begun.
type startEvent struct {
	task   string
	run    uint32
	minion *minion
	at     time.Time
}

func newBed(recordPath string, trouble bool) (*bed, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("build the project first: %w", err)
	}
	log, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	b := &bed{
		trouble: trouble, began: time.Now(), folder: folder, store: standin.NewStore(), log: log, nextHost: 2, ends: make(map[string]int),
		subnet: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250)),
	}
	if b.storeAt, err = b.serve(b.subnet+"1:0", delayed{&limited{Handler: b.store, bed: b}}); err != nil {
		return nil, err
	}
	if b.adviceAt, err = b.serve(b.subnet+"1:0", http.HandlerFunc(b.advise)); err != nil {
		return nil, err
	}
	b.record("trouble: %t", trouble)
	return b, nil
}

// storeDelay is the time of an answer of the store and the way there and back.
const storeDelay = (4 + 2*3) * time.Millisecond

// delayed delays the calls of a handler.
type delayed struct{ http.Handler }

func (d delayed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	d.Handler.ServeHTTP(w, r)
}

// recordBytes is record_bytes of the settings.
const recordBytes = 262144

// limited rejects appends with a record that is larger than the platform allows.
type limited struct {
	http.Handler
	bed *bed
	// rejected counts these appends.
	rejected atomic.Int64
}

func (l *limited) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/log-append" {
		l.Handler.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	for rest := body; len(rest) >= 4; {
		n := int(binary.BigEndian.Uint32(rest))
		if n > recordBytes {
			if l.rejected.Add(1)%20 == 1 {
				l.bed.record("the store rejects an append to %s: a record has %d bytes, the limit is %d (%d rejected)", r.URL.Query().Get("topic"), n, recordBytes, l.rejected.Load())
			}
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		rest = rest[min(len(rest), 4+n):]
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	l.Handler.ServeHTTP(w, r)
}

// serve serves HTTP on an address until the end of the run and returns the address.
func (b *bed) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	b.mu.Lock()
	b.listeners = append(b.listeners, l)
	b.mu.Unlock()
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// record writes a line to record.txt and to standard output.
func (b *bed) record(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	_, _ = b.log.WriteString(line)
	fmt.Print(line)
}

// close ends all processes and removes the temporary folder.
func (b *bed) close() {
	b.mu.Lock()
	vms, minions, listeners := b.vms, b.minions, b.listeners
	b.mu.Unlock()
	for _, v := range vms {
		v.kill()
	}
	for _, m := range minions {
		m.crash()
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	_ = b.log.Close()
	_ = os.RemoveAll(b.folder)
}

// vm is an entry VM with its serve process.
type vm struct {
	bed  *bed
	name string
	// callers, ready and peers are addresses of the process.
	callers, ready, peers string
	settings              string

	mu   sync.Mutex
	proc *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
}

const settingsFormat = `node = %q
role = "entry"
machine_class = "frontend"
serves = ["frontend"]
ip = %q
zone = %q
region = "lhr-region"
internal_ports = [%d, %d]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
control_mode = "invocation"
recommendation = %q
[zones]
depot-gulberg = "lhr-region"
depot-shadman = "lhr-region"
[listen_addresses]
frontend = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[limits]
cpu_share = %g
cores = 1
memory_mb = 284
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
max_stretch_ms = 5000
recovery_s = 12
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
migration_s = 1.5
maintenance_s = 2
require_fencing = false
lease_ms = 3000
thaw_ms = 300
pace_ms = 100
impact_ms = 4000
[platform]
address = %q
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 12
append_ms = 2.0
partition_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
request_bytes = 2097152
keep_s = 300
partition_mb = 200
min_ttl_ms = 1000
`

// Ports of an entry VM. Each VM has its own address.
const (
	portCallers  = 8161
	portReady    = 8167
	portControl  = 8166
	portInternal = 7720
	portLast     = 7735
)

var zones = [...]string{"depot-gulberg", "depot-shadman"}

// host returns an unused loopback address.
func (b *bed) host() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nextHost++
	return fmt.Sprintf("%s%d", b.subnet, b.nextHost-1)
}

// addVM starts an entry VM with a share of a core.
func (b *bed) addVM(cpuShare float64) (*vm, error) {
	ip := b.host()
	b.mu.Lock()
	n := len(b.vms)
	b.mu.Unlock()
	zone := zones[n%len(zones)]
	v := &vm{
		bed: b, name: fmt.Sprintf("frontend-%s-%d", zone, n), callers: fmt.Sprintf("%s:%d", ip, portCallers),
		ready: fmt.Sprintf("%s:%d", ip, portReady), peers: fmt.Sprintf("%s:%d", ip, portInternal),
	}
	v.settings = filepath.Join(b.folder, v.name+".toml")
	text := fmt.Sprintf(settingsFormat, v.name, ip, zone, portInternal, portLast, b.adviceAt, ip, portCallers, ip, portReady, ip, portControl, cpuShare, b.storeAt)
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	b.mu.Lock()
	b.vms = append(b.vms, v)
	b.mu.Unlock()
	return v, v.start()
}

// start starts the process as the deploy file does.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(v.bed.folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(program, "serve", "--metrics-port", "9464")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BAMBOOFALL_CONFIG=" + v.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	v.proc, v.done = cmd, done
	go func() {
		err := cmd.Wait()
		v.bed.record("%s: the process ended: %v", v.name, err)
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.proc != nil {
		v.bed.record("%s gets %v", v.name, s)
		_ = v.proc.Process.Signal(s)
	}
}

// terminate stops the process as the platform does, and starts it again if restart is set.
func (v *vm) terminate(restart bool) {
	const grace = 6 * time.Second
	v.signal(syscall.SIGTERM)
	v.mu.Lock()
	done := v.done
	v.mu.Unlock()
	go func() {
		select {
		case <-done:
		case <-time.After(grace):
			v.signal(syscall.SIGKILL)
			<-done
		}
		if restart && !v.bed.hasEnded() {
			_ = v.start()
		}
	}()
}

// kill ends the process at once and waits for its end.
func (v *vm) kill() {
	v.mu.Lock()
	proc, done := v.proc, v.done
	v.mu.Unlock()
	if proc != nil {
		_ = proc.Process.Kill()
		<-done
	}
}

func (b *bed) hasEnded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// isReady reports whether the readiness probe of the platform succeeds.
func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + v.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// waitReady waits until all VMs are ready.
func (b *bed) waitReady() error {
	for deadline := time.Now().Add(trafficDelay); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range b.vms {
			if v.isReady() {
				ready++
			}
		}
		if ready == len(b.vms) {
			return nil
		}
	}
	return errors.New("the VMs are not ready")
}

// lastWriter returns the VM that last wrote to the store under a condition, as a store
// sees it.
func (b *bed) lastWriter() (*vm, error) {
	records, err := b.newest(topicOwners)
	if err != nil {
		return nil, err
	}
	for _, value := range records {
		for _, v := range b.vms {
			if bytes.Contains(value, []byte(v.peers)) {
				return v, nil
			}
		}
	}
	return nil, errors.New("no VM has written to the store under a condition")
}

// grep records the lines of the logs of all VMs that contain a text, at most limit.
func (b *bed) grep(text string, limit int) {
	for _, v := range b.vms {
		data, err := os.ReadFile(filepath.Join(b.folder, v.name+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, text) && limit > 0 {
				limit--
				b.record("log of %s: %s", v.name, strings.TrimSpace(line))
			}
		}
	}
}
