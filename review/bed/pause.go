package main

import (
	"fmt"
	"time"
)

// playPause makes the only minion of a kind fail all that it starts, twice in a row. A task
// that lasts and needs that kind must run again soon after the minion is sound.
func playPause(b *bed) (string, error) {
	const (
		greyFor = 5500 * time.Millisecond
		// calm is the 4 s of the rule and contact_ms, so that the verdict does not depend
		// on whether machines count as in touch at once.
		calm    = (4 + 3) * time.Second
		idle    = 3 * time.Second
		sinceUp = 6 * time.Second
		limit   = 25 * time.Second
	)
	if err := b.smallDeployment(route{name: "r-73hh2b9", prefix: "/pule252/", maxAttempts: 3}); err != nil {
		return "", err
	}
	only, err := b.addMinion("b", "r1-2")
	if err != nil {
		return "", err
	}
	for range 3 {
		if _, err := b.addMinion("a", "r1-2"); err != nil {
			return "", err
		}
	}
	time.Sleep(2 * time.Second)
	task := watchJob + ".0.0.0"
	if a := b.ask("POST", watchID, jobBody(taskSpec{Lasts: true}, step{Count: 1, CPU: 2000, MemoryMB: 1024, LongRunning: true, RequiredLabel: "b"})); a.status != 200 {
		return "", fmt.Errorf("the job was not accepted: %v", a)
	}
	if m, _ := b.awaitRun(task, 5*time.Second); m == nil {
		return "", fmt.Errorf("the task does not start")
	}
	time.Sleep(2 * time.Second)
	for range 2 {
		if b.trouble {
			b.record("%s fails all that it starts", only.id)
			only.setFailing(true)
		}
		time.Sleep(greyFor)
	}
	only.setFailing(false)
	b.record("%s is sound", only.id)
	sound := time.Now()
	lastRun := sound
	for time.Since(sound) < limit {
		if m, _ := b.runningOn(task); m != nil {
			if time.Since(sound) > calm+idle {
				return "", nil
			}
			lastRun = time.Now()
		}
		idleSince := sound.Add(calm)
		if from := lastRun.Add(sinceUp); lastRun != sound && from.After(idleSince) {
			idleSince = from
		}
		if time.Since(idleSince) > idle {
			b.grep("suspect", 5)
			return fmt.Sprintf("LOST: the task has nothing running for %v, %v after the minion is sound and idle", idle, time.Since(sound).Round(10*time.Millisecond)), nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return "", fmt.Errorf("no verdict")
}
