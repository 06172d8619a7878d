package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bamboofall.example/bamboofall/platform/standin"
)

// soak plays jobs of all kinds beside random disruptions.
func soak(d *deployment, trouble bool) (broken []string, err error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	d.random = rand.New(rand.NewPCG(seed, uint64(os.Getpid())))
	var mu sync.Mutex
	roll := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return d.random.IntN(n)
	}
	taskOf := func(_ *minion, name string, run uint32) task {
		d.audit.mu.Lock()
		defer d.audit.mu.Unlock()
		part := strings.Split(name, ".")
		s := d.audit.jobs[part[0]].steps[atoi(part[2])]
		t := task{saves: s.Saves}
		if !s.LongRunning {
			t.work = time.Duration(s.EstimatedMS) * time.Millisecond
		}
		if s.Gang {
			t.gang, t.members = strings.Join(part[:3], "."), s.Count
		}
		return t
	}
	if err := d.addMinions(12, taskOf); err != nil {
		return nil, err
	}
	for i, m := range d.minions {
		if i%3 == 0 {
			m.labels[0] = "b"
		}
	}
	if err := d.addEntries(4); err != nil {
		return nil, err
	}
	if err := d.waitReady(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	const traffic = 70 * time.Second
	began := time.Now()
	over := func() bool { return time.Since(began) > traffic }
	var all sync.WaitGroup
	var jobs []*job
	all.Go(func() {
		for !over() {
			j := d.randomJob(roll)
			mu.Lock()
			jobs = append(jobs, j)
			mu.Unlock()
			all.Go(func() {
				if d.submit(j, roll(4)) && roll(6) == 0 {
					time.Sleep(time.Duration(roll(3000)) * time.Millisecond)
					d.cancel(j, roll(4))
				}
			})
			time.Sleep(time.Duration(100+roll(250)) * time.Millisecond)
		}
	})
	if trouble {
		for _, m := range d.minions {
			m.late = func(_ *minion, _ string) time.Duration {
				if over() || roll(100) >= 5 {
					return 0
				}
				return time.Duration(2000+roll(4000)) * time.Millisecond
			}
			m.lost = func(*minion, string) bool { return !over() && roll(100) < 3 }
		}
		all.Go(func() { d.strikeMinions(roll, over) })
		all.Go(func() { d.strikeEntries(roll, over) })
		all.Go(func() { d.strikeStore(roll, over) })
	}
	all.Wait()
	d.log.line("calm from here on")
	time.Sleep(28 * time.Second)
	for _, j := range jobs {
		if !j.accepted {
			continue
		}
		status, state := d.state(d.entries[0], j.id)
		switch {
		case !j.cancelledAt.IsZero():
			if state != "cancelled" && state != "completed" {
				broken = append(broken, fmt.Sprintf("cancelled job %s is %d %s", j.id, status, state))
			}
		case j.steps[0].LongRunning:
			if state != "running" {
				broken = append(broken, fmt.Sprintf("LOST: lasting job %s is %d %s", j.id, status, state))
			}
		case state != "completed":
			broken = append(broken, fmt.Sprintf("LOST: job %s is %d %q", j.id, status, state))
		}
	}
	d.log.line("%d jobs, %d starts", len(jobs), d.audit.starts)
	fmt.Println(len(jobs), "jobs,", d.audit.starts, "starts")
	return append(broken, d.audit.violations()...), nil
}

func atoi(text string) int {
	n, _ := strconv.Atoi(text)
	return n
}

func (d *deployment) randomJob(roll func(int) int) *job {
	var steps []step
	for i := range 1 + roll(3) {
		s := step{Count: 1 + roll(5), CPU: 500 + 250*roll(6), Memory: 500, EstimatedMS: 200 + roll(1800)}
		if i > 0 {
			s.After = []int{i - 1}
		}
		switch roll(7) {
		case 0:
			s.Gang = true
		case 1:
			s.Speculative = true
		case 2:
			s.MaxPerServer = 1
		case 3:
			s.Label = "b"
		}
		s.Saves = roll(2) == 0
		steps = append(steps, s)
	}
	if roll(14) == 0 {
		steps = []step{{Count: 1 + roll(3), CPU: 200, Memory: 100, EstimatedMS: 500, LongRunning: true, MaxPerServer: roll(2)}}
	}
	j := d.newJob(steps...)
	if roll(8) == 0 && !steps[0].LongRunning {
		j.firstRun, j.interval, j.repetitions = time.Now().UnixMilli()+int64(roll(2000)), int64(100+roll(2000)), 1+roll(6)
	}
	return j
}

func (d *deployment) cancel(j *job, from int) {
	j.cancelledAt = time.Now()
	for i := range 6 {
		status, _ := d.send(d.entries[(from+i)%len(d.entries)], http.MethodDelete, j.id, nil)
		if status/100 == 2 || status == http.StatusGone {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

func (d *deployment) strikeMinions(roll func(int) int, over func() bool) {
	for !over() {
		m := d.minions[roll(len(d.minions))]
		m.crash()
		time.Sleep(time.Duration(50+roll(1500)) * time.Millisecond)
		if roll(4) == 0 {
			m.id = fmt.Sprintf("i-%08x", roll(1<<30))
		}
		if err := m.start(time.Time{}); err != nil {
			d.log.line("minion %s cannot start: %v", m.id, err)
			return
		}
		time.Sleep(time.Duration(roll(2500)) * time.Millisecond)
	}
}

func (d *deployment) strikeEntries(roll func(int) int, over func() bool) {
	for !over() {
		time.Sleep(time.Duration(1000+roll(4000)) * time.Millisecond)
		e := d.entries[roll(len(d.entries))]
		switch roll(4) {
		case 0:
			d.signal(e, syscall.SIGKILL)
		case 1:
			d.signal(e, syscall.SIGTERM)
			select {
			case <-e.exited:
			case <-time.After(6 * time.Second):
				d.signal(e, syscall.SIGKILL)
			}
		default:
			d.signal(e, syscall.SIGSTOP)
			time.Sleep(time.Duration(500+roll(4000)) * time.Millisecond)
			d.signal(e, syscall.SIGCONT)
			continue
		}
		<-e.exited
		time.Sleep(time.Duration(200+roll(1500)) * time.Millisecond)
		if err := d.startEntry(e); err != nil {
			d.log.line("%v", err)
			return
		}
	}
}

func (d *deployment) strikeStore(roll func(int) int, over func() bool) {
	for !over() {
		time.Sleep(time.Duration(3000+roll(6000)) * time.Millisecond)
		until := time.Now().Add(time.Duration(500+roll(4000)) * time.Millisecond)
		fault := []standin.Fault{standin.FaultRefused, standin.FaultLost, standin.FaultLate, standin.FaultSilent, standin.FaultReset}[roll(5)]
		share := 35
		if fault == standin.FaultRefused || fault == standin.FaultSilent || fault == standin.FaultReset {
			share = 100
		}
		d.log.line("store fault %d until %v", fault, time.Until(until))
		d.store.SetFault(func(r *http.Request) standin.Fault {
			if time.Now().After(until) || (share < 100 && r.Method == http.MethodGet) || roll(100) >= share {
				return standin.FaultNone
			}
			return fault
		})
		time.Sleep(time.Until(until))
		d.store.SetFault(nil)
	}
}
