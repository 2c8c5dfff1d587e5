package receiver

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	// Unusable means that a setting refers to something that cannot be used, or that the
	// actor did not answer.
	Unusable Kind = "Unusable"
	// Invalid means that data of the store cannot be decoded, verified or encoded.
	Invalid Kind = "Invalid"
	// Disconnected means that there is no link, or that it was closed before an answer
	// arrived.
	Disconnected Kind = "Disconnected"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("entry: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
