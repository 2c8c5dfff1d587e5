package executor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// others opens links of entries beside the one that places.
func (b *bench) others(names ...string) {
	for _, name := range names {
		b.x.Hello(messenger.Hello{Entry: name, Incarnation: 1})
	}
	b.lookAnswered(b.lastLook, nil)
}

// toldTo counts the reports to an entry while another one places and ends runs.
func (b *bench) toldTo(name string, span time.Duration, each func()) int {
	const step = 10 * time.Millisecond
	n := 0
	for at := time.Duration(0); at < span; at += step {
		b.clock.Advance(step)
		each()
		b.x.Beat("e", messenger.Heartbeat{Timestamp: at + 1, Echo: b.stamp})
		b.place(messenger.Run{Task: "j.0.0." + at.String(), Number: 1}, 1)
		n += b.told[name]
		b.x.Tick()
		b.drain()
		n += b.told[name]
	}
	return n
}

func TestEntryThatDoesNothingHearsOfRoomWithItsHeartbeatsAlone(t *testing.T) {
	b := newBench(t)
	b.others("idle")
	const span = 2 * time.Second
	n := b.toldTo("idle", span, func() {})
	require.InDelta(t, float64(span/messenger.HeartbeatInterval), n, 3)
}

func TestEntryAtWhichAJobBeginsToWaitHearsOfRoomAtOnce(t *testing.T) {
	b := newBench(t)
	b.others("waits")
	b.toldTo("waits", 200*time.Millisecond, func() {})
	want := messenger.Backlog{Tasks: 1, Total: messenger.Resources{CPU: 1}, Min: messenger.Resources{CPU: 1}}
	n := b.toldTo("waits", 200*time.Millisecond, func() {
		b.x.Beat("waits", messenger.Heartbeat{Timestamp: 1, Echo: b.stamp, Backlog: want})
	})
	// Room changes each 10 ms, and two entries are in touch.
	require.GreaterOrEqual(t, n, 15)
}

func TestHeartbeatIsAnsweredAtOnceAndNotEachTime(t *testing.T) {
	b := newBench(t)
	b.lookAnswered(b.lastLook, nil)
	b.clock.Advance(messenger.HeartbeatInterval)
	for _, want := range []int{1, 0} {
		b.x.Beat("e", messenger.Heartbeat{Timestamp: 1, Echo: b.stamp})
		b.drain()
		require.Equal(t, want, b.told["e"])
		b.clock.Advance(10 * time.Millisecond)
	}
}
