package limiter

import (
	"io"
	"time"

	"github.com/go-faster/errors"
)

// lingerTime is how long a refused connection stays open for its peer to read the refusal.
const lingerTime = 500 * time.Millisecond

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
