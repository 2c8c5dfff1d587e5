package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// witnessNames are the agents that are witnesses in these tests, one of each group.
var witnessNames = []string{"a", "b", "c"}

// newLockFixture returns a fixture with three linked witnesses that have run for a while.
func newLockFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.s.SetWitnesses(messenger.WitnessList{Version: 2, Current: witnessesNamed(witnessNames...)})
	for _, name := range witnessNames {
		f.connectSince(name, time.Minute)
	}
	f.s.Tick()
	f.takeEffects()
	return f
}

// witnessesNamed returns witnesses, one of each group.
func witnessesNamed(names ...string) []messenger.Witness {
	var list []messenger.Witness
	for _, name := range names {
		list = append(list, messenger.Witness{Agent: name, Group: "dc-" + name})
	}
	return list
}

// connectSince opens the link to an agent that has run for a time.
func (f *fixture) connectSince(agent string, uptime time.Duration) {
	f.s.LinkOpened(agent)
	f.linkOpenedAt[agent] = f.clock.Now()
	r := newReport(agent, 0)
	r.Timestamp = uptime
	r.RunsComplete = true
	f.s.HandleReport(r)
}

// keepInContact has agents echo a heartbeat of the entry that was sent just now.
func (f *fixture) keepInContact(agents ...string) {
	for _, name := range agents {
		r := newReport(name, 0)
		r.Timestamp = time.Minute
		if f.fullAgents {
			r.Free = messenger.Resources{}
		}
		r.Echo = f.clock.Since(f.linkOpenedAt[name])
		f.s.HandleReport(r)
	}
}

// requests returns the lock requests in the last effects, by agent.
func (f *fixture) requests() map[string]messenger.LockJobs {
	out := make(map[string]messenger.LockJobs)
	for name, messages := range f.sentTo {
		for _, m := range messages {
			if r, ok := m.(messenger.LockJobs); ok {
				out[name] = r
			}
		}
	}
	return out
}

