package provider

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

const (
	// maxBootAge is the longest time for which the time since boot is reckoned
	// from the steady clock.
	maxBootAge = 50 * time.Millisecond
	// clockTolerance is the least difference between the ways of the steady clock
	// and the time of day that may be a suspension.
	clockTolerance = time.Millisecond
)

// BootClock is a clock whose time also counts while the machine is suspended
// and that the time of day does not move. Timers are those of the real clock.
//
// The kernel tells the time since boot only by a system call, which costs far
// more than the other clocks, and time is read several times for each message.
// So the time since boot is read now and then; in between it is reckoned from the
// steady clock, unless the time of day has gone another way. After a suspension,
// which the steady clock does not count and the time of day does, it is read anew.
type BootClock struct {
	clockwork.Clock
	startTime time.Time
	read      clockReader

	mu sync.Mutex
	// wall, steady and boot are the readings when the time since boot was last
	// read.
	wall, monotonic, boot time.Duration
	// startBoot is the time since boot at base.
	startBoot time.Duration
	// lastTime is the last time that was told. Time does not go back.
	lastTime time.Time
}

// clockReader reads the machine's clocks.
type clockReader struct {
	// wallAndMonotonic returns the time of day and the steady clock, each from a start of
	// its own.
	wallAndMonotonic func() (wall, steady time.Duration)
	// boot returns the time since boot.
	boot func() time.Duration
}

// NewBootClock returns a clock that starts at the present time of day.
func NewBootClock() *BootClock {
	start := time.Now()
	return newBootClock(start, clockReader{
		wallAndMonotonic: func() (time.Duration, time.Duration) {
			now := time.Now()
			return time.Duration(now.UnixNano()), now.Sub(start)
		},
		boot: sinceBoot,
	})
}

func newBootClock(start time.Time, read clockReader) *BootClock {
	c := &BootClock{Clock: clockwork.NewRealClock(), startTime: start.Round(0), read: read}
	c.refresh()
	c.startBoot = c.boot
	return c
}

// Now returns the time.
func (c *BootClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall, steady := c.read.wallAndMonotonic()
	passed := steady - c.monotonic
	drift := (wall - c.wall) - passed
	if passed >= maxBootAge || drift.Abs() >= clockTolerance {
		c.refresh()
		passed = 0
	}
	if now := c.startTime.Add(c.boot + passed - c.startBoot); now.After(c.lastTime) {
		c.lastTime = now
	}
	return c.lastTime
}

// refresh reads all clocks, once more when the process was held up meanwhile.
func (c *BootClock) refresh() {
	const tries = 3
	for range tries {
		_, before := c.read.wallAndMonotonic()
		c.boot = c.read.boot()
		c.wall, c.monotonic = c.read.wallAndMonotonic()
		if c.monotonic-before < clockTolerance {
			return
		}
	}
}

// Since returns the time since t, which this clock gave.
func (c *BootClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t.
func (c *BootClock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only for a clock that the kernel does not have.
		panic("clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
