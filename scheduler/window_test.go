package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWaitingWindow guards against a window that stays open while jobs wait in vain,
// that a few refusals close although many jobs were placed, or that stays closed.
func TestWaitingWindow(t *testing.T) {
	tests := []struct {
		name            string
		placed, refused int
		age             time.Duration
		min, max        float64
	}{
		{"nothing waited", 0, 0, 0, maxWindow, maxWindow},
		{"all were placed", 50, 0, 0, maxWindow, maxWindow},
		{"as many were refused as halve it", 196, 3, 0, maxWindow / 2, maxWindow / 2},
		{"one in five was refused", 40, 10, 0, minWindow, minWindow},
		{"all were refused", 0, 10, 0, minWindow, minWindow},
		{"all were refused long ago", 0, 10, 15 * waitHalfLife, 0.9 * maxWindow, maxWindow},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var w waitingWindow
			for range tt.placed {
				w.recordPlaced(startTime)
			}
			for range tt.refused {
				w.recordRefused(startTime)
			}
			size := w.size(startTime.Add(tt.age))
			require.GreaterOrEqual(t, size, tt.min)
			require.LessOrEqual(t, size, tt.max)
		})
	}
}
