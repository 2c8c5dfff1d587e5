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

// proxy carries connections to a process and spoils them on request.
type proxy struct {
	address string
	target  string
	// delay holds back each piece of data, in nanoseconds.
	delay atomic.Int64
	// muteIn and muteOut swallow what goes to, or comes from, the target.
	muteIn, muteOut atomic.Bool
	// refuse resets new connections.
	refuse atomic.Bool
	// swallow resets a connection in place of the target's next answer on it.
	swallow atomic.Bool

	mu    sync.Mutex
	conns map[*pair]bool
}

// pair is one connection that is carried.
type pair struct {
	in, out net.Conn
	// silent pairs swallow everything, without a reset.
	silent atomic.Bool
	// detached pairs have lost the caller's side, which the target is not told.
	detached atomic.Bool

	mu sync.Mutex
	// greeting is the first data of the caller's side.
	greeting []byte
}

func newProxy(t testing.TB, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{address: l.Addr().String(), target: target, conns: make(map[*pair]bool)}
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
		if p.refuse.Load() {
			abort(in)
			continue
		}
		out, err := net.DialTimeout("tcp", p.target, time.Second)
		if err != nil {
			abort(in)
			continue
		}
		c := &pair{in: in, out: out}
		p.mu.Lock()
		p.conns[c] = true
		p.mu.Unlock()
		go p.carryIn(c)
		go p.carryOut(c)
	}
}

// carryIn carries what the caller's side sends.
func (p *proxy) carryIn(c *pair) {
	buf := make([]byte, 16<<10)
	for {
		n, err := c.in.Read(buf)
		time.Sleep(time.Duration(p.delay.Load()))
		if n > 0 {
			c.greet(buf[:n])
		}
		if n > 0 && !p.muteIn.Load() && !c.silent.Load() {
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

// applyEffects carries what the target sends.
func (p *proxy) carryOut(c *pair) {
	defer p.close(c)
	buf := make([]byte, 16<<10)
	for {
		n, err := c.out.Read(buf)
		time.Sleep(time.Duration(p.delay.Load()))
		if n > 0 && p.swallow.Load() {
			c.abort()
			return
		}
		if n > 0 && !p.muteOut.Load() && !c.silent.Load() && !c.detached.Load() {
			if _, err := c.in.Write(buf[:n]); err != nil && !c.detached.Load() {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) close(c *pair) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.in.Close()
	_ = c.out.Close()
}

// greet keeps the first data, by which the caller's side is told.
func (c *pair) greet(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.greeting == nil {
		c.greeting = bytes.Clone(data)
	}
}

// from reports whether the caller's side has named itself so.
func (c *pair) from(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return bytes.Contains(c.greeting, []byte(name))
}

// abort resets a connection on both sides.
func (c *pair) abort() {
	abort(c.in)
	abort(c.out)
}

func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// open returns the connections that are carried.
func (p *proxy) open() []*pair {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*pair, 0, len(p.conns))
	for c := range p.conns {
		out = append(out, c)
	}
	return out
}

// silence swallows what goes one way for a while, and then breaks all
// connections.
func (p *proxy) silence(way *atomic.Bool, span time.Duration) {
	way.Store(true)
	time.Sleep(span)
	way.Store(false)
	p.reset()
}

// reset breaks all connections.
func (p *proxy) reset() {
	for _, c := range p.open() {
		c.abort()
	}
}

// resetFrom breaks the connections whose caller's side has named itself so.
func (p *proxy) resetFrom(name string) {
	for _, c := range p.open() {
		if c.from(name) {
			c.abort()
		}
	}
}

// resetCallers breaks the caller's side of all connections. The target's side
// stays open for a while, and what comes from there is lost.
func (p *proxy) resetCallers(late time.Duration) {
	for _, c := range p.open() {
		if c.detached.Swap(true) {
			continue
		}
		abort(c.in)
		time.AfterFunc(late, func() { abort(c.out) })
	}
}

// hush leaves all connections open and silent.
func (p *proxy) hush() {
	for _, c := range p.open() {
		c.silent.Store(true)
	}
}
