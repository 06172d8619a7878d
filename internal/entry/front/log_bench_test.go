package front

import (
	"context"
	"io"
	"testing"

	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// BenchmarkLogLine measures a line about a run that is written, and one that the rate
// limit drops.
func BenchmarkLogLine(b *testing.B) {
	for _, bounded := range []bool{false, true} {
		name := "written"
		if bounded {
			name = "leftOut"
		}
		b.Run(name, func(b *testing.B) {
			l := NewLog(io.Discard, "entry-a-1")
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = l.Run(ctx) }()
			if !bounded {
				l.limiter.SetLimit(1e12)
				l.routineLimiter.SetLimit(1e12)
			}
			n := cell.Note{Event: "start", Job: "5c0e7a21d94b36f8", Task: "5c0e7a21d94b36f8.0.1.17", Worker: "i-7f3a91c2", Run: 1, Detail: "waited 20ms, worker uses 47100 of 48000", Routine: true}
			for b.Loop() {
				l.Note(3, n)
			}
		})
	}
}
