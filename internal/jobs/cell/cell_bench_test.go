package cell_test

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newBenchCell returns a cell whose workers have answered and run standing tasks.
func newBenchCell(b *testing.B, workers int) *cell.Cell {
	b.Helper()
	c := cell.New(cell.Config{Epoch: 1, Lease: 5 * time.Second, EndedJobRetention: time.Minute, RemoteFactor: 2})
	c.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{
		{Name: "urgent", Service: "s", MaxAttempts: 3, Stretch: 1.5, Slack: 300 * time.Millisecond},
		{Name: "batch", Service: "s", Priority: 2, MaxAttempts: 3, Stretch: 2, Slack: time.Second},
	}})
	for i := range workers {
		c.SetWorker(testStart, bamboofall.Worker{
			WorkerRef: bamboofall.WorkerRef{ID: fmt.Sprintf("i-%05d", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 1}), 80)},
			Born:      testStart, Service: "s", Labels: []string{"a", fmt.Sprintf("r%d", i/8)},
			Room: bamboofall.Resources{MilliProcessors: 32_000, MemoryBytes: 128 << 30},
		})
	}
	answer(c, c.Step(testStart), testStart)
	for i := range workers {
		submit(c, fmt.Sprintf("%016x", i), "urgent", bamboofall.Step{
			Count: 3, Size: bamboofall.Resources{MilliProcessors: 6400, MemoryBytes: 8 << 30}, Standing: true,
			TailTarget: 50 * time.Millisecond, Image: fmt.Sprint("image", i%5),
		})
	}
	settle(b, c)
	return c
}

func submit(c *cell.Cell, id, queue string, s bamboofall.Step) {
	c.SubmitAccepted(testStart, &bamboofall.Job{ID: bamboofall.JobID(id), Queue: queue, Steps: []bamboofall.Step{s}}, nil)
}

// settle steps the cell, stores its records and answers its orders until none are left.
func settle(b *testing.B, c *cell.Cell) {
	b.Helper()
	for range 4 {
		answer(c, c.Step(testStart), testStart)
		records, number, err := c.Flush()
		if err != nil {
			b.Fatal(err)
		}
		if len(records) > 0 {
			c.Stored(testStart, number)
		}
	}
}

func answer(c *cell.Cell, out cell.Output, now time.Time) {
	meta := bamboofall.ResponseMeta{Clock: time.Second, Born: testStart}
	for _, o := range out.Orders {
		switch o.Kind {
		case cell.OrderStart:
			c.StartAnswered(now, o, meta, nil)
		case cell.OrderHold:
			c.HoldAnswered(now, o, bamboofall.HoldReport{ResponseMeta: meta}, nil)
		}
	}
}

// BenchmarkDecide submits a job with eight tasks and places them. The time per task
// should grow no faster than the number of workers checked.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{66, 490, 3600} {
		for _, fills := range []bool{false, true} {
			b.Run(fmt.Sprintf("workers=%d/fills=%v", workers, fills), func(b *testing.B) {
				c := newBenchCell(b, workers)
				n := 0
				for b.Loop() {
					n++
					id := fmt.Sprintf("%016x", 1<<32+n)
					submit(c, id, "batch", bamboofall.Step{
						Count: 8, Size: bamboofall.Resources{MilliProcessors: 3000, MemoryBytes: 4 << 30}, Estimate: time.Second,
						BestEffort: fills, Image: "work",
					})
					c.Step(testStart)
					c.Cancel(testStart, bamboofall.JobID(id))
				}
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/8, "us/task")
			})
		}
	}
}

// benchOwner is an owner whose workers are simulated by the benchmark.
type benchOwner struct {
	*cell.Cell
	now time.Time
	// holds are the open hold calls, by worker.
	holds map[string]cell.Order
	// running are the runs by worker, ended the number of run ends by worker.
	running map[string][]bamboofall.RunningTask
	ended   map[string]uint64
	// ending are the start orders of the runs that can end, the oldest first.
	ending []cell.Order
	jobs   int
	// standing is the last job with standing tasks.
	standing bamboofall.JobID
}

const (
	benchOpenJobs = 1000
	benchTasks    = 10
)

