package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const submitters = 50

// awaitOwner waits until the process has an owner, which alone knows of jobs.
func (p *process) awaitOwner() {
	p.t.Helper()
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		p.assertLives()
		req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/q/%016x", address(p.callersPort()), p.lastJob.Load()), nil)
		assert.NilError(p.t, err)
		req.Host = "jobs.example"
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return
		}
	}
	p.t.Fatal("the process does not own the cell")
}

// The jobs are valid and small, and each client sends its next as soon as the last is
// answered. Jobs that end at once leave their state behind; jobs that are due later stay
// whole, and all of them are more than the process has room for.
func TestSmallJobsWithoutPause(t *testing.T) {
	step := `"steps":[{"count":1,"cpu":1,"memory_request_mb":1,"estimated_ms":1}]`
	later := fmt.Sprintf(`,"repetitions":1,"interval_ms":1000,"first_run_ms":%d`, time.Now().Add(time.Hour).UnixMilli())
	for _, c := range []struct {
		name, schedule string
		perClient      int
		fills          bool
	}{
		{"atOnce", "", 200, false},
		{"later", later, 100, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			body := `{"task_spec":"` + strings.Repeat("x", 4000) + `",` + step + c.schedule + `}`
			p := startProcess(t)
			p.awaitOwner()
			var accepted, refused, others atomic.Int64
			p.sendCrowd(p.callersPort(), submitters, func(client *client) {
				in := bufio.NewReader(client)
				for range c.perClient {
					if !client.send(append(announced(fmt.Sprintf("/q/%016x", 1<<32+p.lastJob.Add(1)), len(body)), body...)) {
						return
					}
					_ = client.SetReadDeadline(time.Now().Add(answerTimeout))
					res, err := http.ReadResponse(in, nil)
					if err != nil {
						return
					}
					answer, _ := io.ReadAll(res.Body)
					switch {
					case res.StatusCode == http.StatusOK:
						accepted.Add(1)
					case strings.Contains(string(answer), "tooManyTasks"):
						refused.Add(1)
					default:
						others.Add(1)
					}
				}
			})
			t.Logf("%d accepted, %d refused for memory, %d otherwise", accepted.Load(), refused.Load(), others.Load())
			assert.Equal(t, accepted.Load()+refused.Load()+others.Load(), int64(submitters*c.perClient), "the load was not sent")
			if c.fills {
				assert.Assert(t, accepted.Load() > 0 && refused.Load() > 0)
				p.assertWithin(memoryMB, descriptors)
			} else {
				p.assertHeld()
			}
		})
	}
}
