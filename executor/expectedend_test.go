package executor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// TestExpectedEnd guards against forecasts that ignore the progress of a run, and
// against runs past their expected end that are assumed to end at once.
func TestExpectedEnd(t *testing.T) {
	const ms = time.Millisecond
	start := time.Unix(1_700_000_000, 0)
	tests := map[string]struct {
		age      time.Duration
		percent  int
		readAt   time.Duration
		expected time.Duration
	}{
		"by estimate":           {age: 20 * ms, expected: 100 * ms},
		"little progress":       {age: 60 * ms, percent: 9, readAt: 50 * ms, expected: 100 * ms},
		"slower than estimated": {age: 60 * ms, percent: 20, readAt: 50 * ms, expected: 250 * ms},
		"faster than estimated": {age: 30 * ms, percent: 50, readAt: 25 * ms, expected: 50 * ms},
		"past its estimate":     {age: 200 * ms, expected: 250 * ms},
		"past its progress":     {age: 200 * ms, percent: 90, readAt: 90 * ms, expected: 250 * ms},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := &run{Task: messenger.Task{Estimate: 100 * ms}, sentAt: start, startedAt: start, percent: tt.percent, progressAge: tt.readAt}
			got := new(Executor).expectedEnd(r, start.Add(tt.age))
			require.Equal(t, tt.expected, got.Sub(start))
		})
	}
}
