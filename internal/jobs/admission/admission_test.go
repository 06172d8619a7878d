package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDecide(t *testing.T) {
	job := Job{Work: 100 * time.Second, Chain: 2 * time.Second, Until: 9 * time.Second, FirstMilliProcessors: 30_000}
	for _, c := range []struct {
		name   string
		load   Load
		accept bool
	}{
		{"nothing ahead", Load{0, 100_000, 0}, true},
		{"a backlog that ends in time", Load{600 * time.Second, 100_000, 0}, true},
		{"a burst that takes too long", Load{2000 * time.Second, 100_000, 0}, false},
		{"the same burst with free room", Load{2000 * time.Second, 100_000, 30_000}, true},
		{"no worker", Load{}, false},
	} {
		d := Decide(c.load, job)
		assert.Equal(t, d.Accept, c.accept, "%s: %+v", c.name, d)
	}
}

// A caller that comes back when it was told to is accepted, if nothing else came.
func TestRetryAfterIsTrue(t *testing.T) {
	job := Job{Work: 100 * time.Second, Chain: 2 * time.Second, Until: 9 * time.Second, FirstMilliProcessors: 30_000}
	load := Load{Ahead: 1200 * time.Second, MilliProcessors: 100_000}
	d := Decide(load, job)
	assert.Assert(t, !d.Accept)
	load.Ahead -= time.Duration(float64(d.RetryAfter) * 100 * fullUse)
	assert.Assert(t, Decide(load, job).Accept)
}

func TestRetryAfterIsBounded(t *testing.T) {
	d := Decide(Load{Ahead: 1000 * time.Hour, MilliProcessors: 1000}, Job{Chain: time.Second, FirstMilliProcessors: 1})
	assert.Equal(t, d.RetryAfter, MaxRetry)
	d = Decide(Load{Ahead: time.Second, MilliProcessors: 1000_000}, Job{FirstMilliProcessors: 1})
	assert.Equal(t, d.RetryAfter, minRetry)
}
