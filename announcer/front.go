package announcer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
)

const (
	// unusedPatience is how long a connection without a request counts as one
	// whose request is on its way.
	unusedPatience = 500 * time.Millisecond
	// quietTime is how long no request must have been in progress for a front
	// to be drained.
	quietTime = 50 * time.Millisecond
	// drainInterval is the time between two looks at the connections.
	drainInterval = 5 * time.Millisecond
)

// Front is an HTTP server that can be stopped without cutting off a request.
// The library's Shutdown closes a connection unanswered when the head of its
// request is read just after the call, so Front does not use it.
type Front struct {
	clock    clockwork.Clock
	server   *http.Server
	listener net.Listener

	mu sync.Mutex
	// draining is whether a planned stop has begun.
	draining bool
	// fresh holds the connections that have not carried a request yet, and when
	// they were opened; active those with a request in progress.
	fresh  map[net.Conn]time.Time
	active map[net.Conn]bool
	// busyAt is when a connection was last found busy.
	busyAt time.Time
}

// NewFront returns a front that serves s at l. It takes over the ConnState hook
// of s.
func NewFront(clock clockwork.Clock, s *http.Server, l net.Listener) *Front {
	f := &Front{
		clock:    clock,
		server:   s,
		listener: l,
		fresh:    make(map[net.Conn]time.Time),
		active:   make(map[net.Conn]bool),
	}
	s.ConnState = f.note
	return f
}

// Serve serves until the front is closed, which is no error. A drained front
// goes on until then, so that it does not end a run group before its time.
func (f *Front) Serve(ctx context.Context) error {
	err := Serve(f.server, f.listener)
	f.mu.Lock()
	draining := f.draining
	f.mu.Unlock()
	if draining && errors.Is(err, net.ErrClosed) {
		<-ctx.Done()
		return nil
	}
	return err
}

// Close ends the front at once.
func (f *Front) Close() { _ = f.server.Close() }

// Drain takes no more connections, closes those that are idle, and waits until
// every request has been answered, or ctx ends. It returns the number of
// requests still in progress.
func (f *Front) Drain(ctx context.Context) int {
	f.mu.Lock()
	f.draining = true
	f.busyAt = f.clock.Now()
	f.mu.Unlock()
	_ = f.listener.Close()
	f.server.SetKeepAlivesEnabled(false)
	for {
		left, quiet := f.look()
		if quiet || ctx.Err() != nil {
			return left
		}
		f.clock.Sleep(drainInterval)
	}
}

// look counts the requests in progress, and reports whether there have been
// none for the quiet time.
func (f *Front) look() (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	busy := len(f.active) > 0
	for _, opened := range f.fresh {
		busy = busy || now.Sub(opened) < unusedPatience
	}
	if busy {
		f.busyAt = now
	}
	return len(f.active), now.Sub(f.busyAt) >= quietTime
}

// note follows the state of each connection.
func (f *Front) note(c net.Conn, state http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.fresh, c)
	delete(f.active, c)
	switch state {
	case http.StateNew:
		f.fresh[c] = f.clock.Now()
	case http.StateActive:
		f.active[c] = true
	}
}
