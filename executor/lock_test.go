package executor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// requestLocks has an entry request locks, and returns the replies to all entries.
func (h *harness) requestLocks(entry string, m messenger.LockJobs) map[string][]messenger.LockReply {
	h.x.HandleLockJobs(entry, m)
	h.collect()
	return h.lockReplies
}

func newLockHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.x.HandleHello(messenger.Hello{Entry: "f", Incarnation: 1})
	h.collect()
	return h
}

// TestJobIsLockedForOneEntryAtATime guards against two entries that both get the lock of a
// job.
func TestJobIsLockedForOneEntryAtATime(t *testing.T) {
	h := newLockHarness(t)
	request := messenger.LockJobs{Number: 1, Jobs: []string{"j"}}
	require.Equal(t, []messenger.LockReply{{Number: 1, Locked: []string{"j"}}}, h.requestLocks("e", request)["e"])
	require.Equal(t, map[string][]messenger.LockReply{
		"f": {{Number: 1, Held: []string{"j"}}},
		"e": {{Wanted: []string{"j"}}},
	}, h.requestLocks("f", request))
	require.Equal(t, map[string][]messenger.LockReply{"f": {{Number: 1, Held: []string{"j"}}}}, h.requestLocks("f", request), "the holder is told once")
	require.Equal(t, []messenger.LockReply{{Number: 2, Locked: []string{"j"}}}, h.requestLocks("e", messenger.LockJobs{Number: 2, Jobs: []string{"j"}})["e"], "a repeated request is granted")
}

// TestUnlockedJobIsFreeOrHasItsOutcome guards against locks that outlive their use, and
// against a job that is run again although another entry has run it to its end.
func TestUnlockedJobIsFreeOrHasItsOutcome(t *testing.T) {
	ended := messenger.UnlockedJob{Job: "j", Outcome: messenger.JobComplete}
	tests := []struct {
		name   string
		unlock func(h *harness)
		want   messenger.LockReply
	}{
		{"without an outcome", func(h *harness) {
			h.requestLocks("e", messenger.LockJobs{Number: 2, Unlocked: []messenger.UnlockedJob{{Job: "j"}}})
		}, messenger.LockReply{Number: 1, Locked: []string{"j"}}},
		{"with a heartbeat", func(h *harness) {
			h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Unlocked: []messenger.UnlockedJob{{Job: "j"}}})
		}, messenger.LockReply{Number: 1, Locked: []string{"j"}}},
		{"run to its end", func(h *harness) {
			h.requestLocks("e", messenger.LockJobs{Number: 2, Unlocked: []messenger.UnlockedJob{ended}})
		}, messenger.LockReply{Number: 1, Ended: []messenger.UnlockedJob{ended}}},
		{"not in a complete request", func(h *harness) {
			h.requestLocks("e", messenger.LockJobs{Number: 2, Jobs: []string{"k"}, Complete: true})
		}, messenger.LockReply{Number: 1, Locked: []string{"j"}}},
		{"the outcome has expired", func(h *harness) {
			h.requestLocks("e", messenger.LockJobs{Number: 2, Unlocked: []messenger.UnlockedJob{ended}})
			h.clock.Advance(15 * time.Second)
			h.x.Tick()
		}, messenger.LockReply{Number: 1, Locked: []string{"j"}}},
		{"given up by another entry", func(h *harness) {
			h.requestLocks("f", messenger.LockJobs{Number: 9, Unlocked: []messenger.UnlockedJob{{Job: "j"}}, Complete: true})
		}, messenger.LockReply{Number: 1, Held: []string{"j"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newLockHarness(t)
			h.requestLocks("e", messenger.LockJobs{Number: 1, Jobs: []string{"j"}})
			tt.unlock(h)
			require.Equal(t, []messenger.LockReply{tt.want}, h.requestLocks("f", messenger.LockJobs{Number: 1, Jobs: []string{"j"}})["f"])
		})
	}
}

// TestLocksOfASilentEntryExpireOnlyOnceItsRunsHaveEnded guards against a job that another
// entry starts while runs of a lost entry, or of its earlier incarnation, go on.
func TestLocksOfASilentEntryExpireOnlyOnceItsRunsHaveEnded(t *testing.T) {
	for name, lose := range map[string]func(h *harness){
		"silent":       func(*harness) {},
		"disconnected": func(h *harness) { h.x.HandleLinkClosed("e") },
		"restarted":    func(h *harness) { h.x.HandleHello(messenger.Hello{Entry: "e", Incarnation: 2}) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newLockHarness(t)
			request := messenger.LockJobs{Number: 1, Jobs: []string{"j"}}
			h.requestLocks("e", request)
			h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1})
			lose(h)
			h.clock.Advance(messenger.LockTTL)
			h.x.Tick()
			require.Equal(t, []string{"j"}, h.requestLocks("f", request)["f"][0].Held)
			h.clock.Advance(time.Millisecond)
			h.x.Tick()
			require.Equal(t, []string{"j"}, h.requestLocks("f", request)["f"][0].Locked)
		})
	}
}

// TestLocksOfAnEntryInContactDoNotExpire guards against a job that another entry gets
// while its holder still runs it.
func TestLocksOfAnEntryInContactDoNotExpire(t *testing.T) {
	h := newLockHarness(t)
	request := messenger.LockJobs{Number: 1, Jobs: []string{"j"}}
	h.requestLocks("e", request)
	for i := range time.Duration(20) {
		h.clock.Advance(messenger.HeartbeatInterval)
		h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: i + 1})
		h.x.Tick()
	}
	require.Equal(t, []string{"j"}, h.requestLocks("f", request)["f"][0].Held)
}

// TestOutcomesAreBounded guards against a witness that runs out of memory.
func TestOutcomesAreBounded(t *testing.T) {
	h := newLockHarness(t)
	const jobs = 20_001
	for i := range jobs {
		h.requestLocks("e", messenger.LockJobs{Unlocked: []messenger.UnlockedJob{{Job: fmt.Sprint(i), Outcome: messenger.JobFailed}}})
	}
	h.x.Tick()
	oldest := messenger.LockJobs{Number: 1, Jobs: []string{"0"}}
	require.Equal(t, []string{"0"}, h.requestLocks("f", oldest)["f"][0].Locked)
	newest := messenger.LockJobs{Number: 2, Jobs: []string{fmt.Sprint(jobs - 1)}}
	require.Len(t, h.requestLocks("f", newest)["f"][0].Ended, 1)
}
