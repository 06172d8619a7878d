package lease

import "time"

// CellClock tells the age of a cell, a time that each owner passes on in its records. The
// clock of an owner is never ahead of those of the owners before it: it starts from the age
// in a record that one of them had sent when it was read. So a time that an owner stored by
// age has passed when the clock of any later owner reaches that age, even if that process
// had not started when it was stored. The zero value is a clock that is not known.
type CellClock struct {
	age time.Duration
	at  time.Time
}

// NewCellClock returns a clock that shows an age at a time.
func NewCellClock(age time.Duration, at time.Time) CellClock { return CellClock{age, at} }

// IsKnown reports whether the clock shows an age.
func (c CellClock) IsKnown() bool { return !c.at.IsZero() }

// Age returns the age at a time. It is zero if the clock is not known.
func (c CellClock) Age(at time.Time) time.Duration {
	if !c.IsKnown() {
		return 0
	}
	return c.age + at.Sub(c.at)
}

// TimeOf returns the time at which the clock shows an age.
func (c CellClock) TimeOf(age time.Duration) time.Time { return c.at.Add(age - c.age) }

// Clock returns the clock of the present owner as this process reads it.
func (l *Lease) Clock() CellClock { return l.clock }
