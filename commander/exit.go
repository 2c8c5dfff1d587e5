package commander

import (
	"fmt"
	"io"

	"github.com/go-faster/errors"
)

// The exit statuses of commands.
const (
	exitFailed = 1
	// exitNotChecked means that the command could not perform its check at all.
	exitNotChecked = 2
)

// exitError is an error with an exit status.
type exitError struct {
	status int
	// err is printed unless it is nil.
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

// reportExit prints the error of a command and returns its exit status.
func reportExit(stderr io.Writer, err error) int {
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
