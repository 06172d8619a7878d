package idempotency_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/request/idempotency"
)

func TestStoreDecidesOnRepeatedKeys(t *testing.T) {
	start := time.Unix(1000, 0)
	key := idempotency.Key{Service: "ledger", Trade: "pier", Key: "k"}
	store := idempotency.New(start)
	begin := func(now time.Time, contentHash, requestID uint64, first bool) idempotency.Decision {
		d, _ := store.Begin(now, key, contentHash, requestID, first, time.Time{})
		return d
	}
	assert.Equal(t, begin(start, 1, 1, false), idempotency.HistoryTooShort, "a new store cannot tell whether the key was used before")
	assert.Equal(t, begin(start, 1, 2, true), idempotency.Proceed)
	assert.Equal(t, begin(start, 1, 3, false), idempotency.InProgress)
	assert.Equal(t, begin(start, 2, 4, false), idempotency.KeyReused)
	assert.DeepEqual(t, store.Settle(key, bamboofall.OutcomeNotRun, nil), []uint64{3})
	assert.Equal(t, begin(start, 1, 5, true), idempotency.Proceed, "a request that was not run may be tried again")
	store.Settle(key, bamboofall.OutcomeAnswered, &idempotency.Answer{Body: []byte("12.50")})
	assert.Equal(t, begin(start, 1, 6, false), idempotency.Replay)
	afterRetention := start.Add(idempotency.Retention)
	assert.Equal(t, begin(afterRetention, 1, 7, false), idempotency.Proceed, "a full history shows that the key is new or expired")
	store.Settle(key, bamboofall.OutcomeUnknown, nil)
	assert.Equal(t, begin(afterRetention, 1, 8, false), idempotency.AlreadyRun)
	_, _ = store.Begin(afterRetention, idempotency.Key{Key: "other"}, 1, 9, false, afterRetention)
	assert.Equal(t, store.Len(), 1, "a home that moved by configuration has no history either")
}

// One request without an outcome must not keep all later keys until the store is full.
func TestKeysExpireDespiteOlderKeyInUse(t *testing.T) {
	start := time.Unix(1000, 0)
	key := func(name string) idempotency.Key { return idempotency.Key{Service: "ledger", Trade: "pier", Key: name} }
	for _, c := range []struct {
		name   string
		oldest func(s *idempotency.Store)
	}{
		{"still running", func(*idempotency.Store) {}},
		{"begun again", func(s *idempotency.Store) {
			s.Settle(key("oldest"), bamboofall.OutcomeNotRun, nil)
			s.Begin(start.Add(2*time.Second), key("oldest"), 1, 3, true, time.Time{})
		}},
	} {
		store := idempotency.New(start)
		store.Begin(start, key("oldest"), 1, 1, true, time.Time{})
		store.Begin(start.Add(time.Second), key("settled"), 1, 2, true, time.Time{})
		store.Settle(key("settled"), bamboofall.OutcomeAnswered, nil)
		c.oldest(store)
		at := start.Add(time.Second + idempotency.Retention)
		store.Begin(at, key("new"), 1, 4, true, time.Time{})
		assert.Equal(t, store.Len(), 2, c.name)
		d, _ := store.Begin(at, key("oldest"), 1, 5, false, time.Time{})
		assert.Equal(t, d, idempotency.InProgress, c.name)
	}
}
