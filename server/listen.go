package server

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/pomeloferry/pomeloferry/limiter"
)

// Kind classifies an Error.
type Kind string

// Unusable means that a process cannot use the value of a setting.
const Unusable Kind = "Unusable"

// Error is the error type of this package. Op is the name of the setting, or what failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("process: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Address is an address to listen on and the name of the setting that holds it.
type Address struct {
	Setting string
	Addr    string
}

// Listen opens listeners on all addresses, or on none if one fails. Its error names the
// setting.
func Listen(addresses ...Address) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, a := range addresses {
		l, err := limiter.Listen(a.Addr)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, &Error{Op: a.Setting, Kind: Unusable, Err: err}
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// Serve serves s at l until the server is closed, which is no error.
func Serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Tick calls f at an interval until ctx ends.
func Tick(ctx context.Context, clock clockwork.Clock, interval time.Duration, f func()) error {
	t := clock.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.Chan():
			f()
		}
	}
}
