package bamboofall

import "fmt"

// StaleTokenError says that a fencing token was refused for a larger one.
type StaleTokenError struct {
	Given Token
	Seen  Token
}

func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("token %d is fenced by token %d", e.Given, e.Seen)
}

// UnavailableError says that a part of the platform did not answer.
type UnavailableError struct {
	Part string
	Err  error
}

func (e *UnavailableError) Error() string { return fmt.Sprintf("%s unavailable: %v", e.Part, e.Err) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }
