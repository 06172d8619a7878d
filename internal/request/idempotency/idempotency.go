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
	// Span is the time for which a key is remembered.
	Span = 10 * time.Minute
	// maxKeys bounds the number of keys.
	maxKeys = 200_000
	// maxBytes bounds the kept answers, in bytes.
	maxBytes = 16 << 20
	// maxAnswer is the largest answer that is kept, in bytes.
	maxAnswer = 8 << 10
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
	// Run means that the request has not run and is now begun.
	Run Decision = iota + 1
	// Wait means that the request is running.
	Wait
	// Repeat means that the request has been answered with the kept answer.
	Repeat
	// Ran means that the request has run or may have, and no answer is kept.
	Ran
	// CannotKnow means that the memory does not reach back far enough.
	CannotKnow
	// Reused means that the key was used with other content.
	Reused
	// Full means that no more keys can be remembered.
	Full
)

// Key names a request that must run at most once.
type Key struct {
	Service string
	Trade   string
	Key     string
}

type entry struct {
	content uint64
	begun   time.Time
	running bool
	answer  *Answer
	waiting []uint64
}

// Memory remembers the keys of one shard. Use New.
type Memory struct {
	since   time.Time
	entries map[Key]*entry
	// order holds the keys by the time they were begun.
	order []Key
	bytes int
}

// New returns a memory that begins now.
func New(now time.Time) *Memory {
	return &Memory{since: now, entries: make(map[Key]*entry)}
}

// Len returns the number of keys.
func (m *Memory) Len() int { return len(m.entries) }

// Begin decides on a request. The caller's first attempt is the only one for
// which first may be set. The homeSince is when the key's home last moved here
// by configuration. A request that must wait is named in the result of Settle.
func (m *Memory) Begin(now time.Time, k Key, content, request uint64, first bool, homeSince time.Time) (Decision, *Answer) {
	m.expire(now)
	if e := m.entries[k]; e != nil {
		return e.decide(content, request)
	}
	since := m.since
	if homeSince.After(since) {
		since = homeSince
	}
	if !first && now.Sub(since) < Span {
		return CannotKnow, nil
	}
	if len(m.entries) >= maxKeys {
		return Full, nil
	}
	m.entries[k] = &entry{content: content, begun: now, running: true}
	m.order = append(m.order, k)
	return Run, nil
}

func (e *entry) decide(content, request uint64) (Decision, *Answer) {
	switch {
	case e.content != content:
		return Reused, nil
	case e.running:
		e.waiting = append(e.waiting, request)
		return Wait, nil
	case e.answer != nil:
		return Repeat, e.answer
	}
	return Ran, nil
}

// Settle records the outcome of a begun request and returns the requests that
// waited for it. A request that was not run is forgotten, so that it may be
// tried again.
func (m *Memory) Settle(k Key, outcome bamboofall.Outcome, answer *Answer) []uint64 {
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
	if answer != nil && len(answer.Body) <= maxAnswer && m.bytes+len(answer.Body) <= maxBytes {
		e.answer = answer
		m.bytes += len(answer.Body)
	}
	return waiting
}

// expire forgets keys that are older than the span. A key that was begun again
// stands twice in the order; its older place does not count.
func (m *Memory) expire(now time.Time) {
	for len(m.order) > 0 {
		k := m.order[0]
		e := m.entries[k]
		if e != nil && (e.running || now.Sub(e.begun) < Span) {
			return
		}
		m.order = m.order[1:]
		if e == nil {
			continue
		}
		if e.answer != nil {
			m.bytes -= len(e.answer.Body)
		}
		delete(m.entries, k)
	}
}
