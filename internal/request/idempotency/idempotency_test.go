package idempotency_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/request/idempotency"
)

func TestMemory(t *testing.T) {
	start := time.Unix(1000, 0)
	key := idempotency.Key{Service: "ledger", Trade: "pier", Key: "k"}
	m := idempotency.New(start)
	begin := func(now time.Time, content, request uint64, first bool) idempotency.Decision {
		d, _ := m.Begin(now, key, content, request, first, time.Time{})
		return d
	}
	assert.Equal(t, begin(start, 1, 1, false), idempotency.CannotKnow, "a young memory cannot know a repeat")
	assert.Equal(t, begin(start, 1, 2, true), idempotency.Run)
	assert.Equal(t, begin(start, 1, 3, false), idempotency.Wait)
	assert.Equal(t, begin(start, 2, 4, false), idempotency.Reused)
	assert.DeepEqual(t, m.Settle(key, bamboofall.OutcomeNotRun, nil), []uint64{3})
	assert.Equal(t, begin(start, 1, 5, true), idempotency.Run, "what was not run may be tried again")
	m.Settle(key, bamboofall.OutcomeAnswered, &idempotency.Answer{Body: []byte("12.50")})
	assert.Equal(t, begin(start, 1, 6, false), idempotency.Repeat)
	old := start.Add(idempotency.Span)
	assert.Equal(t, begin(old, 1, 7, false), idempotency.Run, "an old memory knows that it does not know the key")
	m.Settle(key, bamboofall.OutcomeUnknown, nil)
	assert.Equal(t, begin(old, 1, 8, false), idempotency.Ran)
	_, _ = m.Begin(old, idempotency.Key{Key: "other"}, 1, 9, false, old)
	assert.Equal(t, m.Len(), 1, "a home that moved by configuration cannot know either")
}
