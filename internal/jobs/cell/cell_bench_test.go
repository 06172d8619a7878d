package cell_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

var benchStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newBenchCell returns a cell whose workers have answered and run standing tasks.
func newBenchCell(b *testing.B, workers int) *cell.Cell {
	b.Helper()
	c := cell.New(cell.Config{Token: 1, Lease: 5 * time.Second, KeepEnded: time.Minute, RemoteFactor: 2})
	c.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{
		{Name: "urgent", Service: "s", MaxAttempts: 3, Stretch: 1.5, Slack: 300 * time.Millisecond},
		{Name: "batch", Service: "s", Priority: 2, MaxAttempts: 3, Stretch: 2, Slack: time.Second},
	}})
	for i := range workers {
		c.SetWorker(benchStart, bamboofall.Worker{
			WorkerRef: bamboofall.WorkerRef{ID: fmt.Sprintf("i-%05d", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 1}), 80)},
			Born:      benchStart, Service: "s", Labels: []string{"a", fmt.Sprintf("r%d", i/8)},
			Room: bamboofall.Resources{MilliProcessors: 32_000, MemoryBytes: 128 << 30},
		})
	}
	answer(c, c.Step(benchStart), benchStart)
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
	c.Submit(benchStart, &bamboofall.Job{ID: bamboofall.JobID(id), Queue: queue, Steps: []bamboofall.Step{s}}, true)
}

// settle steps, stores and answers until nothing is left to order.
func settle(b *testing.B, c *cell.Cell) {
	b.Helper()
	for range 4 {
		answer(c, c.Step(benchStart), benchStart)
		records, number, err := c.Flush()
		if err != nil {
			b.Fatal(err)
		}
		if len(records) > 0 {
			c.Stored(benchStart, number)
		}
	}
}

func answer(c *cell.Cell, out cell.Output, now time.Time) {
	seen := bamboofall.Sighting{Clock: time.Second, Born: benchStart}
	for _, o := range out.Orders {
		switch o.Kind {
		case cell.OrderStart:
			c.Started(now, o, seen, nil)
		case cell.OrderHold:
			c.Held(now, o, bamboofall.HoldReport{Sighting: seen}, nil)
		}
	}
}

// BenchmarkDecide submits a job of eight tasks and places them. Compare the sizes
// with each other: the time for a decision grows with the workers looked at.
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
						Fills: fills, Image: "work",
					})
					c.Step(benchStart)
					c.Cancel(benchStart, bamboofall.JobID(id))
				}
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/8, "us/task")
			})
		}
	}
}
