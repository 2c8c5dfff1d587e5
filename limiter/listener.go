package limiter

import (
	"context"
	"net"
	"syscall"
)

// Listener returns a listener that admits the connections of l to the pool.
func (p *Pool) Listener(l net.Listener) net.Listener { return listener{l, p} }

type listener struct {
	net.Listener
	pool *Pool
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.pool.admit(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// socketBufferBytes is the size of the kernel's buffer for what a connection has received and
// nobody has read yet, and of that for what has been written to it and the peer has not taken,
// in bytes.
const socketBufferBytes = 8 << 10

// Listen listens on an address. The kernel's buffers of its connections are small, since
// their sum over all connections counts too.
func Listen(address string) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// Connections inherit these. One with other sizes works as well.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBufferBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBufferBytes)
		})
	}}
	return cfg.Listen(context.Background(), "tcp", address)
}
