package agent

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	// Unusable means that a setting refers to something that cannot be used.
	Unusable Kind = "Unusable"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("agent: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
