package limiter

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	// bodyTimeout bounds the time to read a body. Callers wait for an answer for a minute
	// at most.
	bodyTimeout = time.Minute
	// firstBufferBytes is the size of the buffer in which the reading of a body begins,
	// in bytes. It grows with what arrives, not with what the head promises.
	firstBufferBytes = 2 << 10
)

// BodyLimit bounds a body in JSON.
type BodyLimit struct {
	// Bytes bounds its size, in bytes.
	Bytes int64
	Shape Shape
}

// newHandler returns a handler that passes requests to h and keeps the connection's pool
// informed. A request whose connection has been evicted gets no answer.
func newHandler(h http.Handler, bodyTimeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := ConnFromContext(r.Context()).(*Conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		if r.ContentLength == 0 {
			c.finishBody()
		} else {
			// A server reads the body to its end, also if the handler does not. It
			// removes the deadline then.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
		}
		h.ServeHTTP(w, r)
		if c.isEvicted() {
			panic(http.ErrAbortHandler)
		}
	})
}

// Hold charges the connection of a request for bytes of memory that the request takes beside
// its own size, until it has been answered. It returns an error of the kind Full if there is
// no room.
func Hold(r *http.Request, bytes int64) error {
	if c, ok := ConnFromContext(r.Context()).(*Conn); ok {
		return c.hold(bytes)
	}
	return nil
}

// ReadBody reads the body of a request. Its errors are of the kinds TooLarge, Full, Evicted
// and Malformed; after one the connection is closed.
func ReadBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	raw, err := readBody(w, r, maxBytes)
	if err != nil {
		// The rest of the body is not read, or only once the peer has the answer.
		w.Header().Set("Connection", "close")
		return nil, err
	}
	return raw, nil
}

func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	const op = "body"
	if r.ContentLength > maxBytes {
		return nil, &Error{Op: op, Kind: TooLarge, Text: tooLarge(maxBytes)}
	}
	var b bytes.Buffer
	b.Grow(int(min(max(r.ContentLength, 0), firstBufferBytes)) + bytes.MinRead)
	_, err := b.ReadFrom(http.MaxBytesReader(w, r.Body, maxBytes))
	var own *Error
	var over *http.MaxBytesError
	switch {
	case err == nil:
	case errors.As(err, &own):
		return nil, own
	case errors.As(err, &over):
		return nil, &Error{Op: op, Kind: TooLarge, Text: tooLarge(maxBytes)}
	default:
		return nil, &Error{Op: op, Kind: Malformed, Err: err}
	}
	if c, ok := ConnFromContext(r.Context()).(*Conn); ok {
		c.finishBody()
	}
	return b.Bytes(), nil
}

// ReadJSON reads and decodes the body of a request into v, once its shape is known to be
// within the limit. Its errors are those of ReadBody.
func ReadJSON(w http.ResponseWriter, r *http.Request, limit BodyLimit, v any) error {
	raw, err := ReadBody(w, r, limit.Bytes)
	if err != nil {
		return err
	}
	if err := limit.Shape.Check(raw); err != nil {
		return err
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return &Error{Op: "body", Kind: Malformed, Err: err}
	}
	return nil
}

// StatusOf returns the status with which to refuse a request after an error of this package.
func StatusOf(err error) int {
	var e *Error
	if errors.As(err, &e) && e.Kind == Full {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// IsEvicted reports whether err means that the connection has been closed to make room, so that
// no answer is needed.
func IsEvicted(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == Evicted
}

func tooLarge(maxBytes int64) string { return fmt.Sprintf("more than %d bytes", maxBytes) }
