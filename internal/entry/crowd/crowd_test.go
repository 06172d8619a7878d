// Package crowd tests that clients which keep to no limits do not end an entry daemon. Each
// test starts the daemon in a process of its own, whose settings give it little memory and
// few descriptors, and sends it one kind of crowd. The process has to live, to stay within
// the memory and the descriptors of its settings, and to answer an ordinary caller behind
// the same address while the crowd's connections are open. No test measures time or the
// share of requests that are served.
package crowd

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/internal/wire/jobpb"
)

const (
	// large is what each client of a small crowd sends, in bytes. A dozen of them is
	// twice the memory of the VM.
	large = 16 << 20
	few   = 12
	// bodyLimit is the limit of a request body in the configuration, in bytes.
	bodyLimit = 256 << 10
	// writeTimeout is how long a client goes on after the process has stopped reading.
	writeTimeout = 10 * time.Second
	// endlessFor is how long the store or the workers respond without end.
	endlessFor = 3 * time.Second
)

// block is what clients send in each write.
var block = bytes.Repeat([]byte("x"), 32<<10)

// client is one connection of a crowd.
type client struct {
	net.Conn
	sent int
}

// send writes and reports whether the other side still takes data.
func (c *client) send(data []byte) bool {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Write(data)
	c.sent += n
	return err == nil
}

// sendRepeatedly writes data until the total is reached or the other side takes no more.
func (c *client) sendRepeatedly(data []byte, total int) {
	for c.sent < total && c.send(data) {
	}
}

// sendCrowd opens connections to a port and lets act use each of them. The connections stay
// open until the test ends. It returns when act has returned for each.
func (p *process) sendCrowd(port, clients int, act func(c *client)) {
	var all sync.WaitGroup
	for range clients {
		conn, err := net.DialTimeout("tcp", address(port), answerTimeout)
		if err != nil {
			continue
		}
		p.t.Cleanup(func() { _ = conn.Close() })
		all.Go(func() { act(&client{Conn: conn}) })
	}
	all.Wait()
}

// post returns the head of a POST request without the line that ends it.
func post(path string, fields ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: jobs.example\r\n", path)
	for _, f := range fields {
		b.WriteString(f + "\r\n")
	}
	return []byte(b.String())
}

const (
	jobPath  = "/q/00000000000000ff"
	peerPath = "/bamboofall.job.v1.Jobs/Submit"
)

func announced(path string, length int) []byte {
	return append(post(path, fmt.Sprintf("Content-Length: %d", length), "Content-Type: application/proto"), "\r\n"...)
}

func chunked(path string) []byte {
	return append(post(path, "Transfer-Encoding: chunked", "Content-Type: application/proto"), "\r\n"...)
}

func chunk(data []byte) []byte {
	return append(append(fmt.Appendf(nil, "%x\r\n", len(data)), data...), "\r\n"...)
}

// bodies are the ways to send a body without end.
var bodies = []struct {
	name string
	act  func(path string) func(*client)
}{
	{"announced", func(path string) func(*client) {
		return func(c *client) {
			c.send(announced(path, 2*large))
			c.sendRepeatedly(block, large)
		}
	}},
	{"chunked", func(path string) func(*client) {
		return func(c *client) {
			c.send(chunked(path))
			c.sendRepeatedly(chunk(block), large)
		}
	}},
	{"oneChunk", func(path string) func(*client) {
		return func(c *client) {
			c.send(chunked(path))
			c.send([]byte("7fffffff\r\n"))
			c.sendRepeatedly(block, large)
		}
	}},
	{"chunkExtension", func(path string) func(*client) {
		return func(c *client) {
			c.send(chunked(path))
			c.send([]byte("1;x="))
			c.sendRepeatedly(block, large)
		}
	}},
	{"tinyChunks", func(path string) func(*client) {
		return func(c *client) {
			c.send(chunked(path))
			c.sendRepeatedly(bytes.Repeat([]byte("1\r\nx\r\n"), 5000), large)
		}
	}},
	{"trailer", func(path string) func(*client) {
		return func(c *client) {
			c.send(append(post(path, "Transfer-Encoding: chunked", "Trailer: X-A, X-B"), "\r\n0\r\n"...))
			c.sendRepeatedly(bytes.Repeat([]byte("X-A: x\r\n"), 4000), large)
		}
	}},
}

// heads are the ways to send the head of a request without end.
var heads = []struct {
	name  string
	begin []byte
	rest  []byte
}{
	{"field", append(post(jobPath), "X-Long: "...), block},
	{"manyFields", post(jobPath), bytes.Repeat([]byte("a:b\r\n"), 6000)},
	{"path", []byte("POST /q/"), block},
	{"method", []byte("P"), block},
	{"version", []byte("POST /q/1 "), block},
}

