package limiter

import "net"

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

// Listen listens on an address.
func Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }
