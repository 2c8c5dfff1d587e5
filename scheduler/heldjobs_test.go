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

// reportHeldRunning returns the report of an agent by which jobs are running at other
// entries.
func reportHeldRunning(agent string, jobs ...string) messenger.Report {
	r := newReport(agent, 0)
	r.HeldJobs = &messenger.HeldJobs{Running: jobs}
	return r
}

// reportHeldYielding returns the report of an agent by which jobs yield at other
// entries: they wait there because an entry holds them already.
func reportHeldYielding(agent string, jobs ...string) messenger.Report {
	r := newReport(agent, 0)
	r.HeldJobs = &messenger.HeldJobs{Yielding: jobs}
	return r
}

func TestJobThatAnotherEntryHoldsIsNotPlaced(t *testing.T) {
	tests := []struct {
		name    string
		release func(f *fixture)
	}{
		{"until the entry no longer holds it", func(f *fixture) { f.s.HandleReport(reportHeldRunning("a")) }},
		{"until the held jobs of a silent agent expire", func(f *fixture) {
			f.s.LinkClosed("a")
			f.clock.Advance(messenger.HeldJobsTTL)
			f.s.HandleReport(newReport("b", 0))
			f.s.Tick()
			require.Empty(f.t, f.takeEffects())
			f.clock.Advance(time.Millisecond)
			f.s.HandleReport(newReport("b", 0))
			f.s.Tick()
		}},
		{"until the held jobs of an agent's earlier incarnation expire", func(f *fixture) {
			for i := range int64(2) {
				r := reportHeldRunning("a")
				r.Incarnation = 2 + i
				f.s.HandleReport(r)
			}
			require.Empty(f.t, f.takeEffects(), "the restarted agent may not have received the announcement again yet")
			f.clock.Advance(messenger.HeldJobsTTL)
			f.s.HandleReport(newReport("b", 0))
			f.s.Tick()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.connect("a")
			f.connect("b")
			f.s.HandleReport(reportHeldRunning("a", jobID))
			f.s.Submit(1, f.longJob())
			f.s.HandleReport(newReport("a", 0))
			f.s.HandleReport(newReport("b", 0))
			f.s.Tick()
			require.Empty(t, f.takeEffects())
			require.Empty(t, f.replies, "the job may have started at the other entry")
			tt.release(f)
			f.takeEffects()
			require.Equal(t, 1, f.placed().Tasks[0].Number)
		})
	}
}

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

func TestJobThatAnotherEntryHoldsEndsAsUnsettled(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	f.s.HandleReport(reportHeldRunning("a", jobID))
	f.s.Submit(1, f.job(jobID, 1))
	f.clock.Advance(1500 * time.Millisecond)
	f.s.Tick()
	f.takeEffects()
	require.Equal(t, scheduler.Unsettled, f.replies[1].Outcome)
}

func TestJobsThatGoOnForLongAreAnnouncedInHeartbeats(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	f.s.Submit(1, f.longJob())
	f.s.Submit(2, f.job("0000000000000005", 1))
	f.takeEffects()
	require.Empty(t, f.heartbeat("a", 2))
	f.clock.Advance(500 * time.Millisecond)
	require.Equal(t, []string{jobID, "0000000000000005"}, f.heartbeat("a", 2))
	f.s.CallerLeft(1)
	require.Contains(t, f.heartbeat("a", 2), jobID, "its withdrawn run may not have ended")
	r := newReport("a", 2)
	r.Ended = []messenger.RunEnd{{Run: messenger.Run{Task: jobID + ".0.0.0", Number: 1}, Reason: messenger.RunStopped}}
	f.s.HandleReport(r)
	require.NotContains(t, f.heartbeat("a", 2), jobID)
}

func TestJobThatYieldsAtAnotherEntryIsGivenUp(t *testing.T) {
	tests := []struct {
		name   string
		submit func(f *fixture)
	}{
		{"while it runs", func(f *fixture) { f.s.Submit(1, f.longJob()) }},
		{"while it waits here as well", func(f *fixture) {
			f.s.HandleReport(reportHeldRunning("a", jobID))
			f.s.Submit(1, f.longJob())
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.connect("a")
			tt.submit(f)
			f.clock.Advance(600 * time.Millisecond)
			f.heartbeat("a", 1)
			f.s.HandleReport(reportHeldYielding("a", jobID))
			f.s.Tick()
			f.takeEffects()
			require.Empty(t, f.replies, "its caller may still be connected")
			f.clock.Advance(600 * time.Millisecond)
			f.heartbeatAndTick("a")
			require.Equal(t, scheduler.Unsettled, f.replies[1].Outcome)
		})
	}
}

func TestJobThatEndsAsItsCallerSendsItElsewhereIsComplete(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	f.s.Submit(1, f.longJob())
	for range 2 {
		f.clock.Advance(650 * time.Millisecond)
		f.heartbeat("a", 1)
	}
	r := reportHeldYielding("a", jobID)
	r.Ended = []messenger.RunEnd{{Run: messenger.Run{Task: jobID + ".0.0.0", Number: 1}, Reason: messenger.RunDone}}
	f.s.HandleReport(r)
	f.takeEffects()
	require.Equal(t, scheduler.Complete, f.replies[1].Outcome)
}

