package approver

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	// Invalid means that the content of a bundle is invalid.
	Invalid Kind = "Invalid"
	// Unapproved means that the approval is missing, altered or not trusted, or
	// that it is the author's own.
	Unapproved Kind = "Unapproved"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s bundle: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
