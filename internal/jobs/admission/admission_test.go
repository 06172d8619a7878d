package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDecideAcceptsJobsThatEndInTime(t *testing.T) {
	job := Job{Work: 100 * time.Second, CriticalPath: 2 * time.Second, TimeToExpiry: 9 * time.Second, FirstMilliProcessors: 30_000}
	for _, c := range []struct {
		name   string
		load   Load
		accept bool
	}{
		{"no backlog", Load{MilliProcessors: 100_000}, true},
		{"backlog that ends in time", Load{WorkAhead: 600 * time.Second, MilliProcessors: 100_000}, true},
		{"burst that takes too long", Load{WorkAhead: 2000 * time.Second, MilliProcessors: 100_000}, false},
		{"same burst with idle processors", Load{WorkAhead: 2000 * time.Second, MilliProcessors: 100_000, FreeMilliProcessors: 30_000}, true},
		{"no workers", Load{}, false},
	} {
		d := Decide(c.load, job)
		assert.Equal(t, d.Accept, c.accept, "%s: %+v", c.name, d)
	}
}

// A caller that retries after RetryAfter is accepted if no other work has arrived.
func TestJobIsAcceptedAfterRetryAfter(t *testing.T) {
	job := Job{Work: 100 * time.Second, CriticalPath: 2 * time.Second, TimeToExpiry: 9 * time.Second, FirstMilliProcessors: 30_000}
	load := Load{WorkAhead: 1200 * time.Second, MilliProcessors: 100_000}
	d := Decide(load, job)
	assert.Assert(t, !d.Accept)
	load.WorkAhead -= time.Duration(float64(d.RetryAfter) * 100 * usableShare)
	assert.Assert(t, Decide(load, job).Accept)
}

func TestRetryAfterIsBounded(t *testing.T) {
	d := Decide(Load{WorkAhead: 1000 * time.Hour, MilliProcessors: 1000}, Job{CriticalPath: time.Second, FirstMilliProcessors: 1})
	assert.Equal(t, d.RetryAfter, MaxRetryAfter)
	d = Decide(Load{WorkAhead: time.Second, MilliProcessors: 1000_000}, Job{FirstMilliProcessors: 1})
	assert.Equal(t, d.RetryAfter, minRetryAfter)
}

// An owner that starts 100 tasks per second cannot start the 500 tasks ahead before the
// objective of a job that takes 2 s and is due in 6 s, though workers are idle. The caller is
// told when it could.
func TestDecideRefusesWhatOwnerCannotStartInTime(t *testing.T) {
	job := Job{CriticalPath: 2 * time.Second, TimeToDue: 6 * time.Second, TimeToExpiry: 18 * time.Second, FirstMilliProcessors: 1000, Starts: 50}
	load := Load{MilliProcessors: 100_000, FreeMilliProcessors: 100_000, StartsAhead: 500, StartsPerSecond: 100}
	d := Decide(load, job)
	assert.DeepEqual(t, d, Decision{Wait: 5 * time.Second, RetryAfter: time.Second})

	load.StartsAhead -= int(load.StartsPerSecond * d.RetryAfter.Seconds())
	assert.Assert(t, Decide(load, job).Accept, "refused after RetryAfter")

	load.StartsAhead, load.StartsPerSecond = 500, 0
	assert.Assert(t, Decide(load, job).Accept, "refused although the owner could start more")

	load.StartsPerSecond, job.Starts = 10, 100
	load.StartsAhead = 0
	assert.Assert(t, !Decide(load, job).Accept, "accepted although its own starts take too long")
}
