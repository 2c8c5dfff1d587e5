package provider

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// machine has clocks that the test moves.
type machine struct {
	wall, steady, boot time.Duration
	// reads counts the readings of the time since boot.
	reads int
}

func (m *machine) reader() clockReader {
	return clockReader{
		cheap: func() (time.Duration, time.Duration) { return m.wall, m.steady },
		boot: func() time.Duration {
			m.reads++
			return m.boot
		},
	}
}

func (m *machine) run(d time.Duration) {
	m.wall += d
	m.steady += d
	m.boot += d
}

func TestSuspensionCountsAndStepsOfTheTimeOfDayDoNot(t *testing.T) {
	m := &machine{wall: time.Hour, steady: time.Minute, boot: time.Second}
	c := newBootClock(time.Unix(0, 0), m.reader())
	m.run(10 * time.Millisecond)
	require.Equal(t, 10*time.Millisecond, c.Since(time.Unix(0, 0)))

	const suspended = 3 * time.Second
	m.wall += suspended
	m.boot += suspended
	require.Equal(t, suspended+10*time.Millisecond, c.Since(time.Unix(0, 0)))

	m.wall -= time.Hour
	m.run(20 * time.Millisecond)
	require.Equal(t, suspended+30*time.Millisecond, c.Since(time.Unix(0, 0)))

	// A time of day that is set back by as much as the machine slept hides that
	// for a moment only.
	m.boot += suspended
	m.run(bootRefresh)
	require.Equal(t, 2*suspended+30*time.Millisecond+bootRefresh, c.Since(time.Unix(0, 0)))
}

func TestReadingTheTimeSeldomCostsASystemCall(t *testing.T) {
	m := &machine{}
	c := newBootClock(time.Unix(0, 0), m.reader())
	const readings = 10_000
	for range readings {
		m.run(100 * time.Microsecond)
		c.Now()
	}
	require.LessOrEqual(t, m.reads, readings/100)
}

func BenchmarkNow(b *testing.B) {
	c := NewBootClock()
	for b.Loop() {
		c.Now()
	}
}
