package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// neverStarted plays a job with one task, which is sent to minions that are down: each has
// crashed while it was idle, does not answer, and comes back after two seconds.
func neverStarted(d *deployment, trouble bool) (broken []string, err error) {
	const (
		minions = 10
		crashes = 6
		// down is how long each minion is down, and minUp how long it has been up before.
		down, minUp = 2 * time.Second, 2 * time.Second
	)
	short := func(*minion, string, uint32) task { return task{work: 2 * time.Second} }
	if err := d.addMinions(minions, short); err != nil {
		return nil, err
	}
	if err := d.addEntries(3); err != nil {
		return nil, err
	}
	if err := d.waitReady(); err != nil {
		return nil, err
	}
	j := d.newJob(step{Count: 1, CPU: 6400, Memory: 13000, EstimatedMS: 2000})
	var crashed atomic.Int32
	if trouble {
		for _, m := range d.minions {
			m.coldFor = 5 * time.Second
			m.unanswered = func(m *minion, path, name string) bool {
				if path != "run-start" || !strings.HasPrefix(name, j.id) || m.upFor() < minUp || crashed.Load() >= crashes {
					return m.cut.Load()
				}
				n := crashed.Add(1)
				d.log.line("crash %d: minion %s was idle and is down; a start of %s is not answered and not carried out", n, m.id, name)
				m.cut.Store(true)
				go func() {
					time.Sleep(down)
					m.crash()
					m.cut.Store(false)
					if err := m.start(time.Time{}); err != nil {
						d.log.line("minion %s cannot start: %v", m.id, err)
					}
				}()
				return true
			}
		}
	}
	time.Sleep(3 * time.Second)
	if !d.submit(j, 0) {
		return nil, errors.New("the job was not accepted")
	}
	for i := range 40 {
		time.Sleep(time.Second)
		status, state := d.state(d.entries[i%len(d.entries)], j.id)
		if status != http.StatusOK {
			continue
		}
		switch {
		case state == "failed" && d.audit.failures(j.id) == 0:
			d.log.line("calm from here on")
			time.Sleep(5 * time.Second)
			for _, e := range d.entries {
				d.state(e, j.id)
			}
			return []string{fmt.Sprintf("LOST: job %s is shown as failed, though no run of it has ended failed; its task was started %d times, and %d idle minions had crashed", j.id, d.audit.starts, crashed.Load())}, nil
		case state == "completed":
			return nil, nil
		}
	}
	return []string{fmt.Sprintf("LOST: job %s has not run", j.id)}, nil
}
