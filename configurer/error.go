package configurer

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	// Unreadable means that the file cannot be read.
	Unreadable Kind = "Unreadable"
	// Invalid means that the settings are malformed, hold an invalid value or lack a
	// process that was looked up.
	Invalid Kind = "Invalid"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	// File is the path of the settings file; it may be empty.
	File string
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.File == "" {
		return fmt.Sprintf("settings: %s: %v", e.Op, e.Err)
	}
	return fmt.Sprintf("settings %s: %s: %v", e.File, e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
