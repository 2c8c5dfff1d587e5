package provider

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

const (
	// maxBootAge is the longest time for which the time since boot is extrapolated
	// from the monotonic clock.
	maxBootAge = 50 * time.Millisecond
	// clockTolerance is the smallest difference between the progress of the
	// monotonic clock and of the wall clock that is taken for a possible suspension.
	clockTolerance = time.Millisecond
)

// BootClock is a clock that includes the time in which the machine is suspended and
// ignores changes of the wall clock. Timers are those of the real clock.
//
// The time since boot is available only by a system call, which costs far more than
// reading the other clocks, and the time is read several times for each message. So
// the time since boot is read only from time to time and is extrapolated from the
// monotonic clock in between. It is read again as soon as the wall clock and the
// monotonic clock have advanced differently, as they do after a suspension, which
// the wall clock counts and the monotonic clock does not.
type BootClock struct {
	clockwork.Clock
	startTime time.Time
	reader    clockReader

	mu sync.Mutex
	// wall, monotonic and boot are the readings taken when the time since boot was
	// last read.
	wall, monotonic, boot time.Duration
	// startBoot is the time since boot at startTime.
	startBoot time.Duration
	// lastTime is the last time returned. Now never returns an earlier one.
	lastTime time.Time
}

// clockReader reads the machine's clocks.
type clockReader struct {
	// readWallAndMonotonic returns the wall clock and the monotonic clock, each since an
	// origin of its own.
	readWallAndMonotonic func() (wall, monotonic time.Duration)
	// readBoot returns the time since boot.
	readBoot func() time.Duration
}

// NewBootClock returns a clock that starts at the current time of the wall clock.
func NewBootClock() *BootClock {
	start := time.Now()
	return newBootClock(start, clockReader{
		readWallAndMonotonic: func() (time.Duration, time.Duration) {
			now := time.Now()
			return time.Duration(now.UnixNano()), now.Sub(start)
		},
		readBoot: sinceBoot,
	})
}

func newBootClock(start time.Time, reader clockReader) *BootClock {
	c := &BootClock{Clock: clockwork.NewRealClock(), startTime: start.Round(0), reader: reader}
	c.refresh()
	c.startBoot = c.boot
	return c
}

// Now returns the current time, which never goes back.
func (c *BootClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall, monotonic := c.reader.readWallAndMonotonic()
	elapsed := monotonic - c.monotonic
	drift := (wall - c.wall) - elapsed
	if elapsed >= maxBootAge || drift.Abs() >= clockTolerance {
		c.refresh()
		elapsed = 0
	}
	if now := c.startTime.Add(c.boot + elapsed - c.startBoot); now.After(c.lastTime) {
		c.lastTime = now
	}
	return c.lastTime
}

// refresh reads all clocks. It reads them again, up to three times in all, if the
// process was delayed between the readings.
func (c *BootClock) refresh() {
	const maxTries = 3
	for range maxTries {
		_, before := c.reader.readWallAndMonotonic()
		c.boot = c.reader.readBoot()
		c.wall, c.monotonic = c.reader.readWallAndMonotonic()
		if c.monotonic-before < clockTolerance {
			return
		}
	}
}

// Since returns the time elapsed since t, which must come from this clock.
func (c *BootClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t, which must come from this clock.
func (c *BootClock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// sinceBoot returns the time since the machine booted, suspensions included.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only if the kernel does not support the clock.
		panic("clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
