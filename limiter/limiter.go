// Package limiter bounds what the connections of a process take of its instance: their
// number, and the memory that requests take, unfinished ones included. The bounds hold for
// all connections of a listener together. When they are reached, the connections that need
// the process least are closed: idle ones first, then those whose peer has kept a request
// unfinished, or an answer unread, for longest. A request that the process works on is never
// cut off; a new one for which there is no room beside those is refused.
package limiter

import (
	"container/list"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/pomeloferry/pomeloferry/provider"
)

const (
	// ConnBytes is what an open connection takes of the instance's memory whatever it
	// carries, in bytes: the goroutine and the buffers of its server, and what the
	// kernel's buffers of socketBufferBytes hold, which take twice their size.
	ConnBytes = 40 << 10
	// minIdleTime is the time without a request after which a connection goes before one
	// whose request is unfinished. A request takes less from the opening of its connection
	// to its first byte.
	minIdleTime = 500 * time.Millisecond
	// readAheadBytes is how much a server reads of a connection at a time, in bytes. What
	// it has read beyond the end of a request belongs to the next one.
	readAheadBytes = 4 << 10
)

// Config configures a Pool.
type Config struct {
	// Name names the pool in logs and metrics.
	Name string
	// MaxConns bounds the connections, those that are being closed included.
	MaxConns int
	// MaxBytes bounds what all connections together take of the instance's memory, in
	// bytes, those that are being closed included.
	MaxBytes int64
	// MaxHeadBytes returns the bound of the head of a request, in bytes. It is nil if the
	// connections do not carry HTTP.
	MaxHeadBytes func() int64
	Price        Price
}

// closingShare is the share of the bounds, as a divisor, that is left to connections which
// have been closed and whose goroutines have not ended yet.
const closingShare = 8

// Pool is the connections of one listener. It is safe for concurrent use.
type Pool struct {
	deps   provider.Deps
	cfg    Config
	report *report
	// exclusive is held by Conn.Exclusively.
	exclusive sync.Mutex

	mu sync.Mutex
	// released is signalled when a connection has ended and when one is evicted.
	released *sync.Cond
	// open are the connections that have not been evicted, and closing those that have
	// been and whose goroutines have not ended.
	open, closing usage
	// reclaimable is what the connections in evictable take, in bytes.
	reclaimable int64
	// evictable has the connections of each phase that may be closed, the one that has
	// been in it for longest first.
	evictable [evictablePhases]list.List
}

// usage is a number of connections and what they take of the instance's memory, in bytes.
type usage struct {
	conns int
	held  int64
}

func (u *usage) add(c *Conn) {
	u.conns++
	u.held += c.held
}

func (u *usage) remove(c *Conn) {
	u.conns--
	u.held -= c.held
}

// NewPool returns a pool without connections.
func NewPool(deps provider.Deps, cfg Config) *Pool {
	p := &Pool{deps: deps, cfg: cfg, report: newReport(deps, cfg.Name)}
	p.released = sync.NewCond(&p.mu)
	deps.Metrics.GetOrCreateGauge(fmt.Sprintf("pomeloferry_connections{listener=%q}", cfg.Name), func() float64 {
		return float64(p.usage().conns)
	})
	deps.Metrics.GetOrCreateGauge(fmt.Sprintf("pomeloferry_connection_bytes{listener=%q}", cfg.Name), func() float64 {
		return float64(p.usage().held)
	})
	return p
}

// usage returns what the connections take.
func (p *Pool) usage() usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return usage{conns: p.open.conns + p.closing.conns, held: p.open.held + p.closing.held}
}

// admit makes room for one more connection and counts it. It returns nil if all others are in
// use.
func (p *Pool) admit(raw net.Conn) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.open.conns >= p.cfg.maxOpenConns() || p.open.held+ConnBytes > p.cfg.maxOpenBytes() {
		if !p.evictOne(nil) {
			p.report.count(noConnection, p.open)
			return nil
		}
	}
	for p.open.conns+p.closing.conns >= p.cfg.MaxConns || p.open.held+p.closing.held+ConnBytes > p.cfg.MaxBytes {
		p.released.Wait()
	}
	c := &Conn{Conn: raw, pool: p, held: ConnBytes, listedAs: closed}
	c.setPhase(idle)
	p.open.add(c)
	return c
}

// charge adds to what a connection takes. It evicts others to make room, and returns an error
// of the kind Full if that cannot be enough. The caller holds mu.
func (p *Pool) charge(c *Conn, n int64) error {
	if c.gone() {
		return errEvicted()
	}
	if p.open.held+n-p.reclaimable > p.cfg.maxOpenBytes() {
		return p.full(n)
	}
	for p.open.held+n > p.cfg.maxOpenBytes() {
		if !p.evictOne(c) {
			return p.full(n)
		}
	}
	for p.open.held+p.closing.held+n > p.cfg.MaxBytes && !c.gone() {
		p.released.Wait()
	}
	if c.gone() {
		return errEvicted()
	}
	c.setHeld(c.held + n)
	return nil
}

// full returns the error of a connection for which there is no room. The caller holds mu.
func (p *Pool) full(n int64) error {
	p.report.count(noMemory, p.open)
	return &Error{Op: p.cfg.Name, Kind: Full, Text: fmt.Sprintf("no room for %d bytes", n)}
}

// evictOne closes the connection that the process needs least. It returns false if there is
// none or if that is c. The caller holds mu.
func (p *Pool) evictOne(c *Conn) bool {
	victim := p.victim(c)
	if victim == nil || victim == c {
		return false
	}
	p.report.count(evictionReason(victim.listedAs), p.open)
	victim.evict()
	return true
}

// victim returns the connection that the process needs least, nil if it needs all; it may be c,
// for which there has to be room. An idle one may have been opened for a request that is still
// on its way. The caller holds mu.
func (p *Pool) victim(c *Conn) *Conn {
	if refused := p.first(lingering); refused != nil {
		return refused
	}
	idle, unfinished := p.first(idle), p.first(unfinished)
	switch {
	case idle == nil:
		return unfinished
	case unfinished == nil || unfinished == c || p.deps.Clock.Since(idle.listedAt) >= minIdleTime || idle.listedAt.Before(unfinished.listedAt):
		return idle
	}
	return unfinished
}

// first returns the connection that has been in a phase for longest, nil if there is none. The
// caller holds mu.
func (p *Pool) first(ph phase) *Conn {
	if e := p.evictable[ph].Front(); e != nil {
		return e.Value.(*Conn)
	}
	return nil
}
