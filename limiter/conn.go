package limiter

import (
	"container/list"
	"net"
	"syscall"
	"time"
)

// phase says for whom a connection waits. In the phases before busy it may be evicted.
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

	// evictablePhases is the number of the phases in which connections are evicted.
	evictablePhases = busy
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
	c.relist()
}

// relist moves the connection to the end of the list in which it belongs by its phase, unless it
// is there already. The caller holds mu.
func (c *Conn) relist() {
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
	if as < evictablePhases {
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
	c.relist()
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
			p.report.count(headTooLarge, p.open)
			return &Error{Op: p.cfg.Name, Kind: TooLarge, Text: "head too large"}
		}
	}
	return p.charge(c, price)
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
	c.relist()
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

// finishRequest records that the connection carries no request any more. It may have read a
// part of the next one already.
func (c *Conn) finishRequest() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.finish(c.lastChunkPrice)
}

// FinishMessage records that a message of a link has been handled. A connection that has carried
// one is not evicted while it is idle.
func (c *Conn) FinishMessage() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.established = true
	c.finish(0)
}

// finish makes the connection idle, with at most a number of bytes beside ConnBytes. The caller
// holds mu.
func (c *Conn) finish(kept int64) {
	if c.phase == closed || c.phase == lingering {
		return
	}
	c.setHeld(min(c.held, ConnBytes+kept))
	c.headBytes = 0
	c.headRead = false
	c.setPhase(idle)
	c.pool.released.Broadcast()
}

// Exclusively calls f while no other connection of the pool does.
func (c *Conn) Exclusively(f func()) {
	c.pool.exclusive.Lock()
	defer c.pool.exclusive.Unlock()
	f()
}

// isEvicted reports whether the connection was closed to make room.
func (c *Conn) isEvicted() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.evicted
}
