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
	// recordStarts records a start in every fourth step while jobs wait, which is 25 a
	// second.
	recordStarts := func(r *startRate, steps int, waiting bool) time.Time {
		now := startTime
		for i := range steps {
			r.observe(waiting, now)
			now = now.Add(step)
			if waiting && i%4 == 3 {
				r.addStart(now)
			}
		}
		return now
	}
	t.Run("nothing was observed", func(t *testing.T) {
		_, known := (&startRate{}).perSecond(startTime)
		require.False(t, known)
	})
	t.Run("jobs wait", func(t *testing.T) {
		var r startRate
		rate, known := r.perSecond(recordStarts(&r, 200, true))
		require.True(t, known)
		require.InDelta(t, 25, rate, 2)
	})
	t.Run("nothing waits for a moment", func(t *testing.T) {
		var r startRate
		now := recordStarts(&r, 200, true)
		r.observe(false, now)
		rate, known := r.perSecond(now.Add(300 * time.Millisecond))
		require.True(t, known)
		require.InDelta(t, 25, rate, 2)
	})
	t.Run("nothing waits for long", func(t *testing.T) {
		var r startRate
		now := recordStarts(&r, 200, true)
		r.observe(false, now)
		_, known := r.perSecond(now.Add(5 * time.Second))
		require.False(t, known)
	})
	t.Run("nothing has waited", func(t *testing.T) {
		var r startRate
		_, known := r.perSecond(recordStarts(&r, 200, false))
		require.False(t, known)
	})
	t.Run("jobs wait and none is started any more", func(t *testing.T) {
		var r startRate
		now := recordStarts(&r, 200, true)
		rate, known := r.perSecond(now.Add(500 * time.Millisecond))
		require.True(t, known)
		require.Less(t, rate, 15.0)
	})
	t.Run("a start was refused by the agent", func(t *testing.T) {
		var r startRate
		now := recordStarts(&r, 200, true)
		before, _ := r.perSecond(now)
		r.addStart(now)
		r.removeStart(now)
		after, _ := r.perSecond(now)
		require.InDelta(t, before, after, 0.001)
	})
}
