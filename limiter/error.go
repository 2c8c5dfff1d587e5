package limiter

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	// Full means that there is no room for a request beside those in progress.
	Full Kind = "Full"
	// Evicted means that the connection has been closed to make room for others.
	Evicted Kind = "Evicted"
	// TooLarge means that a head or a body has more bytes than allowed.
	TooLarge Kind = "TooLarge"
	// Malformed means that a body cannot be read or decoded, or has more parts than allowed.
	Malformed Kind = "Malformed"
)

// Error is the error type of this package. Op is the name of a pool, or what was read.
type Error struct {
	Op   string
	Kind Kind
	Text string
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %v", e.Op, e.Err)
	}
	return fmt.Sprintf("%s: %s", e.Op, e.Text)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func errEvicted() error {
	return &Error{Op: "connection", Kind: Evicted, Text: "closed to make room for others"}
}
