package crowd

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/internal/operator/command"
	"bamboofall.example/bamboofall/platform"
	"bamboofall.example/bamboofall/platform/standin"
)

const (
	// memoryMB and descriptors are the limits of the VM in the process's settings, and
	// the bounds that the tests check.
	memoryMB    = 96
	descriptors = 512
	// workers is the number of stand-in workers.
	workers = 3
	service = "minions"
	// answerTimeout and startTimeout only end tests that hang.
	answerTimeout = 60 * time.Second
	startTimeout  = 60 * time.Second
	// sampleInterval is the time between two readings of the process's memory.
	sampleInterval = 10 * time.Millisecond
)

// crowds starts the tests of this package. Each measures a process of its own, so they
// do not run beside the tests of other packages.
var crowds = flag.Bool("crowds", false, "run the tests that send crowds of clients to a process")

// processVariable makes this test binary the entry daemon. Its value holds the path of the
// settings file and the metrics port.
const processVariable = "BAMBOOFALL_CROWD_PROCESS"

func TestMain(m *testing.M) {
	if value := os.Getenv(processVariable); value != "" {
		path, port, _ := strings.Cut(value, " ")
		os.Exit(command.Main([]string{"bamboofall", "serve", "--settings", path, "--metrics-port", port}, os.Stdout, os.Stderr))
	}
	flag.Parse()
	os.Exit(m.Run())
}

// process is an entry daemon in a process of its own, with stand-ins for the store and the
// workers in this one.
type process struct {
	t    *testing.T
	cmd  *exec.Cmd
	port int
	// store and worker, if set, handle the calls to the store and to the workers in
	// place of the stand-ins.
	store, worker atomic.Pointer[http.HandlerFunc]
	// records is the stand-in of the store.
	records *standin.Store
	lastJob atomic.Int64

	// ended is closed when the process has ended.
	ended  chan struct{}
	output bytes.Buffer

	sampling sync.WaitGroup
	// stop closes stopped, which ends sampling.
	stop    func()
	stopped chan struct{}
	// peakMemory is the highest memory seen, in bytes, with what the kernel holds for
	// the process's connections. peakDescriptors is the most descriptors seen. Both are
	// read after sampling has ended.
	peakMemory, peakKernel, peakDescriptors int64
}

// override returns a handler that prefers the handler in h.
func override(h *atomic.Pointer[http.HandlerFunc], standIn http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f := h.Load(); f != nil {
			(*f)(w, r)
			return
		}
		standIn.ServeHTTP(w, r)
	})
}

// startProcess starts an entry daemon and waits until it serves.
func startProcess(t *testing.T) *process {
	t.Helper()
	if !*crowds {
		t.Skip("started by -crowds only")
	}
	p := &process{t: t, port: freePorts(t, 5), ended: make(chan struct{}), stopped: make(chan struct{})}
	p.stop = sync.OnceFunc(func() { close(p.stopped) })
	store := standin.NewStore()
	p.records = store
	storeServer := httptest.NewServer(override(&p.store, store))
	t.Cleanup(storeServer.Close)
	store.Put(platform.TopicOperator, "config", standin.Configuration(1, service, "q"))
	var audit standin.Audit
	var announce []func()
	for i := range workers {
		id := fmt.Sprintf("i-%d", i)
		worker := standin.NewWorker(id, &audit, time.Millisecond)
		server := httptest.NewServer(override(&p.worker, worker))
		t.Cleanup(server.Close)
		announce = append(announce, func() {
			store.Put(platform.TopicWorkers, id, worker.Entry(service, strings.TrimPrefix(server.URL, "http://")))
		})
	}
	p.sampling.Go(func() {
		for {
			for _, f := range announce {
				f()
			}
			select {
			case <-p.stopped:
				return
			case <-time.After(time.Second):
			}
		}
	})
	path := filepath.Join(t.TempDir(), "node.toml")
	text := standin.Settings("entry-0", "127.0.0.1", strings.TrimPrefix(storeServer.URL, "http://"), p.port) +
		fmt.Sprintf("[limits]\ncpu_share = 1.0\ncores = 1\nmemory_mb = %d\nfile_descriptors = %d\nlink_mbps = 1000.0\n", memoryMB, descriptors)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%s %d", processVariable, path, p.metricsPort()))
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.ended
		p.stop()
		p.sampling.Wait()
		if t.Failed() {
			t.Logf("output of the process:\n%s", lastBytes(p.output.Bytes(), 4000))
		}
	})
	p.assertAnswered("before the crowd")
	p.sampling.Go(p.sample)
	return p
}

func lastBytes(b []byte, n int) []byte { return b[max(0, len(b)-n):] }

