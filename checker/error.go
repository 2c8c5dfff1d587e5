package checker

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// The kinds of errors.
const (
	// Unreadable means that the file cannot be read.
	Unreadable ErrorKind = "Unreadable"
	// Unknown means that the file is none of those that can be checked.
	Unknown ErrorKind = "Unknown"
	// Mismatched means that two files do not belong together.
	Mismatched ErrorKind = "Mismatched"
)

// Error tells why a check could not be done.
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
