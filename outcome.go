package bamboofall

// Outcome tells a caller whether its request ran.
type Outcome uint8

const (
	// OutcomeAnswered means that the caller got the complete response to its own
	// request.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun means that no upstream started the request.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
)

// String returns the name used in response headers and reports.
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

// Class is the priority class of a request or task. The zero value means that no
// class is set.
type Class uint8

const (
	ClassUrgent Class = iota + 1
	ClassNormal
	ClassBackground
)

// Classes lists all priority classes, most urgent first.
var Classes = []Class{ClassUrgent, ClassNormal, ClassBackground}

// String returns the name used in configuration and reports.
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

// ParseClass returns the class with the given name, and false if there is none.
func ParseClass(name string) (Class, bool) {
	for _, c := range Classes {
		if c.String() == name {
			return c, true
		}
	}
	return 0, false
}
