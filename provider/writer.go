package provider

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// lineBufferSize is the number of log lines that wait for a slow reader.
const lineBufferSize = 4096

// maxBatchBytes bounds what is written at once, in bytes.
const maxBatchBytes = 32 << 10

// NonBlockingWriter passes writes on to another writer without ever blocking. What
// does not fit the ring is dropped and counted; the count is written as a line
// of its own when there is room again.
type NonBlockingWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
}

// NewNonBlockingWriter returns a writer that passes lines on to w.
func NewNonBlockingWriter(w io.Writer) *NonBlockingWriter {
	r := &NonBlockingWriter{lines: make(chan []byte, lineBufferSize), done: make(chan struct{})}
	go r.writeLines(w)
	return r
}

// Write implements io.Writer. It takes p as one line and never fails.
func (r *NonBlockingWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case r.lines <- line:
	default:
		r.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped and not yet told of.
func (r *NonBlockingWriter) Dropped() uint64 { return r.dropped.Load() }

// Close passes on what waits. Nothing may be written after it.
func (r *NonBlockingWriter) Close() {
	r.once.Do(func() { close(r.lines) })
	<-r.done
}

// writeLines passes on all that waits in one write, since each costs a system call.
func (r *NonBlockingWriter) writeLines(w io.Writer) {
	defer close(r.done)
	var batch []byte
	for line := range r.lines {
		batch = batch[:0]
		if n := r.dropped.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
		}
		batch = r.appendQueued(append(batch, line...))
		// A log that cannot be written cannot be told of either.
		_, _ = w.Write(batch)
	}
}

// appendQueued appends the lines that wait, up to about maxBatchBytes bytes.
func (r *NonBlockingWriter) appendQueued(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line, ok := <-r.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
