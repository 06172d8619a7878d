// Package ring joins two threads by a bounded queue.
//
// A producer that must not wait uses TryPush, which refuses when the ring is
// full and counts the refusal. A producer that has nothing else to do may wait
// in Push.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded queue. Use New. It is safe for concurrent use.
type Ring[T any] struct {
	items   chan T
	refused atomic.Int64
}

// New returns an empty ring with room for a number of items.
func New[T any](size int) *Ring[T] { return &Ring[T]{items: make(chan T, size)} }

// TryPush adds an item. It reports false if the ring is full.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Push adds an item as soon as there is room. It reports false if the context
// ended first.
func (r *Ring[T]) Push(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		return true
	case <-ctx.Done():
		return false
	}
}

// Items returns the channel from which the consumer takes.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Refused returns the number of items that were refused.
func (r *Ring[T]) Refused() int64 { return r.refused.Load() }
