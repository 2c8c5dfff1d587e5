package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// firstRTO is the time after which a segment that got no acknowledgement is sent again.
// It doubles with each further one, as in TCP.
const firstRTO = 200 * time.Millisecond

// path is the network path from clients to the front address of one entry. While it is cut,
// nothing passes from the clients to the entry; what the entry sends passes. Bytes that were
// sent meanwhile arrive with the first retransmission after the cut, and the end of a
// connection one round trip after the bytes before it, since its sender waits for their
// acknowledgement.
type path struct {
	target  string
	latency time.Duration
	l       net.Listener

	mu    sync.Mutex
	isCut bool
	// healed is closed when the cut ends.
	healed chan struct{}
	conns  []net.Conn
	// resets is the number of connections that are reset at the client's next bytes.
	resets int
}

func newPath(addr, target string, latency time.Duration) (*path, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &path{target: target, latency: latency, l: l, healed: make(chan struct{})}
	close(p.healed)
	go p.accept()
	return p, nil
}

func (p *path) addr() string { return p.l.Addr().String() }

func (p *path) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = true
	p.healed = make(chan struct{})
}

func (p *path) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = false
	close(p.healed)
}

// resetNext makes the path reset the next n connections on which a client sends bytes,
// before these reach the entry.
func (p *path) resetNext(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resets = n
}

func (p *path) takeReset() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resets == 0 {
		return false
	}
	p.resets--
	return true
}

// arrival returns when bytes that are sent now arrive, and whether the path was cut.
func (p *path) arrival() (time.Time, bool) {
	sent := time.Now()
	p.mu.Lock()
	healed, isCut := p.healed, p.isCut
	p.mu.Unlock()
	if !isCut {
		return sent.Add(p.latency), false
	}
	<-healed
	again := sent
	for rto := firstRTO; !again.After(time.Now()); rto *= 2 {
		again = again.Add(rto)
	}
	return again.Add(p.latency), true
}

func (p *path) accept() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *path) serve(client net.Conn) {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	<-healed // A connection is not opened while the path is cut.
	entry, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, client, entry)
	p.mu.Unlock()
	go p.toClient(client, entry)
	p.toEntry(client, entry)
}

func (p *path) toEntry(client, entry net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := client.Read(buf)
		if n > 0 && p.takeReset() {
			_ = client.(*net.TCPConn).SetLinger(0)
			_ = entry.(*net.TCPConn).SetLinger(0)
			_ = client.Close()
			_ = entry.Close()
			return
		}
		if n > 0 {
			at, _ := p.arrival()
			time.Sleep(time.Until(at))
			if _, werr := entry.Write(buf[:n]); werr != nil {
				_ = client.Close()
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = entry.(*net.TCPConn).SetLinger(0)
			}
			// The end follows the bytes before it by a round trip.
			time.Sleep(2 * p.latency)
			at, _ := p.arrival()
			time.Sleep(time.Until(at))
			_ = entry.Close()
			return
		}
	}
}

func (p *path) toClient(client, entry net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := entry.Read(buf)
		if n > 0 {
			time.Sleep(p.latency)
			if _, werr := client.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			_ = client.Close()
			return
		}
	}
}

func (p *path) close() {
	_ = p.l.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}
