package fencing

import (
	"testing"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
)

// A raise must fence every order before it, and none after it.
func TestRaiseFencesEarlierOrders(t *testing.T) {
	var s Sequence
	first, second := s.Next(3), s.Next(3)
	assert.Equal(t, first, second, "orders fence each other without a raise")
	assert.Assert(t, !s.Overtaken(first))
	s.Raise()
	assert.Assert(t, !s.Overtaken(second), "no later order has been sent")
	third := s.Next(3)
	assert.Assert(t, third > second)
	assert.Assert(t, s.Overtaken(second))
	assert.Assert(t, !s.Overtaken(third))
}

// Repeated raises without an order between them must not use up numbers.
func TestRaiseWithoutOrderKeepsNumber(t *testing.T) {
	var s Sequence
	first := s.Next(1)
	for range 10 {
		s.Raise()
	}
	assert.Equal(t, s.Next(1), first+1)
}

// Any token of a later epoch must fence all tokens of an earlier one, whatever their numbers.
func TestLaterEpochFencesAllNumbers(t *testing.T) {
	last := Sequence{number: MaxNumber}
	var s Sequence
	former, next := last.Next(7), s.Next(8)
	assert.Assert(t, next > former)
	assert.Equal(t, Epoch(former), uint64(7))
	assert.Equal(t, Epoch(next), uint64(8))
}

// The last number of an epoch must not run into the next epoch, whose owner is another one.
func TestExhaustedSequenceStaysInEpoch(t *testing.T) {
	s := Sequence{number: MaxNumber - 1}
	s.Next(7)
	assert.Assert(t, !s.Exhausted())
	s.Raise()
	assert.Assert(t, s.Exhausted())
	s.Next(7)
	s.Raise()
	assert.Equal(t, Epoch(s.Next(7)), uint64(7))
}

// The platform's JSON numbers are exact up to 53 bits. Run numbers limit the epoch to 22 bits.
func TestTokenIsExactInJSON(t *testing.T) {
	const lastEpoch = 1<<22 - 1
	s := Sequence{number: MaxNumber}
	token := s.Next(lastEpoch)
	assert.Equal(t, bamboofall.Token(float64(token)), token)
	assert.Assert(t, token < 1<<53)
}

// A worker that was removed and is announced again may have seen its highest token.
func TestSequenceOfRemovedWorkerContinues(t *testing.T) {
	var removed Sequence
	removed.Next(1)
	removed.Raise()
	seen := removed.Next(1)
	s := StartAt(removed.Number())
	assert.Assert(t, s.Next(1) >= seen)
}
