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

// callerVariable makes this binary the callers of a benchmark, in a process of
// their own, so that the processor time of this one is the server's alone. It holds
// the address, the number of callers and the number of calls.
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
	var left atomic.Int64
	left.Store(int64(calls))
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			for left.Add(-1) >= 0 {
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

func usage(b *testing.B) (time.Duration, int64) {
	var r syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &r))
	return time.Duration(r.Utime.Nano() + r.Stime.Nano()), r.Nvcsw
}

// BenchmarkServe measures a call of a caller with a body, without the work for it.
// Run it with -cpu 1: an entry VM has one processor.
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
			began, waited := usage(b)
			assert.NilError(b, caller.Run())
			ended, waits := usage(b)
			b.ReportMetric(float64((ended-began).Microseconds())/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(waits-waited)/float64(b.N), "waits/op")
		})
	}
}
