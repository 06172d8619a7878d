package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
)

func TestADelayOfTheOwnerHoldsForAWhile(t *testing.T) {
	c := New(Config{})
	now := time.Unix(1000, 0)
	assert.Assert(t, !c.ownerSlow(now))
	c.SetOwnerDelay(now, slowOwner)
	assert.Assert(t, c.ownerSlow(now))
	assert.Assert(t, c.ownerSlow(now.Add(ownerDelayFor)))
	assert.Assert(t, !c.ownerSlow(now.Add(ownerDelayFor+time.Millisecond)), "nothing was told since")
	c.SetOwnerDelay(now, slowOwner-time.Millisecond)
	assert.Assert(t, !c.ownerSlow(now))
}

// What waits for the link of the owner is in no delay that it measures itself.
func TestAnOwnerWhoseAnswersAllTakeLongIsSlow(t *testing.T) {
	c := New(Config{})
	now := time.Unix(1000, 0)
	took := func(answers int, each time.Duration) bool {
		for range answers {
			c.noteAnswer(now, Order{sent: now.Add(-each)})
			c.noteAnswer(now, Order{Hold: bamboofall.HoldOrder{Wait: time.Second}, sent: now.Add(-time.Minute)})
		}
		now = now.Add(answersFor)
		c.SetOwnerDelay(now, 0)
		c.Step(now)
		return c.ownerSlow(now)
	}
	assert.Assert(t, !took(leastAnswers, slowOwner-time.Millisecond))
	assert.Assert(t, !took(leastAnswers-1, time.Second), "too few to tell")
	assert.Assert(t, took(leastAnswers, slowOwner))
	assert.Assert(t, !took(0, 0), "nothing is told any more")
}
