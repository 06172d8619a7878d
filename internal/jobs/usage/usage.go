// Package usage accounts for the processor time of workers by what became of it.
//
// In overload a fleet can be fully used and still serve few callers: the processor time
// goes to jobs that end too late to be worth anything, or to runs that are stopped. The
// account tells the two apart from a lack of capacity.
package usage

import (
	"fmt"
	"strings"
	"time"
)

// Kind is the kind of the tasks of a job.
type Kind uint8

// Values of Kind.
const (
	// Reserved tasks run on processors that they reserve.
	Reserved Kind = iota
	// BestEffort tasks use what other tasks leave idle.
	BestEffort
	numKinds
)

func (k Kind) String() string { return [numKinds]string{"reserved", "bestEffort"}[k] }

// Outcome is what became of processor time.
type Outcome uint8

// Values of Outcome.
const (
	// InTime was spent on runs of jobs that met their objective.
	InTime Outcome = iota
	// Late was spent on jobs that ended later, but with a result of some value.
	Late
	// Expired was spent on jobs that ended too late for their result to have a value.
	Expired
	// Unfinished was spent on jobs that failed or were cancelled.
	Unfinished
	// Discarded was spent on runs that ended without a result.
	Discarded
	numOutcomes
)

func (o Outcome) String() string {
	return [numOutcomes]string{"inTime", "late", "expired", "unfinished", "discarded"}[o]
}

// OutcomeOf returns the outcome for a job that was completed in a time, given the times up
// to which it counts as in time and as late.
func OutcomeOf(took, inTime, late time.Duration) Outcome {
	switch {
	case took <= inTime:
		return InTime
	case took <= late:
		return Late
	}
	return Expired
}

// Account holds the processor time by kind and outcome. The zero value is empty.
type Account struct {
	spent [numKinds][numOutcomes]time.Duration
}

// Add adds processor time.
func (a *Account) Add(k Kind, o Outcome, d time.Duration) { a.spent[k][o] += d }

// Each calls a function with each kind and outcome and its processor time.
func (a *Account) Each(visit func(Kind, Outcome, time.Duration)) {
	for k := range numKinds {
		for o := range numOutcomes {
			visit(k, o, a.spent[k][o])
		}
	}
}

// String formats the processor time of each kind that has any, in seconds.
func (a *Account) String() string {
	var b strings.Builder
	for k := range numKinds {
		if a.spent[k] == [numOutcomes]time.Duration{} {
			continue
		}
		if b.Len() > 0 {
			b.WriteString("; ")
		}
		b.WriteString(k.String())
		for o := range numOutcomes {
			fmt.Fprintf(&b, " %v %.0f", o, a.spent[k][o].Seconds())
		}
	}
	return b.String()
}
