package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	advisedJob = "7e20"
	advisedID  = "/gono990/"
)

// playAdvised kills the process that last wrote to the store under a condition, and submits
// jobs to a queue with a recommendation meanwhile. Jobs that are accepted must start.
func playAdvised(b *bed) (string, error) {
	const (
		finish    = 14 * time.Second // finish_s
		idle      = 3 * time.Second
		traffic   = 5 * time.Second
		restart   = 3500 * time.Millisecond
		perSecond = 5
	)
	if err := b.smallDeployment(route{name: "r-wrr6x73", prefix: "/lohu930/", maxAttempts: 3}, route{name: "r-d3zji9n", prefix: advisedID, maxAttempts: 3, advised: true}); err != nil {
		return "", err
	}
	if a := b.ask("POST", batchID, jobBody(taskSpec{WorkMS: 500}, step{Count: 2, CPU: 1000, MemoryMB: 512, EstimatedMS: 500})); a.status != 200 {
		return "", fmt.Errorf("a job of the other queue was not accepted: %v", a)
	}
	if b.trouble {
		v, err := b.lastWriter()
		if err != nil {
			return "", err
		}
		v.signal(syscall.SIGKILL)
		time.AfterFunc(restart, func() {
			if !b.hasEnded() {
				_ = v.start()
			}
		})
	}
	var accepted []string
	n := 0
	for end := time.Now().Add(traffic); time.Now().Before(end); time.Sleep(time.Second / perSecond) {
		n++
		path := fmt.Sprintf("%s%s%012x", advisedID, advisedJob, n)
		if a := b.ask("POST", path, jobBody(taskSpec{WorkMS: 500, Advised: true}, step{Count: 1, CPU: 1000, MemoryMB: 512, EstimatedMS: 500})); a.status == 200 {
			accepted = append(accepted, path)
		}
	}
	b.record("the traffic ends: %d of %d jobs accepted", len(accepted), n)
	if len(accepted) == 0 {
		return "", nil
	}
	time.Sleep(finish)
	began := time.Now()
	for time.Since(began) < idle {
		for _, path := range accepted {
			if m, _ := b.runningOn(path[len(advisedID):] + ".0.0.0"); m != nil {
				return "", nil
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	for _, path := range accepted {
		if s := b.ask("GET", path, nil).state(); s != "queued" && s != "running" {
			return "", fmt.Errorf("job %s is %q", path, s)
		}
	}
	return fmt.Sprintf("LOST: %d accepted jobs have nothing running for %v, %v after the end of the traffic, with all minions idle", len(accepted), idle, finish), nil
}
