package main

import (
	"fmt"
	"time"
)

const (
	batchJob = "5c0e7a21d94b36f8"
	batchID  = "/lohu930/" + batchJob
	watchJob = "6d1f8b32ea5c47a9"
	watchID  = "/pule252/" + watchJob
)

// smallDeployment starts three entry VMs and eight minions of one kind.
func (b *bed) smallDeployment(routes ...route) error {
	b.publish(7, routes...)
	for range 3 {
		if _, err := b.addVM(0.4); err != nil {
			return err
		}
	}
	for i := range 8 {
		if _, err := b.addMinion("a", fmt.Sprintf("r1-%d", i/4)); err != nil {
			return err
		}
	}
	if err := b.waitReady(); err != nil {
		return err
	}
	time.Sleep(trafficDelay / 2)
	return nil
}

// awaitRun waits until a task runs.
func (b *bed) awaitRun(task string, limit time.Duration) (*minion, time.Time) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if m, since := b.runningOn(task); m != nil {
			return m, since
		}
	}
	return nil, time.Time{}
}
