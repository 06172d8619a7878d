package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// manyCrashed plays two of twenty minions that crash once while very many small tasks of a job
// run there, and small jobs that are handed in after that.
func manyCrashed(d *deployment, trouble bool) (broken []string, err error) {
	const (
		minions, crashing = 20, 2
		tasks             = 44_000
		// down is how long the minions are down, and wait is longer than the time after which
		// a job must run, with the three seconds in which nothing of it does.
		down, wait = 2 * time.Second, 18 * time.Second
	)
	var large *job
	taskOf := func(_ *minion, name string, _ uint32) task {
		if strings.HasPrefix(name, large.id) {
			return task{work: 10 * time.Minute}
		}
		return task{work: 500 * time.Millisecond}
	}
	if err := d.addMinions(minions, taskOf); err != nil {
		return nil, err
	}
	full := d.minions[:crashing]
	for _, m := range full {
		m.labels[0], m.cpu = "b", 22000
	}
	running := func() (n int) {
		for _, m := range full {
			n += m.runs()
		}
		return n
	}
	if err := d.addEntries(3); err != nil {
		return nil, err
	}
	if err := d.waitReady(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	large = d.newJob(step{Count: tasks, CPU: 1, Memory: 1, EstimatedMS: 600_000, Label: "b"})
	hidden := large.id + "."
	d.log.hidden.Store(&hidden)
	if !d.submit(large, 0) {
		return nil, errors.New("the large job was not accepted")
	}
	for since, last := time.Now(), 0; running() < tasks; time.Sleep(200 * time.Millisecond) {
		if n := running(); n >= last+5000 {
			last = n
			d.log.line("%d tasks run", n)
		}
		if time.Since(since) > 55*time.Second {
			return nil, fmt.Errorf("only %d tasks run", running())
		}
	}
	d.log.line("all %d tasks run at minions %s and %s", tasks, full[0].id, full[1].id)
	time.Sleep(8 * time.Second)
	if trouble {
		for _, m := range full {
			m.crash()
		}
	}
	time.Sleep(down)
	if trouble {
		for _, m := range full {
			if err := m.start(time.Time{}); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(8 * time.Second)
	var jobs []*job
	for i := range 6 {
		j := d.newJob(step{Count: 1, CPU: 1000, Memory: 500, EstimatedMS: 500, Label: "a"})
		d.log.line("job %s is handed in at %s", j.id, d.entries[i%3].name)
		j.accepted = d.handIn(j, i%3)/100 == 2
		jobs = append(jobs, j)
	}
	time.Sleep(wait)
	for i, j := range jobs {
		status, state := d.state(d.entries[i%3], j.id)
		d.log.line("job %s: accepted %t, answer %d, state %q, starts of its task %d", j.id, j.accepted, status, state, d.audit.startsOf(j.id))
		if j.accepted && d.audit.startsOf(j.id) == 0 {
			broken = append(broken, fmt.Sprintf("LOST: job %s was accepted and has nothing running %v after the last one was handed in, with %d sound minions idle; it is shown as %d %q", j.id, wait, minions-crashing, status, state))
		}
	}
	return broken, nil
}
