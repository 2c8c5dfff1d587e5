package executor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

// waits has the entry ask for the room ahead for a task that waits, and returns
// what its next report says of it, in thousandths of a core.
func (b *bench) waits() []int {
	b.t.Helper()
	b.x.Beat("e", messenger.Heartbeat{Timestamp: 1, Echo: b.stamp, Backlog: messenger.Backlog{Tasks: 1, Total: messenger.Resources{CPU: 1}, Min: messenger.Resources{CPU: 1}, WantsForecast: true}})
	b.clock.Advance(messenger.HeartbeatInterval)
	b.x.Tick()
	b.drain()
	require.NotEmpty(b.t, b.tells)
	var out []int
	for _, d := range b.tells[len(b.tells)-1].Forecast {
		out = append(out, d.CPU)
	}
	return out
}

// begins places run1 of an estimate, which begins.
func (b *bench) begins(estimate time.Duration) {
	b.placed++
	b.x.Place("e", messenger.Place{
		Number: b.placed, Job: "j", Spec: "spec", Service: "quotes", MaxWait: 12 * time.Millisecond, Echo: b.stamp,
		Tasks: []messenger.Task{{Run: run1, Demand: messenger.Resources{CPU: 1000}, Estimate: estimate}},
	})
	b.drain()
	b.x.Started(run1, b.starts[0].Token, executor.Accepted)
	b.drain()
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
			b := newBench(t)
			b.lookAnswered(b.lastLook, nil)
			b.begins(tt.estimate)
			b.clock.Advance(100 * time.Millisecond)
			b.x.Beat("e", messenger.Heartbeat{Timestamp: 1, Echo: b.stamp})
			b.lookAnswered(b.lastLook, []messenger.Progress{{Run: run1, Percent: tt.percent}})
			require.Equal(t, tt.want, b.waits())
		})
	}
}

// TestRoomAheadIsToldOnlyWhereAskedFor guards against reports that grow on all
// links, also of entries that have no use for the forecast.
func TestRoomAheadIsToldOnlyWhereAskedFor(t *testing.T) {
	b := newBench(t)
	b.lookAnswered(b.lastLook, nil)
	b.begins(200 * time.Millisecond)
	b.clock.Advance(messenger.HeartbeatInterval)
	b.x.Beat("e", messenger.Heartbeat{Timestamp: 1, Echo: b.stamp, Backlog: messenger.Backlog{Tasks: 1, Total: messenger.Resources{CPU: 1}, Min: messenger.Resources{CPU: 1}}})
	b.x.Tick()
	b.drain()
	require.NotEmpty(t, b.tells)
	for _, r := range b.tells {
		require.Empty(t, r.Forecast)
	}
	require.NotEmpty(t, b.waits())
}

// TestNoRoomAheadWhereNothingStarts guards against tasks that wait for a worker
// which takes nothing new.
func TestNoRoomAheadWhereNothingStarts(t *testing.T) {
	tests := []struct {
		name string
		stop func(b *bench)
	}{
		{"agent stops", func(b *bench) { b.x.SetLeaving() }},
		{"worker has left", func(b *bench) { b.x.ClearUpstream("w") }},
		{"worker is about to leave", func(b *bench) {
			up := upstream(1)
			up.Draining = true
			up.Remaining = time.Second
			b.x.SetUpstream(up)
		}},
		{"data centre evacuated", func(b *bench) {
			b.x.Beat("e", messenger.Heartbeat{Timestamp: 1, Echo: b.stamp, Revision: 1, Evacuated: []string{"dc"}})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			b.lookAnswered(b.lastLook, nil)
			b.begins(300 * time.Millisecond)
			tt.stop(b)
			b.drain()
			require.Empty(t, b.waits())
		})
	}
}
