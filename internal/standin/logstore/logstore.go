// Package logstore is an in-memory stand-in for the platform's append-only log.
//
// It keeps the entries of each stream for a retention period, limits the rate
// of appends, and simulates faults of the log: downtime, slow answers, and
// appends that take effect but whose answer is lost.
package logstore

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bamboofall.example/bamboofall"
)

const maxPageEntries = 500

// ErrDown is the error of all calls while the log is down.
var ErrDown = errors.New("log is down")

// ErrRateLimited is the error of appends beyond the allowed rate.
var ErrRateLimited = errors.New("log append rate limit exceeded")

// ErrAnswerLost is the error of an append that took effect but whose answer was
// lost.
var ErrAnswerLost = errors.New("answer to log append lost")

// Faults are the faults injected into the log. The zero value has none.
type Faults struct {
	// Down makes all appends and reads fail.
	Down bool
	// Delay is the extra latency of each call. Callers of the store add it, as
	// the store itself never waits.
	Delay time.Duration
	// LoseAnswers is the fraction of appends, 0 to 1, that take effect but fail
	// with ErrAnswerLost.
	LoseAnswers float64
}

type storedEntry struct {
	entry      bamboofall.Entry
	appendedAt time.Time
}

type stream struct {
	// entries are the entries with offsets from oldest up to next.
	entries []storedEntry
	oldest  bamboofall.Offset
	next    bamboofall.Offset
}

// Store is the log. Use New. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	retention time.Duration
	limiter   *rate.Limiter
	rand      *rand.Rand
	faults    Faults
	streams   map[string]*stream
	// appended is closed and replaced at each append, to wake waiting readers.
	appended chan struct{}
	// appends and bytes count the appends that took effect and their payload.
	appends int64
	bytes   int64
}

// New returns an empty log with the given retention period and limit of appends
// per second. The seed determines which answers get lost.
func New(retention time.Duration, appendsPerSecond float64, seed uint64) *Store {
	return &Store{
		retention: retention,
		limiter:   rate.NewLimiter(rate.Limit(appendsPerSecond), int(appendsPerSecond)+1),
		rand:      rand.New(rand.NewPCG(seed, seed)),
		streams:   make(map[string]*stream),
		appended:  make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Delay returns the injected latency, which the caller adds to each call.
func (s *Store) Delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Delay
}

// Appends returns the number of appends that took effect and their payload
// bytes.
func (s *Store) Appends() (count, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends, s.bytes
}

func (s *Store) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{}
		s.streams[name] = st
	}
	return st
}

// Append appends an entry to a stream and returns its offset. It fails while
// the log is down or the rate limit is exceeded.
func (s *Store) Append(now time.Time, name string, data []byte) (bamboofall.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return 0, ErrDown
	}
	if !s.limiter.AllowN(now, 1) {
		return 0, ErrRateLimited
	}
	st := s.stream(name)
	offset := st.next
	st.entries = append(st.entries, storedEntry{bamboofall.Entry{Offset: offset, Data: data}, now})
	st.next++
	s.appends++
	s.bytes += int64(len(data))
	close(s.appended)
	s.appended = make(chan struct{})
	if s.rand.Float64() < s.faults.LoseAnswers {
		return 0, ErrAnswerLost
	}
	return offset, nil
}

// Read returns a page of a stream's entries from an offset on, and a channel
// that is closed at the next append to any stream. Expired entries are skipped;
// the page's Oldest shows it.
func (s *Store) Read(now time.Time, name string, from bamboofall.Offset) (bamboofall.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return bamboofall.Page{}, s.appended, ErrDown
	}
	st := s.stream(name)
	st.expire(now.Add(-s.retention))
	page := bamboofall.Page{Oldest: st.oldest, Next: st.next}
	start := max(from, st.oldest)
	for i := int(start - st.oldest); i < len(st.entries) && len(page.Entries) < maxPageEntries; i++ {
		page.Entries = append(page.Entries, st.entries[i].entry)
	}
	return page, s.appended, nil
}

// expire removes entries that were appended before the given time.
func (st *stream) expire(before time.Time) {
	for len(st.entries) > 0 && st.entries[0].appendedAt.Before(before) {
		st.entries = st.entries[1:]
		st.oldest++
	}
}
