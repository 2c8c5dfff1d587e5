package executor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// connect opens links of entries beside the one that places.
func (h *harness) connect(names ...string) {
	for _, name := range names {
		h.x.HandleHello(messenger.Hello{Entry: name, Incarnation: 1})
	}
	h.answerPoll(h.lastPoll, nil)
}

// countReports counts the reports to an entry while another one places runs.
func (h *harness) countReports(name string, span time.Duration, each func()) int {
	const step = 10 * time.Millisecond
	n := 0
	for at := time.Duration(0); at < span; at += step {
		h.clock.Advance(step)
		each()
		h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: at + 1, Echo: h.timestamp})
		h.place(messenger.Run{Task: "j.0.0." + at.String(), Number: 1}, 1)
		n += h.reportCounts[name]
		h.x.Tick()
		h.collect()
		n += h.reportCounts[name]
	}
	return n
}

func TestIdleEntryGetsChangedCapacityWithHeartbeatsOnly(t *testing.T) {
	h := newHarness(t)
	h.connect("idle")
	const span = 2 * time.Second
	n := h.countReports("idle", span, func() {})
	require.InDelta(t, float64(span/messenger.HeartbeatInterval), n, 3)
}

func TestEntryWithANewBacklogGetsChangedCapacityAtOnce(t *testing.T) {
	h := newHarness(t)
	h.connect("waits")
	h.countReports("waits", 200*time.Millisecond, func() {})
	backlog := messenger.Backlog{Tasks: 1, Total: messenger.Resources{CPU: 1}, Min: messenger.Resources{CPU: 1}}
	n := h.countReports("waits", 200*time.Millisecond, func() {
		h.x.HandleHeartbeat("waits", messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp, Backlog: backlog})
	})
	// The capacity changes every 10 ms, and two entries are connected.
	require.GreaterOrEqual(t, n, 15)
}

func TestHeartbeatIsAnsweredAtOnceAndNotEachTime(t *testing.T) {
	h := newHarness(t)
	h.answerPoll(h.lastPoll, nil)
	h.clock.Advance(messenger.HeartbeatInterval)
	for _, want := range []int{1, 0} {
		h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp})
		h.collect()
		require.Equal(t, want, h.reportCounts["e"])
		h.clock.Advance(10 * time.Millisecond)
	}
}
