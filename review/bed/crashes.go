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

// playCrashes crashes the minion that runs a task soon after the start, twice. No run ends
// failed, so the job may not be shown as failed.
func playCrashes(b *bed) (string, error) {
	const (
		crashes      = 2
		after        = 100 * time.Millisecond
		restartLimit = 20 * time.Second
	)
	if err := b.smallDeployment(route{name: "r-wrr6x73", prefix: "/lohu930/", maxAttempts: 3}); err != nil {
		return "", err
	}
	body := jobBody(taskSpec{WorkMS: 3000}, step{Count: 1, CPU: 2000, MemoryMB: 1024, EstimatedMS: 3000})
	if a := b.ask("POST", batchID, body); a.status != 200 {
		return "", fmt.Errorf("the job was not accepted: %v", a)
	}
	for n := range crashes {
		m, since := b.awaitRun(batchJob+".0.0.0", restartLimit)
		if m == nil {
			return "", fmt.Errorf("the task is not started again after %d crashes", n)
		}
		time.Sleep(time.Until(since.Add(after)))
		if !b.trouble {
			break
		}
		b.replaceMinion(m)
	}
	for deadline := time.Now().Add(restartLimit + 10*time.Second); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		switch b.ask("GET", batchID, nil).state() {
		case "failed":
			b.grep("crashed 2 workers", 1)
			return fmt.Sprintf("LOST: the job is shown as failed after %d crashes of minions; no run of it ended failed", crashes), nil
		case "completed":
			return "", nil
		}
	}
	return "", errors.New("the job does not end")
}
