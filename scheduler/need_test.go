package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEntryAsksForRoomOnceEachTimeThatJobsBeginToWait(t *testing.T) {
	b := newFixture(t)
	b.connect("a")
	require.False(t, b.s.EarlyHeartbeatDue(), "nothing waits")
	b.s.Submit(1, b.job(jobID, 20))
	b.drain()
	require.True(t, b.s.EarlyHeartbeatDue(), "there is no free capacity for ten of the twenty tasks")
	require.False(t, b.s.EarlyHeartbeatDue(), "the agents have been told")
	require.True(t, b.s.Cancel(jobID))
	require.False(t, b.s.EarlyHeartbeatDue())
	b.s.Submit(2, b.job("0000000000000002", 20))
	require.False(t, b.s.EarlyHeartbeatDue(), "too soon after the last early heartbeat")
	b.clock.Advance(100 * time.Millisecond)
	require.True(t, b.s.EarlyHeartbeatDue())
}

func TestEntryIsShortOfRoomWhenJobsWaitLongAndNotWhenTheyBeginTo(t *testing.T) {
	b := newFixture(t)
	b.connect("a")
	b.s.Submit(1, b.job(jobID, 20))
	b.clock.Advance(10 * time.Millisecond)
	require.False(t, b.s.CapacityNeed().Shortage)
	b.clock.Advance(40 * time.Millisecond)
	require.True(t, b.s.CapacityNeed().Shortage)
}