func TestJobStartedHereAndElsewhereIsGivenUpOnceItIsOld(t *testing.T) {
	tests := []struct {
		name     string
		finished bool
		want     map[uint64]scheduler.Answer
	}{
		{"it continues at the other entry", false, map[uint64]scheduler.Answer{1: {Outcome: scheduler.Unsettled, RetryAfter: scheduler.AgentLossTimeout, Why: "another entry has begun it"}}},
		{"the other entry is stopping its runs", true, map[uint64]scheduler.Answer{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.connect("a")
			f.s.Submit(1, f.longJob())
			r := reportHeldRunning("a", jobID)
			if tt.finished {
				r.HeldJobs = &messenger.HeldJobs{Finished: []string{jobID}}
			}
			f.s.HandleReport(r)
			for range 13 {
				f.takeEffects()
				require.Empty(t, f.replies, "its caller may still be connected")
				f.clock.Advance(100 * time.Millisecond)
				f.heartbeat("a", 1)
				f.s.Tick()
			}
			f.takeEffects()
			require.Equal(t, tt.want, f.replies)
		})
	}
}

func TestExpiredHeldJobsOfALostAgentDoNotEndAJob(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	f.connect("b")
	f.s.HandleReport(reportHeldYielding("b", jobID))
	f.s.LinkClosed("b")
	f.clock.Advance(messenger.HeldJobsTTL + time.Millisecond)
	f.s.HandleReport(newReport("a", 0))
	f.s.Submit(1, f.longJob())
	for range 20 {
		f.clock.Advance(100 * time.Millisecond)
		f.heartbeat("a", 1)
		f.s.Tick()
	}
	f.takeEffects()
	require.Empty(t, f.replies)
}

func TestYieldingJobIsAnnouncedAsYielding(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	f.s.HandleReport(reportHeldRunning("a", jobID))
	f.s.Submit(1, f.longJob())
	require.Equal(t, messenger.HeldJobs{Yielding: []string{jobID}}, f.s.HeldJobs())
}

func TestYieldingJobIsPlacedAfterItsCallerSendsItAgain(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	f.s.HandleReport(reportHeldRunning("a", jobID))
	f.s.Submit(1, f.longJob())
	f.s.CallerLeft(1)
	f.s.Submit(2, f.longJob())
	f.takeEffects()
	f.s.HandleReport(reportHeldRunning("a"))
	f.takeEffects()
	f.placed()
}

func TestJobThatOtherEntriesMayNotKnowOfIsGivenUpBeforeItIsSentAgain(t *testing.T) {
	tests := []struct {
		name    string
		trigger func(f *fixture)
		want    scheduler.Outcome
	}{
		{"no agent has echoed a heartbeat that announces it", func(f *fixture) {
			f.s.Submit(1, f.longJob())
			for range 12 {
				f.clock.Advance(100 * time.Millisecond)
				f.s.HeldJobs()
				f.s.HandleReport(newReport("a", 1))
			}
		}, scheduler.Unsettled},
		{"no agent has echoed a recent heartbeat", func(f *fixture) {
			f.s.Submit(1, f.longJob())
			f.clock.Advance(600 * time.Millisecond)
			f.heartbeat("a", 1)
			f.clock.Advance(time.Second)
			f.s.HandleReport(newReport("a", 1))
		}, scheduler.Unsettled},
		{"the entry was paused before it read the request", func(f *fixture) {
			j := f.longJob()
			j.EarliestSent = f.clock.Now().Add(-1300 * time.Millisecond)
			f.s.Submit(1, j)
			require.Empty(f.t, f.sentMessages)
		}, scheduler.Overloaded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.connect("a")
			tt.trigger(f)
			f.s.Tick()
			f.takeEffects()
			require.Equal(t, tt.want, f.replies[1].Outcome)
		})
	}
}

func TestJobThatOtherEntriesKnowOfGoesOn(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	f.s.Submit(1, f.longJob())
	for range 30 {
		f.clock.Advance(100 * time.Millisecond)
		f.heartbeatAndTick("a")
		require.Empty(t, f.replies)
	}
}

func TestJobsWhoseCallersLeftUnnoticedRunOnceAtATime(t *testing.T) {
	long := jobKind{tasks: 2, work: 2 * time.Second, cpu: 3100}
	for seed := range uint64(10) {
		sim := newSimulation(t, 9100+seed, 3, 6, 31_000)
		sim.load(6*time.Second, 0.3)
		for range 60 {
			sim.run(100 * time.Millisecond)
			e := sim.entries[sim.rng.IntN(len(sim.entries))]
			if sim.rng.IntN(20) == 0 && !e.down {
				e.kill(time.Duration(sim.rng.Int64N(int64(600 * time.Millisecond))))
			}
			sim.submit(e, long)
			sim.schedule(time.Duration(sim.rng.Int64N(int64(2*time.Second))), func() {
				if tickets := slices.Sorted(maps.Keys(e.tickets)); len(tickets) > 0 {
					e.disconnectUnnoticed(tickets[sim.rng.IntN(len(tickets))])
				}
			})
		}
		sim.run(8 * time.Second)
		sim.check()
		require.NotZero(t, sim.summary().inTime, "seed %d", seed)
	}
}