// asked returns the agents that are asked for locks in the last effects.
func (f *fixture) asked() []string {
	var out []string
	for name, r := range f.requests() {
		if len(r.Jobs) > 0 {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// unlockedAt returns the agents that are told to unlock jobs in the last effects.
func (f *fixture) unlockedAt() map[string][]messenger.UnlockedJob {
	out := make(map[string][]messenger.UnlockedJob)
	for name, r := range f.requests() {
		if len(r.Unlocked) > 0 {
			out[name] = r.Unlocked
		}
	}
	return out
}

// placedCount returns the number of Place messages in the last effects.
func (f *fixture) placedCount() int {
	n := 0
	for _, m := range f.sentMessages {
		if _, ok := m.(messenger.Place); ok {
			n++
		}
	}
	return n
}

// answerLock has the agents answer the last requests to them, in which they are asked for
// jobID: granted or held by another entry.
func (f *fixture) answerLock(granted bool, agents ...string) {
	for _, name := range agents {
		r := messenger.LockReply{Number: f.lastRequest[name]}
		if granted {
			r.Locked = []string{jobID}
		} else {
			r.Held = []string{jobID}
		}
		f.s.HandleLockReply(name, r)
	}
	f.takeEffects()
}

// submitLocked submits a long job, has a quorum lock it, and returns the agents that do.
func (f *fixture) submitLocked() []string {
	f.t.Helper()
	f.s.Submit(1, f.longJob())
	f.takeEffects()
	quorum := f.asked()
	f.answerLock(true, quorum...)
	require.Equal(f.t, 1, f.placedCount())
	return quorum
}

// without returns the witnesses except for some.
func without(names ...string) []string {
	return slices.DeleteFunc(slices.Clone(witnessNames), func(n string) bool { return slices.Contains(names, n) })
}

// TestNothingIsPlacedBeforeAQuorumHasLockedTheJob guards against a request that arrives
// late and starts its job while another entry runs it.
func TestNothingIsPlacedBeforeAQuorumHasLockedTheJob(t *testing.T) {
	f := newLockFixture(t)
	f.s.Submit(1, f.longJob())
	f.takeEffects()
	asked := f.asked()
	require.Len(t, asked, 2)
	require.Zero(t, f.placedCount())
	f.answerLock(true, asked[0])
	f.keepInContact(witnessNames...)
	f.s.Tick()
	f.takeEffects()
	require.Zero(t, f.placedCount())
	f.answerLock(true, asked[1])
	require.Equal(t, 1, f.placedCount())
}

// TestAnotherWitnessIsAskedInPlaceOfOneThatDoesNotGrant guards against jobs that wait
// although two of three witnesses can lock them.
func TestAnotherWitnessIsAskedInPlaceOfOneThatDoesNotGrant(t *testing.T) {
	tests := []struct {
		name string
		fail func(f *fixture, agent string)
	}{
		{"it does not answer", func(f *fixture, _ string) {
			f.clock.Advance(20 * time.Millisecond)
			f.s.Tick()
		}},
		{"its link closes", func(f *fixture, agent string) { f.s.LinkClosed(agent) }},
		{"another entry has asked it first", func(f *fixture, agent string) {
			f.s.HandleLockReply(agent, messenger.LockReply{Number: f.lastRequest[agent], Held: []string{jobID}})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newLockFixture(t)
			f.s.Submit(1, f.longJob())
			f.takeEffects()
			asked := f.asked()
			tt.fail(f, asked[0])
			f.takeEffects()
			third := without(asked...)
			require.Equal(t, third, f.asked())
			f.answerLock(true, asked[1], third[0])
			require.Equal(t, 1, f.placedCount())
		})
	}
}

// TestJobThatAnotherEntryHasLockedWaits guards against a job that runs at two entries.
// What this entry has of the lock is given up, so that the other one can complete it.
func TestJobThatAnotherEntryHasLockedWaits(t *testing.T) {
	f := newLockFixture(t)
	f.s.Submit(1, f.longJob())
	f.takeEffects()
	asked := f.asked()
	f.answerLock(false, asked[0])
	third := without(asked...)[0]
	f.answerLock(true, third)
	f.answerLock(false, asked[1])
	require.Equal(t, map[string][]messenger.UnlockedJob{third: {{Job: jobID}}}, f.unlockedAt())
	f.clock.Advance(19 * time.Millisecond)
	f.s.Tick()
	f.takeEffects()
	require.Empty(t, f.asked(), "the other entry needs time")
	f.clock.Advance(41 * time.Millisecond)
	f.s.Tick()
	f.takeEffects()
	asked = f.asked()
	require.Len(t, asked, 2)
	f.answerLock(true, asked...)
	require.Equal(t, 1, f.placedCount())
	require.Empty(t, f.replies)
}

// TestJobThatAnotherEntryHasLockedEndsAsUnsettled guards against a refusal that claims
// that a job has not run.
func TestJobThatAnotherEntryHasLockedEndsAsUnsettled(t *testing.T) {
	f := newLockFixture(t)
	f.s.Submit(1, f.job(jobID, 1))
	f.takeEffects()
	asked := f.asked()
	f.answerLock(false, asked...)
	f.clock.Advance(1500 * time.Millisecond)
	f.s.Tick()
	f.takeEffects()
	require.Equal(t, scheduler.Unsettled, f.replies[1].Outcome)
}

// TestJobThatAnotherEntryHasRunIsAnsweredWithItsEnd guards against a job that runs again,
// or is not answered, after another entry has run it.
func TestJobThatAnotherEntryHasRunIsAnsweredWithItsEnd(t *testing.T) {
	for outcome, want := range map[messenger.JobOutcome]scheduler.Outcome{
		messenger.JobComplete: scheduler.Complete,
		messenger.JobFailed:   scheduler.JobFailed,
	} {
		t.Run(string(outcome), func(t *testing.T) {
			f := newLockFixture(t)
			f.s.Submit(1, f.longJob())
			f.takeEffects()
			name := f.asked()[0]
			f.s.HandleLockReply(name, messenger.LockReply{Number: f.lastRequest[name], Ended: []messenger.UnlockedJob{{Job: jobID, Outcome: outcome}}})
			f.takeEffects()
			require.Equal(t, want, f.replies[1].Outcome)
			f.s.Submit(2, f.longJob())
			f.takeEffects()
			require.Equal(t, want, f.replies[2].Outcome, "also when it is sent here again")
		})
	}
}

// TestLockIsGivenUpOnlyOnceTheRunsHaveEnded guards against another entry that starts a
// job while withdrawn runs go on.
func TestLockIsGivenUpOnlyOnceTheRunsHaveEnded(t *testing.T) {
	f := newLockFixture(t)
	quorum := f.submitLocked()
	run := f.placed().Tasks[0].Run
	at := f.placedAt()
	f.s.CallerLeft(1)
	require.Empty(t, f.s.TakeUnlocked(quorum[0]))
	r := newReport(at, 1)
	r.Timestamp = time.Minute
	r.Ended = []messenger.RunEnd{{Run: run, Reason: messenger.RunStopped}}
	f.s.HandleReport(r)
	for _, name := range quorum {
		require.Equal(t, []messenger.UnlockedJob{{Job: jobID}}, f.s.TakeUnlocked(name))
	}
}

// TestOutcomeIsKeptByTheWitnesses guards against a finished job that another entry runs
// again.
func TestOutcomeIsKeptByTheWitnesses(t *testing.T) {
	f := newLockFixture(t)
	quorum := f.submitLocked()
	r := newReport(f.placedAt(), 1)
	r.Timestamp = time.Minute
	r.Ended = []messenger.RunEnd{{Run: f.placed().Tasks[0].Run, Reason: messenger.RunDone}}
	f.s.HandleReport(r)
	want := []messenger.UnlockedJob{{Job: jobID, Outcome: messenger.JobComplete}}
	require.Equal(t, want, f.s.TakeUnlocked(quorum[0]))
	f.s.HandleLockReply(quorum[1], messenger.LockReply{Wanted: []string{jobID}})
	f.takeEffects()
	require.Equal(t, want, f.unlockedAt()[quorum[1]], "at once when another entry waits for it")
}

// TestJobWhoseLockMayExpireIsGivenUp guards against an entry that goes on with a job when
// another one may already have it.
func TestJobWhoseLockMayExpireIsGivenUp(t *testing.T) {
	f := newLockFixture(t)
	quorum := f.submitLocked()
	for range 9 {
		f.clock.Advance(100 * time.Millisecond)
		f.s.Tick()
		f.takeEffects()
		require.Empty(t, f.replies)
	}
	f.clock.Advance(100 * time.Millisecond)
	f.s.Tick()
	f.takeEffects()
	require.Equal(t, scheduler.Unsettled, f.replies[1].Outcome)
	require.NotEmpty(t, quorum)
}

// TestJobOfAWitnessThatIsLostIsLockedAtAnother guards against jobs that are given up
// although two witnesses are left.
func TestJobOfAWitnessThatIsLostIsLockedAtAnother(t *testing.T) {
	f := newLockFixture(t)
	quorum := f.submitLocked()
	f.s.LinkClosed(quorum[0])
	f.takeEffects()
	third := without(quorum...)
	require.Equal(t, third, f.asked())
	f.answerLock(true, third[0])
	for range 20 {
		f.clock.Advance(100 * time.Millisecond)
		f.keepInContact(third[0], quorum[1])
		f.s.Tick()
		f.takeEffects()
		require.Empty(t, f.replies)
	}
}

// TestReplyToAnEarlierRequestLocksNothing guards against a lock that was granted, given
// up and taken by another entry meanwhile.
func TestReplyToAnEarlierRequestLocksNothing(t *testing.T) {
	f := newLockFixture(t)
	f.s.Submit(1, f.longJob())
	f.takeEffects()
	asked := f.asked()
	first := f.lastRequest[asked[0]]
	f.s.CallerLeft(1)
	f.s.Submit(2, f.longJob())
	f.takeEffects()
	require.Equal(t, asked, f.asked())
	f.answerLock(true, asked[1])
	f.s.HandleLockReply(asked[0], messenger.LockReply{Number: first, Locked: []string{jobID}})
	f.takeEffects()
	require.Zero(t, f.placedCount())
	f.answerLock(true, asked[0])
	require.Equal(t, 1, f.placedCount())
}

// TestRestartedWitnessIsNotAskedWhileItMayHaveForgottenALock guards against a witness that
// has forgotten that another entry has the lock.
func TestRestartedWitnessIsNotAskedWhileItMayHaveForgottenALock(t *testing.T) {
	f := newLockFixture(t)
	f.s.Submit(1, f.longJob())
	f.takeEffects()
	asked := f.asked()
	f.s.CallerLeft(1)
	f.s.LinkClosed(asked[0])
	f.connectSince(asked[0], 10*time.Millisecond)
	f.s.Submit(2, f.longJob())
	f.takeEffects()
	require.Equal(t, without(asked[0]), f.asked())
	f.answerLock(true, f.asked()...)
	require.Equal(t, 1, f.placedCount())
}

// TestJobsAreLockedWhileAllWitnessesHaveJustStarted guards against a deployment that serves
// nobody after all its processes have restarted.
func TestJobsAreLockedWhileAllWitnessesHaveJustStarted(t *testing.T) {
	f := newLockFixture(t)
	for _, name := range witnessNames {
		f.s.LinkClosed(name)
		f.connectSince(name, 10*time.Millisecond)
	}
	f.s.Tick()
	f.s.Submit(1, f.longJob())
	f.takeEffects()
	f.answerLock(true, f.asked()...)
	require.Equal(t, 1, f.placedCount())
}

// TestRestartedWitnessIsAskedForAllLocks guards against a job that another entry locks at
// witnesses that have restarted, while this one has it locked at others.
func TestRestartedWitnessIsAskedForAllLocks(t *testing.T) {
	f := newLockFixture(t)
	third := without(f.submitLocked()...)[0]
	f.s.LinkClosed(third)
	f.connectSince(third, 10*time.Millisecond)
	f.takeEffects()
	require.Equal(t, []string{third}, f.asked())
}

// TestLocksAreRequestedAgainOnANewLink guards against locks that a restarted witness does
// not have, and against those that an entry has given up on a link that broke.
func TestLocksAreRequestedAgainOnANewLink(t *testing.T) {
	f := newLockFixture(t)
	quorum := f.submitLocked()
	f.s.LinkClosed(quorum[0])
	f.takeEffects()
	f.s.LinkOpened(quorum[0])
	f.takeEffects()
	require.Equal(t, messenger.LockJobs{Number: 1, Jobs: []string{jobID}, Complete: true}, f.requests()[quorum[0]])
}

// TestJobThatWaitsIsGivenUpOnceItsCallerHasSentItElsewhere guards against a job that
// waits at an entry whose caller has left, while it could run where the caller waits. If
// it runs, its end serves the caller there.
func TestJobThatWaitsIsGivenUpOnceItsCallerHasSentItElsewhere(t *testing.T) {
	tests := []struct {
		name string
		runs bool
		want scheduler.Outcome
	}{
		{"it waits", false, scheduler.Unsettled},
		{"it runs", true, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newLockFixture(t)
			quorum := f.submitLocked()
			if !tt.runs {
				f.loseRun(f.placedAt(), f.placed().Tasks[0].Run)
			}
			f.s.HandleLockReply(quorum[0], messenger.LockReply{Wanted: []string{jobID}})
			for range 12 {
				f.s.Tick()
				f.takeEffects()
				require.Empty(t, f.replies, "its caller may be connected here")
				f.clock.Advance(100 * time.Millisecond)
				f.keepInContact(without()...)
			}
			f.s.Tick()
			f.takeEffects()
			require.Equal(t, tt.want, f.replies[1].Outcome)
		})
	}
}

// loseRun has an agent report that a run has lapsed. No agent has capacity from then on.
func (f *fixture) loseRun(agent string, run messenger.Run) {
	f.fullAgents = true
	f.keepInContact(without(agent)...)
	r := newReport(agent, 1)
	r.Timestamp = time.Minute
	r.Free = messenger.Resources{}
	r.Ended = []messenger.RunEnd{{Run: run, Reason: messenger.RunLapsed}}
	f.s.HandleReport(r)
}

// TestRunsOfTheEntryThatHasTheLockAreNotWithdrawn guards against an entry that waits for a
// job and stops the runs of another one, which a restarted agent has found and whose
// owner it does not know.
func TestRunsOfTheEntryThatHasTheLockAreNotWithdrawn(t *testing.T) {
	f := newLockFixture(t)
	f.s.Submit(1, f.longJob())
	f.takeEffects()
	f.answerLock(false, f.asked()...)
	r := newReport("a", 0)
	r.Incarnation = 2
	r.RunsComplete = true
	r.Runs = []messenger.Progress{{Run: messenger.Run{Task: jobID + ".0.0.0", Number: 1}, Percent: 50, Age: time.Second}}
	f.s.LinkOpened("a")
	f.s.HandleReport(r)
	for _, m := range f.takeEffects() {
		_, withdraws := m.(messenger.Withdraw)
		require.False(t, withdraws)
	}
}

// TestPausedEntryIgnoresReportsFromBeforeThePause guards against tasks that are placed by
// what was reported before a pause of the entry.
func TestPausedEntryIgnoresReportsFromBeforeThePause(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	f.clock.Advance(500 * time.Millisecond)
	f.s.Resumed()
	f.s.HandleReport(newReport("a", 0))
	f.s.Submit(1, f.longJob())
	require.Empty(t, f.takeEffects(), "the report may have been made before the entry was paused")
	f.clock.Advance(time.Millisecond)
	f.heartbeat("a", 0)
	f.takeEffects()
	require.Len(t, f.placed().Tasks, 1)
}

// Guards against an entry that places tasks without a lock, since it has not been told of
// the witnesses yet or any more.
func TestNothingIsPlacedWhileNoWitnessIsKnown(t *testing.T) {
	f := newFixture(t)
	f.s.SetWitnesses(messenger.WitnessList{Version: 2})
	f.connect("a")
	f.s.Submit(1, f.job(jobID, 1))
	f.s.Tick()
	f.takeEffects()
	require.Empty(t, f.sentTo["a"])
	f.clock.Advance(400 * time.Millisecond)
	f.s.Tick()
	f.takeEffects()
	require.Equal(t, scheduler.Overloaded, f.replies[1].Outcome)
	require.Contains(t, f.replies[1].Why, "no witnesses are known")
}

// Guards against jobs that wait 1.4 s for a witness that has restarted although all entries
// have told it their locks, and against one that is asked before.
func TestRestartedWitnessIsAskedOnceAllEntriesHaveToldItTheirLocks(t *testing.T) {
	f := newLockFixture(t)
	restart := func(holders uint64) {
		f.s.LinkClosed("a")
		f.connectSince("a", 10*time.Millisecond)
		for name, known := range map[string]uint64{"a": holders, "b": 7, "c": 7} {
			r := newReport(name, 0)
			r.Timestamp = time.Minute
			if name == "a" {
				r.Timestamp = 20 * time.Millisecond
			}
			r.Holders = known
			f.s.HandleReport(r)
		}
		f.takeEffects()
	}
	for i, holders := range []uint64{0, 6, 7} {
		restart(holders)
		j := f.longJob()
		j.ID = fmt.Sprintf("%016x", i)
		f.s.Submit(uint64(i), j)
		f.s.LinkClosed("b") // Another one is asked in its place, if there is one.
		f.takeEffects()
		require.Equal(t, holders == 7, slices.Contains(f.asked(), "a"), "holders %d", holders)
		f.connectSince("b", time.Minute)
		f.s.CallerLeft(uint64(i))
	}
}
