// Package ring provides a bounded queue between goroutines.
//
// A producer that must not block uses TryPush, which rejects the item if the queue is
// full and counts the rejection. A producer that may block uses Push.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded queue. It is safe for concurrent use. Use New.
type Ring[T any] struct {
	items chan T
	// rejected counts the items that TryPush rejected.
	rejected atomic.Int64
}

// New returns an empty queue for up to size items.
func New[T any](size int) *Ring[T] { return &Ring[T]{items: make(chan T, size)} }

// TryPush adds an item without blocking. It returns false if the queue is full.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.rejected.Add(1)
		return false
	}
}

// Push adds an item, and blocks while the queue is full. It returns false if the
// context ends first.
func (r *Ring[T]) Push(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		return true
	case <-ctx.Done():
		return false
	}
}

// Items returns the channel from which consumers receive.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Rejected returns the number of items that TryPush rejected.
func (r *Ring[T]) Rejected() int64 { return r.rejected.Load() }
