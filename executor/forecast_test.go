package executor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

// requestForecast has the entry ask for the room ahead for a task that waits, and returns
// what its next report says of it, in thousandths of a core.
func (b *harness) requestForecast() []int {
	b.t.Helper()
	b.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: b.stamp, Backlog: messenger.Backlog{Tasks: 1, Total: messenger.Resources{CPU: 1}, Min: messenger.Resources{CPU: 1}, WantsForecast: true}})
	b.clock.Advance(messenger.HeartbeatInterval)
	b.x.Tick()
	b.collect()
	require.NotEmpty(b.t, b.reports)
	var out []int
	for _, d := range b.reports[len(b.reports)-1].Forecast {
		out = append(out, d.CPU)
	}
	return out
}

// startEstimated places run1 of an estimate, which begins.
func (b *harness) startEstimated(estimate time.Duration) {
	b.placed++
	b.x.HandlePlace("e", messenger.Place{
		Number: b.placed, Job: "j", Spec: "spec", Service: "quotes", MaxWait: 12 * time.Millisecond, Echo: b.stamp,
		Tasks: []messenger.Task{{Run: run1, Demand: messenger.Resources{CPU: 1000}, Estimate: estimate}},
	})
	b.collect()
	b.x.HandleStartResult(run1, b.starts[0].Token, executor.Accepted)
	b.collect()
}

// TestRoomAhead guards against a forecast that goes by estimates alone, which are
// off by 40% in either direction, or that takes an overdue run to end at once.
func TestRoomAhead(t *testing.T) {
	tests := []struct {
		name     string
		estimate time.Duration
		// percent was read after 100 ms; the report goes out 120 ms later.
		percent int
		want    []int
	}{
		{"no progress known: ends 80 ms later by its estimate", 300 * time.Millisecond, 0, []int{0, 0, 1000, 1000, 1000}},
		{"too little progress to tell: as by its estimate", 300 * time.Millisecond, 9, []int{0, 0, 1000, 1000, 1000}},
		{"faster than its estimate: ends 30 ms later", 900 * time.Millisecond, 40, []int{0, 1000, 1000, 1000, 1000}},
		{"slower than its estimate: ends 280 ms later", 230 * time.Millisecond, 20, []int{0, 0, 0, 0, 1000}},
		{"ends after the last span", 5 * time.Second, 10, nil},
		{"past its estimate: goes on for a quarter of 220 ms", 60 * time.Millisecond, 0, []int{0, 0, 1000, 1000, 1000}},
		{"past what its progress told", 60 * time.Millisecond, 90, []int{0, 0, 1000, 1000, 1000}},
		{"without estimate or progress", 0, 0, nil},
		{"without estimate", 0, 40, []int{0, 1000, 1000, 1000, 1000}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t)
			b.answerPoll(b.lastPoll, nil)
			b.startEstimated(tt.estimate)
			b.clock.Advance(100 * time.Millisecond)
			b.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: b.stamp})
			b.answerPoll(b.lastPoll, []messenger.Progress{{Run: run1, Percent: tt.percent}})
			require.Equal(t, tt.want, b.requestForecast())
		})
	}
}

// TestRoomAheadIsToldOnlyWhereAskedFor guards against reports that grow on all
// links, also of entries that have no use for the forecast.
func TestRoomAheadIsToldOnlyWhereAskedFor(t *testing.T) {
	b := newHarness(t)
	b.answerPoll(b.lastPoll, nil)
	b.startEstimated(200 * time.Millisecond)
	b.clock.Advance(messenger.HeartbeatInterval)
	b.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: b.stamp, Backlog: messenger.Backlog{Tasks: 1, Total: messenger.Resources{CPU: 1}, Min: messenger.Resources{CPU: 1}}})
	b.x.Tick()
	b.collect()
	require.NotEmpty(t, b.reports)
	for _, r := range b.reports {
		require.Empty(t, r.Forecast)
	}
	require.NotEmpty(t, b.requestForecast())
}

// TestNoRoomAheadWhereNothingStarts guards against tasks that wait for a worker
// which takes nothing new.
func TestNoRoomAheadWhereNothingStarts(t *testing.T) {
	tests := []struct {
		name string
		stop func(b *harness)
	}{
		{"agent stops", func(b *harness) { b.x.BeginShutdown() }},
		{"worker has left", func(b *harness) { b.x.HandleWorkerDeparture("w") }},
		{"worker is about to leave", func(b *harness) {
			up := upstream(1)
			up.Draining = true
			up.Remaining = time.Second
			b.x.SetUpstream(up)
		}},
		{"data centre evacuated", func(b *harness) {
			b.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: b.stamp, Revision: 1, Evacuated: []string{"dc"}})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t)
			b.answerPoll(b.lastPoll, nil)
			b.startEstimated(300 * time.Millisecond)
			tt.stop(b)
			b.collect()
			require.Empty(t, b.requestForecast())
		})
	}
}
