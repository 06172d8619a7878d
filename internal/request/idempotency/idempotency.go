// Package idempotency records the outcomes of requests that must run at most
// once.
//
// Each idempotency key has one home, the owner of a shard. The home calls Begin
// before the request runs and Settle with its outcome. It remembers a key for
// Retention, the time in which callers may repeat a request. If the history of a
// home is shorter than that, an unknown key may have been used with an earlier
// home. Such a request must not run, unless the caller states that the key is new.
package idempotency

import (
	"time"

	"bamboofall.example/bamboofall"
)

const (
	// Retention is how long a key is remembered after it was begun.
	Retention = 10 * time.Minute
	// maxKeys is the maximum number of keys.
	maxKeys = 200_000
	// maxStoredBytes is the maximum total size of the stored answers.
	maxStoredBytes = 16 << 20
	// maxAnswerBytes is the maximum size of an answer that is stored.
	maxAnswerBytes = 8 << 10
)

// Answer is the answer of an upstream to a request.
type Answer struct {
	// Status is the HTTP status code.
	Status      int
	ContentType string
	Body        []byte
}

// Decision says how to proceed with a request.
type Decision uint8

// Decisions.
const (
	// Proceed means that the request has not run. It is recorded as running.
	Proceed Decision = iota + 1
	// InProgress means that a request with the key is running.
	InProgress
	// Replay means that the request was answered and the stored answer applies.
	Replay
	// AlreadyRun means that the request has run or may have run, and that no
	// answer is stored.
	AlreadyRun
	// HistoryTooShort means that the key is unknown and the history is too short
	// to tell whether it was used before.
	HistoryTooShort
	// KeyReused means that the key was used with a different body.
	KeyReused
	// StoreFull means that the store holds maxKeys keys.
	StoreFull
)

// Key identifies a request that must run at most once.
type Key struct {
	Service string
	Trade   string
	Key     string
}

// entry is the state of one key.
type entry struct {
	contentHash uint64
	begunAt     time.Time
	running     bool
	answer      *Answer
	// waiting holds the IDs of the requests that wait for the running one.
	waiting []uint64
}

// begunKey is a key and the time at which it was begun.
type begunKey struct {
	key     Key
	begunAt time.Time
}

// Store holds the keys of one shard. Use New.
type Store struct {
	// historyStart is when the store was created. Requests before that are
	// unknown.
	historyStart time.Time
	entries      map[Key]*entry
	// byBegunAt holds the keys in the order of begunAt. A key that was begun again is
	// in it twice.
	byBegunAt []begunKey
	// storedBytes is the total size of the stored answers.
	storedBytes int
}

// New returns an empty store whose history starts now.
func New(now time.Time) *Store {
	return &Store{historyStart: now, entries: make(map[Key]*entry)}
}

// Len returns the number of keys.
func (s *Store) Len() int { return len(s.entries) }

// Begin decides whether a request may run. The flag first states that the key
// was never used before. The time homeSince is when the configuration last
// moved the key's home to this data centre. After InProgress, Settle returns
// requestID.
func (s *Store) Begin(now time.Time, k Key, contentHash, requestID uint64, first bool, homeSince time.Time) (Decision, *Answer) {
	s.expire(now)
	if e := s.entries[k]; e != nil {
		return e.decide(contentHash, requestID)
	}
	historyStart := s.historyStart
	if homeSince.After(historyStart) {
		historyStart = homeSince
	}
	if !first && now.Sub(historyStart) < Retention {
		return HistoryTooShort, nil
	}
	if len(s.entries) >= maxKeys {
		return StoreFull, nil
	}
	s.entries[k] = &entry{contentHash: contentHash, begunAt: now, running: true}
	s.byBegunAt = append(s.byBegunAt, begunKey{k, now})
	return Proceed, nil
}

// decide decides on a request whose key is known.
func (e *entry) decide(contentHash, requestID uint64) (Decision, *Answer) {
	switch {
	case e.contentHash != contentHash:
		return KeyReused, nil
	case e.running:
		e.waiting = append(e.waiting, requestID)
		return InProgress, nil
	case e.answer != nil:
		return Replay, e.answer
	}
	return AlreadyRun, nil
}

// Settle records the outcome of a request and returns the IDs of the requests
// that waited for it. A request that was not run is forgotten, so that it may
// be tried again.
func (s *Store) Settle(k Key, outcome bamboofall.Outcome, answer *Answer) []uint64 {
	e := s.entries[k]
	if e == nil {
		return nil
	}
	waiting := e.waiting
	e.waiting = nil
	e.running = false
	if outcome == bamboofall.OutcomeNotRun {
		delete(s.entries, k)
		return waiting
	}
	if answer != nil && len(answer.Body) <= maxAnswerBytes && s.storedBytes+len(answer.Body) <= maxStoredBytes {
		e.answer = answer
		s.storedBytes += len(answer.Body)
	}
	return waiting
}

// expire removes keys older than Retention. A key that is still running is kept for
// another Retention.
func (s *Store) expire(now time.Time) {
	for len(s.byBegunAt) > 0 && now.Sub(s.byBegunAt[0].begunAt) >= Retention {
		oldest := s.byBegunAt[0]
		s.byBegunAt = s.byBegunAt[1:]
		e := s.entries[oldest.key]
		switch {
		case e == nil || !e.begunAt.Equal(oldest.begunAt):
			// The request was not run, and may have been begun again later.
		case e.running:
			e.begunAt = now
			s.byBegunAt = append(s.byBegunAt, begunKey{oldest.key, now})
		default:
			if e.answer != nil {
				s.storedBytes -= len(e.answer.Body)
			}
			delete(s.entries, oldest.key)
		}
	}
}
