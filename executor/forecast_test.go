package executor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

// requestForecast has the entry ask for the forecast for a waiting task, and returns
// the forecast in its next report, in millicores.
func (h *harness) requestForecast() []int {
	h.t.Helper()
	h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp, Backlog: messenger.Backlog{Tasks: 1, Total: messenger.Resources{CPU: 1}, Min: messenger.Resources{CPU: 1}, WantsForecast: true}})
	h.clock.Advance(messenger.HeartbeatInterval)
	h.x.Tick()
	h.collect()
	require.NotEmpty(h.t, h.reports)
	var out []int
	for _, d := range h.reports[len(h.reports)-1].Forecast {
		out = append(out, d.CPU)
	}
	return out
}

// startEstimated places run1 with an estimate and has the worker accept it.
func (h *harness) startEstimated(estimate time.Duration) {
	h.placed++
	h.x.HandlePlace("e", messenger.Place{
		Number: h.placed, Job: "j", Spec: "spec", Service: "quotes", MaxWait: 12 * time.Millisecond, Echo: h.timestamp,
		Tasks: []messenger.Task{{Run: run1, Demand: messenger.Resources{CPU: 1000}, Estimate: estimate}},
	})
	h.collect()
	h.x.HandleStartResult(run1, h.starts[0].Token, executor.Accepted)
	h.collect()
}

// TestForecast guards against a forecast that goes by estimates alone, which are off by
// 40% in either direction, or that expects an overdue run to end at once.
func TestForecast(t *testing.T) {
	tests := []struct {
		name     string
		estimate time.Duration
		// percent was read after 100 ms; the report goes out 120 ms later.
		percent int
		want    []int
	}{
		{"no progress known: ends 80 ms later by its estimate", 300 * time.Millisecond, 0, []int{0, 0, 1000, 1000, 1000}},
		{"too little progress: as by its estimate", 300 * time.Millisecond, 9, []int{0, 0, 1000, 1000, 1000}},
		{"faster than its estimate: ends 30 ms later", 900 * time.Millisecond, 40, []int{0, 1000, 1000, 1000, 1000}},
		{"slower than its estimate: ends 280 ms later", 230 * time.Millisecond, 20, []int{0, 0, 0, 0, 1000}},
		{"ends after the last horizon", 5 * time.Second, 10, nil},
		{"past its estimate: goes on for a quarter of 220 ms", 60 * time.Millisecond, 0, []int{0, 0, 1000, 1000, 1000}},
		{"past the end predicted by its progress", 60 * time.Millisecond, 90, []int{0, 0, 1000, 1000, 1000}},
		{"without estimate or progress", 0, 0, nil},
		{"without estimate", 0, 40, []int{0, 1000, 1000, 1000, 1000}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.answerPoll(h.lastPoll, nil)
			h.startEstimated(tt.estimate)
			h.clock.Advance(100 * time.Millisecond)
			h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp})
			h.answerPoll(h.lastPoll, []messenger.Progress{{Run: run1, Percent: tt.percent}})
			require.Equal(t, tt.want, h.requestForecast())
		})
	}
}

// TestForecastIsReportedOnlyWhenAskedFor guards against reports that are larger on all
// links, also to entries that have no use for the forecast.
func TestForecastIsReportedOnlyWhenAskedFor(t *testing.T) {
	h := newHarness(t)
	h.answerPoll(h.lastPoll, nil)
	h.startEstimated(200 * time.Millisecond)
	h.clock.Advance(messenger.HeartbeatInterval)
	h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp, Backlog: messenger.Backlog{Tasks: 1, Total: messenger.Resources{CPU: 1}, Min: messenger.Resources{CPU: 1}}})
	h.x.Tick()
	h.collect()
	require.NotEmpty(t, h.reports)
	for _, r := range h.reports {
		require.Empty(t, r.Forecast)
	}
	require.NotEmpty(t, h.requestForecast())
}

// TestNoForecastWhereNothingStarts guards against tasks that wait for a worker which
// admits no new runs.
func TestNoForecastWhereNothingStarts(t *testing.T) {
	tests := []struct {
		name string
		stop func(h *harness)
	}{
		{"agent shuts down", func(h *harness) { h.x.BeginShutdown() }},
		{"worker has left", func(h *harness) { h.x.HandleWorkerDeparture("w") }},
		{"worker drains", func(h *harness) {
			up := upstream(1)
			up.Draining = true
			up.Remaining = time.Second
			h.x.SetUpstream(up)
		}},
		{"data centre evacuated", func(h *harness) {
			h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp, Evacuations: messenger.Evacuations{Revision: 1, DataCentres: []string{"dc"}}})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.answerPoll(h.lastPoll, nil)
			h.startEstimated(300 * time.Millisecond)
			tt.stop(h)
			h.collect()
			require.Empty(t, h.requestForecast())
		})
	}
}
