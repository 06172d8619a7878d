package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// The room of a minion of the site.
const (
	minionCPU = 64000
	minionMB  = 250000
)

const (
	// settleTime is the time until an owner is elected and has reached the minions.
	settleTime = 4 * time.Second
	// finishTime is finish_s of the site, and idleTime how long a job may have nothing
	// running.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// step is a step of a job as a client submits it.
type step map[string]any

// jobOf returns the body of a submission.
func jobOf(s step) map[string]any { return map[string]any{"task_spec": "spec", "steps": []step{s}} }

const (
	// lastJob is the job that comes after the cut in the case silent.
	lastJob = "e00000000000ffff"
	// smallJobs is the number of jobs before it, of smallTasks tasks each.
	smallJobs  = 20
	smallTasks = 400
)

func setUpSilent(record string) (*bed, error) {
	b, err := newBed(record, 3, 6, func(task string) behaviour {
		if strings.HasPrefix(task, lastJob) {
			return behaviour{work: time.Second}
		}
		return behaviour{lasts: true}
	})
	if b != nil {
		b.summary = true
	}
	return b, err
}

// playSilent cuts off the minion on which many small tasks run, and hands in another job
// after that.
func playSilent(b *bed, trouble bool) (int, string) {
	const (
		cutFor     = 5500 * time.Millisecond
		recovering = 10 * time.Second
		startLimit = 30 * time.Second
	)
	time.Sleep(settleTime)
	for i := range smallJobs {
		id := fmt.Sprintf("e%015x", i)
		if !b.submit(id, jobOf(step{"count": smallTasks, "cpu": 6, "memory_request_mb": 20, "long_running": true, "required_label": "b"})) {
			return notPlayed, "a small job was not accepted"
		}
	}
	m := b.minions[0] // the only one with the label
	for until := time.Now().Add(startLimit); m.runs() < smallJobs*smallTasks; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(until) {
			return notPlayed, fmt.Sprintf("only %d of the small tasks run", m.runs())
		}
	}
	b.noteCounts()
	time.Sleep(settleTime)
	if trouble {
		b.note("disruption: %s is cut off and runs on", m.id)
		m.setCut(true)
		time.Sleep(cutFor)
		m.setCut(false)
		b.note("the cut has ended after %v", cutFor)
	}
	time.Sleep(recovering)
	b.noteCounts()
	if !b.submit(lastJob, jobOf(step{"count": 2, "cpu": 1000, "memory_request_mb": 1000, "estimated_ms": 1000})) {
		return notPlayed, "the last job was not accepted"
	}
	time.Sleep(finishTime + idleTime)
	status, state := b.state(lastJob)
	why := fmt.Sprintf("%v after its acceptance the last job is shown as %d %q, and %d runs of its 2 tasks have started; %d of the %d small tasks run",
		finishTime+idleTime, status, state, b.startsOf(lastJob), m.runs(), smallJobs*smallTasks)
	if b.startsOf(lastJob) == 0 {
		return broken, why
	}
	return held, why
}

func setUpQuiet(record string) (*bed, error) {
	return newBed(record, 3, 4, func(string) behaviour { return behaviour{work: time.Second} })
}

// playQuiet lets the open connections of a daemon to the store go silent, has the operator
// add a queue, and asks that daemon for the queue's count.
func playQuiet(b *bed, trouble bool) (int, string) {
	const (
		contact     = 3 * time.Second // contact_ms of the site
		configApply = 2 * time.Second // config_apply_ms of the site
		newPrefix   = "/wire/"
		askEvery    = 10 * time.Millisecond
		askUntil    = 6 * time.Second
	)
	time.Sleep(settleTime)
	b.relay.arm("topic=keyed.op&", trouble)
	var silentAt time.Time
	select {
	case silentAt = <-b.relay.passed:
	case <-time.After(10 * time.Second):
		return notPlayed, "the daemon does not read the configuration"
	}
	if trouble {
		b.note("disruption: the open connections of %s to the store go silent; new ones work", b.daemons[0].name)
	}
	time.Sleep(300 * time.Millisecond)
	b.publish(2, prefix, newPrefix)
	acknowledged := time.Now()
	due := later(silentAt.Add(contact), acknowledged.Add(configApply))
	var mu sync.Mutex
	var refused []time.Duration
	answered := 0
	var asked sync.WaitGroup
	for time.Since(silentAt) < askUntil {
		sent := time.Now()
		asked.Go(func() {
			status, _ := b.askPath(b.daemons[0], http.MethodGet, newPrefix, nil)
			mu.Lock()
			defer mu.Unlock()
			if !sent.After(due) {
				return
			}
			answered++
			if status == http.StatusNotFound {
				refused = append(refused, sent.Sub(due))
			}
		})
		time.Sleep(askEvery)
	}
	asked.Wait()
	if status, _ := b.askPath(b.daemons[1], http.MethodGet, newPrefix, nil); status != http.StatusOK {
		return notPlayed, "another daemon does not know the queue"
	}
	why := fmt.Sprintf("of %d requests sent after the machine was in touch again and the bound was over, %d got 404 for a queue that is there", answered, len(refused))
	if len(refused) > 0 {
		return broken, fmt.Sprintf("%s, the last %v after that", why, slices.Max(refused).Round(time.Millisecond))
	}
	return held, why
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// shortTask is the run time of a task of the case forgotten.
const shortTask = 300 * time.Millisecond

func setUpForgotten(record string) (*bed, error) {
	b, err := newBed(record, 3, 8, func(string) behaviour { return behaviour{work: shortTask} })
	if b != nil {
		b.summary = true
	}
	return b, err
}

// playForgotten has a minion with many short tasks start again in place, and carry out late
// the hold call that follows.
func playForgotten(b *bed, trouble bool) (int, string) {
	const (
		loadBefore = 16 * time.Second
		loadAfter  = 6 * time.Second
		jobEvery   = 1200 * time.Millisecond
		jobTasks   = 100
		// The call that follows an answer may come before the minion is up again. Then the
		// minion crashes once more.
		tries      = 8
		retryAfter = 3 * time.Second
	)
	time.Sleep(settleTime)
	over := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-over:
				return
			case <-time.After(jobEvery):
			}
			id := fmt.Sprintf("a%015x", i)
			load.Go(func() {
				b.submit(id, jobOf(step{"count": jobTasks, "cpu": 900, "memory_request_mb": 100, "estimated_ms": shortTask.Milliseconds(), "required_label": "b"}))
			})
		}
	})
	time.Sleep(loadBefore)
	b.noteCounts()
	m := b.minions[0] // the only one with the label
	for try := 0; trouble && try < tries && !m.hasLate(); try++ {
		m.mu.Lock()
		m.restartArmed, m.holdLate = true, false
		m.mu.Unlock()
		time.Sleep(retryAfter)
	}
	time.Sleep(loadAfter)
	close(over)
	load.Wait()
	time.Sleep(finishTime)
	if trouble && !b.lateDone.Load() {
		return notPlayed, "the call after the restart did not reach the new process"
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	why := fmt.Sprintf("%d tasks have started again after a run of them had ended done and its end was taken note of", len(b.twice))
	if len(b.twice) > 0 {
		return broken, why
	}
	return held, why
}
