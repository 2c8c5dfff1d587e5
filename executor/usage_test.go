package executor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

// TestCapacityIsMeteredByUse guards against capacity that is counted for the wrong
// purpose, twice or not at all. The worker has 8 cores.
func TestCapacityIsMeteredByUse(t *testing.T) {
	const step = 100 * time.Millisecond
	tests := []struct {
		name string
		// prepare brings the executor into the state that lasts for a step.
		prepare func(h *harness)
		// want are the cores by use. Uses that are not listed have none.
		want map[executor.CapacityUse]float64
	}{
		{"no task", func(*harness) {}, map[executor.CapacityUse]float64{executor.UseIdle: 8}},
		{"start not confirmed", func(h *harness) {
			h.place(run1, 3000)
		}, map[executor.CapacityUse]float64{executor.UseStarting: 3, executor.UseIdle: 5}},
		{"task runs and a task that fits waits", func(h *harness) {
			h.place(run1, 3000)
			h.x.HandleStartResult(run1, h.starts[0].Token, executor.Accepted)
			h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp, Backlog: messenger.Backlog{}.With(messenger.Resources{CPU: 5000})})
		}, map[executor.CapacityUse]float64{executor.UseRunning: 3, executor.UseAwaited: 5}},
		{"task runs and a task that does not fit waits", func(h *harness) {
			h.place(run1, 3000)
			h.x.HandleStartResult(run1, h.starts[0].Token, executor.Accepted)
			h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp, Backlog: messenger.Backlog{}.With(messenger.Resources{CPU: 5001})})
		}, map[executor.CapacityUse]float64{executor.UseRunning: 3, executor.UseFragmented: 5}},
		{"run is stopped", func(h *harness) {
			h.place(run1, 3000)
			h.x.HandleStartResult(run1, h.starts[0].Token, executor.Accepted)
			h.x.HandleWithdraw("e", messenger.Withdraw{Runs: []messenger.Run{run1}})
		}, map[executor.CapacityUse]float64{executor.UseAbandoned: 3, executor.UseIdle: 5}},
		{"agent shuts down", func(h *harness) {
			h.x.BeginShutdown()
		}, map[executor.CapacityUse]float64{executor.UseUnavailable: 8}},
		{"worker does not answer", func(h *harness) {
			h.x.HandlePollFailure(h.lastPoll, executor.Unanswered)
		}, map[executor.CapacityUse]float64{executor.UseUnavailable: 8}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			tt.prepare(h)
			h.collect()
			before := h.x.Dump().CoreSeconds
			h.clock.Advance(step)
			h.collect()
			for _, use := range executor.CapacityUses {
				require.InDelta(t, tt.want[use]*step.Seconds(), h.x.CoreSeconds(use)-before[use.String()], 1e-9, "%s", use)
			}
		})
	}
}

// TestShortageOfCapacityIsLogged guards against an agent that does not log how its
// capacity is used while tasks wait, or that logs it while none does.
func TestShortageOfCapacityIsLogged(t *testing.T) {
	const span = 10 * time.Second
	tests := []struct {
		name     string
		backlog  messenger.Backlog
		min, max int
	}{
		{"no task waits", messenger.Backlog{}, 0, 0},
		{"a task waits", messenger.Backlog{}.With(messenger.Resources{CPU: 9000}), 4, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			notes := 0
			for at := time.Duration(0); at < span; at += messenger.HeartbeatInterval {
				h.clock.Advance(messenger.HeartbeatInterval)
				h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: at + 1, Echo: h.timestamp, Backlog: tt.backlog})
				h.x.Tick()
				for _, e := range h.x.TakeEffects() {
					switch m := e.(type) {
					case executor.SendReport:
						h.timestamp = m.Report.Timestamp
					case executor.Note:
						if m.What == "capacity short" {
							notes++
							require.Contains(t, m.Why, executor.UseFragmented.String())
						}
					}
				}
			}
			require.GreaterOrEqual(t, notes, tt.min)
			require.LessOrEqual(t, notes, tt.max)
		})
	}
}
