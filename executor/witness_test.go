package executor_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

// told returns the versions of the lists of witnesses in the last effects, by entry, and
// whether each comes before any report to the entry.
func told(effects []executor.Effect) (versions map[string]uint64, first bool) {
	versions = make(map[string]uint64)
	reported := make(map[string]bool)
	first = true
	for _, e := range effects {
		switch e := e.(type) {
		case executor.SendWitnesses:
			versions[e.Entry] = e.List.Version
			first = first && !reported[e.Entry]
		case executor.SendReport:
			reported[e.Entry] = true
		}
	}
	return versions, first
}

// Guards against an entry that counts what a witness has granted under a list of witnesses
// that the witness knows to be replaced.
func TestAWitnessTellsANewerListBeforeAnythingElse(t *testing.T) {
	h := newLockHarness(t)
	h.x.HandleWitnessList("e", messenger.WitnessList{Version: 4})
	versions, first := told(h.x.TakeEffects())
	require.Equal(t, map[string]uint64{"e": 4, "f": 4}, versions)
	require.True(t, first)
	h.x.HandleWitnessList("f", messenger.WitnessList{Version: 3})
	versions, _ = told(h.x.TakeEffects())
	require.Equal(t, map[string]uint64{"f": 4}, versions, "an older one is answered with the newest")
	h.x.HandleHello(messenger.Hello{Entry: "g", Incarnation: 1})
	h.x.HandleHeartbeat("g", messenger.Heartbeat{Timestamp: time.Second})
	versions, first = told(h.x.TakeEffects())
	require.Equal(t, map[string]uint64{"g": 4}, versions)
	require.True(t, first)
}

// lastHolders returns the last Holders that an agent has reported to an entry.
func lastHolders(x *executor.Executor, clock *clockwork.FakeClock, entries ...string) uint64 {
	var out uint64
	clock.Advance(messenger.HeartbeatInterval)
	for _, name := range entries {
		x.HandleHeartbeat(name, messenger.Heartbeat{Timestamp: time.Duration(clock.Now().UnixNano())})
	}
	x.Tick()
	for _, e := range x.TakeEffects() {
		if r, ok := e.(executor.SendReport); ok && r.Entry == entries[0] && r.Report.Holders != 0 {
			out = r.Report.Holders
		}
	}
	return out
}

// Guards against a witness that has restarted and counts as knowing all locks before an
// entry has told it those that it has.
func TestAWitnessNamesAnEntryOnceItHasListedItsLocks(t *testing.T) {
	h := newLockHarness(t)
	restarted := newLockHarness(t)
	both := messenger.LockJobs{Number: 1, Complete: true}
	h.x.HandleLockJobs("e", both)
	h.x.HandleLockJobs("f", both)
	want := lastHolders(h.x, h.clock, "e", "f")
	require.NotZero(t, want)
	require.Zero(t, lastHolders(restarted.x, restarted.clock, "e", "f"))
	restarted.x.HandleLockJobs("e", both)
	require.NotEqual(t, want, lastHolders(restarted.x, restarted.clock, "e", "f"))
	restarted.x.HandleLockJobs("f", both)
	require.Equal(t, want, lastHolders(restarted.x, restarted.clock, "e", "f"))
	for range messenger.LockTTL/messenger.HeartbeatInterval + 2 {
		if holders := lastHolders(h.x, h.clock, "e"); holders != 0 {
			want = holders
		}
	}
	restarted = newHarness(t)
	restarted.x.HandleLockJobs("e", both)
	require.Equal(t, want, lastHolders(restarted.x, restarted.clock, "e"), "without the one that has been silent")
}
