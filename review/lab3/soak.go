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

// soak plays jobs of all kinds beside random disruptions. It is no case: SEED chooses the
// disruptions, and CPU is the share of a core that each entry VM has.
func soak(d *deployment, trouble bool) (broken []string, err error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	dice := rand.New(rand.NewPCG(seed, uint64(os.Getpid())))
	var mu sync.Mutex
	roll := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return dice.IntN(n)
	}
	failing := 0
	taskOf := func(_ *minion, name string, run uint32) task {
		d.audit.mu.Lock()
		defer d.audit.mu.Unlock()
		part := strings.Split(name, ".")
		s := d.audit.jobs[part[0]].steps[atoi(part[2])]
		t := task{saves: s.Saves}
		if !s.Gang && !s.LongRunning {
			t.fails = roll(100) < failing
		}
		if !s.LongRunning {
			t.work = time.Duration(s.EstimatedMS) * time.Millisecond
		}
		if s.Gang {
			t.gang, t.members = strings.Join(part[:3], "."), s.Count
		}
		return t
	}
	if share := os.Getenv("FAILING"); share != "" {
		failing = atoi(share)
	}
	if share := os.Getenv("CPU"); share != "" {
		d.cpuShare = share
	}
	if err := d.addMinions(12, taskOf); err != nil {
		return nil, err
	}
	for i, m := range d.minions {
		if i%3 == 0 {
			m.labels[0] = "b"
		}
		m.cpu = 8000
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
				if roll(5) == 0 {
					go d.handIn(j, roll(4))
				}
				accepted := d.submit(j, roll(4))
				if accepted && roll(5) == 0 {
					time.Sleep(time.Duration(roll(2000)) * time.Millisecond)
					d.handIn(j, roll(4))
				}
				if accepted {
					acceptedAt := time.Now()
					all.Go(func() { d.watch(j, acceptedAt, roll, over) })
				}
				if accepted && roll(6) == 0 {
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
		all.Go(func() { d.turnAway(roll, over) })
		all.Go(func() { d.drainMinions(roll, over) })
		all.Go(func() { d.strikeRecords(roll, over) })
		all.Go(func() { d.cutMinions(roll, over) })
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
		case state == "failed" && d.audit.mayFail(j.id):
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
			d.audit.mu.Lock()
			j.cancelAckedAt = time.Now()
			d.audit.mu.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

func (d *deployment) strikeMinions(roll func(int) int, over func() bool) {
	for !over() {
		m := d.minions[roll(len(d.minions))]
		m.crashing.Lock()
		m.crash()
		time.Sleep(time.Duration(50+roll(1500)) * time.Millisecond)
		if roll(4) == 0 {
			m.id = fmt.Sprintf("i-%08x", roll(1<<30))
		}
		if err := m.start(time.Time{}); err != nil {
			d.log.line("minion %s cannot start: %v", m.id, err)
			return
		}
		m.crashing.Unlock()
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

// watch asks for the state of a job until the end.
func (d *deployment) watch(j *job, acceptedAt time.Time, roll func(int) int, over func() bool) {
	for !over() {
		time.Sleep(time.Duration(2000+roll(3000)) * time.Millisecond)
		e := d.entries[roll(len(d.entries))]
		status, state := d.state(e, j.id)
		if status == http.StatusGone && time.Since(acceptedAt) > 3*time.Second {
			d.audit.mu.Lock()
			d.audit.breaks("LOST: accepted job %s is 410 at %s", j.id, e.name)
			d.audit.mu.Unlock()
		}
		if state == "completed" {
			d.audit.mu.Lock()
			for k := range max(1, j.repetitions) {
				for n, s := range j.steps {
					missing := 0
					for i := range s.Count {
						if len(d.audit.done[fmt.Sprintf("%s.%d.%d.%d", j.id, k, n, i)]) == 0 {
							missing++
						}
					}
					if missing == s.Count || missing > 0 && !s.Gang {
						d.audit.breaks("MIXED: job %s is completed without %d tasks of step %d, occurrence %d", j.id, missing, n, k)
					}
				}
			}
			d.audit.mu.Unlock()
			return
		}
	}
}

// turnAway makes the store turn some entry VMs away for a while.
func (d *deployment) turnAway(roll func(int) int, over func() bool) {
	for !over() {
		time.Sleep(time.Duration(2000+roll(5000)) * time.Millisecond)
		e := d.entries[roll(len(d.entries))]
		fault := []standin.Fault{standin.FaultRefused, standin.FaultReset, standin.FaultSilent}[roll(3)]
		f := func(*http.Request) standin.Fault { return fault }
		lasts := time.Duration(1000+roll(8000)) * time.Millisecond
		d.log.line("the store turns away %s, fault %d, for %v", e.name, fault, lasts)
		e.storeFault.Store(&f)
		time.Sleep(lasts)
		e.storeFault.Store(nil)
	}
}

// drainMinions empties minions and replaces them.
func (d *deployment) drainMinions(roll func(int) int, over func() bool) {
	for !over() {
		time.Sleep(time.Duration(2000+roll(5000)) * time.Millisecond)
		m := d.minions[roll(len(d.minions))]
		m.mu.Lock()
		l := m.life
		if l != nil {
			m.draining = true
			m.store.Put("keyed.servers", m.id, m.entry(l))
			m.log.line("minion %s drains", m.id)
		}
		m.mu.Unlock()
		if l == nil {
			continue
		}
		time.Sleep(time.Duration(2000+roll(1500)) * time.Millisecond)
		m.crashing.Lock()
		m.mu.Lock()
		same := m.life == l
		m.mu.Unlock()
		if same {
			m.crash()
			m.store.Put("keyed.servers", m.id, nil)
			time.Sleep(time.Duration(roll(2000)) * time.Millisecond)
			m.id = fmt.Sprintf("i-%08x", roll(1<<30))
			_ = m.start(time.Time{})
		}
		m.crashing.Unlock()
	}
}

// strikeRecords changes the configuration, drops the history of the platform's own records, and
// writes entries of minions that cannot be read.
func (d *deployment) strikeRecords(roll func(int) int, over func() bool) {
	for !over() {
		time.Sleep(time.Duration(500+roll(4000)) * time.Millisecond)
		switch roll(4) {
		case 0:
			d.configure(3)
		case 1:
			d.store.Trim([]string{"keyed.op", "keyed.servers"}[roll(2)])
		case 2:
			d.store.Put("keyed.servers", fmt.Sprintf("x-%d", roll(3)), []byte([]string{"", "{", `{"service":7}`, `[]`, "\xff\x00", `{"service":"service-a","state":"ready","address":"nowhere"}`}[roll(6)]))
		case 3:
			m := d.minions[roll(len(d.minions))]
			m.mu.Lock()
			if m.life != nil {
				m.cpu = 6000 + 1000*roll(5)
			}
			m.mu.Unlock()
		}
	}
}

// cutMinions cuts minions off, which run on. Some crash behind the cut.
func (d *deployment) cutMinions(roll func(int) int, over func() bool) {
	for !over() {
		time.Sleep(time.Duration(500+roll(3000)) * time.Millisecond)
		m := d.minions[roll(len(d.minions))]
		lasts := time.Duration(300+roll(9000)) * time.Millisecond
		m.crashing.Lock()
		m.cut.Store(true)
		m.log.line("minion %s is cut off for %v", m.id, lasts)
		if lasts > 3*heartbeat {
			time.Sleep(3 * heartbeat)
			m.store.Put("keyed.servers", m.id, nil)
			lasts -= 3 * heartbeat
		}
		time.Sleep(lasts)
		if roll(4) == 0 {
			m.crash()
			time.Sleep(time.Duration(roll(500)) * time.Millisecond)
			_ = m.start(time.Time{})
		}
		m.cut.Store(false)
		m.log.line("minion %s is back", m.id)
		m.crashing.Unlock()
	}
}
