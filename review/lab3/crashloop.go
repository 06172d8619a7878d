package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// crashLoop plays one of ten minions that crashes and comes back by turns, while a job has a
// task that lasts on each of them.
func crashLoop(d *deployment, trouble bool) (broken []string, err error) {
	const minions = 10
	lasts := func(*minion, string, uint32) task { return task{} }
	if err := d.addMinions(minions, lasts); err != nil {
		return nil, err
	}
	if err := d.addEntries(3); err != nil {
		return nil, err
	}
	if err := d.waitReady(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	j := d.newJob(step{Count: minions, CPU: 6400, Memory: 13000, EstimatedMS: 500, LongRunning: true, MaxPerServer: 1})
	if !d.submit(j, 0) {
		return nil, errors.New("the job was not accepted")
	}
	atWork := func() (n int) {
		for _, m := range d.minions {
			n += m.atWork(j.id)
		}
		return n
	}
	for since := time.Now(); atWork() < minions; time.Sleep(100 * time.Millisecond) {
		if time.Since(since) > 20*time.Second {
			return nil, fmt.Errorf("only %d tasks are at work", atWork())
		}
	}
	d.log.line("all %d tasks are at work", minions)
	time.Sleep(12 * time.Second)

	const crashes, down, up = 6, 2 * time.Second, 5 * time.Second
	for range crashes {
		if !trouble {
			time.Sleep(down + up)
			continue
		}
		m := d.minions[3]
		m.crash()
		time.Sleep(down)
		if err := m.start(time.Time{}); err != nil {
			return nil, err
		}
		time.Sleep(up)
	}
	d.log.line("calm from here on")
	for i := range 20 {
		time.Sleep(time.Second)
		status, state := d.state(d.entries[i%len(d.entries)], j.id)
		if status == http.StatusOK && state == "failed" && d.audit.failures(j.id) == 0 {
			return []string{fmt.Sprintf("LOST: job %s is shown as failed, though no run of it has ended failed; %d of %d tasks are at work", j.id, atWork(), minions)}, nil
		}
	}
	if n := atWork(); n < minions {
		return []string{fmt.Sprintf("LOST: %d of %d tasks are at work, 20 s after the last disruption", n, minions)}, nil
	}
	return nil, nil
}
