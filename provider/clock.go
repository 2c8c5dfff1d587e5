package provider

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

const (
	// bootRefresh is the longest time for which the time since boot is reckoned
	// from the steady clock.
	bootRefresh = 50 * time.Millisecond
	// bootTolerance is the least difference between the ways of the steady clock
	// and the time of day that may be a suspension.
	bootTolerance = time.Millisecond
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
	base time.Time
	read clockReader

	mu sync.Mutex
	// wall, steady and boot are the readings when the time since boot was last
	// read.
	wall, steady, boot time.Duration
	// booted is the time since boot at base.
	booted time.Duration
	// last is the last time that was told. Time does not go back.
	last time.Time
}

// clockReader reads the machine's clocks.
type clockReader struct {
	// cheap returns the time of day and the steady clock, each from a start of
	// its own.
	cheap func() (wall, steady time.Duration)
	// boot returns the time since boot.
	boot func() time.Duration
}

// NewBootClock returns a clock that starts at the present time of day.
func NewBootClock() *BootClock {
	start := time.Now()
	return newBootClock(start, clockReader{
		cheap: func() (time.Duration, time.Duration) {
			now := time.Now()
			return time.Duration(now.UnixNano()), now.Sub(start)
		},
		boot: sinceBoot,
	})
}

func newBootClock(start time.Time, read clockReader) *BootClock {
	c := &BootClock{Clock: clockwork.NewRealClock(), base: start.Round(0), read: read}
	c.refresh()
	c.booted = c.boot
	return c
}

// Now returns the time.
func (c *BootClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall, steady := c.read.cheap()
	passed := steady - c.steady
	drift := (wall - c.wall) - passed
	if passed >= bootRefresh || drift.Abs() >= bootTolerance {
		c.refresh()
		passed = 0
	}
	if now := c.base.Add(c.boot + passed - c.booted); now.After(c.last) {
		c.last = now
	}
	return c.last
}

// refresh reads all clocks, once more when the process was held up meanwhile.
func (c *BootClock) refresh() {
	const tries = 3
	for range tries {
		_, before := c.read.cheap()
		c.boot = c.read.boot()
		c.wall, c.steady = c.read.cheap()
		if c.steady-before < bootTolerance {
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
