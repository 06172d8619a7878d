// Package fencing chooses the fencing tokens of the orders to a worker.
//
// A worker rejects an order whose token is lower than the highest one that it has seen. A token
// consists of the epoch of the owner and of an order number within it, so that a process that has
// executed an order rejects all orders of former owners, and those that its owner sent before the
// number was raised and that are still under way.
package fencing

import "bamboofall.example/bamboofall"

const (
	// numberBits is the size of the order number. JSON numbers are exact up to 53 bits, which
	// leaves 23 for the epoch.
	numberBits = 30
	// MaxNumber is the highest order number.
	MaxNumber = 1<<numberBits - 1
)

// Epoch returns the epoch of a token.
func Epoch(t bamboofall.Token) uint64 { return uint64(t) >> numberBits }

func number(t bamboofall.Token) uint64 { return uint64(t) & MaxNumber }

// Sequence holds the order number of one worker within an epoch. It never falls, as the process
// of the worker may have seen the present one. The zero value is ready for use.
type Sequence struct {
	// number is that of the next order, and sent that of the last one.
	number, sent uint64
}

// StartAt returns a sequence for a worker that may have seen numbers of this epoch up to the given
// one.
func StartAt(number uint64) Sequence { return Sequence{number: number} }

// Number returns the highest number that the worker may have seen.
func (s *Sequence) Number() uint64 { return s.number }

// Next returns the token of the next order.
func (s *Sequence) Next(epoch uint64) bamboofall.Token {
	s.sent = s.number
	return bamboofall.Token(epoch<<numberBits | s.number)
}

// Raise gives the next orders a higher token than all before them.
func (s *Sequence) Raise() {
	if s.sent == s.number && !s.Exhausted() {
		s.number++
	}
}

// Exhausted reports whether the number cannot be raised any more. The epoch must end then.
func (s *Sequence) Exhausted() bool { return s.number == MaxNumber }

// Overtaken reports whether the rejection of an order may be due to a later order of the same
// owner. If not, the worker has executed an order of a later owner.
func (s *Sequence) Overtaken(t bamboofall.Token) bool { return number(t) < s.sent }
