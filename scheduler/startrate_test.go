package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var startTime = time.Unix(1_700_000_000, 0)

// TestStartRate guards against a start rate that is derived from arrivals, from too few
// starts, or from starts that the agent refused.
func TestStartRate(t *testing.T) {
	const step = 10 * time.Millisecond
	// play records a start in every fourth step while jobs wait, which is 25 a second.
	play := func(d *startRate, steps int, waiting bool) time.Time {
		now := startTime
		for i := range steps {
			d.observe(waiting, now)
			now = now.Add(step)
			if waiting && i%4 == 3 {
				d.addStart(now)
			}
		}
		return now
	}
	t.Run("nothing was observed", func(t *testing.T) {
		_, known := (&startRate{}).perSecond(startTime)
		require.False(t, known)
	})
	t.Run("jobs wait", func(t *testing.T) {
		var d startRate
		rate, known := d.perSecond(play(&d, 200, true))
		require.True(t, known)
		require.InDelta(t, 25, rate, 2)
	})
	t.Run("nothing waits for a moment", func(t *testing.T) {
		var d startRate
		now := play(&d, 200, true)
		d.observe(false, now)
		rate, known := d.perSecond(now.Add(300 * time.Millisecond))
		require.True(t, known)
		require.InDelta(t, 25, rate, 2)
	})
	t.Run("nothing waits for long", func(t *testing.T) {
		var d startRate
		now := play(&d, 200, true)
		d.observe(false, now)
		_, known := d.perSecond(now.Add(5 * time.Second))
		require.False(t, known)
	})
	t.Run("nothing has waited", func(t *testing.T) {
		var d startRate
		_, known := d.perSecond(play(&d, 200, false))
		require.False(t, known)
	})
	t.Run("jobs wait and none is started any more", func(t *testing.T) {
		var d startRate
		now := play(&d, 200, true)
		rate, known := d.perSecond(now.Add(500 * time.Millisecond))
		require.True(t, known)
		require.Less(t, rate, 15.0)
	})
	t.Run("a start was refused by the agent", func(t *testing.T) {
		var d startRate
		now := play(&d, 200, true)
		before, _ := d.perSecond(now)
		d.addStart(now)
		d.removeStart(now)
		after, _ := d.perSecond(now)
		require.InDelta(t, before, after, 0.001)
	})
}
