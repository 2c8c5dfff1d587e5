package limiter

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// lingerTime is how long a refused connection stays open for its peer to read the refusal.
const lingerTime = 500 * time.Millisecond

// phase says for whom a connection waits. Connections are evicted in the order of the phases.
type phase int

const (
	// lingering connections have been refused; their peers may still read the refusal.
	lingering phase = iota
	// idle connections carry no request.
	idle
	// unfinished ones wait for the peer to send the rest of a request or to read an
	// answer.
	unfinished
	// busy ones wait for the process. They are not evicted.
	busy
	closed

	phases = busy
)

// Conn is a connection of a pool. One goroutine at a time reads from it, and one writes.
type Conn struct {
	net.Conn
	pool *Pool

	// The fields below are guarded by the pool's mu.

	phase phase
	// writing is whether the connection waits for the peer to read.
	writing bool
	// element is the connection's place in the pool's list of a phase, listedAs, if it is in
	// one. It has been there since listedAt.
	element  *list.Element
	listedAs phase
	listedAt time.Time
	// evicted is whether the connection was closed to make room.
	evicted bool
	// held is what the connection takes of the instance's memory, in bytes.
	held int64
	// headBytes is how much has been read since the head of a request has begun, and
	// headRead whether it is whole.
	headBytes int64
	headRead  bool
	// lastChunkPrice is the price of what was read last: a part of it may belong to the
	// next request.
	lastChunkPrice int64
	// refused is whether the peer may still read a refusal.
	refused bool
	// established is whether the connection stays when it is idle.
	established bool
}

// setPhase changes the phase. The caller holds mu.
func (c *Conn) setPhase(ph phase) {
	c.phase = ph
	c.list()
}

// list moves the connection to the end of the list in which it belongs by its phase, unless it
// is there already. The caller holds mu.
func (c *Conn) list() {
	p := c.pool
	as := c.phase
	switch {
	case c.evicted || c.phase == closed:
		as = closed
	case c.writing && c.phase != lingering:
		as = unfinished
	case c.phase == idle && c.established:
		as = busy
	}
	if as == c.listedAs {
		return
	}
	if c.element != nil {
		p.evictable[c.listedAs].Remove(c.element)
		p.reclaimable -= c.held
		c.element = nil
	}
	c.listedAs = as
	if as < phases {
		c.listedAt = p.deps.Clock.Now()
		c.element = p.evictable[as].PushBack(c)
		p.reclaimable += c.held
	}
}

// setHeld changes what the connection takes. The caller holds mu.
func (c *Conn) setHeld(n int64) {
	p := c.pool
	if c.evicted {
		p.closing.held += n - c.held
	} else {
		p.open.held += n - c.held
	}
	if c.element != nil {
		p.reclaimable += n - c.held
	}
	c.held = n
}

// gone reports whether the connection has been closed or evicted. The caller holds mu.
func (c *Conn) gone() bool { return c.evicted || c.phase == closed }

// evict closes the connection to make room. What it takes counts until its goroutine calls
// Close. The caller holds mu.
func (c *Conn) evict() {
	p := c.pool
	c.evicted = true
	c.list()
	p.open.remove(c)
	p.closing.add(c)
	p.released.Broadcast()
	_ = c.Conn.Close()
	if c.phase == lingering {
		c.release()
	}
}

// release takes the connection out of the pool. The caller holds mu.
func (c *Conn) release() {
	if c.phase == closed {
		return
	}
	c.setPhase(closed)
	p := c.pool
	if c.evicted {
		p.closing.remove(c)
	} else {
		p.open.remove(c)
	}
	p.released.Broadcast()
}

// Read implements net.Conn. It fails if there is no room for what has been read.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if refusal := c.received(b[:n]); refusal != nil {
		return 0, c.refuse(refusal)
	}
	return n, err
}

