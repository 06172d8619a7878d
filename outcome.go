package bamboofall

// Outcome is what a caller learns about its request.
type Outcome uint8

// The three outcomes.
const (
	// OutcomeAnswered means that the answer is whole and the caller's own.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun means that no upstream started the request.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
)

// String returns the name of the outcome in answers and reports.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "notRun"
	case OutcomeUnknown:
		return "unknown"
	}
	return "invalid"
}

// Class is the urgency of work. The zero value is no class.
type Class uint8

// The classes of urgency, most urgent first.
const (
	ClassUrgent Class = iota + 1
	ClassNormal
	ClassBackground
)

// Classes lists all classes, most urgent first.
var Classes = []Class{ClassUrgent, ClassNormal, ClassBackground}

// String returns the name of the class in configuration and reports.
func (c Class) String() string {
	switch c {
	case ClassUrgent:
		return "urgent"
	case ClassNormal:
		return "normal"
	case ClassBackground:
		return "background"
	}
	return "invalid"
}

// ParseClass returns the class with the given name. It reports false if there
// is none.
func ParseClass(name string) (Class, bool) {
	for _, c := range Classes {
		if c.String() == name {
			return c, true
		}
	}
	return 0, false
}
