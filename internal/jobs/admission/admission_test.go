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
		{"no backlog", Load{0, 100_000, 0}, true},
		{"backlog that ends in time", Load{600 * time.Second, 100_000, 0}, true},
		{"burst that takes too long", Load{2000 * time.Second, 100_000, 0}, false},
		{"same burst with idle processors", Load{2000 * time.Second, 100_000, 30_000}, true},
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
