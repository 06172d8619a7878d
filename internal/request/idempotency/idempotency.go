// Package idempotency remembers the outcomes of requests that must run at most
// once.
//
// Each key has one home: the owner of a shard. The home begins a key before
// the request runs and settles it with the outcome. It remembers a key for the
// span in which callers may repeat a request. A home whose memory does not
// reach back that far cannot know a key that it does not remember, unless the
// caller says that the key is new, so it must not run the request.
package idempotency

import (
	"time"

	"bamboofall.example/bamboofall"
)

const (
	// Retention is the time for which a key is remembered.
	Retention = 10 * time.Minute
	// maxKeys bounds the number of keys.
	maxKeys = 200_000
	// maxStoredBytes bounds the kept answers, in bytes.
	maxStoredBytes = 16 << 20
	// maxAnswerBytes is the largest answer that is kept, in bytes.
	maxAnswerBytes = 8 << 10
)

// Answer is an upstream's answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Decision says what to do with a request.
type Decision uint8

// The decisions.
const (
	// Proceed means that the request has not run and is now begun.
	Proceed Decision = iota + 1
	// InProgress means that the request is running.
	InProgress
	// Replay means that the request has been answered with the kept answer.
	Replay
	// AlreadyRun means that the request has run or may have, and no answer is kept.
	AlreadyRun
	// HistoryTooShort means that the memory does not reach back far enough.
	HistoryTooShort
	// KeyReused means that the key was used with other content.
	KeyReused
	// StoreFull means that no more keys can be remembered.
	StoreFull
)

// Key names a request that must run at most once.
type Key struct {
	Service string
	Trade   string
	Key     string
}

type entry struct {
	contentHash uint64
	begunAt     time.Time
	running     bool
	answer      *Answer
	waiting     []uint64
}

// Store remembers the keys of one shard. Use New.
type Store struct {
	historyStart time.Time
	entries      map[Key]*entry
	// byBegunAt holds the keys by the time they were begun.
	byBegunAt   []Key
	storedBytes int
}

// New returns a memory that begins now.
func New(now time.Time) *Store {
	return &Store{historyStart: now, entries: make(map[Key]*entry)}
}

// Len returns the number of keys.
func (m *Store) Len() int { return len(m.entries) }

// Begin decides on a request. The caller's first attempt is the only one for
// which first may be set. The homeSince is when the key's home last moved here
// by configuration. A request that must wait is named in the result of Settle.
func (m *Store) Begin(now time.Time, k Key, contentHash, requestID uint64, first bool, homeSince time.Time) (Decision, *Answer) {
	m.expire(now)
	if e := m.entries[k]; e != nil {
		return e.decide(contentHash, requestID)
	}
	historyStart := m.historyStart
	if homeSince.After(historyStart) {
		historyStart = homeSince
	}
	if !first && now.Sub(historyStart) < Retention {
		return HistoryTooShort, nil
	}
	if len(m.entries) >= maxKeys {
		return StoreFull, nil
	}
	m.entries[k] = &entry{contentHash: contentHash, begunAt: now, running: true}
	m.byBegunAt = append(m.byBegunAt, k)
	return Proceed, nil
}

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

// Settle records the outcome of a begun request and returns the requests that
// waited for it. A request that was not run is forgotten, so that it may be
// tried again.
func (m *Store) Settle(k Key, outcome bamboofall.Outcome, answer *Answer) []uint64 {
	e := m.entries[k]
	if e == nil {
		return nil
	}
	waiting := e.waiting
	e.waiting = nil
	e.running = false
	if outcome == bamboofall.OutcomeNotRun {
		delete(m.entries, k)
		return waiting
	}
	if answer != nil && len(answer.Body) <= maxAnswerBytes && m.storedBytes+len(answer.Body) <= maxStoredBytes {
		e.answer = answer
		m.storedBytes += len(answer.Body)
	}
	return waiting
}

// expire forgets keys that are older than the span. A key that was begun again
// stands twice in the order; its older place does not count.
func (m *Store) expire(now time.Time) {
	for len(m.byBegunAt) > 0 {
		k := m.byBegunAt[0]
		e := m.entries[k]
		if e != nil && (e.running || now.Sub(e.begunAt) < Retention) {
			return
		}
		m.byBegunAt = m.byBegunAt[1:]
		if e == nil {
			continue
		}
		if e.answer != nil {
			m.storedBytes -= len(e.answer.Body)
		}
		delete(m.entries, k)
	}
}
