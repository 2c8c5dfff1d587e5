package limiter

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// DefaultMaxHeadBytes bounds the head of a request where no configuration does, in
	// bytes.
	DefaultMaxHeadBytes = 64 << 10
	// MaxServerHeadBytes is the bound of the HTTP library, in bytes, above which no other
	// has an effect.
	MaxServerHeadBytes = 1 << 20
	// idleConnTimeout is the time without use after which a connection is closed.
	idleConnTimeout = 2 * time.Minute
	// answerTimeout bounds the time from a request's head until its answer has been
	// written. Jobs take a minute at most.
	answerTimeout = 2 * time.Minute
)

// NewServer returns an HTTP server for the connections of pools. A head has to be whole
// within headerTimeout.
func NewServer(h http.Handler, headerTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler:           newHandler(h, bodyTimeout),
		MaxHeaderBytes:    MaxServerHeadBytes,
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      answerTimeout,
		IdleTimeout:       idleConnTimeout,
		ConnContext:       ContextWithConn,
		ConnState:         trackState,
	}
}

// trackState follows the state of a connection of an HTTP server. It is its ConnState hook.
func trackState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		conn.finishHead()
	case http.StateIdle:
		conn.finishRequest()
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ContextWithConn stores a connection in the context of its requests. It is the ConnContext
// hook of a server.
func ContextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnFromContext returns the connection of a request, nil if the server does not store it.
func ConnFromContext(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}
