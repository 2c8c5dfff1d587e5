package provider

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeMachine has clocks that the test advances.
type fakeMachine struct {
	wall, monotonic, boot time.Duration
	// reads counts the reads of the time since boot.
	reads int
}

func (m *fakeMachine) reader() clockReader {
	return clockReader{
		readWallAndMonotonic: func() (time.Duration, time.Duration) { return m.wall, m.monotonic },
		readBoot: func() time.Duration {
			m.reads++
			return m.boot
		},
	}
}

func (m *fakeMachine) run(d time.Duration) {
	m.wall += d
	m.monotonic += d
	m.boot += d
}

func TestSuspensionCountsAndStepsOfTheTimeOfDayDoNot(t *testing.T) {
	m := &fakeMachine{wall: time.Hour, monotonic: time.Minute, boot: time.Second}
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

	// A wall clock that is set back by the duration of the suspension hides the
	// suspension until the time since boot is read again, after maxBootAge.
	m.boot += suspended
	m.run(maxBootAge)
	require.Equal(t, 2*suspended+30*time.Millisecond+maxBootAge, c.Since(time.Unix(0, 0)))
}

func TestReadingTheTimeSeldomCostsASystemCall(t *testing.T) {
	m := &fakeMachine{}
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
