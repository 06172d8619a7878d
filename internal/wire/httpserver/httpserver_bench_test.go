package httpserver

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/internal/wire/httpclient"
)

// callerVariable makes this test binary the clients of a benchmark. They run in their
// own process so that the processor time of the benchmark's process is that of the
// server alone. The value holds the address, the number of concurrent callers and the
// number of calls.
const callerVariable = "BAMBOOFALL_BENCHMARK_CALLER"

func TestMain(m *testing.M) {
	if os.Getenv(callerVariable) != "" {
		callServer()
		return
	}
	os.Exit(m.Run())
}

func callServer() {
	var host string
	var callers, calls int
	if _, err := fmt.Sscan(os.Getenv(callerVariable), &host, &callers, &calls); err != nil {
		panic(err)
	}
	engine, err := httpclient.NewEngine()
	if err != nil {
		panic(err)
	}
	c := httpclient.New(engine)
	body := make([]byte, 600)
	var remaining atomic.Int64
	remaining.Store(int64(calls))
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			for remaining.Add(-1) >= 0 {
				status, _, err := c.Call(context.Background(), &httpclient.Request{
					Method: http.MethodPost, Host: host, Target: "/v1/call", Body: body, Timeout: time.Minute,
				})
				if err != nil || status != http.StatusOK {
					panic(fmt.Sprint(status, err))
				}
			}
		})
	}
	all.Wait()
}

// cpuTimeAndWaits returns the processor time of this process and the number of its
// voluntary context switches.
func cpuTimeAndWaits(b *testing.B) (time.Duration, int64) {
	var r syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &r))
	return time.Duration(r.Utime.Nano() + r.Stime.Nano()), r.Nvcsw
}

// BenchmarkServe measures the cost of a POST request with a body, without any work in
// the handler. Run it with -cpu 1, as an entry VM has one processor.
func BenchmarkServe(b *testing.B) {
	for _, callers := range []int{1, 64} {
		b.Run("callers="+strconv.Itoa(callers), func(b *testing.B) {
			probe, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			address := netip.MustParseAddrPort(probe.Addr().String())
			assert.NilError(b, probe.Close())
			s, err := Start(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, `{"state":"queued"}`)
			}))
			assert.NilError(b, err)
			defer s.Stop()
			caller := exec.Command(os.Args[0])
			caller.Env = append(os.Environ(), fmt.Sprintf("%s=%s %d %d", callerVariable, address, callers, b.N))
			caller.Stderr = os.Stderr
			b.ReportAllocs()
			b.ResetTimer()
			began, waited := cpuTimeAndWaits(b)
			assert.NilError(b, caller.Run())
			ended, waits := cpuTimeAndWaits(b)
			b.ReportMetric(float64((ended-began).Microseconds())/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(waits-waited)/float64(b.N), "waits/op")
		})
	}
}
