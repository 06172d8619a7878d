package main

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"sync"
	"time"
)

// playImages submits jobs at a steady rate whose steps run images of their own, as after many
// builds. Accepted jobs must run. Without the disruption the jobs use nine images.
func playImages(b *bed) (string, error) {
	const (
		perSecond = 10
		steps     = 5
		fewImages = 9
		traffic   = 60 * time.Second
		finish    = 14 * time.Second // finish_s
		idle      = 3 * time.Second
	)
	if err := b.smallDeployment(route{name: "r-d3zji9n", prefix: advisedID, maxAttempts: 3}); err != nil {
		return "", err
	}
	imageOf := func(n int) string {
		if !b.trouble {
			n %= fewImages
		}
		return fmt.Sprintf("images.depot.example/panel/programmer@sha256:%x", sha256.Sum256([]byte(fmt.Sprint(n))))
	}
	var mu sync.Mutex
	var accepted []string
	var all sync.WaitGroup
	n := 0
	for end := time.Now().Add(traffic); time.Now().Before(end); time.Sleep(time.Second / perSecond) {
		path := fmt.Sprintf("%s%s%012x", advisedID, advisedJob, n)
		var own []step
		for i := range steps {
			own = append(own, step{Count: 1, CPU: 500, MemoryMB: 128, EstimatedMS: 100, Image: imageOf(n*steps + i)})
		}
		v := b.vms[n%len(b.vms)]
		n++
		all.Go(func() {
			if a := v.call("POST", path, jobBody(taskSpec{WorkMS: 100}, own...)); a.status == 200 {
				mu.Lock()
				accepted = append(accepted, path)
				mu.Unlock()
			} else {
				b.record("POST %s at %s: %v", path, v.name, a)
			}
		})
	}
	all.Wait()
	b.record("the traffic ends: %d of %d jobs accepted", len(accepted), n)
	time.Sleep(finish)
	slices.Sort(accepted)
	// The jobs that are not shown as ended now must not be idle for all of the next seconds.
	open := b.unended(accepted)
	b.record("%d accepted jobs are not ended %v after the end of the traffic", len(open), finish)
	if len(open) == 0 {
		return "", nil
	}
	began, ran := time.Now(), make(map[string]bool)
	for time.Since(began) < idle {
		for _, path := range open {
			for i := range steps {
				if m, _ := b.runningOn(fmt.Sprintf("%s.0.%d.0", path[len(advisedID):], i)); m != nil {
					ran[path] = true
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	lost := 0
	for _, path := range open {
		if !ran[path] && !b.done(path) {
			lost++
		}
	}
	if lost == 0 {
		return "", nil
	}
	return fmt.Sprintf("LOST: %d accepted jobs have nothing running for %v, %v after the end of the traffic", lost, idle, finish), nil
}

// unended returns the jobs that are not shown as ended.
func (b *bed) unended(paths []string) []string {
	var open []string
	for _, path := range paths {
		if b.done(path) {
			continue
		}
		open = append(open, path)
	}
	return open
}

// done reports whether all tasks of a job have ended done at minions.
func (b *bed) done(path string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ends[path[len(advisedID):]] >= 5
}
