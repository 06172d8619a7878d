// Package logstore is a stand-in for the platform's append-only log.
//
// It keeps streams in memory for a limited time, takes a limited number of
// appends a second, and has the log's faults: it can be down, slow, and lose
// the answer to an append that took effect. It decides nothing.
package logstore

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bamboofall.example/bamboofall"
)

// maxPage is the largest number of entries in a page.
const maxPage = 500

// ErrDown is the answer while the log is down.
var ErrDown = errors.New("the log is down")

// ErrBusy is the answer to more appends than the log takes.
var ErrBusy = errors.New("too many appends")

// ErrAnswerLost is the answer to an append that took effect.
var ErrAnswerLost = errors.New("no answer")

// Faults are the faults in force. The zero value has none.
type Faults struct {
	Down bool
	// Delay is added to each answer by the caller of the store.
	Delay time.Duration
	// LoseAnswers is the share of appends whose answer is lost, 0 to 1.
	LoseAnswers float64
}

type kept struct {
	entry bamboofall.Entry
	at    time.Time
}

type stream struct {
	entries []kept
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
	grown     chan struct{}
	appends   int64
	bytes     int64
}

// New returns an empty log that keeps entries for a time and takes a number of
// appends a second.
func New(retention time.Duration, appendsPerSecond float64, seed uint64) *Store {
	return &Store{
		retention: retention,
		limiter:   rate.NewLimiter(rate.Limit(appendsPerSecond), int(appendsPerSecond)+1),
		rand:      rand.New(rand.NewPCG(seed, seed)),
		streams:   make(map[string]*stream),
		grown:     make(chan struct{}),
	}
}

// SetFaults puts faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Delay returns the delay to add to an answer.
func (s *Store) Delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Delay
}

// Appends returns the number of appends that took effect, and their bytes.
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

// Append appends an entry.
func (s *Store) Append(now time.Time, name string, data []byte) (bamboofall.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return 0, ErrDown
	}
	if !s.limiter.AllowN(now, 1) {
		return 0, ErrBusy
	}
	st := s.stream(name)
	offset := st.next
	st.entries = append(st.entries, kept{bamboofall.Entry{Offset: offset, Data: data}, now})
	st.next++
	s.appends++
	s.bytes += int64(len(data))
	close(s.grown)
	s.grown = make(chan struct{})
	if s.rand.Float64() < s.faults.LoseAnswers {
		return 0, ErrAnswerLost
	}
	return offset, nil
}

// Read returns the entries from an offset on, and a channel that is closed at
// the next append to any stream.
func (s *Store) Read(now time.Time, name string, from bamboofall.Offset) (bamboofall.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return bamboofall.Page{}, s.grown, ErrDown
	}
	st := s.stream(name)
	st.drop(now.Add(-s.retention))
	page := bamboofall.Page{Oldest: st.oldest, Next: st.next}
	start := max(from, st.oldest)
	for i := int(start - st.oldest); i < len(st.entries) && len(page.Entries) < maxPage; i++ {
		page.Entries = append(page.Entries, st.entries[i].entry)
	}
	return page, s.grown, nil
}

// drop forgets the entries from before a moment.
func (st *stream) drop(before time.Time) {
	for len(st.entries) > 0 && st.entries[0].at.Before(before) {
		st.entries = st.entries[1:]
		st.oldest++
	}
}
