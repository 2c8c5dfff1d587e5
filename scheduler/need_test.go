package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEarlyHeartbeatIsDueOnceEachTimeThatJobsBeginToWait(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	require.False(t, f.s.EarlyHeartbeatDue(), "nothing waits")
	f.s.Submit(1, f.job(jobID, 20))
	f.takeEffects()
	require.True(t, f.s.EarlyHeartbeatDue(), "there is no free capacity for ten of the twenty tasks")
	require.False(t, f.s.EarlyHeartbeatDue(), "the agents have been sent the backlog")
	require.True(t, f.s.Cancel(jobID))
	require.False(t, f.s.EarlyHeartbeatDue())
	f.s.Submit(2, f.job("0000000000000002", 20))
	require.False(t, f.s.EarlyHeartbeatDue(), "too soon after the last early heartbeat")
	f.clock.Advance(100 * time.Millisecond)
	require.True(t, f.s.EarlyHeartbeatDue())
}

func TestShortageIsReportedOnlyOnceJobsHaveWaitedLong(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	f.s.Submit(1, f.job(jobID, 20))
	f.clock.Advance(10 * time.Millisecond)
	require.False(t, f.s.CapacityNeed().Shortage)
	f.clock.Advance(40 * time.Millisecond)
	require.True(t, f.s.CapacityNeed().Shortage)
}
