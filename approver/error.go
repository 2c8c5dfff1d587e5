package approver

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	// Invalid means that the content of a bundle is wrong.
	Invalid Kind = "Invalid"
	// Unapproved means that the approval is missing, altered or not trusted.
	Unapproved Kind = "Unapproved"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s bundle: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