func TestBodiesWithoutEnd(t *testing.T) {
	for _, b := range bodies {
		t.Run(b.name, func(t *testing.T) {
			p := startProcess(t)
			p.sendCrowd(p.callersPort(), few, b.act(jobPath))
			p.assertHeld()
		})
	}
}

func TestBodiesWithoutEndAtOtherPorts(t *testing.T) {
	for _, at := range []struct {
		name string
		path string
		port func(*process) int
	}{
		{"peers", peerPath, (*process).peersPort}, {"ready", "/v1/readiness", (*process).readyPort}, {"metrics", "/metrics", (*process).metricsPort},
	} {
		for _, b := range bodies[:2] {
			t.Run(at.name+"/"+b.name, func(t *testing.T) {
				p := startProcess(t)
				p.sendCrowd(at.port(p), few, b.act(at.path))
				p.assertHeld()
			})
		}
	}
}

func TestHeadsWithoutEnd(t *testing.T) {
	for _, h := range heads {
		t.Run(h.name, func(t *testing.T) {
			p := startProcess(t)
			p.sendCrowd(p.callersPort(), few, func(c *client) {
				c.send(h.begin)
				c.sendRepeatedly(h.rest, large)
			})
			p.assertHeld()
		})
	}
}

// compressed returns size bytes in compressed form.
func compressed(t *testing.T, size int) []byte {
	t.Helper()
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	for range size / len(block) {
		_, err := w.Write(block)
		assert.NilError(t, err)
	}
	assert.NilError(t, w.Close())
	return packed.Bytes()
}

// A peer's message may be compressed: a small request then holds a large one.
func TestCompressedMessagesAtPeersPort(t *testing.T) {
	packed := compressed(t, 2*large)
	p := startProcess(t)
	p.sendCrowd(p.peersPort(), few, func(c *client) {
		c.send(append(post(peerPath, fmt.Sprintf("Content-Length: %d", len(packed)), "Content-Type: application/proto", "Content-Encoding: gzip"), "\r\n"...))
		c.send(packed)
		_ = c.SetReadDeadline(time.Now().Add(writeTimeout))
		_, _ = c.Read(make([]byte, 1))
	})
	p.assertHeld()
}

func TestBodiesAnnouncedAndNotSent(t *testing.T) {
	p := startProcess(t)
	p.sendCrowd(p.callersPort(), 200, func(c *client) {
		c.send(announced(jobPath, 2*large))
		c.send([]byte("{"))
	})
	p.assertHeld()
}

// Each body is within the limit, all of them are not within the memory of the VM.
func TestManyUnfinishedBodiesWithinLimit(t *testing.T) {
	p := startProcess(t)
	p.sendCrowd(p.callersPort(), 250, func(c *client) {
		c.send(announced(jobPath, bodyLimit))
		c.sendRepeatedly(block, bodyLimit)
	})
	p.sendCrowd(p.callersPort(), 250, func(c *client) {
		c.send(announced(jobPath, bodyLimit))
		c.sendRepeatedly(block[:1000], bodyLimit-1000)
	})
	p.assertHeld()
}

func TestMoreIdleConnectionsThanDescriptors(t *testing.T) {
	for _, at := range []struct {
		name string
		port func(*process) int
	}{
		{"callers", (*process).callersPort}, {"peers", (*process).peersPort}, {"ready", (*process).readyPort}, {"metrics", (*process).metricsPort},
	} {
		t.Run(at.name, func(t *testing.T) {
			p := startProcess(t)
			p.sendCrowd(at.port(p), 2*descriptors, func(*client) {})
			p.assertHeld()
		})
	}
}

// The connections have answered requests, and are kept alive by their clients.
func TestMoreKeptConnectionsThanDescriptors(t *testing.T) {
	p := startProcess(t)
	p.sendCrowd(p.callersPort(), 2*descriptors, func(c *client) {
		c.send([]byte("GET /q/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n"))
	})
	p.assertHeld()
}

func TestSlowSenders(t *testing.T) {
	p := startProcess(t)
	request := append(announced(jobPath, bodyLimit), block...)
	p.sendCrowd(p.callersPort(), 2*descriptors, func(c *client) {
		for i := range 200 {
			if !c.send(request[i : i+1]) {
				return
			}
			time.Sleep(time.Millisecond)
		}
	})
	p.assertHeld()
}

func TestPipelinedRequestsWithoutReader(t *testing.T) {
	for _, r := range []struct {
		name    string
		port    func(*process) int
		request []byte
	}{
		{"jobs", (*process).callersPort, []byte("GET /q/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n")},
		{"unknown", (*process).callersPort, []byte("GET /nothing HTTP/1.1\r\nHost: jobs.example\r\n\r\n")},
		{"metrics", (*process).metricsPort, []byte("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")},
		{"bodies", (*process).callersPort, append(announced(jobPath, bodyLimit), bytes.Repeat([]byte(" "), bodyLimit)...)},
	} {
		t.Run(r.name, func(t *testing.T) {
			p := startProcess(t)
			p.sendCrowd(r.port(p), 4*few, func(c *client) {
				c.sendRepeatedly(bytes.Repeat(r.request, 1+len(block)/len(r.request)), large)
			})
			p.assertHeld()
		})
	}
}

