package warmup_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/internal/jobs/warmup"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestDemotionFallsAsWorkerWarmsUp(t *testing.T) {
	var w warmup.Worker
	assert.Equal(t, w.Demotion(start), 0.0)
	w.Announced(start, 8*time.Second)
	assert.Assert(t, w.Demotion(start) > 0)
	w.Announced(start.Add(4*time.Second), 4*time.Second)
	assert.Equal(t, w.Demotion(start.Add(4*time.Second)), w.Demotion(start)/2)
	w.Announced(start.Add(7*time.Second), 0)
	assert.Assert(t, !w.Cold(start.Add(7*time.Second)))
	assert.Equal(t, w.Demotion(start.Add(7*time.Second)), 0.0)
}

// returnOfDataCentre replays the return of a quarter of 64 workers of four slots. They are cold
// for 8 s, in which a run takes three times as long there. Tasks of 0.8 s arrive for nine tenths
// of the warm slots, and a policy chooses between the warm and the cold workers. It returns the
// number of tasks that took at most 1.6 s.
func returnOfDataCentre(choose func(at time.Time, warm, cold *slots) *slots) (inTime int) {
	const (
		tick    = 10 * time.Millisecond
		run     = 800 * time.Millisecond
		coldFor = 8 * time.Second
	)
	warm, cold := &slots{total: 192}, &slots{total: 64}
	cold.state.Announced(start, coldFor)
	var queue []time.Time
	arrived := 0.0
	for d := time.Duration(0); d < coldFor; d += tick {
		at := start.Add(d)
		warm.finish(at)
		cold.finish(at)
		for arrived += 0.9 * 192 * float64(tick) / float64(run); arrived >= 1; arrived-- {
			queue = append(queue, at)
		}
		for len(queue) > 0 {
			s := choose(at, warm, cold)
			if s == nil {
				break
			}
			took := run
			if s == cold {
				took *= 3
			}
			s.ends = append(s.ends, at.Add(took))
			if at.Add(took).Sub(queue[0]) <= 2*run {
				inTime++
			}
			queue = queue[1:]
		}
	}
	return inTime
}

// slots are the slots of some workers that are in the same state.
type slots struct {
	state warmup.Worker
	total int
	ends  []time.Time
}

func (s *slots) finish(at time.Time) {
	kept := s.ends[:0]
	for _, end := range s.ends {
		if end.After(at) {
			kept = append(kept, end)
		}
	}
	s.ends = kept
}

func (s *slots) full() bool { return len(s.ends) >= s.total }

// Warm workers first beats the emptiest workers first.
func TestWarmWorkersGoFirst(t *testing.T) {
	byDemotion := returnOfDataCentre(func(at time.Time, warm, cold *slots) *slots {
		first, second := warm, cold
		if warm.state.Demotion(at) > cold.state.Demotion(at) {
			first, second = cold, warm
		}
		switch {
		case !first.full():
			return first
		case !second.full():
			return second
		}
		return nil
	})
	emptiest := returnOfDataCentre(func(_ time.Time, warm, cold *slots) *slots {
		switch {
		case len(cold.ends) < cold.total:
			return cold
		case len(warm.ends) < warm.total:
			return warm
		}
		return nil
	})
	t.Logf("in time: %d warm first, %d emptiest first", byDemotion, emptiest)
	assert.Assert(t, byDemotion > emptiest*11/10)
}
