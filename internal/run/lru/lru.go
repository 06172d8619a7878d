// Package lru implements a map of bounded size that evicts the least recently stored
// entries.
package lru

import (
	"container/list"
	"iter"
)

// Map is a map with a maximum number of entries. Use New. It is not safe for concurrent
// use.
type Map[K comparable, V any] struct {
	limit    int
	elements map[K]*list.Element
	// order holds the entries, the most recently stored one first.
	order *list.List
}

type entry[K comparable, V any] struct {
	key   K
	value V
}

// New returns an empty map with at most limit entries.
func New[K comparable, V any](limit int) *Map[K, V] {
	return &Map[K, V]{limit: limit, elements: make(map[K]*list.Element), order: list.New()}
}

// Len returns the number of entries.
func (m *Map[K, V]) Len() int { return len(m.elements) }

// Get returns the value of a key. It does not count as use of the entry.
func (m *Map[K, V]) Get(key K) (V, bool) {
	e, ok := m.elements[key]
	if !ok {
		var none V
		return none, false
	}
	return e.Value.(*entry[K, V]).value, true
}

// Put stores the value of a key and evicts the least recently stored entry if the map is
// full.
func (m *Map[K, V]) Put(key K, value V) {
	if e, ok := m.elements[key]; ok {
		e.Value.(*entry[K, V]).value = value
		m.order.MoveToFront(e)
		return
	}
	m.elements[key] = m.order.PushFront(&entry[K, V]{key, value})
	if len(m.elements) > m.limit {
		oldest := m.order.Remove(m.order.Back()).(*entry[K, V])
		delete(m.elements, oldest.key)
	}
}

// All iterates over the entries, the most recently stored one first.
func (m *Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for e := m.order.Front(); e != nil; e = e.Next() {
			stored := e.Value.(*entry[K, V])
			if !yield(stored.key, stored.value) {
				return
			}
		}
	}
}
