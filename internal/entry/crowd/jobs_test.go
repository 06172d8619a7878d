package crowd

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// submitFor is how long clients of a crowd submit jobs one after another.
const submitFor = 20 * time.Second

// The jobs are valid and small, and come as fast as the process answers.
func TestSmallJobsWithoutPause(t *testing.T) {
	p := startProcess(t)
	// The owner accepts jobs itself once it has started.
	time.Sleep(5 * time.Second)
	body := `{"task_spec":"` + strings.Repeat("x", 4000) + `","steps":[{"count":1,"cpu":1,"memory_request_mb":1,"estimated_ms":1}]}`
	end := time.Now().Add(submitFor)
	p.sendCrowd(p.callersPort(), 50, func(c *client) {
		in := bufio.NewReader(c)
		for time.Now().Before(end) {
			if !c.send(append(announced(fmt.Sprintf("/q/%016x", 1<<32+p.lastJob.Add(1)), len(body)), body...)) {
				return
			}
			_ = c.SetReadDeadline(time.Now().Add(answerTimeout))
			res, err := http.ReadResponse(in, nil)
			if err != nil {
				return
			}
			_, _ = in.Discard(int(res.ContentLength))
		}
	})
	p.assertHeld()
}
