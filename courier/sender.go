package courier

import (
	"net"
	"sync"
	"time"
)

// Sender is the sending side of a link: it queues messages and closes the link. The
// links of this package and of package messenger are built on it.
type Sender struct {
	outbox *Outbox
	closed chan struct{}
	once   sync.Once
	// onClose closes the underlying connection.
	onClose func()
}

// NewSender returns the sender of a link whose connection is closed by onClose.
func NewSender(onClose func()) *Sender {
	return &Sender{outbox: NewOutbox(), closed: make(chan struct{}), onClose: onClose}
}

// Send queues msg, a value of a message type. It never blocks: a link whose outbox is
// full is closed, since its peer has stopped reading.
func (s *Sender) Send(msg any) {
	if !s.outbox.Put(msg) {
		s.Close()
	}
}

// NextBatch waits for messages and returns all queued ones in order. It returns false
// when the link is closed.
func (s *Sender) NextBatch() ([]any, bool) {
	select {
	case <-s.closed:
		return nil, false
	case <-s.outbox.Ready:
		return s.outbox.TakeAll(), true
	}
}

// Close closes the link. Messages that are still queued are dropped.
func (s *Sender) Close() {
	s.once.Do(func() {
		close(s.closed)
		s.onClose()
	})
}

// Done returns a channel that is closed when the link is closed.
func (s *Sender) Done() <-chan struct{} { return s.closed }

// IsClosed reports whether the link is closed.
func (s *Sender) IsClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// TimeoutConn is a connection whose reads and writes fail after Timeout.
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
