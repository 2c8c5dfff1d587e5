package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEntryAsksForRoomOnceEachTimeThatJobsBeginToWait(t *testing.T) {
	b := newBench(t)
	b.open("a")
	require.False(t, b.s.Asks(), "nothing waits")
	b.s.Submit(1, b.job(jobID, 20))
	b.drain()
	require.True(t, b.s.Asks(), "ten tasks of twenty found no room")
	require.False(t, b.s.Asks(), "the agents have been told")
	require.True(t, b.s.Cancel(jobID))
	require.False(t, b.s.Asks())
	b.s.Submit(2, b.job("0000000000000002", 20))
	require.False(t, b.s.Asks(), "so soon after the last time")
	b.clock.Advance(100 * time.Millisecond)
	require.True(t, b.s.Asks())
}

func TestEntryIsShortOfRoomWhenJobsWaitLongAndNotWhenTheyBeginTo(t *testing.T) {
	b := newBench(t)
	b.open("a")
	b.s.Submit(1, b.job(jobID, 20))
	b.clock.Advance(10 * time.Millisecond)
	require.False(t, b.s.Need().Short)
	b.clock.Advance(40 * time.Millisecond)
	require.True(t, b.s.Need().Short)
}
