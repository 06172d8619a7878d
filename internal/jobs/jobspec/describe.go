package jobspec

import (
	"fmt"
	"strings"
	"time"

	"bamboofall.example/bamboofall"
)

// ProcessorTime returns the processor time of a task: processors times run time.
func ProcessorTime(size bamboofall.Resources, d time.Duration) time.Duration {
	return time.Duration(float64(size.MilliProcessors) / 1000 * float64(d))
}

// Work returns the declared processor time of a job without its standing tasks.
func Work(spec *bamboofall.Job) time.Duration {
	total := time.Duration(0)
	for i := range spec.Steps {
		if s := &spec.Steps[i]; !s.Standing {
			total += ProcessorTime(s.Size, s.Estimate) * time.Duration(s.Count)
		}
	}
	return total
}

// Describe formats the steps of a job for the log.
func Describe(spec *bamboofall.Job) string {
	var b strings.Builder
	for i := range spec.Steps {
		s := &spec.Steps[i]
		fmt.Fprintf(&b, "[%dx%dm %v", s.Count, s.Size.MilliProcessors, s.Estimate)
		for _, flag := range []struct {
			name string
			set  bool
		}{
			{"gang", s.Gang}, {"sameRack", s.SameRack}, {"speculative", s.Speculative}, {"standing", s.Standing}, {"fills", s.BestEffort},
			{"checkpointing", s.Checkpointing}, {s.Label, s.Label != ""}, {"rack " + s.Rack, s.Rack != ""},
			{fmt.Sprintf("maxPerWorker %d", s.MaxPerWorker), s.MaxPerWorker > 0}, {"image " + s.Image, s.Image != ""},
		} {
			if flag.set {
				b.WriteString(" " + flag.name)
			}
		}
		b.WriteString("]")
	}
	return b.String()
}

// DescribeResources formats resources for log entries.
func DescribeResources(r bamboofall.Resources) string {
	text := fmt.Sprintf("%d milliprocessors, %d MB", r.MilliProcessors, r.MemoryBytes>>20)
	if r.Accelerators != 0 {
		text += fmt.Sprintf(", %d accelerators", r.Accelerators)
	}
	return text
}
