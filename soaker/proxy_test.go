package soaker

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// proxy forwards TCP connections to a process and injects faults into them.
type proxy struct {
	address string
	target  string
	// delay is the time in nanoseconds by which each chunk of data is delayed.
	delay atomic.Int64
	// dropIn and dropOut discard the data to and from the target.
	dropIn, dropOut atomic.Bool
	// refuseNew resets new connections.
	refuseNew atomic.Bool
	// resetOnData resets a connection instead of forwarding the target's next data on it.
	resetOnData atomic.Bool

	mu    sync.Mutex
	conns map[*proxiedConn]bool
}

// proxiedConn is one forwarded connection.
type proxiedConn struct {
	in, out net.Conn
	// blackholed connections discard all data without being closed.
	blackholed atomic.Bool
	// detached connections have lost the client's side without the target noticing.
	detached atomic.Bool

	mu sync.Mutex
	// firstData is the first chunk of data from the client's side.
	firstData []byte
}

func newProxy(t testing.TB, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{address: l.Addr().String(), target: target, conns: make(map[*proxiedConn]bool)}
	t.Cleanup(func() {
		_ = l.Close()
		p.reset()
	})
	go p.accept(l)
	return p
}

func (p *proxy) accept(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		if p.refuseNew.Load() {
			abort(in)
			continue
		}
		out, err := net.DialTimeout("tcp", p.target, time.Second)
		if err != nil {
			abort(in)
			continue
		}
		c := &proxiedConn{in: in, out: out}
		p.mu.Lock()
		p.conns[c] = true
		p.mu.Unlock()
		go p.forwardIn(c)
		go p.forwardOut(c)
	}
}

// forwardIn forwards data from the client's side to the target.
func (p *proxy) forwardIn(c *proxiedConn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := c.in.Read(buf)
		time.Sleep(time.Duration(p.delay.Load()))
		if n > 0 {
			c.keepFirstData(buf[:n])
		}
		if n > 0 && !p.dropIn.Load() && !c.blackholed.Load() {
			if _, err := c.out.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if !c.detached.Load() {
		p.close(c)
	}
}

// forwardOut forwards data from the target to the client's side.
func (p *proxy) forwardOut(c *proxiedConn) {
	defer p.close(c)
	buf := make([]byte, 16<<10)
	for {
		n, err := c.out.Read(buf)
		time.Sleep(time.Duration(p.delay.Load()))
		if n > 0 && p.resetOnData.Load() {
			c.abort()
			return
		}
		if n > 0 && !p.dropOut.Load() && !c.blackholed.Load() && !c.detached.Load() {
			if _, err := c.in.Write(buf[:n]); err != nil && !c.detached.Load() {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) close(c *proxiedConn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.in.Close()
	_ = c.out.Close()
}

// keepFirstData stores a copy of the first data, which identifies the client's side.
func (c *proxiedConn) keepFirstData(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstData == nil {
		c.firstData = bytes.Clone(data)
	}
}

// isFrom reports whether the first data of the client's side contains a name.
func (c *proxiedConn) isFrom(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return bytes.Contains(c.firstData, []byte(name))
}

// abort resets both sides of the connection.
func (c *proxiedConn) abort() {
	abort(c.in)
	abort(c.out)
}

func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// openConns returns the forwarded connections.
func (p *proxy) openConns() []*proxiedConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*proxiedConn, 0, len(p.conns))
	for c := range p.conns {
		out = append(out, c)
	}
	return out
}

// dropFor discards the data of one direction for a duration, and then resets all
// connections.
func (p *proxy) dropFor(direction *atomic.Bool, duration time.Duration) {
	direction.Store(true)
	time.Sleep(duration)
	direction.Store(false)
	p.reset()
}

// reset resets all connections.
func (p *proxy) reset() {
	for _, c := range p.openConns() {
		c.abort()
	}
}

// resetFrom resets the connections whose first data contains a name.
func (p *proxy) resetFrom(name string) {
	for _, c := range p.openConns() {
		if c.isFrom(name) {
			c.abort()
		}
	}
}

// resetCallers resets the client's side of all connections. The target's side stays open
// for closeDelay, and data from the target is discarded.
func (p *proxy) resetCallers(closeDelay time.Duration) {
	for _, c := range p.openConns() {
		if c.detached.Swap(true) {
			continue
		}
		abort(c.in)
		time.AfterFunc(closeDelay, func() { abort(c.out) })
	}
}

// blackhole leaves all connections open and discards their data from now on.
func (p *proxy) blackhole() {
	for _, c := range p.openConns() {
		c.blackholed.Store(true)
	}
}
