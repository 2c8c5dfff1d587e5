package scheduler_test

import (
	"time"
)

// restartDelay is how long after its end a process starts again.
const restartDelay = 200 * time.Millisecond

// panicCountdown makes a process panic after a number of events, so that the effects of the
// last one are lost and the process ends. Zero means never.
type panicCountdown struct{ events int }

// panicsNow counts an event and reports whether the process panics on it.
func (c *panicCountdown) panicsNow() bool {
	if c.events == 0 {
		return false
	}
	c.events--
	return c.events == 0
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
