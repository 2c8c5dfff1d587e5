package server

import (
	"context"
	"syscall"

	"github.com/pomeloferry/pomeloferry/limiter"
)

// PeerClosed reports whether the peer of a request's connection has closed or reset
// it. The context of a request is cancelled when its connection ends, but only after
// package net/http has read from it: a process that was paused would begin a request
// that its caller has long since sent elsewhere.
func PeerClosed(ctx context.Context) bool {
	c, ok := limiter.ConnFromContext(ctx).(syscall.Conn)
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
