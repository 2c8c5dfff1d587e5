package provider

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// lineBufferSize is the number of log lines that are buffered for a slow reader, and
// maxBufferedBytes their size in all, in bytes: what callers send may be part of a line.
const (
	lineBufferSize   = 4096
	maxBufferedBytes = 4 << 20
)

// maxBatchBytes is the size in bytes from which a batch takes no more lines. A batch
// is written by one call.
const maxBatchBytes = 32 << 10

// NonBlockingWriter buffers writes for another writer and never blocks. Lines that do
// not fit into the buffer are dropped and counted; the count is written as a log line
// of its own once the other writer accepts lines again.
type NonBlockingWriter struct {
	lines     chan []byte
	buffered  atomic.Int64
	dropped   atomic.Uint64
	done      chan struct{}
	closeOnce sync.Once
}

// NewNonBlockingWriter returns a writer that writes lines to w from a goroutine of its
// own, until Close.
func NewNonBlockingWriter(w io.Writer) *NonBlockingWriter {
	nw := &NonBlockingWriter{lines: make(chan []byte, lineBufferSize), done: make(chan struct{})}
	go nw.writeLines(w)
	return nw
}

// Write implements io.Writer. It queues a copy of p as one line and never fails.
func (nw *NonBlockingWriter) Write(p []byte) (int, error) {
	size := int64(len(p))
	if nw.buffered.Add(size) > maxBufferedBytes {
		nw.drop(size)
		return len(p), nil
	}
	line := append([]byte(nil), p...)
	select {
	case nw.lines <- line:
	default:
		nw.drop(size)
	}
	return len(p), nil
}

// drop counts a line that is not buffered.
func (nw *NonBlockingWriter) drop(size int64) {
	nw.buffered.Add(-size)
	nw.dropped.Add(1)
}

// Dropped returns the number of dropped lines that the log does not report yet.
func (nw *NonBlockingWriter) Dropped() uint64 { return nw.dropped.Load() }

// Close writes the queued lines. Write must not be called afterwards.
func (nw *NonBlockingWriter) Close() {
	nw.closeOnce.Do(func() { close(nw.lines) })
	<-nw.done
}

// writeLines writes the queued lines in batches, since each write costs a system
// call.
func (nw *NonBlockingWriter) writeLines(w io.Writer) {
	defer close(nw.done)
	var batch []byte
	for line := range nw.lines {
		batch = batch[:0]
		if n := nw.dropped.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
		}
		batch = nw.appendQueued(nw.appendLine(batch, line))
		// A failure to write the log cannot be logged either.
		_, _ = w.Write(batch)
	}
}

// appendLine appends a line that has been taken from the buffer.
func (nw *NonBlockingWriter) appendLine(batch, line []byte) []byte {
	nw.buffered.Add(-int64(len(line)))
	return append(batch, line...)
}

// appendQueued appends queued lines until batch has at least maxBatchBytes bytes.
func (nw *NonBlockingWriter) appendQueued(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line, ok := <-nw.lines:
			if !ok {
				return batch
			}
			batch = nw.appendLine(batch, line)
		default:
			return batch
		}
	}
	return batch
}
