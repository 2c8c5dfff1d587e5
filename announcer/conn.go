package announcer

import (
	"context"
	"net"
	"syscall"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ContextWithConn keeps a connection for Gone. It is a ConnContext hook of a server.
func ContextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// PeerClosed reports whether the peer of a request's connection has closed or reset
// it. The context of a request ends with its connection, but only once the
// library has come to read from it: a process that has been kept from running
// would begin a request whose caller has long sent it elsewhere.
func PeerClosed(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	// The read lock of the connection is held by the library's own read, so that
	// Control is used in place of Read.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch err {
		case nil:
			gone = n == 0
		case syscall.ECONNRESET, syscall.EPIPE, syscall.ENOTCONN, syscall.ETIMEDOUT:
			gone = true
		}
	})
	return gone || err != nil
}