// newBenchOwner returns an owner whose workers run standing tasks with learned tail
// latencies. With a backlog the remaining capacity is used up, and 1,000 jobs with 10,000
// tasks of many sizes wait, half of them best-effort.
func newBenchOwner(b testing.TB, workers int, backlog bool) *benchOwner {
	b.Helper()
	o := &benchOwner{
		Cell: cell.New(cell.Config{Epoch: 1, Lease: time.Hour, EndedJobRetention: time.Second, RemoteFactor: 2, MaxTailViolation: 4 * time.Second}),
		now:  testStart, holds: make(map[string]cell.Order), running: make(map[string][]bamboofall.RunningTask), ended: make(map[string]uint64),
	}
	o.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{
		{Name: "urgent", Service: "s", MaxAttempts: 3, Stretch: 1.5, Slack: time.Hour},
		{Name: "batch", Service: "s", Priority: 2, MaxAttempts: 3, Stretch: 2, Slack: time.Hour},
		{Name: "hasty", Service: "s", Priority: 3, MaxAttempts: 3, Stretch: 1, Slack: time.Millisecond},
	}})
	for i := range workers {
		o.SetWorker(o.now, bamboofall.Worker{
			WorkerRef: bamboofall.WorkerRef{ID: fmt.Sprintf("i-%05d", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 1}), 80)},
			Born:      testStart, Service: "s", Labels: []string{"a", fmt.Sprintf("r%d", i/8)},
			Room: bamboofall.Resources{MilliProcessors: 32_000, MemoryBytes: 128 << 30},
		})
	}
	o.step(b)
	o.holdAll(b)
	for i := range workers {
		o.standing, _ = o.submit("urgent", bamboofall.Step{
			Count: 3, Size: bamboofall.Resources{MilliProcessors: 6400, MemoryBytes: 8 << 30}, Standing: true,
			TailTarget: 50 * time.Millisecond, Image: fmt.Sprint("image", i%5),
		})
	}
	o.step(b)
	for range 8 {
		o.now = o.now.Add(500 * time.Millisecond)
		o.holdAll(b)
	}
	if !backlog {
		return o
	}
	for range workers/2 + 8 {
		o.submit("urgent", bamboofall.Step{Count: 8, Size: bamboofall.Resources{MilliProcessors: 3200, MemoryBytes: 4 << 30}, Estimate: 2 * time.Second})
	}
	o.step(b)
	for i := range benchOpenJobs {
		o.submit("batch", bamboofall.Step{
			Count: benchTasks, Size: bamboofall.Resources{MilliProcessors: 3000 + int64(i*7%1500), MemoryBytes: 1 << 30}, Estimate: 2 * time.Second,
			BestEffort: i%2 == 0, Image: fmt.Sprint("work", i%7),
		})
	}
	o.step(b)
	return o
}

func (o *benchOwner) submit(queue string, s bamboofall.Step) (bamboofall.JobID, *cell.Refusal) {
	o.jobs++
	id := bamboofall.JobID(fmt.Sprintf("%016x", o.jobs))
	job := &bamboofall.Job{ID: id, Queue: queue, Steps: []bamboofall.Step{s}}
	if queue != "hasty" {
		o.SubmitAccepted(o.now, job, nil)
		return id, nil
	}
	_, refusal := o.Submit(o.now, job)
	return id, refusal
}

// step steps the owner and answers its orders, except hold calls, until it has no more.
func (o *benchOwner) step(b testing.TB) {
	b.Helper()
	for {
		out := o.Step(o.now)
		records, number, err := o.Flush()
		if err != nil {
			b.Fatal(err)
		}
		if len(out.Orders) == 0 && len(records) == 0 {
			return
		}
		for _, order := range out.Orders {
			id := order.Worker.ID
			switch order.Kind {
			case cell.OrderStart:
				o.running[id] = append(o.running[id], bamboofall.RunningTask{Task: order.Start.Task, Run: order.Start.Run, ProgressPercent: 100, Gauge: 20})
				if order.Start.Task.Job > o.standing {
					o.ending = append(o.ending, order)
				}
				o.StartAnswered(o.now, order, o.meta(), nil)
			case cell.OrderHold:
				o.holds[id] = order
			case cell.OrderPace:
				o.PaceAnswered(o.now, order, o.meta(), nil)
			case cell.OrderStop:
				o.StopAnswered(o.now, order, o.meta(), nil)
			}
		}
		if len(records) > 0 {
			o.Stored(o.now, number)
		}
	}
}

