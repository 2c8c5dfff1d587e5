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
	// onClose closes what the link is made of.
	onClose func()
}

// NewSender returns a sender of a link that end closes.
func NewSender(end func()) *Sender {
	return &Sender{outbox: NewOutbox(), closed: make(chan struct{}), onClose: end}
}

// Send queues msg, a value of a message type. It never blocks: a link whose
// outbox is full is closed, since its receiver has stopped reading.
func (s *Sender) Send(msg any) {
	if !s.outbox.Put(msg) {
		s.Close()
	}
}

// NextBatch waits for messages and returns all that are queued, in order. It returns
// false when the link has ended.
func (s *Sender) NextBatch() ([]any, bool) {
	select {
	case <-s.closed:
		return nil, false
	case <-s.outbox.Ready:
		return s.outbox.TakeAll(), true
	}
}

// Close ends the link. Messages still queued are dropped.
func (s *Sender) Close() {
	s.once.Do(func() {
		close(s.closed)
		s.onClose()
	})
}

// Done is closed when the link has ended.
func (s *Sender) Done() <-chan struct{} { return s.closed }

// IsClosed reports whether the link has ended.
func (s *Sender) IsClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// TimeoutConn ends reads and writes that wait longer than Limit.
type TimeoutConn struct {
	net.Conn
	Timeout time.Duration
}

// Read implements io.Reader.
func (c TimeoutConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.Timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements io.Writer.
func (c TimeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.Timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
