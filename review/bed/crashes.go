package main

import (
	"errors"
	"fmt"
	"time"
)

// replaceMinion crashes a minion, and has a new one join replacementDelay later.
func (b *bed) replaceMinion(m *minion) {
	const replacementDelay = 4500 * time.Millisecond
	b.record("%s crashes", m.id)
	m.crash()
	time.AfterFunc(replacementDelay, func() {
		if b.hasEnded() {
			return
		}
		if _, err := b.addMinion(m.labels[0], m.labels[1]); err != nil {
			b.record("no new minion: %v", err)
		}
	})
}

// playCrashes crashes the minion that runs a task, twice soon after a start for a job that
// ends, and five times within seconds for one that lasts. No run ends failed, so neither job
// may be shown as failed.
func playCrashes(b *bed) (string, error) {
	err := b.smallDeployment(route{name: "r-wrr6x73", prefix: "/lohu930/", maxAttempts: 3}, route{name: "r-73hh2b9", prefix: "/pule252/", maxAttempts: 3})
	if err != nil {
		return "", err
	}
	brokenBatch, err := b.crashUnder(batchID, batchJob+".0.0.0", jobBody(taskSpec{WorkMS: 3000}, step{Count: 1, CPU: 2000, MemoryMB: 1024, EstimatedMS: 3000}), 2, 100*time.Millisecond)
	if err != nil {
		return "", err
	}
	brokenWatch, err := b.crashUnder(watchID, watchJob+".0.0.0", jobBody(taskSpec{Lasts: true}, step{Count: 1, CPU: 2000, MemoryMB: 1024, LongRunning: true}), 5, 3*time.Second)
	if err != nil {
		return "", err
	}
	b.grep("crashed 2 workers", 1)
	b.grep("crashed 5 workers", 1)
	switch {
	case brokenBatch != "" && brokenWatch != "":
		return brokenBatch + "; " + brokenWatch, nil
	case brokenBatch != "":
		return brokenBatch, nil
	}
	return brokenWatch, nil
}

// crashUnder submits a job of one task and crashes the minion that runs the task a number of
// times, each some time after the start. It reports whether the job is then shown as failed.
func (b *bed) crashUnder(path, task string, body []byte, crashes int, after time.Duration) (string, error) {
	const restartLimit = 20 * time.Second
	if a := b.ask("POST", path, body); a.status != 200 {
		return "", fmt.Errorf("the job was not accepted: %v", a)
	}
	for n := range crashes {
		m, since := b.awaitRun(task, restartLimit)
		if m == nil {
			return "", fmt.Errorf("%s is not started again after %d crashes", task, n)
		}
		time.Sleep(time.Until(since.Add(after)))
		if b.trouble {
			b.replaceMinion(m)
		}
	}
	// The job goes on: it must run again and end, or last.
	for deadline := time.Now().Add(restartLimit); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		a := b.ask("GET", path, nil)
		switch a.state() {
		case "failed":
			return fmt.Sprintf("LOST: job %s is shown as failed after %d crashes of minions; no run of it ended failed", path, crashes), nil
		case "completed":
			return "", nil
		}
		if m, since := b.runningOn(task); m != nil && time.Since(since) > 2*time.Second && a.state() == "running" && path == watchID {
			return "", nil
		}
	}
	return "", errors.New("the job neither ends nor runs")
}
