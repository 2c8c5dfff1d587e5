package checker

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// The kinds of errors.
const (
	// Unreadable means that the file cannot be decoded.
	Unreadable ErrorKind = "Unreadable"
	// Unknown means that the file has none of the forms that can be checked.
	Unknown ErrorKind = "Unknown"
	// Mismatched means that two files have forms that are not compared with each
	// other.
	Mismatched ErrorKind = "Mismatched"
)

// Error states why a file could not be checked.
type Error struct {
	Op   string
	Kind ErrorKind
	File string
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.File, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
