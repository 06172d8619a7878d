package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The clock of a reader gains 50 ppm on that of the owner, which stays for a day. A stored time
// must not be past too early for it.
func TestStoredTimeIsNotPastTooEarlyWithDrift(t *testing.T) {
	owner := firstOwner(t)
	next := New(at(0), timing, "next", address, 0)
	readAt := func(d time.Duration) time.Time { return at(d + d/20000) }
	day := 24 * time.Hour
	for d := timing.MaxFirstClaimDelay; d <= day; d += 400 * time.Millisecond {
		next.Observe(readAt(d+2*time.Millisecond), Record{Epoch: 1, Process: "first", Age: owner.Clock().Age(at(d))}, int64(d))
	}
	end := day + 5*time.Second
	restored := next.Clock().TimeOf(owner.Clock().Age(at(end)))
	early := readAt(end).Sub(restored)
	assert.Assert(t, early <= 50*time.Millisecond, "taken for past %v too early", early)
}
