package scheduler

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	// Invalid jobs can never run.
	Invalid Kind = "Invalid"
	// Unsupported jobs ask for a feature that is not implemented.
	Unsupported Kind = "Unsupported"
)

// Error is the type of the errors that this package returns.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("scheduler: %s: %s", e.Op, e.Text) }
