package main

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// proxy plays the path from one machine to a listener of another.
type proxy struct {
	addr   string
	target string
	l      *net.TCPListener
	// dark drops all packets of open connections, in both directions.
	dark atomic.Bool

	mu      sync.Mutex
	conns   []*proxied
	fillers []net.Conn
}

type proxied struct {
	in, out net.Conn
	// lost connections have lost the side that dialled: it is reset, and the other side
	// hears nothing of that.
	lost atomic.Bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: l.Addr().String(), target: target, l: l.(*net.TCPListener)}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		in, err := p.l.Accept()
		if err != nil {
			return
		}
		for p.dark.Load() {
			time.Sleep(5 * time.Millisecond)
		}
		out, err := net.DialTimeout("tcp", p.target, time.Second)
		if err != nil {
			_ = in.(*net.TCPConn).SetLinger(0)
			_ = in.Close()
			continue
		}
		c := &proxied{in: in, out: out}
		p.mu.Lock()
		p.conns = append(p.conns, c)
		p.mu.Unlock()
		go p.forward(c, in, out, true)
		go p.forward(c, out, in, false)
	}
}

func (p *proxy) forward(c *proxied, from, to net.Conn, inward bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for err != nil && p.dark.Load() {
			time.Sleep(5 * time.Millisecond) // The end of a connection doesn't cross a cut either.
		}
		if n > 0 && !p.dark.Load() && !c.lost.Load() {
			if _, werr := to.Write(buf[:n]); werr != nil && !c.lost.Load() {
				err = werr
			}
		}
		if err != nil {
			if inward && c.lost.Load() {
				return
			}
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}

// cut makes the path silent: open connections carry nothing any more, and packets that
// open new ones get no answer.
func (p *proxy) cut() {
	p.dark.Store(true)
	raw, err := p.l.SyscallConn()
	if err != nil {
		return
	}
	// With its queue full the listener drops the packets that open connections.
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	for range 8 {
		c, err := net.DialTimeout("tcp", p.addr, 40*time.Millisecond)
		if err != nil {
			break
		}
		p.mu.Lock()
		p.fillers = append(p.fillers, c)
		p.mu.Unlock()
	}
}

// heal ends a cut. Connections that were open carry nothing any more and are reset.
func (p *proxy) heal() {
	p.mu.Lock()
	for _, c := range p.fillers {
		_ = c.Close()
	}
	for _, c := range p.conns {
		_ = c.in.(*net.TCPConn).SetLinger(0)
		_ = c.out.(*net.TCPConn).SetLinger(0)
		_ = c.in.Close()
		_ = c.out.Close()
	}
	p.fillers, p.conns = nil, nil
	p.mu.Unlock()
	if raw, err := p.l.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 128) })
	}
	p.dark.Store(false)
}

// loseClients resets the dialling side of all connections; the other side hears nothing.
func (p *proxy) loseClients() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.lost.Store(true)
		_ = c.in.(*net.TCPConn).SetLinger(0)
		_ = c.in.Close()
	}
}