func (p *process) callersPort() int { return p.port + 2 }
func (p *process) readyPort() int   { return p.port + 3 }
func (p *process) peersPort() int   { return p.port }
func (p *process) metricsPort() int { return p.port + 4 }

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// sample reads the memory and descriptors of the process until stopped is closed.
func (p *process) sample() {
	for {
		kernel := p.kernelBytes()
		memory := p.statusBytes("VmRSS") + kernel
		p.peakMemory, p.peakKernel = max(p.peakMemory, memory), max(p.peakKernel, kernel)
		if entries, err := os.ReadDir(p.procPath("fd")); err == nil {
			p.peakDescriptors = max(p.peakDescriptors, int64(len(entries)))
		}
		select {
		case <-p.stopped:
			return
		case <-time.After(sampleInterval):
		}
	}
}

func (p *process) procPath(name string) string {
	return fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, name)
}

// statusBytes returns a field of the process's status, or zero if the process has ended.
func (p *process) statusBytes(field string) int64 {
	data, _ := os.ReadFile(p.procPath("status"))
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, field+":"); found {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// kernelBytes returns the size of the receive and send queues of all connections of the
// process, also of those that it has not accepted.
func (p *process) kernelBytes() int64 {
	own := make(map[string]bool)
	entries, _ := os.ReadDir(p.procPath("fd"))
	for _, e := range entries {
		target, _ := os.Readlink(p.procPath("fd/" + e.Name()))
		if inode, found := strings.CutPrefix(target, "socket:["); found {
			own[strings.TrimSuffix(inode, "]")] = true
		}
	}
	data, _ := os.ReadFile("/proc/net/tcp")
	var sum int64
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if len(f) < 10 || f[3] == "0A" { // of a listener, the queues count connections
			continue
		}
		_, hexPort, _ := strings.Cut(f[1], ":")
		port, _ := strconv.ParseInt(hexPort, 16, 32)
		if !own[f[9]] && (int(port) < p.port || int(port) >= p.port+5) {
			continue
		}
		tx, rx, _ := strings.Cut(f[4], ":")
		for _, queue := range []string{tx, rx} {
			n, _ := strconv.ParseInt(queue, 16, 64)
			sum += n
		}
	}
	return sum
}

// assertHeld checks that the process lives, answers an ordinary request while the crowd's
// connections are open, and has stayed within its VM's memory and descriptors.
func (p *process) assertHeld() {
	p.t.Helper()
	p.assertAnswered("after the crowd")
	p.awaitSteady()
	p.stop()
	p.sampling.Wait()
	p.assertLives()
	memory := max(p.peakMemory, p.statusBytes("VmHWM"))
	p.t.Logf("peak memory %d MB, of it %d MB in the kernel at most; %d descriptors", memory>>20, p.peakKernel>>20, p.peakDescriptors)
	assert.Check(p.t, memory <= memoryMB<<20, "peak memory is %d MB, the VM has %d MB", memory>>20, memoryMB)
	assert.Check(p.t, p.peakDescriptors <= descriptors, "%d descriptors, the VM has %d", p.peakDescriptors, descriptors)
}

// awaitSteady waits until the process accepts no more connections.
func (p *process) awaitSteady() {
	last, same := -1, 0
	for end := time.Now().Add(answerTimeout); same < 10 && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		entries, _ := os.ReadDir(p.procPath("fd"))
		if difference := len(entries) - last; difference <= 2 && difference >= -2 {
			same++
			continue
		}
		last, same = len(entries), 0
	}
}

func (p *process) assertLives() {
	p.t.Helper()
	select {
	case <-p.ended:
		p.t.Fatalf("the process has ended: %v", p.cmd.ProcessState)
	default:
	}
}

// assertAnswered checks that a job is accepted, in one of several attempts as a caller
// would make them.
func (p *process) assertAnswered(when string) {
	p.t.Helper()
	body := `{"task_spec":"x","steps":[{"count":2,"cpu":500,"memory_request_mb":64,"estimated_ms":100}]}`
	var last string
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		p.assertLives()
		req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/q/%016x", address(p.callersPort()), p.lastJob.Add(1)), strings.NewReader(body))
		assert.NilError(p.t, err)
		req.Host = "jobs.example"
		req.Header.Set("X-Bamboofall-Timeout-Ms", "3000")
		client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		res, err := client.Do(req)
		if err != nil {
			last = err.Error()
			continue
		}
		data, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK && json.Valid(data) {
			return
		}
		last = fmt.Sprintf("status %d, %s", res.StatusCode, data)
	}
	p.t.Fatalf("no ordinary request was answered %s, last: %s", when, last)
}

const (
	firstPort = 20_000
	lastPort  = 29_999
	portBlock = 8
)

// freePorts returns the first of n consecutive unused ports of the loopback interface.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	const blocks = (lastPort + 1 - firstPort) / portBlock
	for i := range blocks {
		first := firstPort + (os.Getpid()+i)%blocks*portBlock
		free := true
		for port := first; port < first+n; port++ {
			l, err := net.Listen("tcp", address(port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return first
		}
	}
	t.Fatal("no free ports")
	return 0
}