func (o *benchOwner) meta() bamboofall.ResponseMeta {
	return bamboofall.ResponseMeta{Clock: o.now.Sub(testStart) + time.Second, Born: testStart}
}

// held answers the open hold call of a worker.
func (o *benchOwner) held(id string, ends ...bamboofall.End) {
	order, waits := o.holds[id]
	if !waits {
		return
	}
	delete(o.holds, id)
	o.HoldAnswered(o.now, order, bamboofall.HoldReport{ResponseMeta: o.meta(), Running: o.running[id], Ends: ends}, nil)
}

func (o *benchOwner) holdAll(b testing.TB) {
	b.Helper()
	for _, id := range slices.Sorted(maps.Keys(o.holds)) {
		o.held(id)
	}
	o.step(b)
}

// end ends the oldest run of a finite task.
func (o *benchOwner) end() {
	order := o.ending[0]
	o.ending = o.ending[1:]
	id := order.Worker.ID
	o.running[id] = slices.DeleteFunc(o.running[id], func(p bamboofall.RunningTask) bool { return p.Task == order.Start.Task })
	o.ended[id]++
	o.held(id, bamboofall.End{Number: o.ended[id], Task: order.Start.Task, Run: order.Start.Run, Cause: bamboofall.EndDone})
}

// BenchmarkOwner measures the processor time of the most frequent events, by number of
// workers (x66 is the ratio to 66 workers) and with and without a backlog.
func BenchmarkOwner(b *testing.B) {
	task := bamboofall.Step{Count: 8, Size: bamboofall.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}, Estimate: time.Second, BestEffort: true, Image: "work1"}
	events := []struct {
		name string
		do   func(*testing.B, *benchOwner)
	}{
		// A job is submitted, and cancelled so that the load stays the same.
		{"accepted", func(_ *testing.B, o *benchOwner) {
			id, refusal := o.submit("batch", task)
			if refusal != nil {
				b.Fatal(refusal.Reason)
			}
			o.Cancel(o.now, id)
		}},
		{"refused", func(_ *testing.B, o *benchOwner) {
			s := task
			s.Count = 1000 * len(o.running)
			if _, refusal := o.submit("hasty", s); refusal == nil {
				b.Fatal("accepted")
			}
		}},
		// A run ends, and another takes its place.
		{"run", func(b *testing.B, o *benchOwner) {
			if len(o.ending) < 8 {
				for range 8 {
					o.submit("urgent", bamboofall.Step{Count: 8, Size: bamboofall.Resources{MilliProcessors: 3200, MemoryBytes: 4 << 30}, Estimate: 2 * time.Second})
				}
				o.step(b)
			}
			o.end()
			o.step(b)
		}},
		// A worker answers a hold call without news.
		{"hold", func(b *testing.B, o *benchOwner) {
			o.held(fmt.Sprintf("i-%05d", o.jobs%len(o.running)))
			o.jobs++
			o.step(b)
		}},
		{"idle", func(_ *testing.B, o *benchOwner) { o.Step(o.now) }},
	}
	perOp := make(map[string]float64)
	for _, backlog := range []bool{false, true} {
		for _, workers := range []int{66, 490, 3600} {
			o := newBenchOwner(b, workers, backlog)
			for _, event := range events {
				name := fmt.Sprintf("backlog=%v/event=%s", backlog, event.name)
				b.Run(fmt.Sprintf("%s/workers=%d", name, workers), func(b *testing.B) {
					for b.Loop() {
						o.now = o.now.Add(time.Millisecond)
						event.do(b, o)
					}
					us := float64(b.Elapsed().Nanoseconds()) / float64(b.N) / 1000
					if workers == 66 {
						perOp[name] = us
					}
					b.ReportMetric(us, "us/event")
					b.ReportMetric(us/perOp[name], "x66")
				})
			}
		}
	}
}
