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
	// newConnTimeout is how long a connection without a request counts as one
	// whose request is on its way.
	newConnTimeout = 500 * time.Millisecond
	// quietPeriod is how long no request must have been in progress for a front
	// to be drained.
	quietPeriod = 50 * time.Millisecond
	// drainPollInterval is the time between two looks at the connections.
	drainPollInterval = 5 * time.Millisecond
)

// GracefulServer is an HTTP server that can be stopped without cutting off a request.
// The library's Shutdown closes a connection unanswered when the head of its
// request is read just after the call, so Front does not use it.
type GracefulServer struct {
	clock    clockwork.Clock
	server   *http.Server
	listener net.Listener

	mu sync.Mutex
	// draining is whether a planned stop has begun.
	draining bool
	// newConns holds the connections that have not carried a request yet, and when
	// they were opened; active those with a request in progress.
	newConns    map[net.Conn]time.Time
	activeConns map[net.Conn]bool
	// lastBusyAt is when a connection was last found busy.
	lastBusyAt time.Time
}

// NewGracefulServer returns a front that serves s at l. It takes over the ConnState hook
// of s.
func NewGracefulServer(clock clockwork.Clock, s *http.Server, l net.Listener) *GracefulServer {
	f := &GracefulServer{
		clock:       clock,
		server:      s,
		listener:    l,
		newConns:    make(map[net.Conn]time.Time),
		activeConns: make(map[net.Conn]bool),
	}
	s.ConnState = f.trackConnState
	return f
}

// Serve serves until the front is closed, which is no error. A drained front
// goes on until then, so that it does not end a run group before its time.
func (f *GracefulServer) Serve(ctx context.Context) error {
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
func (f *GracefulServer) Close() { _ = f.server.Close() }

// Drain takes no more connections, closes those that are idle, and waits until
// every request has been answered, or ctx ends. It returns the number of
// requests still in progress.
func (f *GracefulServer) Drain(ctx context.Context) int {
	f.mu.Lock()
	f.draining = true
	f.lastBusyAt = f.clock.Now()
	f.mu.Unlock()
	_ = f.listener.Close()
	f.server.SetKeepAlivesEnabled(false)
	for {
		left, quiet := f.checkDrained()
		if quiet || ctx.Err() != nil {
			return left
		}
		f.clock.Sleep(drainPollInterval)
	}
}

// checkDrained counts the requests in progress, and reports whether there have been
// none for the quiet time.
func (f *GracefulServer) checkDrained() (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	busy := len(f.activeConns) > 0
	for _, opened := range f.newConns {
		busy = busy || now.Sub(opened) < newConnTimeout
	}
	if busy {
		f.lastBusyAt = now
	}
	return len(f.activeConns), now.Sub(f.lastBusyAt) >= quietPeriod
}

// trackConnState follows the state of each connection.
func (f *GracefulServer) trackConnState(c net.Conn, state http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.newConns, c)
	delete(f.activeConns, c)
	switch state {
	case http.StateNew:
		f.newConns[c] = f.clock.Now()
	case http.StateActive:
		f.activeConns[c] = true
	}
}
