package commander

import (
	"fmt"
	"io"

	"github.com/go-faster/errors"
)

// The exit statuses of commands.
const (
	exitFailed = 1
	// exitUnusable means that the command could not do its work at all.
	exitUnusable = 2
)

// exitError ends a command with a status of its own.
type exitError struct {
	status int
	// err is printed; nil prints nothing.
	err error
}

// Error implements error.
func (e *exitError) Error() string {
	if e.err == nil {
		return fmt.Sprintf("status %d", e.status)
	}
	return e.err.Error()
}

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// exit prints the error of a command and returns its exit status.
func exit(stderr io.Writer, err error) int {
	status := exitFailed
	if e, ok := errors.Into[*exitError](err); ok {
		status = e.status
		if e.err == nil {
			return status
		}
	}
	fmt.Fprintln(stderr, "pomeloferry:", err)
	return status
}