// received charges for received bytes. While the process works on a request, a server reads
// only to notice that the peer leaves.
func (c *Conn) received(b []byte) error {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.gone():
		return errEvicted()
	case c.phase == busy:
		return nil
	case c.phase == idle:
		c.setPhase(unfinished)
	}
	price := p.cfg.Price.of(b, c.headRead)
	c.lastChunkPrice = p.cfg.Price.of(b[max(0, len(b)-readAheadBytes):], false)
	if !c.headRead {
		c.headBytes += int64(len(b))
		if p.cfg.MaxHeadBytes != nil && c.headBytes > p.cfg.MaxHeadBytes()+readAheadBytes {
			p.report.count(headTooLarge)
			return &Error{Op: p.cfg.Name, Kind: TooLarge, Text: "head too large"}
		}
	}
	return p.charge(c, price)
}

// The refusals of requests whose head has not been read. One that says 503 has not run.
const (
	refusedTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	refusedFull     = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// refuse returns the error for the reader of the connection. If the head of a request is
// refused, no handler can answer, so it does.
func (c *Conn) refuse(cause error) error {
	var e *Error
	c.pool.mu.Lock()
	answers := c.pool.cfg.MaxHeadBytes != nil && !c.headRead && !c.evicted && errors.As(cause, &e)
	c.refused = answers
	c.pool.mu.Unlock()
	if !answers {
		return cause
	}
	answer := refusedFull
	if e.Kind == TooLarge {
		answer = refusedTooLarge
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTime))
	_, _ = io.WriteString(c.Conn, answer)
	_ = c.CloseWrite()
	// A server says nothing more on a connection that has ended.
	return io.EOF
}

// Write implements net.Conn. While it waits for the peer to read, the connection may be
// evicted.
func (c *Conn) Write(b []byte) (int, error) {
	c.setWriting(true)
	defer c.setWriting(false)
	return c.Conn.Write(b)
}

func (c *Conn) setWriting(writing bool) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.writing = writing
	c.list()
}

// Close implements net.Conn. A refused connection is closed a little later, since the peer
// could not read the refusal otherwise.
func (c *Conn) Close() error {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.refused && !c.evicted && c.phase != closed {
		c.setPhase(lingering)
		c.refused = false
		c.pool.deps.Clock.AfterFunc(lingerTime, func() { _ = c.Close() })
		return nil
	}
	c.release()
	return c.Conn.Close()
}

// CloseWrite shuts down the writing side.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger is that of net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, syscall.EINVAL
}

// finishHead records that the head of a request is whole. It may have been read together with
// the request before.
func (c *Conn) finishHead() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.headRead = true
	if c.phase == idle {
		c.setPhase(unfinished)
	}
}

// finishBody records that a request is whole: now its peer waits.
func (c *Conn) finishBody() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.phase == idle || c.phase == unfinished {
		c.setPhase(busy)
	}
}

// hold charges for what a request takes beside its bytes, until its answer has been written.
func (c *Conn) hold(n int64) error {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.pool.charge(c, n)
}

// FinishMessage records that a message of a link has been read. A connection that has carried
// one is not evicted while it is idle.
func (c *Conn) FinishMessage() {
	c.pool.mu.Lock()
	c.established = true
	c.lastChunkPrice = 0
	c.pool.mu.Unlock()
	c.finishRequest()
}

// Exclusively calls f while no other connection of the pool does.
func (c *Conn) Exclusively(f func()) {
	c.pool.exclusive.Lock()
	defer c.pool.exclusive.Unlock()
	f()
}

// finishRequest records that the connection carries no request any more.
func (c *Conn) finishRequest() {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.phase == closed || c.phase == lingering {
		return
	}
	c.setHeld(min(c.held, ConnBytes+c.lastChunkPrice))
	c.headBytes = 0
	c.headRead = false
	c.setPhase(idle)
	p.released.Broadcast()
}

// isEvicted reports whether the connection was closed to make room.
func (c *Conn) isEvicted() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.evicted
}

// TrackState follows the state of a connection of an HTTP server. It is its ConnState hook.
func TrackState(c net.Conn, state http.ConnState) {
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
