package provider

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// ringSize is the number of log lines that wait for a slow reader.
const ringSize = 4096

// batchSize bounds what is written at once, in bytes.
const batchSize = 32 << 10

// RingWriter passes writes on to another writer without ever blocking. What
// does not fit the ring is dropped and counted; the count is written as a line
// of its own when there is room again.
type RingWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
}

// NewRingWriter returns a writer that passes lines on to w.
func NewRingWriter(w io.Writer) *RingWriter {
	r := &RingWriter{lines: make(chan []byte, ringSize), done: make(chan struct{})}
	go r.run(w)
	return r
}

// Write implements io.Writer. It takes p as one line and never fails.
func (r *RingWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case r.lines <- line:
	default:
		r.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped and not yet told of.
func (r *RingWriter) Dropped() uint64 { return r.dropped.Load() }

// Close passes on what waits. Nothing may be written after it.
func (r *RingWriter) Close() {
	r.once.Do(func() { close(r.lines) })
	<-r.done
}

// run passes on all that waits in one write, since each costs a system call.
func (r *RingWriter) run(w io.Writer) {
	defer close(r.done)
	var batch []byte
	for line := range r.lines {
		batch = batch[:0]
		if n := r.dropped.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
		}
		batch = r.fill(append(batch, line...))
		// A log that cannot be written cannot be told of either.
		_, _ = w.Write(batch)
	}
}

// fill appends the lines that wait, up to about batchSize bytes.
func (r *RingWriter) fill(batch []byte) []byte {
	for len(batch) < batchSize {
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
