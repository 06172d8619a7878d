package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/internal/wire/intake"
)

const testMaxBody = 1000

// startLimited starts a server that accepts bodies of testMaxBody bytes. It returns its
// address and the reasons of its refusals.
func startLimited(t *testing.T, limits intake.Limits, handler http.Handler) (string, func() []string) {
	t.Helper()
	var mu sync.Mutex
	var reasons []string
	s, err := StartLimited(netip.MustParseAddrPort("127.0.0.1:0"), handler, Options{
		Limits: limits, MaxBody: func() int64 { return testMaxBody },
		Body: func(r Refusal) []byte { return []byte(r.Reason) },
		Refused: func(r Refusal) {
			mu.Lock()
			defer mu.Unlock()
			reasons = append(reasons, r.Reason)
		},
	})
	assert.NilError(t, err)
	t.Cleanup(s.Stop)
	return s.listener.Addr().String(), func() []string {
		mu.Lock()
		defer mu.Unlock()
		return append([]string(nil), reasons...)
	}
}

// A request over a limit is answered before its body is sent, and its connection closed.
func TestRequestOverLimitIsRefused(t *testing.T) {
	address, refused := startLimited(t, intake.Limits{}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the handler was called") }))
	for _, c := range []struct{ name, request, reason string }{
		{"announced", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n", ReasonBodyTooLarge},
		{"chunked", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + strings.Repeat("x", 1001) + "\r\n", ReasonBodyTooLarge},
		{"extension", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("x", 3*maxHead), ReasonBodyTooLarge},
		{"header", "GET / HTTP/1.1\r\nHost: " + strings.Repeat("x", 2*maxHead), ReasonHeaderTooLarge},
		{"fields", "GET / HTTP/1.1\r\n" + strings.Repeat("a: b\r\n", maxFields+1) + "\r\n", ReasonHeaderTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := dial(t, address)
			_, err := io.WriteString(conn, c.request)
			assert.NilError(t, err)
			in := bufio.NewReader(conn)
			res, err := http.ReadResponse(in, nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(res.Body)
			assert.NilError(t, err)
			assert.Equal(t, res.StatusCode, http.StatusRequestEntityTooLarge)
			assert.Equal(t, string(body), c.reason)
			assert.Assert(t, res.Close)
			assertClosed(t, in)
		})
	}
	assert.Equal(t, len(refused()), 5)
}

// Bodies of the largest size are served, one after another on one connection.
func TestLargestRequestIsServed(t *testing.T) {
	address, refused := startLimited(t, intake.Limits{Bytes: 1}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		assert.Check(t, len(body) == testMaxBody)
		w.WriteHeader(http.StatusOK)
	}))
	conn := dial(t, address)
	in := bufio.NewReader(conn)
	for _, head := range []string{"Content-Length: 1000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n3e8\r\n"} {
		request := "POST / HTTP/1.1\r\nHost: x\r\n" + head + strings.Repeat("x", testMaxBody)
		if strings.HasPrefix(head, "T") {
			request += "\r\n0\r\n\r\n"
		}
		for range 3 {
			_, err := io.WriteString(conn, request)
			assert.NilError(t, err)
			res, err := http.ReadResponse(in, nil)
			assert.NilError(t, err)
			assert.Equal(t, res.StatusCode, http.StatusOK)
			_, err = io.ReadAll(res.Body)
			assert.NilError(t, err)
		}
	}
	assert.Equal(t, len(refused()), 0)
}

// When the requests of others are too large together, the largest is refused with a time
// at which to come back, and the one that follows is served.
func TestLargestUnfinishedRequestIsRefusedWhenMemoryIsShort(t *testing.T) {
	address, refused := startLimited(t, intake.Limits{Bytes: 1100}, http.NotFoundHandler())
	crowd := dial(t, address)
	_, err := io.WriteString(crowd, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n"+strings.Repeat("x", 900))
	assert.NilError(t, err)
	caller := dial(t, address)
	_, err = io.WriteString(caller, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 400\r\n\r\n"+strings.Repeat("x", 200))
	assert.NilError(t, err)
	in := bufio.NewReader(crowd)
	res, err := http.ReadResponse(in, nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, res.Header.Get("Retry-After"), "1")
	_, err = io.ReadAll(res.Body)
	assert.NilError(t, err)
	assertClosed(t, in)
	_, err = io.WriteString(caller, strings.Repeat("x", 200))
	assert.NilError(t, err)
	res, err = http.ReadResponse(bufio.NewReader(caller), nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusNotFound)
	assert.DeepEqual(t, refused(), []string{ReasonBusy})
}

// FuzzRequests feeds a connection and checks that no handler sees a body over the limit,
// and that nothing is held once the connection has ended.
func FuzzRequests(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /q/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 2000\r\n\r\nabcde",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTrailer: A, B\r\n\r\n0\r\nA: 1\r\nB: 2\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\nabc",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
		"GET / HTTP/1.0\r\nConnection: close\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"CONNECT x:1 HTTP/1.1\r\n\r\n", "* * *\r\n\r\n", "\r\n\r\n",
	} {
		f.Add([]byte(seed), uint16(7))
	}
	f.Fuzz(func(t *testing.T, data []byte, size uint16) {
		s := newServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			assert.Check(t, err)
			assert.Check(t, len(body) <= testMaxBody)
			assert.Check(t, len(r.Header) <= maxFields)
			w.WriteHeader(http.StatusOK)
		}), Options{Limits: intake.Limits{Connections: 4, Bytes: 4000}, MaxBody: func() int64 { return testMaxBody }}.withDefaults())
		server, client := net.Pipe()
		c := &conn{Conn: server, refused: s.options.Refused}
		assert.Assert(t, s.register(time.Now(), c))
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			s.serve(c)
		}()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		for len(data) > 0 {
			n := min(len(data), 1+int(size))
			if _, err := client.Write(data[:n]); err != nil {
				break
			}
			data = data[n:]
		}
		_ = client.Close()
		<-ended
		assert.Equal(t, s.Usage(), Usage{})
		assert.Equal(t, s.table.Len(), 0)
	})
}
