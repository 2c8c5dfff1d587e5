package provider

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// lineBufferSize is the number of log lines that are buffered for a slow reader.
const lineBufferSize = 4096

// maxBatchBytes is the size in bytes from which a batch takes no more lines. A batch
// is written by one call.
const maxBatchBytes = 32 << 10

// NonBlockingWriter buffers writes for another writer and never blocks. Lines that do
// not fit into the buffer are dropped and counted; the count is written as a log line
// of its own once the other writer accepts lines again.
type NonBlockingWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
}

// NewNonBlockingWriter returns a writer that writes lines to w from a goroutine of its
// own, until Close.
func NewNonBlockingWriter(w io.Writer) *NonBlockingWriter {
	r := &NonBlockingWriter{lines: make(chan []byte, lineBufferSize), done: make(chan struct{})}
	go r.writeLines(w)
	return r
}

// Write implements io.Writer. It queues a copy of p as one line and never fails.
func (r *NonBlockingWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case r.lines <- line:
	default:
		r.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of dropped lines that the log does not report yet.
func (r *NonBlockingWriter) Dropped() uint64 { return r.dropped.Load() }

// Close writes the queued lines. Write must not be called afterwards.
func (r *NonBlockingWriter) Close() {
	r.once.Do(func() { close(r.lines) })
	<-r.done
}

// writeLines writes the queued lines in batches, since each write costs a system
// call.
func (r *NonBlockingWriter) writeLines(w io.Writer) {
	defer close(r.done)
	var batch []byte
	for line := range r.lines {
		batch = batch[:0]
		if n := r.dropped.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
		}
		batch = r.appendQueued(append(batch, line...))
		// A failure to write the log cannot be logged either.
		_, _ = w.Write(batch)
	}
}

// appendQueued appends queued lines until batch has at least maxBatchBytes bytes.
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
