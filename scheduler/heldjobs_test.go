package scheduler_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// reportHeldRunning returns a report of an agent which says that other entries hold jobs.
func reportHeldRunning(agent string, jobs ...string) messenger.Report {
	r := newReport(agent, 0)
	r.HeldJobs = &messenger.HeldJobs{Running: jobs}
	return r
}

// reportHeldYielding returns a report of an agent which says that jobs wait at other entries
// because an entry holds them already.
func reportHeldYielding(agent string, jobs ...string) messenger.Report {
	r := newReport(agent, 0)
	r.HeldJobs = &messenger.HeldJobs{Yielding: jobs}
	return r
}

func TestJobThatAnotherEntryHoldsIsNotPlaced(t *testing.T) {
	tests := []struct {
		name string
		over func(b *fixture)
	}{
		{"until the entry no longer holds it", func(b *fixture) { b.s.HandleReport(reportHeldRunning("a")) }},
		{"until the held jobs of a silent agent expire", func(b *fixture) {
			b.s.LinkClosed("a")
			b.clock.Advance(messenger.HeldJobsTTL)
			b.s.HandleReport(newReport("b", 0))
			b.s.Tick()
			require.Empty(b.t, b.drain())
			b.clock.Advance(time.Millisecond)
			b.s.HandleReport(newReport("b", 0))
			b.s.Tick()
		}},
		{"until the held jobs of an agent's earlier incarnation expire", func(b *fixture) {
			for i := range int64(2) {
				r := reportHeldRunning("a")
				r.Incarnation = 2 + i
				b.s.HandleReport(r)
			}
			require.Empty(b.t, b.drain(), "the restarted agent may not have received the announcement again yet")
			b.clock.Advance(messenger.HeldJobsTTL)
			b.s.HandleReport(newReport("b", 0))
			b.s.Tick()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t)
			b.connect("a")
			b.connect("b")
			b.s.HandleReport(reportHeldRunning("a", jobID))
			b.s.Submit(1, b.longJob())
			b.s.HandleReport(newReport("a", 0))
			b.s.HandleReport(newReport("b", 0))
			b.s.Tick()
			require.Empty(t, b.drain())
			require.Empty(t, b.replies, "the job may have started at the other entry")
			tt.over(b)
			b.drain()
			require.Equal(t, 1, b.placed().Tasks[0].Number)
		})
	}
}

func TestPausedEntryIgnoresReportsFromBeforeThePause(t *testing.T) {
	b := newFixture(t)
	b.connect("a")
	b.clock.Advance(500 * time.Millisecond)
	b.s.Resumed()
	b.s.HandleReport(newReport("a", 0))
	b.s.Submit(1, b.longJob())
	require.Empty(t, b.drain(), "the report may have been made before the entry was paused")
	b.clock.Advance(time.Millisecond)
	b.heartbeat("a", 0)
	b.drain()
	require.Len(t, b.placed().Tasks, 1)
}

func TestJobThatAnotherEntryHoldsIsNotSaidToHaveNotRun(t *testing.T) {
	b := newFixture(t)
	b.connect("a")
	b.s.HandleReport(reportHeldRunning("a", jobID))
	b.s.Submit(1, b.job(jobID, 1))
	b.clock.Advance(1500 * time.Millisecond)
	b.s.Tick()
	b.drain()
	require.Equal(t, scheduler.Unsettled, b.replies[1].Outcome)
}

func TestJobsThatGoOnForLongAreNamedInHeartbeats(t *testing.T) {
	b := newFixture(t)
	b.connect("a")
	b.s.Submit(1, b.longJob())
	b.s.Submit(2, b.job("0000000000000005", 1))
	b.drain()
	require.Empty(t, b.heartbeat("a", 2))
	b.clock.Advance(500 * time.Millisecond)
	require.Equal(t, []string{jobID, "0000000000000005"}, b.heartbeat("a", 2))
	b.s.CallerLeft(1)
	require.Contains(t, b.heartbeat("a", 2), jobID, "its withdrawn run may not have ended")
	r := newReport("a", 2)
	r.Ended = []messenger.RunEnd{{Run: messenger.Run{Task: jobID + ".0.0.0", Number: 1}, Reason: messenger.RunStopped}}
	b.s.HandleReport(r)
	require.NotContains(t, b.heartbeat("a", 2), jobID)
}

func TestJobThatWaitsAtAnotherEntryIsGivenUp(t *testing.T) {
	tests := []struct {
		name  string
		begin func(b *fixture)
	}{
		{"while it runs", func(b *fixture) { b.s.Submit(1, b.longJob()) }},
		{"while it waits here as well", func(b *fixture) {
			b.s.HandleReport(reportHeldRunning("a", jobID))
			b.s.Submit(1, b.longJob())
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t)
			b.connect("a")
			tt.begin(b)
			b.clock.Advance(600 * time.Millisecond)
			b.heartbeat("a", 1)
			b.s.HandleReport(reportHeldYielding("a", jobID))
			b.s.Tick()
			b.drain()
			require.Empty(t, b.replies, "its caller may still be connected")
			b.clock.Advance(600 * time.Millisecond)
			b.heartbeatAndTick("a")
			require.Equal(t, scheduler.Unsettled, b.replies[1].Outcome)
		})
	}
}

func TestJobThatEndsAsItsCallerSendsItElsewhereIsComplete(t *testing.T) {
	b := newFixture(t)
	b.connect("a")
	b.s.Submit(1, b.longJob())
	for range 2 {
		b.clock.Advance(650 * time.Millisecond)
		b.heartbeat("a", 1)
	}
	r := reportHeldYielding("a", jobID)
	r.Ended = []messenger.RunEnd{{Run: messenger.Run{Task: jobID + ".0.0.0", Number: 1}, Reason: messenger.RunDone}}
	b.s.HandleReport(r)
	b.drain()
	require.Equal(t, scheduler.Complete, b.replies[1].Outcome)
}

