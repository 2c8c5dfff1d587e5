package server

import (
	"context"
	"net"
	"syscall"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ContextWithConn stores a connection in the context for PeerClosed. It is the
// ConnContext hook of a server.
func ContextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// PeerClosed reports whether the peer of a request's connection has closed or reset
// it. The context of a request is cancelled when its connection ends, but only after
// package net/http has read from it: a process that was paused would begin a request
// that its caller has long since sent elsewhere.
func PeerClosed(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	// Read would wait for the connection's read lock, which package net/http holds in
	// its own read, so Control is used.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch err {
		case nil:
			closed = n == 0
		case syscall.ECONNRESET, syscall.EPIPE, syscall.ENOTCONN, syscall.ETIMEDOUT:
			closed = true
		}
	})
	return closed || err != nil
}
