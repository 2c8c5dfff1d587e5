package executor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
)

func TestEntriesAreSentTheJobsThatOthersHold(t *testing.T) {
	h := newHarness(t)
	h.x.HandleHello(messenger.Hello{Entry: "f", Incarnation: 1})
	h.x.HandleHeartbeat("f", messenger.Heartbeat{Timestamp: 1, HeldJobs: messenger.HeldJobs{Running: []string{"j"}}})
	h.clock.Advance(messenger.HeartbeatInterval)
	h.x.Tick()
	h.collect()
	require.Equal(t, &messenger.HeldJobs{Running: []string{"j"}}, h.reportedHeld["e"])
	h.clock.Advance(messenger.HeldJobsTTL)
	h.x.HandleHeartbeat("f", messenger.Heartbeat{Timestamp: 2, HeldJobs: messenger.HeldJobs{Running: []string{"j"}}})
	h.x.Tick()
	h.collect()
	require.Nil(t, h.reportedHeld["e"], "nothing has changed")
	h.clock.Advance(messenger.HeldJobsTTL + time.Millisecond)
	h.x.Tick()
	h.collect()
	require.Equal(t, &messenger.HeldJobs{}, h.reportedHeld["e"], "the other entry has sent no heartbeat")
}

func TestEntryIsSentTheJobsThatOthersHoldOnEachLink(t *testing.T) {
	h := newHarness(t)
	h.x.HandleHello(messenger.Hello{Entry: "f", Incarnation: 1})
	h.x.HandleHeartbeat("f", messenger.Heartbeat{Timestamp: 1, HeldJobs: messenger.HeldJobs{Running: []string{"j"}}})
	h.x.HandleHello(messenger.Hello{Entry: "e", Incarnation: 1})
	h.clock.Advance(messenger.HeartbeatInterval)
	h.x.Tick()
	h.collect()
	require.Equal(t, &messenger.HeldJobs{Running: []string{"j"}}, h.reportedHeld["e"])
}

func TestJobsOfARestartedEntryAreSentToOthers(t *testing.T) {
	h := newHarness(t)
	h.x.HandleHello(messenger.Hello{Entry: "f", Incarnation: 1})
	h.x.HandleHeartbeat("f", messenger.Heartbeat{Timestamp: 1, HeldJobs: messenger.HeldJobs{Running: []string{"j"}}})
	h.x.HandleHello(messenger.Hello{Entry: "f", Incarnation: 2})
	h.x.HandleHeartbeat("f", messenger.Heartbeat{Timestamp: 1, HeldJobs: messenger.HeldJobs{Running: []string{"k"}}})
	h.clock.Advance(messenger.HeartbeatInterval)
	h.x.Tick()
	h.collect()
	require.Equal(t, &messenger.HeldJobs{Running: []string{"k"}, Finished: []string{"j"}}, h.reportedHeld["e"])
	h.clock.Advance(messenger.HeldJobsTTL)
	h.x.HandleHeartbeat("f", messenger.Heartbeat{Timestamp: 2, HeldJobs: messenger.HeldJobs{Running: []string{"k"}}})
	h.x.Tick()
	h.collect()
	require.Equal(t, &messenger.HeldJobs{Running: []string{"k"}}, h.reportedHeld["e"])
}
