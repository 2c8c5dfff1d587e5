package courier

import (
	"net"
	"sync"
	"time"
)

// Sender is the sending side of a link: the messages that wait, and the link's
// end. Both kinds of links are built on it.
type Sender struct {
	outbox *Outbox
	closed chan struct{}
	once   sync.Once
	// end closes what the link is made of.
	end func()
}

// NewSender returns a sender of a link that end closes.
func NewSender(end func()) *Sender {
	return &Sender{outbox: NewOutbox(), closed: make(chan struct{}), end: end}
}

// Send queues msg, a value of a message type. It never blocks: a link whose
// outbox is full is closed, since its receiver has stopped reading.
func (s *Sender) Send(msg any) {
	if !s.outbox.Put(msg) {
		s.Close()
	}
}

// Next waits for messages and returns all that are queued, in order. It returns
// false when the link has ended.
func (s *Sender) Next() ([]any, bool) {
	select {
	case <-s.closed:
		return nil, false
	case <-s.outbox.Ready:
		return s.outbox.Take(), true
	}
}

// Close ends the link. Messages still queued are dropped.
func (s *Sender) Close() {
	s.once.Do(func() {
		close(s.closed)
		s.end()
	})
}

// Done is closed when the link has ended.
func (s *Sender) Done() <-chan struct{} { return s.closed }

// Ended reports whether the link has ended.
func (s *Sender) Ended() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// LimitedConn ends reads and writes that wait longer than Limit.
type LimitedConn struct {
	net.Conn
	Limit time.Duration
}

// Read implements io.Reader.
func (c LimitedConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.Limit)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements io.Writer.
func (c LimitedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.Limit)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
