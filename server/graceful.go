package server

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
	// newConnTimeout is how long a request is still expected on a connection that has
	// not carried one.
	newConnTimeout = 500 * time.Millisecond
	// quietPeriod is the time without a request in progress or expected after which
	// the server counts as drained.
	quietPeriod = 50 * time.Millisecond
	// drainPollInterval is the time between two checks of the connections.
	drainPollInterval = 5 * time.Millisecond
)

// GracefulServer is an HTTP server that can be stopped without cutting off a request.
// It does not use http.Server.Shutdown, which closes a connection without a response
// if the header of its request is read just after the call.
type GracefulServer struct {
	clock    clockwork.Clock
	server   *http.Server
	listener net.Listener

	mu sync.Mutex
	// draining is whether Drain has been called.
	draining bool
	// newConns holds the connections that have not carried a request yet, with the
	// times when they were opened; activeConns those with a request in progress.
	newConns    map[net.Conn]time.Time
	activeConns map[net.Conn]bool
	// lastBusyAt is when a request was last in progress or expected.
	lastBusyAt time.Time
}

// NewGracefulServer returns a server that serves s at l. It adds to the ConnState hook of
// s.
func NewGracefulServer(clock clockwork.Clock, s *http.Server, l net.Listener) *GracefulServer {
	g := &GracefulServer{
		clock:       clock,
		server:      s,
		listener:    l,
		newConns:    make(map[net.Conn]time.Time),
		activeConns: make(map[net.Conn]bool),
	}
	next := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		g.trackConnState(c, state)
		if next != nil {
			next(c, state)
		}
	}
	return g
}

// Serve serves until the server is closed, which is no error. Once Drain has closed the
// listener, it returns only when ctx ends, so that it does not end a run group early.
func (g *GracefulServer) Serve(ctx context.Context) error {
	err := Serve(g.server, g.listener)
	g.mu.Lock()
	draining := g.draining
	g.mu.Unlock()
	if draining && errors.Is(err, net.ErrClosed) {
		<-ctx.Done()
		return nil
	}
	return err
}

// Close stops the server at once and closes all connections.
func (g *GracefulServer) Close() { _ = g.server.Close() }

// Drain accepts no more connections, closes idle ones, and waits until every request
// has been answered or ctx ends. It returns the number of requests still in progress.
func (g *GracefulServer) Drain(ctx context.Context) int {
	g.mu.Lock()
	g.draining = true
	g.lastBusyAt = g.clock.Now()
	g.mu.Unlock()
	_ = g.listener.Close()
	g.server.SetKeepAlivesEnabled(false)
	for {
		active, quiet := g.checkDrained()
		if quiet || ctx.Err() != nil {
			return active
		}
		g.clock.Sleep(drainPollInterval)
	}
}

// checkDrained returns the number of requests in progress, and whether none has been in
// progress or expected for quietPeriod.
func (g *GracefulServer) checkDrained() (int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	busy := len(g.activeConns) > 0
	for _, opened := range g.newConns {
		busy = busy || now.Sub(opened) < newConnTimeout
	}
	if busy {
		g.lastBusyAt = now
	}
	return len(g.activeConns), now.Sub(g.lastBusyAt) >= quietPeriod
}

// trackConnState records the state of each connection. It is part of the ConnState hook.
func (g *GracefulServer) trackConnState(c net.Conn, state http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.newConns, c)
	delete(g.activeConns, c)
	switch state {
	case http.StateNew:
		g.newConns[c] = g.clock.Now()
	case http.StateActive:
		g.activeConns[c] = true
	}
}