func TestJobThatWasBegunHereAndElsewhereIsGivenUpOnceItIsOld(t *testing.T) {
	tests := []struct {
		name string
		over bool
		want map[uint64]scheduler.Answer
	}{
		{"it continues at the other entry", false, map[uint64]scheduler.Answer{1: {Outcome: scheduler.Unsettled, RetryAfter: scheduler.AgentLossTimeout, Why: "another entry has begun it"}}},
		{"the other entry is stopping its runs", true, map[uint64]scheduler.Answer{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t)
			b.connect("a")
			b.s.Submit(1, b.longJob())
			r := reportHeldRunning("a", jobID)
			if tt.over {
				r.HeldJobs = &messenger.HeldJobs{Finished: []string{jobID}}
			}
			b.s.HandleReport(r)
			for range 13 {
				b.drain()
				require.Empty(t, b.replies, "its caller may still be connected")
				b.clock.Advance(100 * time.Millisecond)
				b.heartbeat("a", 1)
				b.s.Tick()
			}
			b.drain()
			require.Equal(t, tt.want, b.replies)
		})
	}
}

func TestExpiredHeldJobsOfALostAgentDoNotEndAJob(t *testing.T) {
	b := newFixture(t)
	b.connect("a")
	b.connect("b")
	b.s.HandleReport(reportHeldYielding("b", jobID))
	b.s.LinkClosed("b")
	b.clock.Advance(messenger.HeldJobsTTL + time.Millisecond)
	b.s.HandleReport(newReport("a", 0))
	b.s.Submit(1, b.longJob())
	for range 20 {
		b.clock.Advance(100 * time.Millisecond)
		b.heartbeat("a", 1)
		b.s.Tick()
	}
	b.drain()
	require.Empty(t, b.replies)
}

func TestJobThatWaitsIsNamedAsWaiting(t *testing.T) {
	b := newFixture(t)
	b.connect("a")
	b.s.HandleReport(reportHeldRunning("a", jobID))
	b.s.Submit(1, b.longJob())
	require.Equal(t, messenger.HeldJobs{Yielding: []string{jobID}}, b.s.HeldJobs())
}

func TestJobThatWaitedIsNotLeftBehindWhenItsCallerSendsItAgain(t *testing.T) {
	b := newFixture(t)
	b.connect("a")
	b.s.HandleReport(reportHeldRunning("a", jobID))
	b.s.Submit(1, b.longJob())
	b.s.CallerLeft(1)
	b.s.Submit(2, b.longJob())
	b.drain()
	b.s.HandleReport(reportHeldRunning("a"))
	b.drain()
	b.placed()
}

func TestJobThatOtherEntriesMayNotKnowOfIsGivenUpBeforeItIsSentAgain(t *testing.T) {
	tests := []struct {
		name string
		play func(b *fixture)
		want scheduler.Outcome
	}{
		{"no agent has echoed a heartbeat that announces it", func(b *fixture) {
			b.s.Submit(1, b.longJob())
			for range 12 {
				b.clock.Advance(100 * time.Millisecond)
				b.s.HeldJobs()
				b.s.HandleReport(newReport("a", 1))
			}
		}, scheduler.Unsettled},
		{"no agent has echoed a recent heartbeat", func(b *fixture) {
			b.s.Submit(1, b.longJob())
			b.clock.Advance(600 * time.Millisecond)
			b.heartbeat("a", 1)
			b.clock.Advance(time.Second)
			b.s.HandleReport(newReport("a", 1))
		}, scheduler.Unsettled},
		{"the entry was paused before it read the request", func(b *fixture) {
			j := b.longJob()
			j.EarliestSent = b.clock.Now().Add(-1300 * time.Millisecond)
			b.s.Submit(1, j)
			require.Empty(b.t, b.sent)
		}, scheduler.Overloaded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t)
			b.connect("a")
			tt.play(b)
			b.s.Tick()
			b.drain()
			require.Equal(t, tt.want, b.replies[1].Outcome)
		})
	}
}

func TestJobThatOtherEntriesKnowOfGoesOn(t *testing.T) {
	b := newFixture(t)
	b.connect("a")
	b.s.Submit(1, b.longJob())
	for range 30 {
		b.clock.Advance(100 * time.Millisecond)
		b.heartbeatAndTick("a")
		require.Empty(t, b.replies)
	}
}

func TestJobsWhoseCallersLeftUnnoticedRunOnceAtATime(t *testing.T) {
	long := jobKind{tasks: 2, work: 2 * time.Second, cpu: 3100}
	for seed := range uint64(10) {
		w := newSimulation(t, 9100+seed, 3, 6, 31_000)
		w.load(6*time.Second, 0.3)
		for range 60 {
			w.run(100 * time.Millisecond)
			e := w.entries[w.rng.IntN(len(w.entries))]
			if w.rng.IntN(20) == 0 && !e.down {
				e.kill(time.Duration(w.rng.Int64N(int64(600 * time.Millisecond))))
			}
			w.submit(e, long)
			w.schedule(time.Duration(w.rng.Int64N(int64(2*time.Second))), func() {
				if tickets := slices.Sorted(maps.Keys(e.tickets)); len(tickets) > 0 {
					e.disconnectUnnoticed(tickets[w.rng.IntN(len(tickets))])
				}
			})
		}
		w.run(8 * time.Second)
		w.check()
		require.NotZero(t, w.summary().inTime, "seed %d", seed)
	}
}