// The bodies are within the limit, but take much more memory once they are decoded.
func TestCostlyBodiesWithinLimit(t *testing.T) {
	fill := func(begin, item, end string) string {
		return begin + strings.Repeat(item, (bodyLimit-len(begin)-len(end))/len(item)) + end
	}
	for _, b := range []struct{ name, body string }{
		{"deep", fill(`{"task_spec":"x","steps":`, `[`, ``)},
		{"steps", fill(`{"task_spec":"x","steps":[`, `{},`, `{}]}`)},
		{"validSteps", fill(`{"task_spec":"x","steps":[`, `{"count":1,"cpu":500,"memory_request_mb":64,"estimated_ms":100},`, `{"count":1,"cpu":500,"memory_request_mb":64,"estimated_ms":100}]}`)},
		{"after", fill(`{"task_spec":"x","steps":[{"count":1,"cpu":1,"memory_request_mb":1,"estimated_ms":1,"after":[`, `0,`, `0]}]}`)},
		{"taskSpec", fill(`{"steps":[{"count":1,"cpu":1,"memory_request_mb":1,"estimated_ms":1}],"task_spec":"`, `x`, `"}`)},
		{"manyTasks", `{"task_spec":"x","steps":[{"count":100000,"cpu":1,"memory_request_mb":1,"estimated_ms":1}]}`},
		{"manyRepetitions", `{"task_spec":"x","repetitions":100000,"interval_ms":1,"steps":[{"count":100,"cpu":1,"memory_request_mb":1,"estimated_ms":1}]}`},
		{"unknownFields", fill(`{"task_spec":"x","y":[`, `{"a":[]},`, `{}]}`)},
	} {
		t.Run(b.name, func(t *testing.T) {
			p := startProcess(t)
			p.sendCrowd(p.callersPort(), 100, func(c *client) {
				for range 4 {
					if !c.send(append(announced(fmt.Sprintf("/q/%016x", 1<<32+p.lastJob.Add(1)), len(b.body)), b.body...)) {
						return
					}
					_ = c.SetReadDeadline(time.Now().Add(answerTimeout))
					if _, err := c.Read(make([]byte, 4096)); err != nil {
						return
					}
				}
			})
			p.assertHeld()
		})
	}
}

// endless answers with a body without end until the other side has gone.
func endless(began *sync.Once, start chan<- struct{}, total int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		began.Do(func() { close(start) })
		for sent := 0; sent < total; sent += len(block) {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	}
}

func TestResponsesWithoutEnd(t *testing.T) {
	for _, by := range []string{"store", "workers"} {
		t.Run(by, func(t *testing.T) {
			p := startProcess(t)
			var began sync.Once
			start := make(chan struct{})
			handler := endless(&began, start, 8*large)
			at := &p.store
			if by == "workers" {
				at = &p.worker
			}
			at.Store(&handler)
			select {
			case <-start:
			case <-time.After(answerTimeout):
				t.Fatal("the process makes no calls")
			}
			time.Sleep(endlessFor)
			at.Store(nil)
			p.assertHeld()
		})
	}
}

// A peer claims the cell and answers the requests that are passed on to it without end.
func TestPeerResponsesWithoutEnd(t *testing.T) {
	for _, encoding := range []string{"identity", "gzip"} {
		t.Run(encoding, func(t *testing.T) {
			p := startProcess(t)
			body := block
			if encoding == "gzip" {
				body = compressed(t, large)
			}
			peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("Content-Type", "application/proto")
				if encoding == "gzip" {
					w.Header().Set("Content-Encoding", "gzip")
					_, _ = w.Write(body)
					return
				}
				for range 2 * large / len(block) {
					if _, err := w.Write(body); err != nil {
						return
					}
				}
			}))
			t.Cleanup(peer.Close)
			claim := func(released bool) {
				value, err := proto.Marshal(&jobpb.Ownership{
					Epoch: 1000, Address: strings.TrimPrefix(peer.URL, "http://"), Process: "peer/1", Released: released, Capacity: 1000, Quiet: released,
				})
				assert.NilError(t, err)
				p.records.Put("keyed.bamboofall-owners", "owner", value)
			}
			claim(false)
			p.sendCrowd(p.callersPort(), few, func(c *client) {
				c.send([]byte("GET " + jobPath + " HTTP/1.1\r\nHost: jobs.example\r\nX-Bamboofall-Timeout-Ms: 1000\r\n\r\n"))
				_ = c.SetReadDeadline(time.Now().Add(writeTimeout))
				_, _ = c.Read(make([]byte, 4096))
			})
			claim(true)
			p.assertHeld()
		})
	}
}
