package executor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// connect opens links of entries beside the one that places.
func (b *harness) connect(names ...string) {
	for _, name := range names {
		b.x.HandleHello(messenger.Hello{Entry: name, Incarnation: 1})
	}
	b.answerPoll(b.lastPoll, nil)
}

// countReports counts the reports to an entry while another one places and ends runs.
func (b *harness) countReports(name string, span time.Duration, each func()) int {
	const step = 10 * time.Millisecond
	n := 0
	for at := time.Duration(0); at < span; at += step {
		b.clock.Advance(step)
		each()
		b.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: at + 1, Echo: b.stamp})
		b.place(messenger.Run{Task: "j.0.0." + at.String(), Number: 1}, 1)
		n += b.reportCounts[name]
		b.x.Tick()
		b.collect()
		n += b.reportCounts[name]
	}
	return n
}

func TestEntryThatDoesNothingHearsOfRoomWithItsHeartbeatsAlone(t *testing.T) {
	b := newHarness(t)
	b.connect("idle")
	const span = 2 * time.Second
	n := b.countReports("idle", span, func() {})
	require.InDelta(t, float64(span/messenger.HeartbeatInterval), n, 3)
}

func TestEntryAtWhichAJobBeginsToWaitHearsOfRoomAtOnce(t *testing.T) {
	b := newHarness(t)
	b.connect("waits")
	b.countReports("waits", 200*time.Millisecond, func() {})
	want := messenger.Backlog{Tasks: 1, Total: messenger.Resources{CPU: 1}, Min: messenger.Resources{CPU: 1}}
	n := b.countReports("waits", 200*time.Millisecond, func() {
		b.x.HandleHeartbeat("waits", messenger.Heartbeat{Timestamp: 1, Echo: b.stamp, Backlog: want})
	})
	// Room changes each 10 ms, and two entries are in touch.
	require.GreaterOrEqual(t, n, 15)
}

func TestHeartbeatIsAnsweredAtOnceAndNotEachTime(t *testing.T) {
	b := newHarness(t)
	b.answerPoll(b.lastPoll, nil)
	b.clock.Advance(messenger.HeartbeatInterval)
	for _, want := range []int{1, 0} {
		b.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: b.stamp})
		b.collect()
		require.Equal(t, want, b.reportCounts["e"])
		b.clock.Advance(10 * time.Millisecond)
	}
}
