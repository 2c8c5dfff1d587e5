package scheduler

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRetryAfterSpreadsARefusedBurst guards against callers that are refused at the
// same time and all retry in the same second.
func TestRetryAfterSpreadsARefusedBurst(t *testing.T) {
	const (
		callers = 200
		gap     = 20 * time.Millisecond
	)
	var r retrySchedule
	perSecond := make(map[int]int)
	last := time.Duration(0)
	for range callers {
		after := r.retryAfter(startTime, 0, gap)
		require.Greater(t, after, last, "retries come in the order of the refusals")
		last = after
		perSecond[int(math.Ceil(after.Seconds()))]++
	}
	for second, n := range perSecond {
		require.LessOrEqual(t, n, int(time.Second/gap), "second %d", second)
	}
}

func TestRetryAfterStaysWithinItsBounds(t *testing.T) {
	tests := []struct {
		name             string
		backlogTime, gap time.Duration
	}{
		{"nothing waits", 0, time.Millisecond},
		{"a long backlog", time.Minute, time.Millisecond},
		{"a slow queue", 2 * time.Second, 3 * time.Second},
		{"a queue that starts nothing", 0, time.Hour},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r retrySchedule
			for i := range 100 {
				now := startTime.Add(time.Duration(i) * time.Millisecond)
				after := r.retryAfter(now, tt.backlogTime, tt.gap)
				require.GreaterOrEqual(t, after, minRetryAfter)
				require.LessOrEqual(t, after, maxRetryAfter)
			}
		})
	}
}

// TestRetryScheduleRestartsAfterAQuietTime guards against retry times given during a past
// overload that delay the retries of new callers.
func TestRetryScheduleRestartsAfterAQuietTime(t *testing.T) {
	var r retrySchedule
	for range 100 {
		r.retryAfter(startTime, 0, 20*time.Millisecond)
	}
	require.Equal(t, minRetryAfter, r.retryAfter(startTime.Add(10*time.Second), 0, 20*time.Millisecond))
}
