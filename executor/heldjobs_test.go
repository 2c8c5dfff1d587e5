package executor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
)

func TestEntriesHearOfTheJobsThatOthersHold(t *testing.T) {
	b := newHarness(t)
	b.x.HandleHello(messenger.Hello{Entry: "f", Incarnation: 1})
	b.x.HandleHeartbeat("f", messenger.Heartbeat{Timestamp: 1, HeldJobs: messenger.HeldJobs{Running: []string{"j"}}})
	b.clock.Advance(messenger.HeartbeatInterval)
	b.x.Tick()
	b.collect()
	require.Equal(t, &messenger.HeldJobs{Running: []string{"j"}}, b.reportedHeld["e"])
	b.clock.Advance(messenger.HeldJobsTTL)
	b.x.HandleHeartbeat("f", messenger.Heartbeat{Timestamp: 2, HeldJobs: messenger.HeldJobs{Running: []string{"j"}}})
	b.x.Tick()
	b.collect()
	require.Nil(t, b.reportedHeld["e"], "nothing has changed")
	b.clock.Advance(messenger.HeldJobsTTL + time.Millisecond)
	b.x.Tick()
	b.collect()
	require.Equal(t, &messenger.HeldJobs{}, b.reportedHeld["e"], "the other entry is silent")
}

func TestEntryHearsOfTheJobsThatOthersHoldOnEachLink(t *testing.T) {
	b := newHarness(t)
	b.x.HandleHello(messenger.Hello{Entry: "f", Incarnation: 1})
	b.x.HandleHeartbeat("f", messenger.Heartbeat{Timestamp: 1, HeldJobs: messenger.HeldJobs{Running: []string{"j"}}})
	b.x.HandleHello(messenger.Hello{Entry: "e", Incarnation: 1})
	b.clock.Advance(messenger.HeartbeatInterval)
	b.x.Tick()
	b.collect()
	require.Equal(t, &messenger.HeldJobs{Running: []string{"j"}}, b.reportedHeld["e"])
}

func TestJobsOfAnEntryThatHasRestartedAreToldOf(t *testing.T) {
	b := newHarness(t)
	b.x.HandleHello(messenger.Hello{Entry: "f", Incarnation: 1})
	b.x.HandleHeartbeat("f", messenger.Heartbeat{Timestamp: 1, HeldJobs: messenger.HeldJobs{Running: []string{"j"}}})
	b.x.HandleHello(messenger.Hello{Entry: "f", Incarnation: 2})
	b.x.HandleHeartbeat("f", messenger.Heartbeat{Timestamp: 1, HeldJobs: messenger.HeldJobs{Running: []string{"k"}}})
	b.clock.Advance(messenger.HeartbeatInterval)
	b.x.Tick()
	b.collect()
	require.Equal(t, &messenger.HeldJobs{Running: []string{"k"}, Finished: []string{"j"}}, b.reportedHeld["e"])
	b.clock.Advance(messenger.HeldJobsTTL)
	b.x.HandleHeartbeat("f", messenger.Heartbeat{Timestamp: 2, HeldJobs: messenger.HeldJobs{Running: []string{"k"}}})
	b.x.Tick()
	b.collect()
	require.Equal(t, &messenger.HeldJobs{Running: []string{"k"}}, b.reportedHeld["e"])
}
