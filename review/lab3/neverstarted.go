package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// neverStarted plays four idle minions of thirty that crash at the same moment, do not answer,
// and come back one after the other, and a job with one task that is handed in meanwhile.
func neverStarted(d *deployment, trouble bool) (broken []string, err error) {
	const (
		minions   = 30
		firstBack = 700 * time.Millisecond
		nextBack  = 450 * time.Millisecond
		crashing  = 4
	)
	short := func(*minion, string, uint32) task { return task{work: 2 * time.Second} }
	if err := d.addMinions(minions, short); err != nil {
		return nil, err
	}
	for _, m := range d.minions {
		m.coldFor = 5 * time.Second
	}
	if err := d.addEntries(3); err != nil {
		return nil, err
	}
	if err := d.waitReady(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		byID := slices.SortedFunc(slices.Values(d.minions), func(a, b *minion) int { return strings.Compare(a.id, b.id) })
		for i, m := range byID[:crashing] {
			d.log.line("minion %s, idle, is down", m.id)
			m.cut.Store(true)
			time.AfterFunc(firstBack+time.Duration(i)*nextBack, func() {
				m.crash()
				m.cut.Store(false)
				if err := m.start(time.Time{}); err != nil {
					d.log.line("minion %s cannot start: %v", m.id, err)
				}
			})
		}
	}
	time.Sleep(200 * time.Millisecond)
	j := d.newJob(step{Count: 1, CPU: 6400, Memory: 13000, EstimatedMS: 2000})
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
			return []string{fmt.Sprintf("LOST: job %s is shown as failed, though no run of it has ended failed; its task was started %d times", j.id, d.audit.starts)}, nil
		case state == "completed":
			return nil, nil
		}
	}
	return []string{fmt.Sprintf("LOST: job %s has not run", j.id)}, nil
}
