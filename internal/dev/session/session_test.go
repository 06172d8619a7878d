package session

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/internal/config/object"
	"bamboofall.example/bamboofall/internal/operator/client"
	"bamboofall.example/bamboofall/internal/standin/site"
)

// smallDeployment returns a deployment that starts quickly.
func smallDeployment(t *testing.T) *site.Deployment {
	t.Helper()
	d, err := site.ReadDeployment("../../../examples/gasbag.ini")
	assert.NilError(t, err)
	d.DataCentres = d.DataCentres[:2]
	d.EntryVMs, d.Service.Instances, d.Workers.Count = 4, 8, 8
	d.Load.Rate = 60
	return d
}

func startSession(t *testing.T) *Session {
	t.Helper()
	s, err := Start(smallDeployment(t), io.Discard)
	assert.NilError(t, err)
	t.Cleanup(s.Stop)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s.StartDaemons(logger)
	return s
}

// Guards against failures that show up only with real sockets: callers get
// answers, and no guarantee is violated.
func TestDeploymentServesCallersAndBatchTasks(t *testing.T) {
	s := startSession(t)
	// The objects also name data centres that this deployment lacks.
	sum, err := s.Run(context.Background(), 3*time.Second)
	assert.NilError(t, err)
	assert.Assert(t, !sum.Broken(), "%v", sum.Faults)
	assert.Assert(t, sum.Requests.Answered > 0)
	assert.Equal(t, sum.Config.Revision, uint64(1))
}

// A daemon that failed to start must end the wait for it, with its error.
func TestWaitForDaemonsEndsWithErrorOfDaemon(t *testing.T) {
	s, err := Start(smallDeployment(t), io.Discard)
	assert.NilError(t, err)
	t.Cleanup(s.Stop)
	failed := errors.New("address already in use")
	s.errs <- failed
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	assert.ErrorIs(t, s.waitReady(ctx, 1), failed)
}

// BenchmarkEntryVMLatency compares a call through an entry VM with a direct
// call to an instance. The instance's work takes only about a microsecond, so
// the difference is the latency that the entry VM adds.
func BenchmarkEntryVMLatency(b *testing.B) {
	d, err := site.ReadDeployment("../../../examples/gasbag.ini")
	assert.NilError(b, err)
	d.DataCentres = d.DataCentres[:1]
	d.EntryVMs, d.Service.Instances, d.Workers.Count = 1, 8, 8
	d.Service.Work = time.Microsecond
	s, err := Start(d, io.Discard)
	assert.NilError(b, err)
	b.Cleanup(s.Stop)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s.StartDaemons(logger)
	entry := publishObjects(b, s)
	direct := ""
	for _, vm := range s.site.Fleet("").VMs {
		for _, i := range vm.Instances {
			direct = i.Address.String()
		}
	}
	for name, url := range map[string]string{
		"direct": "http://" + direct + "/plan", "throughEntry": "http://" + entry + "/v1/call/ledger/plan",
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"id":"x"}`))
				assert.NilError(b, err)
				res, err := s.client.Do(req)
				assert.NilError(b, err)
				assert.Equal(b, res.StatusCode, http.StatusOK)
			}
		})
	}
}

// publishObjects publishes the objects and returns the address of an entry VM.
func publishObjects(t testing.TB, s *Session) string {
	t.Helper()
	objects, errs := object.ReadFiles([]string{s.site.Deployment.Load.Objects})
	assert.Equal(t, len(errs), 0)
	_, err := s.publish(context.Background(), objects)
	assert.NilError(t, err)
	return s.site.Entries[0].Callers.String()
}

// sendRaw sends a request byte for byte. It returns nil if the connection is
// closed without an HTTP answer.
func sendRaw(t *testing.T, address, request string) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(c, request)
	assert.NilError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil
	}
	return res
}

// Sends invalid and malformed requests. None of them may run, and the daemon
// must stay ready.
func TestMalformedRequestsAreNotRun(t *testing.T) {
	s := startSession(t)
	address := publishObjects(t, s)
	for name, c := range map[string]struct{ request, reason string }{
		"unknown service":    {"POST /v1/call/till/plan HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", "unknownService"},
		"missing key":        {"POST /v1/call/ledger/tally HTTP/1.1\r\nHost: x\r\nBamboofall-Trade: pier-balloons\r\nContent-Length: 0\r\n\r\n", "missingKey"},
		"malformed deadline": {"POST /v1/call/ledger/plan HTTP/1.1\r\nHost: x\r\nBamboofall-Deadline-Ms: soon\r\nContent-Length: 0\r\n\r\n", "malformed"},
		"past deadline":      {"POST /v1/call/ledger/plan HTTP/1.1\r\nHost: x\r\nBamboofall-Deadline-Ms: -5\r\nContent-Length: 0\r\n\r\n", "deadlinePassed"},
		"key of 300 bytes":   {"POST /v1/call/ledger/plan HTTP/1.1\r\nHost: x\r\nIdempotency-Key: " + strings.Repeat("k", 300) + "\r\nContent-Length: 0\r\n\r\n", "malformed"},
	} {
		t.Run(name, func(t *testing.T) {
			res := sendRaw(t, address, c.request)
			assert.Assert(t, res != nil, "connection closed without an HTTP answer")
			assert.Equal(t, res.Header.Get("Bamboofall-Outcome"), "notRun")
			assert.Equal(t, res.Header.Get("Bamboofall-Reason"), c.reason)
		})
	}
	before := s.site.Audit.Figures().RequestsRun
	for name, request := range map[string]string{
		"not HTTP":                            "hello\r\n\r\n",
		"two Content-Length headers":          "POST /v1/call/ledger/plan HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 30\r\n\r\nabc",
		"Content-Length and chunked encoding": "POST /v1/call/ledger/plan HTTP/1.1\r\nHost: x\r\nContent-Length: 30\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			if res := sendRaw(t, address, request); res != nil {
				assert.Assert(t, res.Header.Get("Bamboofall-Outcome") != "answered", "%s", res.Status)
			}
		})
	}
	assert.Equal(t, s.site.Audit.Figures().RequestsRun, before, "a malformed request ran")
	status, err := client.New(s.client, s.site.Entries[0].Callers).Status(context.Background())
	assert.NilError(t, err)
	assert.Assert(t, status.Ready)
}
